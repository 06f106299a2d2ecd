package client

// This file sends calls to plain services.

import (
	"context"
	"io"
	"net/http"
	"strconv"
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
	Key      string       // idempotency key, or empty
	Once     bool         // not idempotent: may leave at most once
	Check    func() error // asked just before the first byte; an error keeps it from leaving; may be nil
}

// Reply is a plain service's whole answer. Its status may be an error of the service's own.
type Reply struct {
	Status int
	Type   string
	Body   []byte
}

// Plain sends one call to a plain service. Any whole answer counts as the
// service's own, but for one that says that nothing ran.
func (c *Client) Plain(ctx context.Context, address string, p Plain) (Reply, error) {
	left := time.Until(p.Deadline)
	if left <= 0 {
		return Reply{}, failure.New(failure.Unsent, nil, "deadline passed %v ago", -left)
	}
	header := http.Header{}
	header.Set(HeaderRequest, p.Request)
	header.Set(HeaderDeadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if p.Type != "" {
		header.Set("Content-Type", p.Type)
	}
	if p.Key != "" {
		header.Set(HeaderKey, p.Key)
	}
	resp, err := c.send(ctx, request{
		method: p.Method, url: "http://" + address + p.Path, header: header, body: p.Body,
		once: p.Once, check: before(p.Deadline, p.Check),
	})
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()
	return readReply(ctx, resp, p.Request)
}

func readReply(ctx context.Context, resp *http.Response, id string) (Reply, error) {
	if got := resp.Header.Get(HeaderRequest); got != id {
		return Reply{}, failure.New(failure.Foreign, nil, "got answer of %q, want %q", got, id)
	}
	if resp.Header.Get(HeaderNotRun) != "" {
		return Reply{}, refusal(resp)
	}
	if isOpenEnded(resp) {
		return Reply{}, failure.New(failure.Lost, nil, "got an answer of no stated length, want one whose end can be told")
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

// isOpenEnded reports whether only the closing of the connection ends the
// body, so that a cut answer looks like a whole one.
func isOpenEnded(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// before returns a check that also fails once the deadline has passed. The
// clock is read last, next to the write.
func before(deadline time.Time, check func() error) func() error {
	return func() error {
		if check != nil {
			if err := check(); err != nil {
				return err
			}
		}
		if late := time.Since(deadline); late >= 0 {
			return failure.New(failure.Unsent, nil, "deadline passed %v ago", late)
		}
		return nil
	}
}
