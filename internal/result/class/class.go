// Package class defines the three classes of errors that a caller can receive.
// They differ in what the caller may conclude about the requested work.
package class

// This file defines Class.

import "fmt"

// Class tells a caller whether the requested work may have been executed.
type Class int

const (
	// NotRun means that no endpoint received the request: it is safe to retry.
	NotRun Class = iota + 1
	// Unknown means that an endpoint may or may not have executed the work.
	Unknown
	// Failed means that the work was executed at least in part and produced no
	// usable response.
	Failed
)

var names = [...]string{
	NotRun:  "not run",
	Unknown: "unknown",
	Failed:  "failed",
}

// String returns the name that responses to callers contain.
func (c Class) String() string {
	if c < NotRun || c > Failed {
		return fmt.Sprintf("class(%d)", int(c))
	}
	return names[c]
}
