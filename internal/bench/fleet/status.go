package fleet

// This file reads the status of daemons through the operators' API.

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/bench/member"
)

// Status is the part of a daemon's status report that tests need.
type Status struct {
	Ready            bool   `json:"ready"`
	Epoch            uint64 `json:"epoch"`
	Version          uint64 `json:"version"`
	RequestsInFlight int64  `json:"flights"`
}

const statusTimeout = time.Second

// operatorClient is the client of the operators' API. A daemon that does not
// answer within its time-out counts as unreachable.
var operatorClient = &http.Client{Timeout: statusTimeout}

// StatusOf returns the status of a daemon. It reports false if the daemon does not
// answer.
func StatusOf(ctx context.Context, m member.Member) (Status, bool) {
	var s Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.OperatorAddress()+"/v1/status", nil)
	if err != nil {
		return s, false
	}
	resp, err := operatorClient.Do(req)
	if err != nil {
		return s, false
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s) == nil
}

// Ready reports whether a daemon is ready, by the path that load balancers check.
func Ready(ctx context.Context, m member.Member) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.OperatorAddress()+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := operatorClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until all given daemons are ready, startWait at most.
func (f *Fleet) WaitReady(ctx context.Context, members ...member.Member) error {
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	for _, m := range members {
		for !Ready(ctx, m) {
			if err := sleepPoll(ctx); err != nil {
				return fmt.Errorf("waiting for %s to be ready: %w", m.Name(), err)
			}
		}
	}
	return nil
}

// WaitInForce waits until the published table is in force on all given daemons.
func (f *Fleet) WaitInForce(ctx context.Context, members ...member.Member) error {
	for _, m := range members {
		for {
			s, ok := StatusOf(ctx, m)
			if ok && s.Epoch == f.Table.Epoch && s.Version == f.Table.Version {
				break
			}
			if err := sleepPoll(ctx); err != nil {
				return fmt.Errorf("waiting for table %d.%d at %s, got %d.%d: %w",
					f.Table.Epoch, f.Table.Version, m.Name(), s.Epoch, s.Version, err)
			}
		}
	}
	return nil
}

func sleepPoll(ctx context.Context) error {
	select {
	case <-time.After(pollEvery):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
