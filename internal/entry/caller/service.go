package caller

// This file serves calls to plain services and issues tickets.

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
	Expiry int64  `json:"expiry"` // Unix time in milliseconds
}

func (s *Server) ticket(w http.ResponseWriter, _ *http.Request, ar accountRequest) error {
	text, expiry, err := s.tickets.Issue(ar.account.Name, ar.table.Policy.Ticket.Duration())
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusCreated, wireTicket{Ticket: text, Expiry: expiry.UnixMilli()})
	return nil
}

func (s *Server) service(w http.ResponseWriter, r *http.Request, ar accountRequest) error {
	name := chi.URLParam(r, "service")
	rest := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"+name)
	svc := ar.table.Service(name)
	if svc == nil {
		return fault.New(code.UnknownService, "got %q", name)
	}
	op, err := findOperation(svc, r.Method, rest)
	if err != nil {
		return err
	}
	req, err := s.serviceRequest(w, r, ar, svc, rest)
	if err != nil {
		return err
	}
	req.Idempotent = op.Idempotent
	ticket := r.Header.Get(HeaderTicket)
	if !op.Idempotent && ticket == "" && op.Ticket != service.TicketOptional {
		return fault.New(code.TicketRequired, "%s %s", r.Method, rest)
	}
	reply, err := s.runService(r.Context(), req, ar, ticket)
	if err != nil {
		return err
	}
	if reply.ContentType != "" {
		w.Header().Set("Content-Type", reply.ContentType)
	}
	if reply.Status >= http.StatusInternalServerError {
		setCode(w.Header(), code.StageFailed)
	}
	limitWriteTime(w)
	w.WriteHeader(reply.Status)
	w.Write(reply.Body)
	return nil
}

// findOperation returns the operation of a method and an escaped path. It refuses paths
// with empty or dot segments: the operation, and with it the need for a ticket,
// is found by the path, and an endpoint that normalizes such a path would run
// another operation.
func findOperation(svc *service.Service, method, escaped string) (service.Operation, error) {
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

// serviceRequest builds the request to the service from the caller's request. It leaves
// Idempotent unset.
func (s *Server) serviceRequest(w http.ResponseWriter, r *http.Request, ar accountRequest, svc *service.Service, rest string) (servicecall.Request, error) {
	body, err := s.readBody(w, r)
	if err != nil {
		return servicecall.Request{}, err
	}
	deadline, err := s.deadline(ar, r, svc.Deadline.Duration())
	if err != nil {
		return servicecall.Request{}, err
	}
	if r.URL.RawQuery != "" {
		rest += "?" + r.URL.RawQuery
	}
	return servicecall.Request{
		Account: ar.account.Name,
		Service: svc.Name,
		Call: client.ServiceCall{
			RequestID: ar.id, Method: r.Method, Path: rest,
			ContentType: r.Header.Get("Content-Type"), Body: body, Deadline: deadline,
		},
	}, nil
}

// runService sends a request to its service. With a ticket, the instance that issued
// the ticket sends it and counts it against the account's limits, so that a
// repetition of the request with the same ticket is not counted again.
func (s *Server) runService(ctx context.Context, req servicecall.Request, ar accountRequest, ticket string) (client.Reply, error) {
	if !req.Idempotent && ticket != "" {
		return s.tickets.Run(ctx, ticket, req)
	}
	release, err := s.limits.Acquire(ctx, ar.account, req.Call.Deadline)
	if err != nil {
		return client.Reply{}, err
	}
	defer release()
	return s.sender.Send(ctx, req)
}
