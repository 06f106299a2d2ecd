// Package request provides a caller's request as the daemon serves it: read
// completely, checked, and matched to a route.
package request

// This file defines Request and PromptPart.

import (
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/origin"
)

// Request is a caller's request. Its fields must not be changed once it is
// being served.
type Request struct {
	ID       string // of this attempt by the caller
	Route    *catalog.Route
	Catalog  *catalog.Catalog // current when the request arrived
	Service  string           // the service of the route that was chosen to run the request
	Account  string           // name of the client account; empty if the route needs no key
	Centres  []string         // data centres in which it may be processed; nil for all
	Priority int              // of the account, or of the route if the account has none; zero is the most urgent
	Method   string
	Target   string // path and query as received
	Host     string
	Header   http.Header // headers that are passed on to the endpoint
	Body     []byte
	Received time.Time
	Goal     time.Time // soft deadline: responses after it miss the route's latency goal
	Deadline time.Time // the earlier of the caller's deadline and the route's timeout

	CallerHeader http.Header // all headers as received; another instance that serves the request gets them
	Relayed      bool        // another instance received the request, and has it served here
	Runs         int         // of the endpoints that may have run it there
	Recorded     bool        // whether the retry budget of that instance, or of one that it asked before, has it as a first attempt

	Origin origin.Origin // of the stream that the request takes up, as the instance that received it told; unknown if it told none

	Prompt      []PromptPart // parts of the prompt in order; empty if the request is not for an engine
	Pieces      []int        // number of pieces of each stage of the route; empty if it needs none
	PieceKey    string       // key from which the stages without predecessors produce their pieces
	LastEventID string       // id of the last event that the caller has received; empty if none
	Resumes     string       // id of the attempt that brought the first event of the stream which this one takes up; empty if none
}

// PromptPart is a part of a prompt. Requests whose prompts begin with the same
// parts share a prefix.
type PromptPart struct {
	ID     string // the same for equal parts of different requests
	Tokens int
}

// SchedulingPriority returns the position in the order in which requests are
// served; zero is the most urgent. Requests are ordered by Priority, and those of
// equal Priority by the priority of their routes, because the priority of an
// account does not distinguish between the requests of that account.
func (r *Request) SchedulingPriority() int {
	return clampPriority(r.Priority)*catalog.NumPriorities + clampPriority(r.Route.Priority)
}

// clampPriority limits a priority to the valid range.
func clampPriority(priority int) int { return min(catalog.NumPriorities-1, max(0, priority)) }

// Fingerprint returns a hash of what makes requests equal: the method, the host, the path with
// the query, the client account and the body. It is not zero.
func (r *Request) Fingerprint() uint64 {
	h := xxhash.New()
	for _, field := range []string{r.Method, r.Host, r.Target, r.Account} {
		if _, err := h.WriteString(field + "\x00"); err != nil {
			panic("request: hashing in memory: " + err.Error())
		}
	}
	if _, err := h.Write(r.Body); err != nil {
		panic("request: hashing in memory: " + err.Error())
	}
	return max(1, h.Sum64())
}

// MayGoTo reports whether the request may be processed in a data centre.
func (r *Request) MayGoTo(centre string) bool {
	return r.Centres == nil || slices.Contains(r.Centres, centre)
}

// TakesUp reports whether the caller holds events of the stream from an earlier attempt.
func (r *Request) TakesUp() bool {
	return r.Route.Kind == catalog.Stream && (r.LastEventID != "" || r.Resumes != "")
}

// NeedsStages reports whether any stage must produce pieces before the request
// can run.
func (r *Request) NeedsStages() bool {
	for _, n := range r.Pieces {
		if n > 0 {
			return true
		}
	}
	return false
}
