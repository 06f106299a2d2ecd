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
	mostCancels   = 256 // under way at once
)

// Cancel tells an endpoint in the background that the answer of a call is of no
// more use. Cancelling only saves work there: it is tried once, its reply does
// not matter, and it is left out when too many are under way. The closing of
// the call's own connection tells the endpoint the same.
func (c *Client) Cancel(address string, q call.Call) {
	select {
	case c.cancels <- struct{}{}:
	default:
		return
	}
	c.running.Go(func() {
		defer func() { <-c.cancels }()
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		url := "http://" + address + "/v1/stages/" + q.Request + "/" + q.Stage + "/" + strconv.Itoa(q.Attempt)
		resp, err := c.send(ctx, request{method: http.MethodDelete, url: url})
		if err == nil {
			resp.Body.Close()
		}
	})
}
