package proxy

// This file relays a stream of events, and goes on at another endpoint after a break.

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthstile/jacinthstile/internal/edge/call"
	"github.com/jacinthstile/jacinthstile/internal/edge/upstream"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/flow/dispatcher"
	"github.com/jacinthstile/jacinthstile/internal/routing/board"
)

const mostEvent = 256 << 10 // bytes of one event

// stream is what the caller has received.
type stream struct {
	begun  bool   // the head of the answer is out
	last   string // id of the last event
	events int
}

// relay passes events on as they arrive, each one whole.
func (f *flight) relay(ctx context.Context, lease *dispatcher.Lease, a *upstream.Answer) (bool, error) {
	start := time.Now()
	first, err := f.events(a, start)
	if err == nil {
		lease.Done(board.Result{First: first, Tokens: f.stream.events, Blocks: f.blocks})
		return false, nil
	}
	kind := failure.Lost
	if ctx.Err() != nil {
		kind = failure.Late
	}
	lease.Done(board.Result{Kind: kind})
	f.tried = append(f.tried, lease.Endpoint.Name)
	again, end := f.failed(ctx, fmt.Errorf("stream of %s after %d events: %w", lease.Endpoint.Name, f.stream.events, err))
	if !again || !f.stream.begun {
		return again, end
	}
	// The inputs were freed when the stream began.
	if err := f.prepare(ctx); err != nil {
		return false, err
	}
	return true, nil
}

// events relays until the stream's end, and returns when the first event came.
func (f *flight) events(a *upstream.Answer, start time.Time) (time.Duration, error) {
	var first time.Duration
	buf := make([]byte, 0, 1024)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := a.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if end := bytes.LastIndex(buf, []byte("\n\n")); end >= 0 {
			if first == 0 {
				first = max(1, time.Since(start))
				f.ready.Started() // inputs are read before the first event is made
				f.log.Info("first event", "request", f.call.ID, "after", time.Since(f.call.Received).String(),
					"spare", time.Until(f.call.Goal).String())
			}
			if err := f.pass(a, buf[:end+2]); err != nil {
				return first, err
			}
			buf = buf[:copy(buf, buf[end+2:])]
		}
		switch {
		case err == io.EOF && len(buf) > 0:
			return first, fmt.Errorf("got %d bytes of an event without its end", len(buf))
		case err == io.EOF:
			return first, f.begin(a)
		case err != nil:
			return first, err
		case len(buf) > mostEvent:
			return first, fmt.Errorf("got an event of more than %d bytes", mostEvent)
		}
	}
}

// begin writes the head of the answer, once for all endpoints of the stream.
func (f *flight) begin(a *upstream.Answer) error {
	if f.stream.begun {
		return nil
	}
	h := f.out.Header()
	copyHeader(h, a.Header)
	f.wire.Onward(h)
	h.Del("Content-Length")
	f.out.WriteHeader(a.Status)
	f.stream.begun = true
	return nil
}

// pass writes whole events to the caller, but for those that it has already.
func (f *flight) pass(a *upstream.Answer, events []byte) error {
	if err := f.begin(a); err != nil {
		return err
	}
	for len(events) > 0 {
		end := bytes.Index(events, []byte("\n\n")) + 2
		event := events[:end]
		events = events[end:]
		id := idOf(event)
		if id != "" {
			if known, err := f.known(id); err != nil {
				return err
			} else if known {
				continue
			}
			f.stream.last = id
		}
		f.stream.events++
		if _, err := f.out.Write(event); err != nil {
			return fmt.Errorf("writing to the caller: %w", err)
		}
	}
	if flusher, ok := f.out.(http.Flusher); ok {
		flusher.Flush()
	}
	return nil
}

// known reports whether the caller has an event already. An event that leaves
// a gap is an error.
func (f *flight) known(id string) (bool, error) {
	if f.stream.last == "" {
		return false, nil
	}
	got, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return false, nil // ids that are not numbers cannot be compared
	}
	last, err := strconv.ParseInt(f.stream.last, 10, 64)
	if err != nil {
		return false, nil
	}
	return got <= last, nil
}

// idOf returns the id of an event, or an empty string.
func idOf(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// blocksOf returns a prompt as blocks for the index of caches: each stands for
// some tokens of a part and for all parts before it.
func blocksOf(prompt []call.Part) []uint64 {
	var blocks []uint64
	h := xxhash.New()
	for _, part := range prompt {
		if _, err := h.WriteString(part.ID); err != nil {
			panic("proxy: hashing in memory: " + err.Error())
		}
		base := h.Sum64()
		for i := 0; i < part.Tokens; i += blockTokens {
			blocks = append(blocks, base+uint64(i))
		}
	}
	return blocks
}
