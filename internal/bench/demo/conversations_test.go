package demo

// This file tests that conversations are safe against retries and stay bounded.

import (
	"testing"

	. "github.com/onsi/gomega"
)

// A retried request records a second answer to the same question. If conversations shared their arrays, that answer
// would overwrite the first one in a history that another request of the account has already read.
func TestConversationsRetriedRequestDoesNotOverwriteFirstAnswer(t *testing.T) {
	g := NewWithT(t)
	c := newConversations()
	for turn := range maxTurns/2 - 1 {
		asked := c.addQuestion(0, "question")
		c.recordAnswer(0, asked, "first answer")
		kept := c.addQuestion(0, "another")
		read := c.last[0]
		c.recordAnswer(0, asked, "second answer")
		g.Expect(read[len(read)-1].Content).To(Equal("first answer"), "turn %d", turn)
		g.Expect(kept[len(kept)-2].Content).To(Equal("first answer"), "turn %d", turn)
	}
}

// Without a bound, the prompts of an account would grow over the whole run.
func TestConversationsThatExceedMaxTurnsAreDropped(t *testing.T) {
	g := NewWithT(t)
	c := newConversations()
	for range maxTurns {
		asked := c.addQuestion(0, "question")
		g.Expect(len(asked)).To(BeNumerically("<=", maxTurns+1))
		c.recordAnswer(0, asked, "answer")
	}
	g.Expect(len(c.last[0])).To(BeNumerically("<=", maxTurns))
}
