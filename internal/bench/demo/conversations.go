package demo

// This file defines conversations, the chats that accounts go on with.

import (
	"slices"
	"sync"

	"github.com/jacinthstile/jacinthstile/internal/bench/caller"
)

// mostTurns bounds a conversation.
const mostTurns = 12

// conversations keeps the last conversation of each account. What it hands out
// is never written again: requests of one account run at once, and one may be
// sent again.
type conversations struct {
	mu   sync.Mutex
	last map[int][]caller.Message
}

func newConversations() *conversations {
	return &conversations{last: make(map[int][]caller.Message)}
}

// ask returns the account's conversation with a question added.
func (c *conversations) ask(account int, question string) []caller.Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	return grown(c.last[account], caller.Message{Role: "user", Content: question})
}

// reply makes asked, with the answer added, the account's conversation. One
// that has grown too long is dropped.
func (c *conversations) reply(account int, asked []caller.Message, answer string) {
	next := grown(asked, caller.Message{Role: "assistant", Content: answer})
	if len(next) > mostTurns {
		next = nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last[account] = next
}

// grown returns turns with one more in an array of its own.
func grown(turns []caller.Message, m caller.Message) []caller.Message {
	return append(slices.Clone(turns), m)
}
