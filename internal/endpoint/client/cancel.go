package client

// This file cancels calls at endpoints and limits the client's background work.

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/stagecall"
)

const (
	cancelTimeout = time.Second
	maxBackground = 1024 // number of background tasks at once: cancellations and connections being drained
)

// Cancel tells an endpoint in the background that the response to a call is no
// longer needed. Cancelling only saves work at the endpoint: it is tried once,
// its response is ignored, and it is skipped if too many background tasks run or
// the client is closed. The closing of the call's own connection tells the
// endpoint the same.
func (c *Client) Cancel(address string, call stagecall.Call) {
	c.goBackground(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		url := "http://" + address + "/v1/stages/" + call.RequestID + "/" + call.Stage + "/" + strconv.Itoa(call.Attempt)
		resp, err := c.send(ctx, request{method: http.MethodDelete, url: url})
		if err == nil {
			resp.Body.Close()
		}
	})
}

// goBackground runs f in the background and returns true, unless the client is closed or
// maxBackground tasks run. It may be called after close, since a hedged attempt
// that lost to another one can end later than the client.
func (c *Client) goBackground(f func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.background >= maxBackground {
		return false
	}
	c.background++
	c.running.Go(func() {
		defer c.doneBackground()
		f()
	})
	return true
}

func (c *Client) doneBackground() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.background--
}

// close refuses new background tasks, waits for the running ones and closes idle
// connections.
func (c *Client) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.running.Wait()
	c.pooled.CloseIdleConnections()
}
