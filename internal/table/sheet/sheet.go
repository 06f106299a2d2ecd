// Package sheet provides the whole table that describes a fleet: its rows, the
// checks of references between rows, and the indexes by which request handling
// finds rows. It does no I/O and no locking.
package sheet

// This file defines Sheet, its checks and its indexes.

import (
	"encoding/json"
	"fmt"

	"github.com/jacinthstile/jacinthstile/internal/table/account"
	"github.com/jacinthstile/jacinthstile/internal/table/centre"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/fragment"
	"github.com/jacinthstile/jacinthstile/internal/table/model"
	"github.com/jacinthstile/jacinthstile/internal/table/pipeline"
	"github.com/jacinthstile/jacinthstile/internal/table/policy"
	"github.com/jacinthstile/jacinthstile/internal/table/problem"
	"github.com/jacinthstile/jacinthstile/internal/table/revision"
	"github.com/jacinthstile/jacinthstile/internal/table/service"
)

// Sheet is one version of the table. After Freeze it is immutable and safe for
// concurrent use; its methods that look up rows work only then.
type Sheet struct {
	Epoch     uint64              `json:"epoch"`
	Version   uint64              `json:"version"`
	Policy    *policy.Policy      `json:"policy,omitempty"`
	Centres   []centre.Centre     `json:"centres,omitempty"`
	Endpoints []endpoint.Endpoint `json:"endpoints,omitempty"`
	Accounts  []account.Account   `json:"accounts,omitempty"`
	Pipelines []pipeline.Pipeline `json:"pipelines,omitempty"`
	Models    []model.Model       `json:"models,omitempty"`
	Services  []service.Service   `json:"services,omitempty"`

	Tie uint64 `json:"-"` // part of the revision; see revision.Revision

	parts     []*fragment.Fragment // set by Join; nil otherwise
	centres   map[string]*centre.Centre
	endpoints map[string]*endpoint.Endpoint
	roles     map[string][]*endpoint.Endpoint // by stage role or service name
	digests   map[string]*account.Account     // by the digest of the bearer key
	accounts  map[string]*account.Account
	pipelines map[string]*pipeline.Pipeline
	models    map[string]*model.Model
	services  map[string]*service.Service
}

// Parse decodes a table in JSON and freezes it.
func Parse(data []byte) (*Sheet, error) {
	s := new(Sheet)
	if err := json.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("parsing table: %w", err)
	}
	if err := s.Freeze(); err != nil {
		return nil, err
	}
	return s, nil
}

// Freeze checks the whole table and builds its indexes. If the table is invalid, it
// returns a problem.List that names each row and column at fault.
func (s *Sheet) Freeze() error {
	var list problem.List
	s.checkTable(&list)
	s.checkRows(&list)
	s.indexAccounts(&list)
	s.index(&list)
	s.checkReferences(&list)
	return list.Err()
}

func (s *Sheet) checkTable(list *problem.List) {
	if s.Policy == nil {
		list.Add("table", "policy", "nothing", "a policy")
	}
	if s.Version == 0 {
		list.Add("table", "version", 0, "1 or more")
	}
}

func (s *Sheet) checkRows(list *problem.List) {
	if s.Policy != nil {
		s.Policy.Check(list)
	}
	for _, r := range s.Centres {
		r.Check(list)
	}
	for _, r := range s.Endpoints {
		r.Check(list)
	}
	for _, r := range s.Accounts {
		r.Check(list)
	}
	for _, r := range s.Pipelines {
		r.Check(list)
	}
	for _, r := range s.Models {
		r.Check(list)
	}
	for _, r := range s.Services {
		r.Check(list)
	}
}

func (s *Sheet) indexAccounts(list *problem.List) {
	s.accounts = byName(list, "account", s.Accounts, func(r *account.Account) string { return r.Name })
	s.digests = byName(list, "account with digest", s.Accounts, func(r *account.Account) string { return r.Digest })
}

func (s *Sheet) index(list *problem.List) {
	s.centres = byName(list, "centre", s.Centres, func(r *centre.Centre) string { return r.Name })
	s.endpoints = byName(list, "endpoint", s.Endpoints, func(r *endpoint.Endpoint) string { return r.Name })
	s.pipelines = byName(list, "pipeline", s.Pipelines, func(r *pipeline.Pipeline) string { return r.Name })
	s.models = byName(list, "model", s.Models, func(r *model.Model) string { return r.Name })
	s.services = byName(list, "service", s.Services, func(r *service.Service) string { return r.Name })
	s.roles = make(map[string][]*endpoint.Endpoint)
	for i := range s.Endpoints {
		r := &s.Endpoints[i]
		s.roles[r.Role] = append(s.roles[r.Role], r)
	}
}

