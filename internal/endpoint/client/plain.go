package client

// This file sends calls to plain services, which are not stages of a pipeline.

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
)

// Headers of a call to a plain service. The service returns HeaderRequest in its
// response.
const (
	HeaderRequest        = "Jacinthstile-Request"
	HeaderDeadline       = "Jacinthstile-Deadline"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// ServiceCall is one call to a plain service.
type ServiceCall struct {
	RequestID      string // ID of the request
	Method         string
	Path           string // with the query
	ContentType    string // content type of the body
	Body           []byte
	Deadline       time.Time    // the call is not sent after it
	IdempotencyKey string       // idempotency key, or empty
	NonIdempotent  bool         // CallService sends the call at most once
	BeforeSend     func() error // called just before the first byte is written; on an error the call is not sent; may be nil
}

// Reply is the complete response of a plain service. Its status may be an error
// status of the service.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
}

// CallService sends one call to a plain service. Any complete response is returned as
// the service's reply, whatever its status, except one with HeaderNotRun. The
// error is a *failure.Failure.
func (c *Client) CallService(ctx context.Context, address string, call ServiceCall) (Reply, error) {
	left := time.Until(call.Deadline)
	if left <= 0 {
		return Reply{}, failure.New(failure.Unsent, nil, "deadline passed %v ago", -left)
	}
	header := http.Header{}
	header.Set(HeaderRequest, call.RequestID)
	header.Set(HeaderDeadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if call.ContentType != "" {
		header.Set("Content-Type", call.ContentType)
	}
	if call.IdempotencyKey != "" {
		header.Set(HeaderIdempotencyKey, call.IdempotencyKey)
	}
	resp, err := c.send(ctx, request{
		method: call.Method, url: "http://" + address + call.Path, header: header, body: call.Body,
		once: call.NonIdempotent, check: checkBefore(call.Deadline, call.BeforeSend),
	})
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()
	return readReply(ctx, resp, call.RequestID)
}

func readReply(ctx context.Context, resp *http.Response, id string) (Reply, error) {
	if got := resp.Header.Get(HeaderRequest); got != id {
		return Reply{}, failure.New(failure.Foreign, nil, "got answer of %q, want %q", got, id)
	}
	if resp.Header.Get(HeaderNotRun) != "" {
		return Reply{}, errorFromResponse(resp)
	}
	if isOpenEnded(resp) {
		return Reply{}, failure.New(failure.Lost, nil, "got an answer of no stated length, want one whose end can be told")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return Reply{}, failure.New(failure.Late, context.Cause(ctx), "reading the answer")
	case err != nil:
		return Reply{}, failure.New(failure.Lost, err, "the answer ended before it was whole")
	case len(body) > maxResponse:
		return Reply{}, failure.New(failure.Lost, nil, "got more than %d bytes", maxResponse)
	}
	return Reply{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// isOpenEnded reports whether the body ends only with the connection, so that a
// truncated response can't be told from a complete one.
func isOpenEnded(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// checkBefore returns a check that calls check and then fails if the deadline has
// passed. The clock is read last, as close as possible to the write: the process
// may be paused during check.
func checkBefore(deadline time.Time, check func() error) func() error {
	return func() error {
		if check != nil {
			if err := check(); err != nil {
				return err
			}
		}
		if past := time.Since(deadline); past >= 0 {
			return failure.New(failure.Unsent, nil, "deadline passed %v ago", past)
		}
		return nil
	}
}
