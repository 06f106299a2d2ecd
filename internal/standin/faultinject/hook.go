package faultinject

// This file defines Hook, which runs a function of a test at a given point of a call.

import (
	"net/http"
	"slices"
	"strings"
	"sync"
)

// Values of Hook.At; a value above zero is a number of written response parts.
const (
	Arrival = 0  // before the call reaches the stand-in
	Done    = -1 // after the stand-in has handled the call
)

// Hook is a function that runs once, when the first matching call reaches a point.
type Hook struct {
	Stage string // substring of "ENDPOINT STAGE" or "ENDPOINT METHOD PATH"; empty to match all calls
	At    int    // Arrival, Done, or the number of response parts written so far
	Do    func()
}

// Hook adds a hook. The call waits while Do runs.
func (inj *Injector) Hook(h Hook) {
	h.Do = sync.OnceFunc(h.Do)
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.hooks = append(inj.hooks, &h)
}

// withHooks returns a handler that runs the hooks that match a call and passes it to
// h.
func (inj *Injector) withHooks(stage string, h http.Handler) http.Handler {
	inj.mu.Lock()
	hooks := slices.Clone(inj.hooks)
	inj.mu.Unlock()
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

// counter counts the parts of a response and runs the hook when Hook.At is reached.
type counter struct {
	http.ResponseWriter
	hook  *Hook
	parts int
}

var _ http.ResponseWriter = (*counter)(nil)

// Unwrap returns the underlying writer for http.ResponseController.
func (c *counter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// Write writes one part of the response and runs the hook after part number Hook.At.
func (c *counter) Write(data []byte) (int, error) {
	n, err := c.ResponseWriter.Write(data)
	c.parts++
	if c.parts == c.hook.At {
		c.hook.Do()
	}
	return n, err
}
