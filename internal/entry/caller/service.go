package caller

// This file answers calls to plain services and issues tickets.

import (
	"context"
	"net/http"
	"net/url"
	"path"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/client"
	"github.com/jacinthstile/jacinthstile/internal/flow/servicecall"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/table/service"
)

type wireTicket struct {
	Ticket string `json:"ticket"`
	Expiry int64  `json:"expiry"` // milliseconds of the Unix epoch
}

func (s *Server) ticket(w http.ResponseWriter, _ *http.Request, v visit) error {
	text, expiry, err := s.desk.Issue(v.account.Name, v.table.Policy.Ticket.Duration())
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusCreated, wireTicket{Ticket: text, Expiry: expiry.UnixMilli()})
	return nil
}

func (s *Server) service(w http.ResponseWriter, r *http.Request, v visit) error {
	name := chi.URLParam(r, "service")
	rest := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"+name)
	svc := v.table.Service(name)
	if svc == nil {
		return fault.New(code.UnknownService, "got %q", name)
	}
	op, err := find(svc, r.Method, rest)
	if err != nil {
		return err
	}
	o, err := s.newRequest(w, r, v, svc, rest)
	if err != nil {
		return err
	}
	o.Idempotent = op.Idempotent
	ticket := r.Header.Get(HeaderTicket)
	if !op.Idempotent && ticket == "" && op.Ticket != service.TicketOptional {
		return fault.New(code.TicketRequired, "%s %s", r.Method, rest)
	}
	reply, err := s.runRequest(r.Context(), o, v, ticket)
	if err != nil {
		return err
	}
	if reply.ContentType != "" {
		w.Header().Set("Content-Type", reply.ContentType)
	}
	if reply.Status >= http.StatusInternalServerError {
		setCode(w.Header(), code.StageFailed)
	}
	limitWrite(w)
	w.WriteHeader(reply.Status)
	w.Write(reply.Body)
	return nil
}

// find returns the operation of a path. A path that an endpoint could read as
// another one is refused, since operations are told apart by it.
func find(svc *service.Service, method, escaped string) (service.Operation, error) {
	plain, err := url.PathUnescape(escaped)
	if err != nil || path.Clean(plain) != strings.TrimSuffix(plain, "/") && plain != "/" {
		return service.Operation{}, fault.New(code.NoSuchPath, "got %s, want a path without empty or dot segments", escaped)
	}
	if op, ok := svc.Find(method, escaped); ok {
		return op, nil
	}
	for _, op := range svc.Operations {
		if _, ok := svc.Find(op.Method, escaped); ok {
			return service.Operation{}, fault.New(code.WrongMethod, "got %s %s of service %s", method, escaped, svc.Name)
		}
	}
	return service.Operation{}, fault.New(code.UnknownService, "got %s %s of service %s", method, escaped, svc.Name)
}

func (s *Server) newRequest(w http.ResponseWriter, r *http.Request, v visit, svc *service.Service, rest string) (servicecall.Request, error) {
	body, err := s.read(w, r)
	if err != nil {
		return servicecall.Request{}, err
	}
	deadline, err := v.deadline(r, svc.Deadline.Duration())
	if err != nil {
		return servicecall.Request{}, err
	}
	if r.URL.RawQuery != "" {
		rest += "?" + r.URL.RawQuery
	}
	return servicecall.Request{
		Account: v.account.Name,
		Service: svc.Name,
		Call: client.ServiceCall{
			RequestID: v.id, Method: r.Method, Path: rest,
			ContentType: r.Header.Get("Content-Type"), Body: body, Deadline: deadline,
		},
	}, nil
}

// runRequest runs an order. Under a ticket, its issuer runs it and counts it
// against the account's limits, so that a repeat needs no permit of its own.
func (s *Server) runRequest(ctx context.Context, o servicecall.Request, v visit, ticket string) (client.Reply, error) {
	if !o.Idempotent && ticket != "" {
		return s.desk.Run(ctx, ticket, o)
	}
	give, err := s.limits.Acquire(ctx, v.account, o.Call.Deadline)
	if err != nil {
		return client.Reply{}, err
	}
	defer give()
	return s.sender.Send(ctx, o)
}
