// Package class names the three kinds of refusal that a caller can receive.
package class

// This file defines Class.

import "fmt"

// Class says what a caller may conclude about the work behind a refusal.
type Class int

const (
	// NotRun means that nothing reached an endpoint.
	NotRun Class = iota + 1
	// Unknown means that the work may have run.
	Unknown
	// Failed means that the work ran, wholly or in part, and gave no answer.
	Failed
)

var names = [...]string{
	NotRun:  "not run",
	Unknown: "unknown",
	Failed:  "failed",
}

// String returns the name that answers carry.
func (c Class) String() string {
	if c < NotRun || c > Failed {
		return fmt.Sprintf("class(%d)", int(c))
	}
	return names[c]
}
