// Package service provides the table's plain services.
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

// Ways in which a non-idempotent operation is admitted.
const (
	Required = "required" // a call without a ticket is refused
	Optional = "optional" // a call without a ticket is tried once for each arrival
)

// Service is a plain service with its operations.
type Service struct {
	Name       string      `json:"name"`
	Deadline   span.Span   `json:"deadline"`
	Operations []Operation `json:"operations"`
}

// Operation is one method and path prefix of a service.
type Operation struct {
	Method     string `json:"method"`
	Path       string `json:"path"` // a prefix that starts with "/"
	Idempotent bool   `json:"idempotent"`
	Ticket     string `json:"ticket,omitempty"` // Required (the default) or Optional
}

// Find returns the operation with the longest path prefix of path.
func (s Service) Find(method, path string) (Operation, bool) {
	var best Operation
	found := false
	for _, op := range s.Operations {
		if op.Method != method || !op.covers(path) {
			continue
		}
		if !found || len(op.Path) > len(best.Path) {
			best, found = op, true
		}
	}
	return best, found
}

func (o Operation) covers(path string) bool {
	rest, ok := strings.CutPrefix(path, o.Path)
	return ok && (rest == "" || strings.HasSuffix(o.Path, "/") || rest[0] == '/')
}

// Check reports the values that s may not hold.
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
		if !slices.Contains([]string{"", Required, Optional}, op.Ticket) {
			list.Add(row, column+".ticket", op.Ticket, "required or optional")
		}
	}
}
