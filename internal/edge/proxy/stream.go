package proxy

// This file relays a stream of events, and resumes it on another endpoint after
// a failure.

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthstile/jacinthstile/internal/edge/connpool"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/edge/request"
	"github.com/jacinthstile/jacinthstile/internal/edge/sequence"
	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/flow/dispatcher"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
	"github.com/jacinthstile/jacinthstile/internal/routing/endpointstats"
)

const maxEventBytes = 256 << 10 // limit of a single event

// relayStream relays a stream, writing each event once it has arrived
// completely. If the stream breaks, the route may allow resuming it on another
// endpoint. saidCrashed says whether the endpoint was said to have crashed when the
// request was sent.
func (x *exchange) relayStream(ctx context.Context, lease *dispatcher.Lease, e *registry.Endpoint, resp *connpool.Response, saidCrashed bool) (bool, error) {
	start := time.Now()
	first, err := x.relayEvents(resp, start, func() { x.recordOrigin(e, saidCrashed) })
	x.reviewOrigin()
	if err == nil {
		x.recordCompleted()
		lease.Done(endpointstats.Result{FirstToken: first, Tokens: x.sequence.Events(), Blocks: x.blocks})
		return false, nil
	}
	err = x.pool.CheckCrash(ctx, e.Name(), e.Address, err)
	x.recordLoss(ctx, e, err, first > 0)
	kind := failure.KindOf(err)
	if ctx.Err() != nil {
		kind = failure.Late
	}
	lease.Done(endpointstats.Result{Kind: kind})
	x.tried = append(x.tried, lease.Endpoint.Name)
	retry, endErr := x.handleSendError(ctx, fmt.Errorf("stream of %s after %d events: %w", lease.Endpoint.Name, x.sequence.Events(), err))
	if !retry || !x.answer.Begun() {
		return retry, endErr
	}
	if !x.sequence.Resumable() {
		return false, fault.Wrap(code.AnswerLost, err, "the events of the stream have no ids")
	}
	x.sequence.Resume()
	// The inputs were released at the first event, so a resumed stream needs new ones.
	if err := x.prepare(); err != nil {
		return false, err
	}
	return true, nil
}

// relayEvents relays events until the stream ends, and returns the time from
// start to the first event; zero if there was none. It calls begin before it writes that one.
func (x *exchange) relayEvents(resp *connpool.Response, start time.Time, begin func()) (time.Duration, error) {
	var first time.Duration
	buf := make([]byte, 0, 1024)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if end := bytes.LastIndex(buf, []byte("\n\n")); end >= 0 {
			if first == 0 {
				first = max(1, time.Since(start))
				x.prepared.Started() // the endpoint reads the inputs before it sends the first event
				x.recordBegun()
				begin()
				x.log.Info("first event", "request", x.request.ID, "after", time.Since(x.request.Received).String(),
					"spare", time.Until(x.request.Goal).String())
			}
			if err := x.writeEvents(resp, buf[:end+2]); err != nil {
				return first, err
			}
			buf = buf[:copy(buf, buf[end+2:])]
		}
		switch {
		case err == io.EOF && len(buf) > 0:
			return first, fmt.Errorf("got %d bytes of an event without its end", len(buf))
		case err == io.EOF:
			return first, x.endStream(resp)
		case err != nil:
			return first, err
		case len(buf) > maxEventBytes:
			return first, fmt.Errorf("got an event of more than %d bytes", maxEventBytes)
		}
	}
}

// beginStream writes the status and headers to the caller, unless another endpoint has begun the
// stream. No other answer can be given then.
func (x *exchange) beginStream(resp *connpool.Response) error {
	if err := x.answer.Stream(resp.Status, resp.Header); err != nil {
		return err
	}
	x.awaitAll()
	return nil
}

// endStream ends the stream after the last bytes of a response, if these are known to be the last.
func (x *exchange) endStream(resp *connpool.Response) error {
	if err := x.sequence.End(resp.IsFramed()); err != nil {
		return err
	}
	return x.beginStream(resp)
}

// writeEvents writes complete events to the caller, except those that the caller
// has received already.
func (x *exchange) writeEvents(resp *connpool.Response, events []byte) error {
	if err := x.beginStream(resp); err != nil {
		return err
	}
	for len(events) > 0 {
		end := bytes.Index(events, []byte("\n\n")) + 2
		event := events[:end]
		events = events[end:]
		verdict, err := x.sequence.Next(event)
		if err != nil {
			return err
		}
		if verdict == sequence.Skip {
			continue
		}
		if err := x.answer.Event(event); err != nil {
			return fmt.Errorf("writing to the caller: %w", err)
		}
	}
	x.answer.Flush()
	return nil
}

// promptBlocks returns the block hashes under which the prompt is looked up in
// the index of prefix caches. A block stands for tokensPerBlock tokens of a part
// and for all parts before it. Of a very long prompt the first maxBlocks blocks are
// looked up.
func promptBlocks(prompt []request.PromptPart) []uint64 {
	var blocks []uint64
	h := xxhash.New()
	for _, part := range prompt {
		if _, err := h.WriteString(part.ID); err != nil {
			panic("proxy: hashing in memory: " + err.Error())
		}
		base := h.Sum64()
		for i := 0; i < part.Tokens; i += tokensPerBlock {
			if len(blocks) == maxBlocks {
				return blocks
			}
			blocks = append(blocks, base+uint64(i))
		}
	}
	return blocks
}
