// Package problem describes values that settings or tables may not hold.
package problem

// This file defines Problem and List.

import (
	"fmt"
	"strings"
)

// Problem is one value that was refused.
type Problem struct {
	Row    string `json:"row"`    // such as "endpoint llm-01", or the section of a settings file
	Column string `json:"column"` // the column or field
	Got    string `json:"got"`
	Want   string `json:"want"`
}

// String returns one line, such as "endpoint llm-01, weight: got -1, want 0 or more".
func (p Problem) String() string {
	return fmt.Sprintf("%s, %s: got %s, want %s", p.Row, p.Column, p.Got, p.Want)
}

// List collects problems, so that all are reported at once.
type List []Problem

// Add appends one problem. Got is formatted with %v.
func (l *List) Add(row, column string, got any, want string) {
	*l = append(*l, Problem{Row: row, Column: column, Got: fmt.Sprint(got), Want: want})
}

// Err returns nil for an empty list and the list as an error otherwise.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Error returns a line for each problem.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, p := range l {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}
