// Package fragment provides the decoded content of one part of a published table.
// Its rows are decoded and checked once and then shared by all versions of the
// table that have the part. The package does no I/O.
package fragment

// This file defines Fragment.

import (
	"encoding/json"
	"fmt"

	"github.com/jacinthstile/jacinthstile/internal/table/account"
	"github.com/jacinthstile/jacinthstile/internal/table/centre"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/model"
	"github.com/jacinthstile/jacinthstile/internal/table/pipeline"
	"github.com/jacinthstile/jacinthstile/internal/table/policy"
	"github.com/jacinthstile/jacinthstile/internal/table/problem"
	"github.com/jacinthstile/jacinthstile/internal/table/service"
)

// Fragment holds some of the rows of a table. It is immutable after Parse.
type Fragment struct {
	Policy    *policy.Policy      `json:"policy,omitempty"`
	Centres   []centre.Centre     `json:"centres,omitempty"`
	Endpoints []endpoint.Endpoint `json:"endpoints,omitempty"`
	Accounts  []account.Account   `json:"accounts,omitempty"`
	Pipelines []pipeline.Pipeline `json:"pipelines,omitempty"`
	Models    []model.Model       `json:"models,omitempty"`
	Services  []service.Service   `json:"services,omitempty"`

	Problems problem.List `json:"-"` // invalid values, each row checked by itself
}

// Parse decodes the content of a part and checks its rows. Invalid values are not an
// error but are listed in Problems.
func Parse(data []byte) (*Fragment, error) {
	f := new(Fragment)
	if err := json.Unmarshal(data, f); err != nil {
		return nil, fmt.Errorf("parsing part: %w", err)
	}
	f.Problems = f.check()
	return f, nil
}

func (f *Fragment) check() problem.List {
	var list problem.List
	if f.Policy != nil {
		f.Policy.Check(&list)
	}
	checkAll(&list, f.Centres)
	checkAll(&list, f.Endpoints)
	checkAll(&list, f.Accounts)
	checkAll(&list, f.Pipelines)
	checkAll(&list, f.Models)
	checkAll(&list, f.Services)
	return list
}

func checkAll[R interface{ Check(*problem.List) }](list *problem.List, rows []R) {
	for _, r := range rows {
		r.Check(list)
	}
}
