// Package caller implements the HTTP API for callers: pipelines, chat
// completions, calls to plain services, and tickets. It authenticates each
// request by the API key of a client account and applies the account's limits.
package caller

// This file defines Server and its routes.

import (
	"context"
	"crypto/subtle"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"github.com/jacinthstile/jacinthstile/internal/flow/pipelinejob"
	"github.com/jacinthstile/jacinthstile/internal/flow/runner"
	"github.com/jacinthstile/jacinthstile/internal/flow/servicecall"
	"github.com/jacinthstile/jacinthstile/internal/limit/limiter"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/table/account"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
	"github.com/jacinthstile/jacinthstile/internal/telemetry/meter"
	"github.com/jacinthstile/jacinthstile/internal/ticket/issuer"
)

// Headers of requests and responses.
const (
	// stoppingRetryAfter is the time after which a caller should reach another instance.
	stoppingRetryAfter = 500 * time.Millisecond
	HeaderRequest      = "Jacinthstile-Request"
	HeaderDeadline     = "Jacinthstile-Deadline"
	HeaderTicket       = "Jacinthstile-Ticket"
	HeaderCode         = "Jacinthstile-Code"
	HeaderClass        = "Jacinthstile-Class"
)

// Server is the handler of the callers' API.
type Server struct {
	tables  *holder.Holder
	runner  *runner.Runner
	sender  *servicecall.Sender // calls plain services
	limits  *limiter.Limiter
	tickets *issuer.Issuer
	maxBody int64 // maximum size of a request body in bytes
	end     func() time.Time
	meter   *meter.Meter
	log     logr.Logger
	router  chi.Router
}

// New returns a server. A request body may have at most maxBody bytes. The function end returns the time by
// which requests that arrive now must have been answered, since the instance stops; zero while it does not.
func New(t *holder.Holder, r *runner.Runner, sender *servicecall.Sender, limits *limiter.Limiter, tickets *issuer.Issuer, maxBody int64, end func() time.Time, m *meter.Meter, log logr.Logger) *Server {
	s := &Server{tables: t, runner: r, sender: sender, limits: limits, tickets: tickets, maxBody: maxBody, end: end, meter: m, log: log}
	s.router = s.routes()
	return s
}

func (s *Server) routes() chi.Router {
	m := chi.NewRouter()
	m.NotFound(func(w http.ResponseWriter, r *http.Request) {
		writeFault(w, newID(), fault.New(code.NoSuchPath, "%s", r.URL.Path))
	})
	m.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		writeFault(w, newID(), fault.New(code.WrongMethod, "%s %s", r.Method, r.URL.Path))
	})
	m.Post("/v1/pipelines/{name}", s.authenticated("pipeline", s.pipeline))
	m.Post("/v1/chat/completions", s.authenticated("chat", s.chat))
	m.Get("/v1/models", s.authenticated("models", s.models))
	m.Post("/v1/tickets", s.authenticated("ticket", s.ticket))
	m.HandleFunc("/v1/services/{service}/*", s.authenticated("service", s.service))
	return m
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// accountRequest is a request whose client account is known.
type accountRequest struct {
	id      string
	table   *fleettable.Table // the table in force when the request arrived
	account *account.Account
	start   time.Time
}

// authenticated wraps a handler of one kind of path: it authenticates the request, writes
// the error that the handler returns as the response, and records the result
// and the elapsed time in the metrics.
func (s *Server) authenticated(kind string, h func(http.ResponseWriter, *http.Request, accountRequest) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ar := accountRequest{id: newID(), table: s.tables.Current(), start: time.Now()}
		w.Header().Set(HeaderRequest, ar.id)
		http.NewResponseController(w).SetWriteDeadline(time.Time{})
		err := s.authenticate(r, &ar)
		if err == nil {
			err = h(w, r, ar)
		}
		result := meter.Answered
		if err != nil {
			result = s.reportFault(w, ar.id, err)
		}
		s.meter.RecordRequest(kind, result, time.Since(ar.start))
	}
}

// reportFault logs err, writes it as the response unless it has been reported within an
// event stream, and returns its result code.
func (s *Server) reportFault(w http.ResponseWriter, id string, err error) code.Code {
	var reported *reportedFault
	f := fault.From(err)
	if errors.As(err, &reported) {
		f = reported.Fault
	} else {
		writeFault(w, id, f)
	}
	s.log.Info("refused", "request", id, "code", int(f.Code), "class", f.Code.Class().String(), "error", f.Error())
	return f.Code
}

// runJob executes a job and records the elapsed time, busy time and cost of each of
// its stages in the metrics.
func (s *Server) runJob(ctx context.Context, table *fleettable.Table, j pipelinejob.Job, sink runner.Sink) (pipelinejob.Response, error) {
	out, err := s.runner.Run(ctx, j, sink)
	for _, st := range out.Stages {
		price := 0.0
		if e := table.Endpoint(st.Endpoint); e != nil {
			price = e.Cost
		}
		s.meter.RecordStage(st.Name, st.Elapsed, st.BusyTime, price)
	}
	return out, err
}

func newID() string { return uuid.NewString() }

// authenticate sets ar.account by the bearer key of the request. The error is a
// *fault.Fault.
func (s *Server) authenticate(r *http.Request, ar *accountRequest) error {
	if ar.table == nil && r.Header.Get(HeaderTicket) != "" {
		return fault.New(code.TicketUnreachable, "no table is in force here")
	}
	if ar.table == nil {
		return fault.New(code.NotReady, "no table is in force")
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return fault.New(code.NoKey, "want header Authorization: Bearer KEY")
	}
	digest := account.DigestOf(key)
	acct := ar.table.AccountByDigest(digest)
	if acct == nil || subtle.ConstantTimeCompare([]byte(acct.Digest), []byte(digest)) != 1 {
		return fault.New(code.UnknownAccount, "the key is of no account")
	}
	ar.account = acct
	return nil
}

// deadline returns the deadline of a request: requestDeadline, or an earlier one if the instance has stopped by
// then. A request with no time left is refused.
func (s *Server) deadline(ar accountRequest, r *http.Request, maxTime time.Duration) (time.Time, error) {
	deadline, err := ar.requestDeadline(r, maxTime)
	end := s.end()
	if err != nil || end.IsZero() || deadline.Before(end) {
		return deadline, err
	}
	if !time.Now().Before(end) {
		refusal := fault.New(code.NotReady, "the instance stops")
		refusal.RetryAfter = stoppingRetryAfter
		return time.Time{}, refusal
	}
	return end, nil
}

// requestDeadline returns the time in the header of the request, counted from its arrival, but at most
// maxTime, which is also used without the header.
func (ar accountRequest) requestDeadline(r *http.Request, maxTime time.Duration) (time.Time, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return ar.start.Add(maxTime), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return time.Time{}, fault.New(code.BadDeadline, "got %q, want milliseconds above 0", text)
	}
	if ms >= maxTime.Milliseconds() {
		return ar.start.Add(maxTime), nil
	}
	return ar.start.Add(time.Duration(ms) * time.Millisecond), nil
}
