// Package config provides the settings of a daemon.
package config

// This file defines Config and its rules.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/span"
	"github.com/jacinthstile/jacinthstile/internal/table/problem"
)

// Config is what a daemon learns from its settings file.
type Config struct {
	Name     string   `json:"name"`   // of this instance, as the platform lists it
	Centre   string   `json:"centre"` // the data centre that it runs in
	Seat     *int     `json:"seat"`   // its seat among the holders of account limits; null for none
	Caller   Listener `json:"caller"`
	Peer     Listener `json:"peer"`
	Operator Operator `json:"operator"`
	Platform string   `json:"platform"` // base URL of the configuration service
	Bounds   Bounds   `json:"bounds"`
	Log      string   `json:"log"` // "debug", "info" or "error"
}

// Listener is the address and the TLS files of one listener.
type Listener struct {
	Address string `json:"address"`
	Cert    string `json:"cert,omitempty"` // file, PEM
	Key     string `json:"key,omitempty"`  // file, PEM
	CA      string `json:"ca,omitempty"`   // file, PEM; asked of peers
}

// Operator is the operators' listener.
type Operator struct {
	Listener
	Token string `json:"token,omitempty"` // file that holds the bearer token; required off loopback
}

// Bounds limits what callers can make the daemon hold.
type Bounds struct {
	Body     int64     `json:"body"`     // bytes of a request body
	Queue    int       `json:"queue"`    // requests that wait for an endpoint
	Tickets  int       `json:"tickets"`  // tickets held at once
	Outcomes int64     `json:"outcomes"` // bytes of replies held for repeats of tickets
	Conns    int       `json:"conns"`    // caller connections
	Quiet    span.Span `json:"quiet"`    // from the start until the seat is used; 0s only for the first start of a fleet
	Drain    span.Span `json:"drain"`    // time for the balancer to notice that the instance is unready
	Start    span.Span `json:"start"`    // longest wait for the platform and peers at the start
}

// Default returns settings with every optional value set.
func Default() Config {
	return Config{
		Caller:   Listener{Address: "127.0.0.1:8080"},
		Peer:     Listener{Address: "127.0.0.1:8081"},
		Operator: Operator{Listener: Listener{Address: "127.0.0.1:8082"}},
		Log:      "info",
		Bounds: Bounds{
			Body:     1 << 20,
			Queue:    1000,
			Tickets:  30_000,
			Outcomes: 8 << 20,
			Conns:    10_000,
			Quiet:    span.Span(30 * time.Second),
			Drain:    span.Span(5 * time.Second),
			Start:    span.Span(3 * time.Second),
		},
	}
}

// Load reads a settings file. Unknown fields are refused.
func Load(path string) (Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("reading settings: %w", err)
	}
	return Parse(data)
}

// Parse reads settings over the defaults and checks them.
// The error is a problem.List where values are at fault.
func Parse(data []byte) (Config, error) {
	c := Default()
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return Config{}, fmt.Errorf("parsing settings: %w", err)
	}
	return c, c.Check()
}

// Check returns every value at fault as a problem.List, or nil.
func (c Config) Check() error {
	var list problem.List
	if c.Name == "" {
		list.Add("settings", "name", `""`, "a name")
	}
	if c.Centre == "" {
		list.Add("settings", "centre", `""`, "the name of a data centre")
	}
	if c.Seat != nil && *c.Seat < 0 {
		list.Add("settings", "seat", *c.Seat, "0 or more")
	}
	if u, err := url.Parse(c.Platform); err != nil || u.Host == "" {
		list.Add("settings", "platform", c.Platform, "a URL such as http://10.0.0.5:9000")
	}
	if !slices.Contains([]string{"debug", "info", "error"}, c.Log) {
		list.Add("settings", "log", c.Log, "debug, info or error")
	}
	c.Caller.check(&list, "caller")
	c.Peer.check(&list, "peer")
	c.Operator.check(&list)
	c.Bounds.check(&list)
	return list.Err()
}

func (l Listener) check(list *problem.List, section string) {
	host, _, err := net.SplitHostPort(l.Address)
	if err != nil || net.ParseIP(host) == nil {
		list.Add(section, "address", l.Address, "IP:port")
	}
	if (l.Cert == "") != (l.Key == "") {
		list.Add(section, "cert", l.Cert, "cert and key together, or neither")
	}
	if l.CA != "" && l.Cert == "" {
		list.Add(section, "ca", l.CA, "cert and key beside it")
	}
}

func (o Operator) check(list *problem.List) {
	o.Listener.check(list, "operator")
	host, _, _ := net.SplitHostPort(o.Address)
	ip := net.ParseIP(host)
	if ip != nil && !ip.IsLoopback() && o.Token == "" {
		list.Add("operator", "token", `""`, "a file with a token, since the address is not loopback")
	}
}

func (b Bounds) check(list *problem.List) {
	atLeastOne := func(column string, v int64) {
		if v < 1 {
			list.Add("bounds", column, v, "1 or more")
		}
	}
	atLeastOne("body", b.Body)
	atLeastOne("queue", int64(b.Queue))
	atLeastOne("tickets", int64(b.Tickets))
	atLeastOne("outcomes", b.Outcomes)
	atLeastOne("conns", int64(b.Conns))
	if b.Quiet < 0 {
		list.Add("bounds", "quiet", b.Quiet, "0s or more")
	}
	if b.Drain < 0 {
		list.Add("bounds", "drain", b.Drain, "0s or more")
	}
	if b.Start < 0 {
		list.Add("bounds", "start", b.Start, "0s or more")
	}
}
