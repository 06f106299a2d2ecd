package client

// This file sends calls to plain services.

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
)

// Headers of a call to a plain service. The service echoes HeaderRequest.
const (
	HeaderRequest  = "Jacinthstile-Request"
	HeaderDeadline = "Jacinthstile-Deadline"
	HeaderKey      = "Idempotency-Key"
)

// Plain is one call to a plain service.
type Plain struct {
	Request  string
	Method   string
	Path     string // with the query
	Type     string // content type of the body
	Body     []byte
	Deadline time.Time
	Key      string // idempotency key, or empty
}

// Reply is a plain service's whole answer. Its status may be an error of the service's own.
type Reply struct {
	Status int
	Type   string
	Body   []byte
}

// Plain sends one call to a plain service. An answer below status 500 counts as the service's own answer.
func (c *Client) Plain(ctx context.Context, address string, p Plain) (Reply, error) {
	left, err := millis(ctx, p.Deadline)
	if err != nil {
		return Reply{}, err
	}
	header := http.Header{}
	header.Set(HeaderRequest, p.Request)
	header.Set(HeaderDeadline, left)
	if p.Type != "" {
		header.Set("Content-Type", p.Type)
	}
	if p.Key != "" {
		header.Set(HeaderKey, p.Key)
	}
	resp, err := c.send(ctx, p.Method, "http://"+address+p.Path, header, p.Body)
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()
	if got := resp.Header.Get(HeaderRequest); got != p.Request {
		return Reply{}, failure.New(failure.Foreign, nil, "got answer of %q, want %q", got, p.Request)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return Reply{}, refusal(resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, mostAnswer+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return Reply{}, failure.New(failure.Late, context.Cause(ctx), "reading the answer")
	case err != nil:
		return Reply{}, failure.New(failure.Lost, err, "the answer ended before it was whole")
	case len(body) > mostAnswer:
		return Reply{}, failure.New(failure.Lost, nil, "got more than %d bytes", mostAnswer)
	}
	return Reply{Status: resp.StatusCode, Type: resp.Header.Get("Content-Type"), Body: body}, nil
}
