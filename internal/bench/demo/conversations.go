package demo

// This file defines conversations, which holds the chat history of each account.

import (
	"slices"
	"sync"

	"github.com/jacinthstile/jacinthstile/internal/bench/caller"
)

// maxTurns is the maximum number of messages in a conversation.
const maxTurns = 12

// conversations holds the current conversation of each account and is safe for concurrent use. The slices that it
// returns are never modified afterwards, because an account's requests run concurrently and one may be retried.
type conversations struct {
	mu   sync.Mutex
	last map[int][]caller.Message // by the index of the account
}

func newConversations() *conversations {
	return &conversations{last: make(map[int][]caller.Message)}
}

// addQuestion returns the account's conversation with a question appended. It does not store the question.
func (c *conversations) addQuestion(account int, question string) []caller.Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	return appended(c.last[account], caller.Message{Role: "user", Content: question})
}

// recordAnswer stores asked with the answer appended as the account's conversation. If that exceeds maxTurns messages,
// the account starts a new conversation.
func (c *conversations) recordAnswer(account int, asked []caller.Message, answer string) {
	next := appended(asked, caller.Message{Role: "assistant", Content: answer})
	if len(next) > maxTurns {
		next = nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last[account] = next
}

// appended returns a copy of turns with m appended.
func appended(turns []caller.Message, m caller.Message) []caller.Message {
	return append(slices.Clone(turns), m)
}
