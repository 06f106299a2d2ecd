package fleet

// This file asks daemons how they are, through the operators' interface.

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/bench/member"
)

// Status is what a daemon says of itself.
type Status struct {
	Ready   bool   `json:"ready"`
	Epoch   uint64 `json:"epoch"`
	Version uint64 `json:"version"`
	Flights int64  `json:"flights"`
}

const statusTimeout = time.Second

// operators is the client of the operators' interface; a daemon that does not
// answer in time counts as gone.
var operators = &http.Client{Timeout: statusTimeout}

// StatusOf asks one daemon. It reports false where it does not answer.
func StatusOf(ctx context.Context, m member.Member) (Status, bool) {
	var s Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Operator()+"/v1/status", nil)
	if err != nil {
		return s, false
	}
	resp, err := operators.Do(req)
	if err != nil {
		return s, false
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s) == nil
}

// Ready asks the path that a balancer asks.
func Ready(ctx context.Context, m member.Member) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Operator()+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := operators.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady returns when all given daemons are ready.
func (f *Fleet) WaitReady(ctx context.Context, members ...member.Member) error {
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	for _, m := range members {
		for !Ready(ctx, m) {
			if err := wait(ctx); err != nil {
				return fmt.Errorf("waiting for %s to be ready: %w", m.Name(), err)
			}
		}
	}
	return nil
}

// WaitInForce returns when all given daemons have the published table in force.
func (f *Fleet) WaitInForce(ctx context.Context, members ...member.Member) error {
	for _, m := range members {
		for {
			s, ok := StatusOf(ctx, m)
			if ok && s.Epoch == f.Table.Epoch && s.Version == f.Table.Version {
				break
			}
			if err := wait(ctx); err != nil {
				return fmt.Errorf("waiting for table %d.%d at %s, got %d.%d: %w",
					f.Table.Epoch, f.Table.Version, m.Name(), s.Epoch, s.Version, err)
			}
		}
	}
	return nil
}

func wait(ctx context.Context) error {
	select {
	case <-time.After(pollEvery):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
