// Package caller makes requests as a client of the system does, and compares
// each answer with the one that the stand-ins must have given.
package caller

// This file defines Caller and its plain calls.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/result/class"
)

// Verdict says what became of a request.
type Verdict string

// Verdicts.
const (
	Answered Verdict = "answered" // whole, its own, and within the deadline
	Overdue  Verdict = "overdue"  // whole and its own, but after the deadline
	Failed   Verdict = "failed"   // an error answer of the service's own, which has no numbered code
	Refused  Verdict = "refused"  // an error with a numbered code, as an answer or as a stream's last event
	Wrong    Verdict = "wrong"    // content that is not the request's own, or not whole though it ended well
	Cut      Verdict = "cut"      // the connection ended after the answer had begun
	Gone     Verdict = "gone"     // no answer began: no connection, or it ended before the status
)

// Outcome is what a caller saw of one request.
type Outcome struct {
	Kind     string
	Request  string // its identity, where an answer began
	Verdict  Verdict
	Code     int
	Class    class.Class // of the code
	Detail   string
	Start    time.Time
	First    time.Duration // until the first token; zero where nothing was streamed
	Took     time.Duration
	Deadline time.Duration
	Body     string // of a non-idempotent call
	Output   string
	Partial  bool // a wrong answer is the start of the right one
}

// Caller is one client account's client.
type Caller struct {
	Key     string
	Timeout time.Duration // after which the caller gives up

	http *http.Client
}

// New returns a caller and a function that closes its connections.
// With reuse it keeps connections between requests.
func New(key string, timeout time.Duration, reuse bool) (*Caller, func()) {
	t := &http.Transport{DisableKeepAlives: !reuse, MaxIdleConnsPerHost: 64}
	return &Caller{Key: key, Timeout: timeout, http: &http.Client{Transport: t}}, t.CloseIdleConnections
}

// Kinds of calls to plain services.
const (
	kindRead    = "read"
	kindBooking = "booking"
)

// headers of the callers' interface.
const (
	headerRequest  = "Jacinthstile-Request"
	headerDeadline = "Jacinthstile-Deadline"
	headerTicket   = "Jacinthstile-Ticket"
)

// begin sends a request. Where no answer can be read it returns nil and the outcome.
func (c *Caller) begin(ctx context.Context, o *Outcome, method, url, ticket string, body []byte) *http.Response {
	o.Start = time.Now()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		panic(fmt.Sprintf("caller: building request: %v", err))
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	if o.Deadline > 0 {
		req.Header.Set(headerDeadline, strconv.FormatInt(o.Deadline.Milliseconds(), 10))
	}
	if ticket != "" {
		req.Header.Set(headerTicket, ticket)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		o.end(Gone, err.Error())
		return nil
	}
	o.Request = resp.Header.Get(headerRequest)
	if o.Request == "" {
		resp.Body.Close()
		o.end(Gone, "what answered is no daemon, or forgot the request's identity")
		return nil
	}
	if resp.StatusCode >= http.StatusBadRequest {
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		if err != nil {
			o.end(Cut, err.Error())
			return nil
		}
		o.refuse(resp.StatusCode, data)
		return nil
	}
	return resp
}

func (o *Outcome) end(v Verdict, detail string) {
	o.Took = time.Since(o.Start)
	o.Verdict, o.Detail = v, detail
	if v == Answered && o.Deadline > 0 && o.Took > o.Deadline {
		o.Verdict = Overdue
	}
}

type wireFailure struct {
	Error *struct {
		Code    int    `json:"code"`
		Class   string `json:"class"`
		Message string `json:"message"`
	} `json:"error"`
}

// refuse reads an error body, or an error event of a stream that began with status 200.
func (o *Outcome) refuse(status int, data []byte) {
	var f wireFailure
	if json.Unmarshal(data, &f) != nil || f.Error == nil || f.Error.Code == 0 {
		if status >= http.StatusInternalServerError && o.isPlain() {
			o.end(Failed, string(data))
			return
		}
		o.end(Wrong, "got an error status without a numbered code: "+string(data))
		return
	}
	o.Code = f.Error.Code
	o.Class = class.Class(f.Error.Code / 1000)
	o.end(Refused, f.Error.Message)
}

// isPlain reports whether the request is a call to a plain service, whose own
// error answers are passed on as they are.
func (o *Outcome) isPlain() bool { return o.Kind == kindRead || o.Kind == kindBooking }

// Read makes an idempotent call to a plain service.
func (c *Caller) Read(ctx context.Context, base, service, path string, deadline time.Duration) Outcome {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	o := Outcome{Kind: kindRead, Deadline: deadline}
	resp := c.begin(ctx, &o, http.MethodGet, base+"/v1/services/"+service+path, "", nil)
	if resp != nil {
		c.plain(resp, &o, "", true)
	}
	return o
}

// Ticket asks for a ticket. The text is empty where none was given.
func (c *Caller) Ticket(ctx context.Context, base string) (string, Outcome) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	o := Outcome{Kind: "ticket"}
	resp := c.begin(ctx, &o, http.MethodPost, base+"/v1/tickets", "", nil)
	if resp == nil {
		return "", o
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	var t struct{ Ticket string }
	switch {
	case err != nil:
		o.end(Cut, err.Error())
	case json.Unmarshal(data, &t) != nil || t.Ticket == "":
		o.end(Wrong, string(data))
	default:
		o.end(Answered, "")
	}
	return t.Ticket, o
}

// Book makes a non-idempotent call under a ticket. The body must differ between bookings.
func (c *Caller) Book(ctx context.Context, base, service, path, ticket, body string, deadline time.Duration) Outcome {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	o := Outcome{Kind: kindBooking, Body: body, Deadline: deadline}
	resp := c.begin(ctx, &o, http.MethodPost, base+"/v1/services/"+service+path, ticket, []byte(body))
	if resp != nil {
		c.plain(resp, &o, body, false)
	}
	return o
}

// plain reads the answer of a plain service. The answer to a repeated booking
// carries the identity of the first.
func (c *Caller) plain(resp *http.Response, o *Outcome, body string, own bool) {
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		o.end(Cut, err.Error())
		return
	}
	var got struct{ Request, Body string }
	o.Output = string(data)
	switch {
	case json.Unmarshal(data, &got) != nil:
		o.end(Wrong, "got "+string(data))
	case got.Body != body:
		o.end(Wrong, fmt.Sprintf("got body %q, want %q", got.Body, body))
	case own && got.Request != o.Request:
		o.end(Wrong, fmt.Sprintf("got the answer of %s, want %s", got.Request, o.Request))
	default:
		o.end(Answered, "")
	}
}
