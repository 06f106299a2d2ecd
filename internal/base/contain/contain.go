// Package contain keeps a panic in one task from ending the process. A malformed message
// or an unexpected state then costs that task only: the panic is logged with its stack,
// and the caller decides what follows.
package contain

// This file defines Panic and Run.

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/base/pause"
)

const restartDelay = 200 * time.Millisecond // before a loop that panicked runs again

// Panic is the error of a task that panicked.
type Panic struct {
	Task  string
	Value any // value that the task panicked with
}

var _ error = (*Panic)(nil)

// Error returns the task and the value.
func (p *Panic) Error() string { return fmt.Sprintf("%s panicked: %v", p.Task, p.Value) }

// Run runs a task and returns its error. If the task panics, Run logs the stack and
// returns a *Panic. The task must release its locks by deferred calls.
func Run(log logr.Logger, task string, f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			p := &Panic{Task: task, Value: v}
			log.Error(p, "a task panicked; the process goes on", "task", task, "stack", string(debug.Stack()))
			err = p
		}
	}()
	return f()
}

// Do runs a task without a result, as Run does.
func Do(log logr.Logger, task string, f func()) {
	_ = Run(log, task, func() error { // a panic is logged already
		f()
		return nil
	})
}

// Loop runs a loop that ends with the context, and runs it again if it panics.
func Loop(ctx context.Context, log logr.Logger, task string, loop func(context.Context)) {
	for {
		err := Run(log, task, func() error {
			loop(ctx)
			return nil
		})
		if err == nil || !pause.For(ctx, restartDelay) {
			return
		}
	}
}
