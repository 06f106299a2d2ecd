package trouble

// This file defines Hook, which tells a test how far a call has come.

import (
	"net/http"
	"slices"
	"strings"
	"sync"
)

// Points of a call for a Hook; a number above zero is that of a piece of the answer.
const (
	Arrival = 0
	Done    = -1
)

// Hook is called once, by the first call that comes to its point.
type Hook struct {
	Stage string // a part of "ENDPOINT STAGE" or "ENDPOINT METHOD PATH"; empty for all
	At    int    // Arrival, Done, or how many pieces of the answer are written
	Do    func()
}

// Hook adds a hook. Do is called while the call waits.
func (t *Trouble) Hook(h Hook) {
	h.Do = sync.OnceFunc(h.Do)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hooks = append(t.hooks, &h)
}

// hooked returns a handler that calls the hooks of a stage on the way through h.
func (t *Trouble) hooked(stage string, h http.Handler) http.Handler {
	t.mu.Lock()
	hooks := slices.Clone(t.hooks)
	t.mu.Unlock()
	for _, k := range hooks {
		if strings.Contains(stage, k.Stage) {
			h = k.wrap(h)
		}
	}
	return h
}

func (k *Hook) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch k.At {
		case Arrival:
			k.Do()
			h.ServeHTTP(w, r)
		case Done:
			h.ServeHTTP(w, r)
			k.Do()
		default:
			h.ServeHTTP(&counter{ResponseWriter: w, hook: k}, r)
		}
	})
}

// counter counts the pieces of an answer and calls the hook at its number.
type counter struct {
	http.ResponseWriter
	hook   *Hook
	pieces int
}

var _ http.ResponseWriter = (*counter)(nil)

// Unwrap gives http.ResponseController the writer behind.
func (c *counter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// Write writes one piece and calls the hook after the last of its number.
func (c *counter) Write(data []byte) (int, error) {
	n, err := c.ResponseWriter.Write(data)
	c.pieces++
	if c.pieces == c.hook.At {
		c.hook.Do()
	}
	return n, err
}
