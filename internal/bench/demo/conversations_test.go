package demo

// This file tests conversations.

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestConversationsKeepWhatARepeatedRequestSaidFirst(t *testing.T) {
	g := NewWithT(t)
	c := newConversations()
	for turn := range mostTurns/2 - 1 {
		asked := c.ask(0, "question")
		c.reply(0, asked, "first answer")
		kept := c.ask(0, "another")
		read := c.last[0]
		c.reply(0, asked, "second answer")
		g.Expect(read[len(read)-1].Content).To(Equal("first answer"), "turn %d", turn)
		g.Expect(kept[len(kept)-2].Content).To(Equal("first answer"), "turn %d", turn)
	}
}

func TestConversationsThatGrowTooLongAreDropped(t *testing.T) {
	g := NewWithT(t)
	c := newConversations()
	for range mostTurns {
		asked := c.ask(0, "question")
		g.Expect(len(asked)).To(BeNumerically("<=", mostTurns+1))
		c.reply(0, asked, "answer")
	}
	g.Expect(len(c.last[0])).To(BeNumerically("<=", mostTurns))
}
