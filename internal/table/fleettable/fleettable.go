// Package fleettable provides the whole table that describes a fleet: its rows, the
// checks of references between rows, and the indexes by which request handling
// finds rows. It does no I/O and no locking.
package fleettable

// This file defines Table, its checks and its indexes.

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

// Table is one version of the fleet's table. After Freeze it is immutable and safe for
// concurrent use; its methods that look up rows work only then.
type Table struct {
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
func Parse(data []byte) (*Table, error) {
	t := new(Table)
	if err := json.Unmarshal(data, t); err != nil {
		return nil, fmt.Errorf("parsing table: %w", err)
	}
	if err := t.Freeze(); err != nil {
		return nil, err
	}
	return t, nil
}

// Freeze checks the whole table and builds its indexes. If the table is invalid, it
// returns a problem.List that names each row and column at fault.
func (t *Table) Freeze() error {
	var list problem.List
	t.checkTable(&list)
	t.checkRows(&list)
	t.indexAccounts(&list)
	t.index(&list)
	t.checkReferences(&list)
	return list.Err()
}

func (t *Table) checkTable(list *problem.List) {
	if t.Policy == nil {
		list.Add("table", "policy", "nothing", "a policy")
	}
	if t.Version == 0 {
		list.Add("table", "version", 0, "1 or more")
	}
}

func (t *Table) checkRows(list *problem.List) {
	if t.Policy != nil {
		t.Policy.Check(list)
	}
	for _, r := range t.Centres {
		r.Check(list)
	}
	for _, r := range t.Endpoints {
		r.Check(list)
	}
	for _, r := range t.Accounts {
		r.Check(list)
	}
	for _, r := range t.Pipelines {
		r.Check(list)
	}
	for _, r := range t.Models {
		r.Check(list)
	}
	for _, r := range t.Services {
		r.Check(list)
	}
}

func (t *Table) indexAccounts(list *problem.List) {
	t.accounts = byName(list, "account", t.Accounts, func(r *account.Account) string { return r.Name })
	t.digests = byName(list, "account with digest", t.Accounts, func(r *account.Account) string { return r.Digest })
}

func (t *Table) index(list *problem.List) {
	t.centres = byName(list, "centre", t.Centres, func(r *centre.Centre) string { return r.Name })
	t.endpoints = byName(list, "endpoint", t.Endpoints, func(r *endpoint.Endpoint) string { return r.Name })
	t.pipelines = byName(list, "pipeline", t.Pipelines, func(r *pipeline.Pipeline) string { return r.Name })
	t.models = byName(list, "model", t.Models, func(r *model.Model) string { return r.Name })
	t.services = byName(list, "service", t.Services, func(r *service.Service) string { return r.Name })
	t.roles = make(map[string][]*endpoint.Endpoint)
	for i := range t.Endpoints {
		r := &t.Endpoints[i]
		t.roles[r.Role] = append(t.roles[r.Role], r)
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
func (t *Table) checkReferences(list *problem.List) {
	for _, e := range t.Endpoints {
		if t.centres[e.Centre] == nil {
			list.Add("endpoint "+e.Name, "centre", e.Centre, "the name of a centre row")
		}
		if e.Kind == endpoint.Service && t.services[e.Role] == nil {
			list.Add("endpoint "+e.Name, "role", e.Role, "the name of a service")
		}
		t.checkModels(list, e)
	}
	for _, m := range t.Models {
		if m.Pipeline != "" && t.pipelines[m.Pipeline] == nil {
			list.Add("model "+m.Name, "pipeline", m.Pipeline, "the name of a pipeline")
		}
	}
	for _, p := range t.Pipelines {
		for i, st := range p.Stages {
			if st.Model != "" && t.models[st.Model] == nil {
				list.Add("pipeline "+p.Name, fmt.Sprintf("stages[%d].model", i), st.Model, "the name of a model row")
			}
		}
	}
}

// checkModels reports models of an endpoint that do not exist, and models too large
// to be loaded within the time limit.
func (t *Table) checkModels(list *problem.List, e endpoint.Endpoint) {
	var size int64
	for _, name := range e.Models {
		m := t.models[name]
		if m == nil {
			list.Add("endpoint "+e.Name, "models", name, "the name of a model row")
			continue
		}
		size += m.Size
	}
	if t.Policy != nil && !t.Policy.CanLoad(size) {
		list.Add("endpoint "+e.Name, "models", fmt.Sprintf("%d bytes", size),
			fmt.Sprintf("what the weight store gives within %s", policy.MaxLoadTime))
	}
}

// Centre returns the data centre with that name, or nil.
func (t *Table) Centre(name string) *centre.Centre { return t.centres[name] }

// Endpoint returns the endpoint with that name, or nil.
func (t *Table) Endpoint(name string) *endpoint.Endpoint { return t.endpoints[name] }

// EndpointsByRole returns the endpoints of a stage role or a service. The caller must not
// change the slice.
func (t *Table) EndpointsByRole(role string) []*endpoint.Endpoint { return t.roles[role] }

// Account returns the account with that name, or nil.
func (t *Table) Account(name string) *account.Account { return t.accounts[name] }

// AccountByDigest returns the account whose bearer key has that digest, or nil.
func (t *Table) AccountByDigest(digest string) *account.Account { return t.digests[digest] }

// Pipeline returns the pipeline with that name, or nil.
func (t *Table) Pipeline(name string) *pipeline.Pipeline { return t.pipelines[name] }

// Model returns the model with that name, or nil.
func (t *Table) Model(name string) *model.Model { return t.models[name] }

// Service returns the service with that name, or nil.
func (t *Table) Service(name string) *service.Service { return t.services[name] }

// Weight returns the weight of an endpoint multiplied by that of its data centre.
// Zero means that the endpoint gets no new work. It is zero if the table has no
// such endpoint.
func (t *Table) Weight(name string) float64 {
	e := t.endpoints[name]
	if e == nil {
		return 0
	}
	c := t.centres[e.Centre]
	if c == nil {
		return 0
	}
	return e.Weight * c.Weight
}

// Revision returns the revision of the table.
func (t *Table) Revision() revision.Revision {
	return revision.Revision{Epoch: t.Epoch, Version: t.Version, Tie: t.Tie}
}

// After reports whether t is newer than o. Every table is newer than a nil o.
func (t *Table) After(o *Table) bool {
	return o == nil || t.Revision().After(o.Revision())
}
