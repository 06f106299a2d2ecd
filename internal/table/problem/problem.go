// Package problem provides reports of invalid values in settings and tables.
package problem

// This file defines Problem and List.

import (
	"fmt"
	"strings"
)

// Problem describes one invalid value.
type Problem struct {
	Row    string `json:"row"`    // such as "endpoint llm-01", or the section of a settings file
	Column string `json:"column"` // the column of the row, or the field of the section
	Got    string `json:"got"`    // the invalid value
	Want   string `json:"want"`   // the valid values
}

// String returns the problem as one line, such as
// "endpoint llm-01, weight: got -1, want 0 or more".
func (p Problem) String() string {
	return fmt.Sprintf("%s, %s: got %s, want %s", p.Row, p.Column, p.Got, p.Want)
}

// List collects problems, so that all of them are reported together.
type List []Problem

// Add appends one problem. The argument got is formatted with %v.
func (l *List) Add(row, column string, got any, want string) {
	*l = append(*l, Problem{Row: row, Column: column, Got: fmt.Sprint(got), Want: want})
}

// Err returns the list as an error, or nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Error returns all problems, one a line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, p := range l {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}
