// Package inspector checks a configuration before it is published: references to nothing, entries that
// can never match, and limits that contradict each other. It does no I/O.
package inspector

// This file defines Inspect and the rules for references and entries that never match.

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/config/finding"
	"github.com/jacinthstile/jacinthstile/internal/config/outline"
)

// inspector collects the findings of one configuration.
type inspector struct {
	*outline.Outline
	now      time.Time
	services map[string]outline.Service
	found    []finding.Finding
}

// Inspect returns what is wrong with a configuration at the given time, errors first and then by row.
func Inspect(o *outline.Outline, now time.Time) []finding.Finding {
	i := &inspector{Outline: o, now: now, services: make(map[string]outline.Service), found: []finding.Finding{}}
	for _, s := range o.Services {
		i.services[s.Name] = s
	}
	i.checkReferences()
	i.checkCapacity()
	i.checkHidden()
	i.checkUnmatched()
	i.checkKeys()
	i.checkUnused()
	i.checkTimes()
	i.checkSpace()
	i.checkBounds()
	i.checkLeaving()
	slices.SortStableFunc(i.found, func(a, b finding.Finding) int {
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Row, b.Row), cmp.Compare(a.Column, b.Column))
	})
	return i.found
}

func (i *inspector) add(s finding.Severity, row, column, format string, args ...any) {
	i.found = append(i.found, finding.Finding{Severity: s, Row: row, Column: column, Text: fmt.Sprintf(format, args...)})
}

// use is a service that a route needs, and the column that names it.
type use struct{ row, column, service, model string }

// uses returns all services that routes need.
func (i *inspector) uses() []use {
	var list []use
	for _, r := range i.Routes {
		for _, t := range r.Targets {
			list = append(list, use{r.Row, cmp.Or(r.Column, "service"), t.Service, ""})
		}
		for _, s := range r.Steps {
			list = append(list, use{r.Row, s.Column, s.Service, s.Model})
		}
	}
	return list
}

// checkReferences reports services that no row describes.
func (i *inspector) checkReferences() {
	for _, u := range i.uses() {
		if _, ok := i.services[u.service]; !ok {
			i.add(finding.Error, u.row, u.column, "there is no service %q: its requests are rejected", u.service)
		}
	}
}

// checkCapacity reports services and models for which no endpoint takes new work.
func (i *inspector) checkCapacity() {
	if i.Endpoints == nil {
		return
	}
	for _, u := range i.uses() {
		i.checkServed(u.row, u.column, u.service, u.model)
	}
}

func (i *inspector) checkServed(row, column, service, model string) {
	if _, ok := i.services[service]; !ok {
		return // reported as a reference
	}
	if slices.ContainsFunc(i.Endpoints, func(e outline.Endpoint) bool {
		return e.Service == service && e.Weight > 0 && (model == "" || slices.Contains(e.Models, model))
	}) {
		return
	}
	what := "of " + service
	if model != "" {
		what += " with model " + model
	}
	i.add(finding.Error, row, column, "no endpoint %s takes new work: its requests are rejected", what)
}

// checkHidden reports routes for the same requests.
func (i *inspector) checkHidden() {
	type match struct{ host, method, prefix string }
	seen := make(map[match]outline.Route)
	for _, r := range i.Routes {
		m := match{r.Host, r.Method, r.Prefix}
		if first, ok := seen[m]; ok {
			i.add(finding.Error, r.Row, r.Column, "matches the same requests as %s: only one of them gets any", nameOf(first))
			continue
		}
		seen[m] = r
	}
}

func nameOf(r outline.Route) string {
	if r.Column == "" {
		return r.Row
	}
	return r.Row + ", " + r.Column
}

// checkUnmatched reports hosts and prefixes that no request has, and targets that are never chosen.
func (i *inspector) checkUnmatched() {
	for _, r := range i.Routes {
		if strings.ContainsAny(r.Prefix, "?# \t") || strings.Contains(r.Prefix, "//") {
			i.add(finding.Warning, r.Row, cmp.Or(r.Column, "prefix"), "no path of a request begins with %q", r.Prefix)
		}
		if strings.ContainsAny(r.Host, "/ \t") {
			i.add(finding.Warning, r.Row, cmp.Or(r.Column, "host"), "no request has the host %q", r.Host)
		}
		for _, t := range r.Targets {
			if t.Weight <= 0 {
				i.add(finding.Warning, r.Row, cmp.Or(r.Column, "service"), "service %q has no weight and is never chosen", t.Service)
			}
		}
	}
}

// checkKeys reports accounts without a key, and keys of two accounts.
func (i *inspector) checkKeys() {
	holders := make(map[string]string)
	for _, a := range i.Accounts {
		if len(a.Keys) == 0 {
			i.add(finding.Warning, a.Row, "", "has no key: no request belongs to it")
		}
		for _, k := range a.Keys {
			if first, ok := holders[k]; ok && first != a.Row {
				i.add(finding.Error, a.Row, "", "shares a key with %s", first)
			}
			holders[k] = a.Row
		}
	}
}

// checkUnused reports services that no request needs. A prefix is not hidden by a longer one, since the
// longest match is taken.
func (i *inspector) checkUnused() {
	used := make(map[string]bool)
	for _, u := range i.uses() {
		used[u.service] = true
	}
	for _, s := range i.Services {
		if !used[s.Name] {
			i.add(finding.Warning, s.Row, "", "is used by no route")
		}
	}
}
