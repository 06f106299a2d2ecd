package registry

// This file defines Endpoint and State.

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Limits of a registration. Other programs write to the store too.
const (
	maxTextBytes = 256     // of each text
	maxSlots     = 1 << 20 // requests
	maxStartTime = 1 << 53 // Unix milliseconds
)

// State is the state of an endpoint as this instance knows it.
type State int

const (
	// Ready endpoints accept new work.
	Ready State = iota + 1
	// Draining endpoints finish their work and accept no new work.
	Draining
	// Lapsed endpoints lost their registration while the store was unreachable
	// or shortly after. They are probably alive, so they get work until they
	// fail to register again within ReregisterTimeout.
	Lapsed
)

var stateNames = [...]string{Ready: "ready", Draining: "draining", Lapsed: "lapsed"}

// String returns the name used in logs.
func (s State) String() string {
	if s < Ready || s > Lapsed {
		return fmt.Sprintf("state(%d)", int(s))
	}
	return stateNames[s]
}

// Endpoint is the registration of one endpoint. It is immutable once published.
type Endpoint struct {
	ID        string
	StartTime int64 // start of the process, Unix time in milliseconds; zero if not given
	Service   string
	Address   string // IP and port
	Centre    string
	Slots     int // requests that it runs at a time
	State     State
	Version   string // of the endpoint's software; empty if not given
	Drained   bool   // its data centre is drained; set by a Registry
	// WarmUp is how much longer the endpoint was cold when it wrote the registration.
	WarmUp   time.Duration
	Sequence uint64 // number of the registration among those of the process; zero if not given

	name string // Name, of an endpoint in a Registry
}

// Name returns a name that is unique to this process of the endpoint: it differs
// after a restart, while ID stays the same.
func (e *Endpoint) Name() string {
	if e.name != "" {
		return e.name
	}
	return e.ID + "@" + strconv.FormatInt(e.StartTime, 10)
}

// Check returns an error, of a bounded length, unless the registration is that of an endpoint that can
// be used.
func (e *Endpoint) Check() error {
	for _, t := range []struct {
		field, text string
		optional    bool
	}{{"id", e.ID, false}, {"service", e.Service, false}, {"centre", e.Centre, false}, {"version", e.Version, true}} {
		if t.text == "" && !t.optional || !isName(t.text) {
			return fmt.Errorf("got %s %.40q of %d bytes, want a text of at most %d without control characters", t.field, t.text, len(t.text), maxTextBytes)
		}
	}
	a, err := netip.ParseAddrPort(e.Address)
	if err != nil || a.Port() == 0 || a.Addr().Zone() != "" || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return fmt.Errorf("got address %.40q, want IP:port", e.Address)
	}
	if e.Slots <= 0 || e.Slots > maxSlots {
		return fmt.Errorf("got %d slots, want 1 to %d", e.Slots, maxSlots)
	}
	if e.StartTime < 0 || e.StartTime > maxStartTime {
		return fmt.Errorf("got start time %d, want Unix milliseconds", e.StartTime)
	}
	return nil
}

func isName(text string) bool {
	return len(text) <= maxTextBytes && utf8.ValidString(text) && !strings.ContainsFunc(text, unicode.IsControl)
}

// AcceptsWork reports whether the endpoint may get new work.
func (e *Endpoint) AcceptsWork() bool { return e.State != Draining && !e.Drained }
