package fleettable

// This file assembles a table from the fragments in which it was published.

import (
	"slices"

	"github.com/jacinthstile/jacinthstile/internal/table/fragment"
	"github.com/jacinthstile/jacinthstile/internal/table/problem"
	"github.com/jacinthstile/jacinthstile/internal/table/revision"
)

// Join assembles and freezes a table from its fragments, whose rows it appends in
// order. It checks only what concerns several rows, since the rows themselves were
// checked when the fragments were parsed. If no account has changed since prev,
// the accounts and their indexes, the largest share of a table, are shared with
// it; prev may be nil. If the table is invalid, Join returns a problem.List.
func Join(at revision.Revision, parts []*fragment.Fragment, prev *Table) (*Table, error) {
	t := &Table{Epoch: at.Epoch, Version: at.Version, Tie: at.Tie, parts: parts}
	var list problem.List
	for _, f := range parts {
		list = append(list, f.Problems...)
		if f.Policy != nil {
			t.Policy = f.Policy
		}
		t.Centres = append(t.Centres, f.Centres...)
		t.Pipelines = append(t.Pipelines, f.Pipelines...)
		t.Models = append(t.Models, f.Models...)
		t.Services = append(t.Services, f.Services...)
	}
	t.joinEndpoints()
	t.checkTable(&list)
	t.joinAccounts(&list, prev)
	t.index(&list)
	t.checkReferences(&list)
	if err := list.Err(); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *Table) joinEndpoints() {
	n := 0
	for _, f := range t.parts {
		n += len(f.Endpoints)
	}
	t.Endpoints = slices.Grow(t.Endpoints, n)
	for _, f := range t.parts {
		t.Endpoints = append(t.Endpoints, f.Endpoints...)
	}
}

func (t *Table) joinAccounts(list *problem.List, prev *Table) {
	parts := t.accountParts()
	if prev != nil && prev.parts != nil && slices.Equal(parts, prev.accountParts()) {
		t.Accounts, t.accounts, t.digests = prev.Accounts, prev.accounts, prev.digests
		return
	}
	n := 0
	for _, f := range parts {
		n += len(f.Accounts)
	}
	t.Accounts = slices.Grow(t.Accounts, n)
	for _, f := range parts {
		t.Accounts = append(t.Accounts, f.Accounts...)
	}
	t.indexAccounts(list)
}

// accountParts returns the fragments that have accounts. Unchanged parts are the
// same pointers in the previous table, since the object store decodes each once.
func (t *Table) accountParts() []*fragment.Fragment {
	var out []*fragment.Fragment
	for _, f := range t.parts {
		if len(f.Accounts) > 0 {
			out = append(out, f)
		}
	}
	return out
}
