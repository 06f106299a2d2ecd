package client

// This file tells endpoints that an answer is of no more use.

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/call"
)

const (
	cancelTimeout = time.Second
	mostBehind    = 1024 // cancellations and ends of answers under way at once
)

// Cancel tells an endpoint in the background that the answer of a call is of no
// more use. Cancelling only saves work there: it is tried once, its reply does
// not matter, and it is left out when too many are under way. The closing of
// the call's own connection tells the endpoint the same.
func (c *Client) Cancel(address string, q call.Call) {
	c.begin(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		url := "http://" + address + "/v1/stages/" + q.Request + "/" + q.Stage + "/" + strconv.Itoa(q.Attempt)
		resp, err := c.send(ctx, request{method: http.MethodDelete, url: url})
		if err == nil {
			resp.Body.Close()
		}
	})
}

// begin runs f in the background and reports true, unless the client is closed
// or busy with as many as it may be. An attempt that lost its race may end
// after the close.
func (c *Client) begin(f func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.behind >= mostBehind {
		return false
	}
	c.behind++
	c.running.Go(func() {
		defer c.end()
		f()
	})
	return true
}

func (c *Client) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.behind--
}

// close refuses further work in the background and waits for what is under way.
func (c *Client) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.running.Wait()
	c.pooled.CloseIdleConnections()
}
