package sheet

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
func Join(at revision.Revision, parts []*fragment.Fragment, prev *Sheet) (*Sheet, error) {
	s := &Sheet{Epoch: at.Epoch, Version: at.Version, Tie: at.Tie, parts: parts}
	var list problem.List
	for _, f := range parts {
		list = append(list, f.Problems...)
		if f.Policy != nil {
			s.Policy = f.Policy
		}
		s.Centres = append(s.Centres, f.Centres...)
		s.Pipelines = append(s.Pipelines, f.Pipelines...)
		s.Models = append(s.Models, f.Models...)
		s.Services = append(s.Services, f.Services...)
	}
	s.joinEndpoints()
	s.checkTable(&list)
	s.joinAccounts(&list, prev)
	s.index(&list)
	s.checkReferences(&list)
	if err := list.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Sheet) joinEndpoints() {
	n := 0
	for _, f := range s.parts {
		n += len(f.Endpoints)
	}
	s.Endpoints = slices.Grow(s.Endpoints, n)
	for _, f := range s.parts {
		s.Endpoints = append(s.Endpoints, f.Endpoints...)
	}
}

func (s *Sheet) joinAccounts(list *problem.List, prev *Sheet) {
	parts := s.accountParts()
	if prev != nil && prev.parts != nil && slices.Equal(parts, prev.accountParts()) {
		s.Accounts, s.accounts, s.digests = prev.Accounts, prev.accounts, prev.digests
		return
	}
	n := 0
	for _, f := range parts {
		n += len(f.Accounts)
	}
	s.Accounts = slices.Grow(s.Accounts, n)
	for _, f := range parts {
		s.Accounts = append(s.Accounts, f.Accounts...)
	}
	s.indexAccounts(list)
}

// accountParts returns the fragments that have accounts. Unchanged parts are the
// same pointers in the previous table, since the object store decodes each once.
func (s *Sheet) accountParts() []*fragment.Fragment {
	var out []*fragment.Fragment
	for _, f := range s.parts {
		if len(f.Accounts) > 0 {
			out = append(out, f)
		}
	}
	return out
}
