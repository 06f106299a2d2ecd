// Package config reads and validates the settings file of a daemon.
package config

// This file defines Config and its validation.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/span"
	"github.com/jacinthstile/jacinthstile/internal/settings/file"
	"github.com/jacinthstile/jacinthstile/internal/table/problem"
)

// Config is the content of a settings file.
type Config struct {
	Name     string   `json:"name"`   // name of this instance in the platform's list of instances
	Centre   string   `json:"centre"` // data centre of this instance
	Seat     *int     `json:"seat"`   // index of this instance among those that share the account limits; null for none
	Caller   Listener `json:"caller"`
	Peer     Listener `json:"peer"`
	Operator Operator `json:"operator"`
	Platform string   `json:"platform"` // base URL of the configuration service
	Bounds   Bounds   `json:"bounds"`
	Log      string   `json:"log"` // "debug", "info" or "error"
}

// Listener is the address and the TLS files of a listener. Without Cert and Key it
// does not use TLS.
type Listener struct {
	Address string `json:"address"`        // IP:port
	Cert    string `json:"cert,omitempty"` // path of the certificate (PEM)
	Key     string `json:"key,omitempty"`  // path of the private key (PEM)
	CA      string `json:"ca,omitempty"`   // path of the CA certificates (PEM) that sign the peers' certificates
}

// Operator is the listener for operators.
type Operator struct {
	Listener
	Token string `json:"token,omitempty"` // path of the bearer token; required unless the address is loopback
}

// Bounds holds the limits of memory and connections that callers can use, and the
// times of the start and the stop.
type Bounds struct {
	MaxBodyBytes    int64     `json:"body"`     // maximum size of a request body in bytes
	MaxQueued       int       `json:"queue"`    // maximum number of requests that wait for an endpoint
	MaxTickets      int       `json:"tickets"`  // maximum number of tickets that are stored
	MaxReplyBytes   int64     `json:"outcomes"` // maximum size in bytes of all replies stored for repeated calls with a ticket
	MaxConns        int       `json:"conns"`    // maximum number of connections of callers
	MaxRequestBytes int64     `json:"memory"`   // maximum memory of requests that have not been answered
	QuietPeriod     span.Span `json:"quiet"`    // time after the start in which the instance does not use its seat; 0s only at the first start of a fleet
	DrainTime       span.Span `json:"drain"`    // time for the load balancer to notice that the instance is not ready
	GracePeriod     span.Span `json:"grace"`    // time from the stop signal to the kill of the process
	StartTimeout    span.Span `json:"start"`    // maximum wait for the platform and the peers at the start
}

// Default returns the default values. Name, Centre and Platform have none.
func Default() Config {
	return Config{
		Caller:   Listener{Address: "127.0.0.1:8080"},
		Peer:     Listener{Address: "127.0.0.1:8081"},
		Operator: Operator{Listener: Listener{Address: "127.0.0.1:8082"}},
		Log:      "info",
		Bounds: Bounds{
			MaxBodyBytes:    1 << 20,
			MaxQueued:       1000,
			MaxTickets:      30_000,
			MaxReplyBytes:   8 << 20,
			MaxConns:        10_000,
			MaxRequestBytes: 48 << 20,
			QuietPeriod:     span.Span(30 * time.Second),
			DrainTime:       span.Span(5 * time.Second),
			GracePeriod:     span.Span(time.Minute),
			StartTimeout:    span.Span(3 * time.Second),
		},
	}
}

// Load reads a settings file as Parse does.
func Load(path string) (Config, error) {
	data, err := file.Read(path)
	if err != nil {
		return Config{}, err
	}
	return Parse(data)
}

// Parse decodes settings, fills in the defaults and validates the result. Unknown
// fields are an error. The error is a problem.List if values are invalid.
func Parse(data []byte) (Config, error) {
	c := Default()
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return Config{}, fmt.Errorf("parsing settings: %w", err)
	}
	return c, c.Check()
}

// Check returns all invalid values as a problem.List, or nil.
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
	atLeastOne("body", b.MaxBodyBytes)
	atLeastOne("queue", int64(b.MaxQueued))
	atLeastOne("tickets", int64(b.MaxTickets))
	atLeastOne("outcomes", b.MaxReplyBytes)
	atLeastOne("conns", int64(b.MaxConns))
	atLeastOne("memory", b.MaxRequestBytes)
	if b.QuietPeriod < 0 {
		list.Add("bounds", "quiet", b.QuietPeriod, "0s or more")
	}
	if b.DrainTime < 0 {
		list.Add("bounds", "drain", b.DrainTime, "0s or more")
	}
	if b.GracePeriod < 2*b.DrainTime || b.GracePeriod <= 0 {
		list.Add("bounds", "grace", b.GracePeriod, "more than 0s, and twice drain or more")
	}
	if b.StartTimeout < 0 {
		list.Add("bounds", "start", b.StartTimeout, "0s or more")
	}
}
