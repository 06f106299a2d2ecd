// Package caller serves the callers' interface: pipelines, chats, plain
// services and tickets over HTTP.
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
	"github.com/jacinthstile/jacinthstile/internal/ticket/issuer"
	"github.com/jacinthstile/jacinthstile/internal/watch/meter"
)

// Headers of the callers' interface.
const (
	HeaderRequest  = "Jacinthstile-Request"
	HeaderDeadline = "Jacinthstile-Deadline"
	HeaderTicket   = "Jacinthstile-Ticket"
	HeaderCode     = "Jacinthstile-Code"
	HeaderClass    = "Jacinthstile-Class"
)

// Server answers callers.
type Server struct {
	tables *holder.Holder
	runner *runner.Runner
	sender *servicecall.Sender
	limits *limiter.Limiter
	desk   *issuer.Issuer
	body   int64 // most bytes of a request body
	meter  *meter.Meter
	log    logr.Logger
	router chi.Router
}

// New returns a server.
func New(t *holder.Holder, r *runner.Runner, p *servicecall.Sender, k *limiter.Limiter, d *issuer.Issuer, body int64, m *meter.Meter, log logr.Logger) *Server {
	s := &Server{tables: t, runner: r, sender: p, limits: k, desk: d, body: body, meter: m, log: log}
	s.router = s.routes()
	return s
}

func (s *Server) routes() chi.Router {
	m := chi.NewRouter()
	m.NotFound(func(w http.ResponseWriter, r *http.Request) {
		refuse(w, newID(), fault.New(code.NoSuchPath, "%s", r.URL.Path))
	})
	m.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		refuse(w, newID(), fault.New(code.WrongMethod, "%s %s", r.Method, r.URL.Path))
	})
	m.Post("/v1/pipelines/{name}", s.admit("pipeline", s.pipeline))
	m.Post("/v1/chat/completions", s.admit("chat", s.chat))
	m.Get("/v1/models", s.admit("models", s.models))
	m.Post("/v1/tickets", s.admit("ticket", s.ticket))
	m.HandleFunc("/v1/services/{service}/*", s.admit("service", s.service))
	return m
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// visit is one request that is known to come from a client account.
type visit struct {
	id      string
	table   *fleettable.Table
	account *account.Account
	start   time.Time
}

// admit wraps a handler of one kind of path: it finds the account, answers its
// faults and counts the answer.
func (s *Server) admit(kind string, h func(http.ResponseWriter, *http.Request, visit) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v := visit{id: newID(), table: s.tables.Current(), start: time.Now()}
		w.Header().Set(HeaderRequest, v.id)
		http.NewResponseController(w).SetWriteDeadline(time.Time{})
		err := s.identify(r, &v)
		if err == nil {
			err = h(w, r, v)
		}
		counted := meter.Answered
		if err != nil {
			counted = s.fail(w, v.id, err)
		}
		s.meter.Request(kind, counted, time.Since(v.start))
	}
}

// fail logs a fault, tells the caller unless it has been told, and returns the code.
func (s *Server) fail(w http.ResponseWriter, id string, err error) code.Code {
	var sent *sentFault
	f := fault.From(err)
	if errors.As(err, &sent) {
		f = sent.Fault
	} else {
		refuse(w, id, f)
	}
	s.log.Info("refused", "request", id, "code", int(f.Code), "class", f.Code.Class().String(), "error", f.Error())
	return f.Code
}

// run takes a job through its stages and counts what they took.
func (s *Server) run(ctx context.Context, table *fleettable.Table, j pipelinejob.Job, sink runner.Sink) (pipelinejob.Response, error) {
	out, err := s.runner.Run(ctx, j, sink)
	for _, st := range out.Stages {
		price := 0.0
		if e := table.Endpoint(st.Endpoint); e != nil {
			price = e.Cost
		}
		s.meter.Stage(st.Name, st.Elapsed, st.BusyTime, price)
	}
	return out, err
}

func newID() string { return uuid.NewString() }

func (s *Server) identify(r *http.Request, v *visit) error {
	if v.table == nil && r.Header.Get(HeaderTicket) != "" {
		return fault.New(code.TicketUnreachable, "no table is in force here")
	}
	if v.table == nil {
		return fault.New(code.NotReady, "no table is in force")
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return fault.New(code.NoKey, "want header Authorization: Bearer KEY")
	}
	digest := account.DigestOf(key)
	row := v.table.AccountByDigest(digest)
	if row == nil || subtle.ConstantTimeCompare([]byte(row.Digest), []byte(digest)) != 1 {
		return fault.New(code.UnknownAccount, "the key is of no account")
	}
	v.account = row
	return nil
}

// deadline returns when the request must be answered: what the header leaves, at most the row's own.
func (v visit) deadline(r *http.Request, most time.Duration) (time.Time, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return v.start.Add(most), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return time.Time{}, fault.New(code.BadDeadline, "got %q, want milliseconds above 0", text)
	}
	if ms >= most.Milliseconds() {
		return v.start.Add(most), nil
	}
	return v.start.Add(time.Duration(ms) * time.Millisecond), nil
}
