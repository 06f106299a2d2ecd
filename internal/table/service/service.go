// Package service provides the table's service rows. A plain service is called
// directly, without a pipeline.
package service

// This file defines Service and Operation.

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/jacinthstile/jacinthstile/internal/base/span"
	"github.com/jacinthstile/jacinthstile/internal/table/problem"
)

// Values of Operation.Ticket. They decide how a call of a non-idempotent operation
// without a ticket is treated.
const (
	TicketRequired = "required" // the call is refused
	TicketOptional = "optional" // the call is run at most once each time it arrives; a caller that repeats it may run it again
)

// Service is a plain service and its operations.
type Service struct {
	Name       string      `json:"name"`
	Deadline   span.Span   `json:"deadline"`
	Operations []Operation `json:"operations"`
}

// Operation is the set of calls of a service with the same method and path prefix.
type Operation struct {
	Method     string `json:"method"`
	Path       string `json:"path"` // path prefix; starts with "/"
	Idempotent bool   `json:"idempotent"`
	Ticket     string `json:"ticket,omitempty"` // TicketRequired (the default) or TicketOptional
}

// Find returns the operation with the given method and the longest path prefix that
// matches path, or false if there is none.
func (s Service) Find(method, path string) (Operation, bool) {
	var best Operation
	found := false
	for _, op := range s.Operations {
		if op.Method != method || !op.matches(path) {
			continue
		}
		if !found || len(op.Path) > len(best.Path) {
			best, found = op, true
		}
	}
	return best, found
}

// matches reports whether o.Path is a prefix of path that ends at a segment border.
func (o Operation) matches(path string) bool {
	rest, ok := strings.CutPrefix(path, o.Path)
	return ok && (rest == "" || strings.HasSuffix(o.Path, "/") || rest[0] == '/')
}

// Check adds the invalid values of s to list.
func (s Service) Check(list *problem.List) {
	row := "service " + s.Name
	if s.Name == "" {
		list.Add(row, "name", `""`, "a name")
	}
	if s.Deadline <= 0 {
		list.Add(row, "deadline", s.Deadline, "more than 0s")
	}
	if len(s.Operations) == 0 {
		list.Add(row, "operations", 0, "1 or more")
	}
	methods := []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}
	for i, op := range s.Operations {
		column := fmt.Sprintf("operations[%d]", i)
		if !slices.Contains(methods, op.Method) {
			list.Add(row, column+".method", op.Method, "one of "+strings.Join(methods, ", "))
		}
		if !strings.HasPrefix(op.Path, "/") {
			list.Add(row, column+".path", op.Path, `a path that starts with "/"`)
		}
		if !slices.Contains([]string{"", TicketRequired, TicketOptional}, op.Ticket) {
			list.Add(row, column+".ticket", op.Ticket, "required or optional")
		}
	}
}
