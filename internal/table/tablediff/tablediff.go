// Package tablediff compares two tables. It lists the rows and columns that differ and
// describes the effect of each difference for operators. It does no I/O.
package tablediff

// This file defines Change and Between.

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
)

// Change is a column of a row that differs, or a row that was added or removed.
type Change struct {
	Row    string `json:"row"`              // such as "endpoint llm-01"
	Column string `json:"column,omitempty"` // empty for a row that was added or removed
	Old    string `json:"old,omitempty"`
	New    string `json:"new,omitempty"`
	Effect string `json:"effect,omitempty"` // consequence of the change; empty if it is plain from the other fields
}

// String returns the change as one line, such as
// "endpoint llm-01, weight: 1 -> 0 (drains: ...)".
func (c Change) String() string {
	s := c.Row
	switch {
	case c.Column != "":
		s += fmt.Sprintf(", %s: %s -> %s", c.Column, c.Old, c.New)
	case c.New != "":
		s += " is new"
	default:
		s += " is removed"
	}
	if c.Effect != "" {
		s += " (" + c.Effect + ")"
	}
	return s
}

// Between returns the changes from one table to another, ordered by row and column.
func Between(before, after *fleettable.Table) ([]Change, error) {
	old, err := Cells(before)
	if err != nil {
		return nil, err
	}
	next, err := Cells(after)
	if err != nil {
		return nil, err
	}
	return BetweenCells(old, next), nil
}

// BetweenCells returns the changes between the values of two configurations, by row and column, in
// the order of rows and columns.
func BetweenCells(old, next map[string]map[string]string) []Change {
	var out []Change
	for row, columns := range old {
		if next[row] == nil {
			out = append(out, Change{Row: row, Old: "row", Effect: removed(row)})
			continue
		}
		out = append(out, columnsBetween(row, columns, next[row])...)
	}
	for row := range next {
		if old[row] == nil {
			out = append(out, Change{Row: row, New: "row"})
		}
	}
	slices.SortFunc(out, func(a, b Change) int {
		return cmp.Or(strings.Compare(a.Row, b.Row), strings.Compare(a.Column, b.Column))
	})
	return out
}

// columnsBetween returns the changes of the columns of one row.
func columnsBetween(row string, old, next map[string]string) []Change {
	var out []Change
	for column, was := range old {
		if is := next[column]; is != was {
			out = append(out, changeOf(row, column, was, is))
		}
	}
	for column, is := range next {
		if _, both := old[column]; !both {
			out = append(out, changeOf(row, column, "", is))
		}
	}
	return out
}

func changeOf(row, column, was, is string) Change {
	c := Change{Row: row, Column: column, Old: cmp.Or(was, "none"), New: cmp.Or(is, "none")}
	c.Effect = effect(row, column, was, is)
	return c
}

// Cells returns the values of a table as JSON text, by row and column.
func Cells(table *fleettable.Table) (map[string]map[string]string, error) {
	out := make(map[string]map[string]string)
	if err := addRow(out, "policy", table.Policy); err != nil {
		return nil, err
	}
	for _, add := range []func() error{
		func() error { return addRows(out, "centre", table.Centres) },
		func() error { return addRows(out, "endpoint", table.Endpoints) },
		func() error { return addRows(out, "account", table.Accounts) },
		func() error { return addRows(out, "pipeline", table.Pipelines) },
		func() error { return addRows(out, "model", table.Models) },
		func() error { return addRows(out, "service", table.Services) },
	} {
		if err := add(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func addRows[R any](out map[string]map[string]string, kind string, rows []R) error {
	for _, r := range rows {
		if err := addRow(out, kind, r); err != nil {
			return err
		}
	}
	return nil
}

func addRow(out map[string]map[string]string, row string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("comparing %s: %w", row, err)
	}
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return fmt.Errorf("comparing %s: %w", row, err)
	}
	columns := make(map[string]string, len(raw))
	for column, v := range raw {
		columns[column] = string(v)
	}
	if name, ok := raw["name"]; ok {
		row += " " + strings.Trim(string(name), `"`)
	}
	out[row] = columns
	return nil
}
