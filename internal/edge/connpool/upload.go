package connpool

// This file writes large bodies of requests while the responses are read, and finds out whether a request had
// reached the endpoint when its response ended.

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/base/teardown"
)

// ackTimeout is how long the endpoint may take to acknowledge the rest of a request once the response has ended.
const ackTimeout = time.Second

var (
	errUploadUnfinished = errors.New("the answer ended before the request was sent")
	errEndUnconfirmed   = errors.New("the end of the answer is not confirmed")
)

// upload is a body that is written in the background. A nil upload is one that was written before.
type upload struct {
	done chan struct{} // closed at the end of the write
	err  error         // of the write; not to be read before done is closed
}

// startUpload begins to write a body. The write ends with the connection.
func startUpload(w io.Writer, body []byte) *upload {
	u := &upload{done: make(chan struct{})}
	go func() {
		defer close(u.done)
		_, u.err = w.Write(body)
	}()
	return u
}

// wait waits for the end of the write until a deadline. The error says why the body is not written completely.
func (u *upload) wait(deadline time.Time) error {
	if u == nil {
		return nil
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-u.done:
	case <-timer.C:
		return errUploadUnfinished
	}
	if u.err != nil {
		return fmt.Errorf("%w: %w", errUploadUnfinished, u.err)
	}
	return nil
}

// isSent reports whether the body is written completely by now.
func (u *upload) isSent() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// confirmEnd waits until the endpoint has acknowledged all of a request whose response has ended with the connection. The
// error says why it has not, or how the connection failed.
func (resp *Response) confirmEnd() error {
	deadline := time.Now().Add(ackTimeout)
	if err := resp.upload.wait(deadline); err != nil {
		return err
	}
	if err := teardown.Confirm(resp.conn.Conn, deadline); err != nil {
		return fmt.Errorf("%w: %w", errEndUnconfirmed, err)
	}
	return nil
}