// byName returns an index of rows by the string that name returns, and reports
// duplicates under the kind of row in what.
func byName[R any](list *problem.List, what string, rows []R, name func(*R) string) map[string]*R {
	m := make(map[string]*R, len(rows))
	for i := range rows {
		n := name(&rows[i])
		if m[n] != nil {
			list.Add(what+" "+n, "name", n, "a name of its own")
		}
		m[n] = &rows[i]
	}
	return m
}

// checkReferences reports references to rows that do not exist.
func (s *Sheet) checkReferences(list *problem.List) {
	for _, e := range s.Endpoints {
		if s.centres[e.Centre] == nil {
			list.Add("endpoint "+e.Name, "centre", e.Centre, "the name of a centre row")
		}
		if e.Kind == endpoint.Service && s.services[e.Role] == nil {
			list.Add("endpoint "+e.Name, "role", e.Role, "the name of a service")
		}
		s.checkModels(list, e)
	}
	for _, m := range s.Models {
		if m.Pipeline != "" && s.pipelines[m.Pipeline] == nil {
			list.Add("model "+m.Name, "pipeline", m.Pipeline, "the name of a pipeline")
		}
	}
	for _, p := range s.Pipelines {
		for i, st := range p.Stages {
			if st.Model != "" && s.models[st.Model] == nil {
				list.Add("pipeline "+p.Name, fmt.Sprintf("stages[%d].model", i), st.Model, "the name of a model row")
			}
		}
	}
}

// checkModels reports models of an endpoint that do not exist, and models too large
// to be loaded within the time limit.
func (s *Sheet) checkModels(list *problem.List, e endpoint.Endpoint) {
	var size int64
	for _, name := range e.Models {
		m := s.models[name]
		if m == nil {
			list.Add("endpoint "+e.Name, "models", name, "the name of a model row")
			continue
		}
		size += m.Size
	}
	if s.Policy != nil && !s.Policy.CanLoad(size) {
		list.Add("endpoint "+e.Name, "models", fmt.Sprintf("%d bytes", size),
			fmt.Sprintf("what the weight store gives within %s", policy.LongestLoad))
	}
}

// Centre returns the data centre with that name, or nil.
func (s *Sheet) Centre(name string) *centre.Centre { return s.centres[name] }

// Endpoint returns the endpoint with that name, or nil.
func (s *Sheet) Endpoint(name string) *endpoint.Endpoint { return s.endpoints[name] }

// Role returns the endpoints of a stage role or a service. The caller must not
// change the slice.
func (s *Sheet) Role(role string) []*endpoint.Endpoint { return s.roles[role] }

// Account returns the account with that name, or nil.
func (s *Sheet) Account(name string) *account.Account { return s.accounts[name] }

// AccountOf returns the account whose bearer key has that digest, or nil.
func (s *Sheet) AccountOf(digest string) *account.Account { return s.digests[digest] }

// Pipeline returns the pipeline with that name, or nil.
func (s *Sheet) Pipeline(name string) *pipeline.Pipeline { return s.pipelines[name] }

// Model returns the model with that name, or nil.
func (s *Sheet) Model(name string) *model.Model { return s.models[name] }

// Service returns the service with that name, or nil.
func (s *Sheet) Service(name string) *service.Service { return s.services[name] }

// Weight returns the weight of an endpoint multiplied by that of its data centre.
// Zero means that the endpoint gets no new work. It is zero if the table has no
// such endpoint.
func (s *Sheet) Weight(name string) float64 {
	e := s.endpoints[name]
	if e == nil {
		return 0
	}
	c := s.centres[e.Centre]
	if c == nil {
		return 0
	}
	return e.Weight * c.Weight
}

// Revision returns the revision of the table.
func (s *Sheet) Revision() revision.Revision {
	return revision.Revision{Epoch: s.Epoch, Version: s.Version, Tie: s.Tie}
}

// After reports whether s is newer than o. Every table is newer than a nil o.
func (s *Sheet) After(o *Sheet) bool {
	return o == nil || s.Revision().After(o.Revision())
}
