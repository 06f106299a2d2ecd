// Package engineclient provides an HTTP client for the orders API of model engines, by which
// an instance reads which models an engine holds and orders it to load others.
package engineclient

// This file defines Client.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/responsehead"
	"github.com/jacinthstile/jacinthstile/internal/placement/plan"
	"github.com/jacinthstile/jacinthstile/internal/table/revision"
)

const (
	timeout      = 2 * time.Second // limit of one call
	maxBodyBytes = 64 << 10
)

// Client reads the state of engines and sends them orders. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// New returns a client and a function that closes its idle connections. If transport
// is nil, the client uses a new one.
func New(transport http.RoundTripper) (*Client, func()) {
	if transport == nil {
		transport = &http.Transport{MaxIdleConns: 32, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}
	}
	c := &http.Client{Transport: responsehead.Transport{Base: transport}, Timeout: timeout}
	return &Client{http: c}, c.CloseIdleConnections
}

// StaleOrderError is the error for an order that an engine has refused because it follows an
// order with a newer fencing number. Not all engines check fencing numbers. At is the
// fencing number of the refused order.
type StaleOrderError struct{ At revision.Revision }

func (e *StaleOrderError) Error() string {
	return fmt.Sprintf("order of table %s refused: the engine follows a newer order", e.At)
}

type wireModel struct {
	Name    string `json:"name"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
}

type wireState struct {
	Epoch   uint64      `json:"epoch"`
	Version uint64      `json:"version"`
	Role    string      `json:"role"`
	Models  []wireModel `json:"models"`
	Loading bool        `json:"loading,omitempty"`
}

func (w wireState) state() plan.State {
	s := plan.State{
		At:      revision.Revision{Epoch: w.Epoch, Version: w.Version},
		Role:    w.Role,
		Loading: w.Loading,
	}
	for _, m := range w.Models {
		s.Models = append(s.Models, plan.Model(m))
	}
	return s
}

// State returns the role and the models of the engine at an address, and the fencing
// number of the last order that it followed.
func (c *Client) State(ctx context.Context, address string) (plan.State, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, urlOf(address), nil)
	if err != nil {
		return plan.State{}, fmt.Errorf("reading engine state: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return plan.State{}, fmt.Errorf("reading engine state: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return plan.State{}, fmt.Errorf("reading engine state: got status %d, want 200", resp.StatusCode)
	}
	var w wireState
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(&w); err != nil {
		return plan.State{}, fmt.Errorf("reading engine state: %w", err)
	}
	return w.state(), nil
}

// SendOrder sends an order to its engine. The error is a *StaleOrderError if the engine follows a
// newer order.
func (c *Client) SendOrder(ctx context.Context, o plan.Order) error {
	w := wireState{Epoch: o.At.Epoch, Version: o.At.Version, Role: o.Role, Models: []wireModel{}}
	for _, m := range o.Models {
		w.Models = append(w.Models, wireModel(m))
	}
	data, err := json.Marshal(w)
	if err != nil {
		return fmt.Errorf("sending placement order: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, urlOf(o.Address), bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("sending placement order: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("sending placement order: %w", err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return &StaleOrderError{At: o.At}
	default:
		return fmt.Errorf("sending placement order: got status %d, want 200", resp.StatusCode)
	}
}

func urlOf(address string) string { return "http://" + address + "/v1/orders" }
