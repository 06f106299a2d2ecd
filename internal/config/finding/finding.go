// Package finding provides what a check of a configuration reports.
package finding

// This file defines Finding and Severity.

import "fmt"

// Severity says what a finding means for the callers.
type Severity string

const (
	// Error findings make requests fail, or leave it open how they are served.
	Error Severity = "error"
	// Warning findings have no effect that an operator can have intended.
	Warning Severity = "warning"
)

// Finding is something wrong with one row of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Row      string   `json:"row"`              // such as "route review"
	Column   string   `json:"column,omitempty"` // empty if the whole row is meant
	Text     string   `json:"text"`
}

// String returns the finding as one line, such as
// "error: route review, goal: 3s is longer than the timeout of 2s".
func (f Finding) String() string {
	where := f.Row
	if f.Column != "" {
		where += ", " + f.Column
	}
	return fmt.Sprintf("%s: %s: %s", f.Severity, where, f.Text)
}
