package connpool

// This file writes large bodies of requests while the responses are read.

import (
	"errors"
	"fmt"
	"io"
	"time"
)

// uploadTimeout is how long the rest of a body may take to be written once the response has ended.
const uploadTimeout = time.Second

var errUploadUnfinished = errors.New("the answer ended before the request was sent")

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

// wait waits for the end of the write, at most for uploadTimeout. The error says why the body is not written
// completely.
func (u *upload) wait() error {
	if u == nil {
		return nil
	}
	timer := time.NewTimer(uploadTimeout)
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
