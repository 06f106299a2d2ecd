package proxy

// This file reads answers that are no streams.

import (
	"context"
	"fmt"
	"io"

	"github.com/jacinthstile/jacinthstile/internal/base/webserver"
	"github.com/jacinthstile/jacinthstile/internal/edge/connpool"
)

const (
	freeAnswerBytes = 4 << 10  // of each answer for which no memory is reserved
	answerStep      = 64 << 10 // for which memory is reserved at a time
)

// readAll reads a whole body of at most maxResponseBytes. What is longer than a few kilobytes is counted with what
// callers hold, until the answer has been sent.
func readAll(ctx context.Context, resp *connpool.Response) ([]byte, error) {
	body, err := io.ReadAll(&countedBody{Reader: io.LimitReader(resp.Body, maxResponseBytes+1), ctx: ctx, room: freeAnswerBytes})
	if err != nil {
		return nil, err
	}
	if len(body) > maxResponseBytes {
		return nil, fmt.Errorf("got an answer of more than %d bytes", maxResponseBytes)
	}
	return body, nil
}

// countedBody takes memory for a body before it is read.
type countedBody struct {
	io.Reader
	ctx  context.Context // of the caller's request
	room int             // bytes for which there is memory
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	if b.room == 0 {
		if err := webserver.ReserveAnswer(b.ctx, answerStep); err != nil {
			return 0, err
		}
		b.room = answerStep
	}
	n, err := b.Reader.Read(p[:min(len(p), b.room)])
	b.room -= n
	return n, err
}
