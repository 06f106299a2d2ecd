package client

// This file defines Report, the load that an endpoint reports of itself.

import (
	"context"
	"time"
)

// Report is what an endpoint says of its own load, which may be some time old.
type Report struct {
	Queue   int           // calls that wait
	Running int           // calls that run
	Slots   int           // calls that can run at once
	Age     time.Duration // how old the figures were when they were sent
}

type wireLoad struct {
	Queue   int   `json:"queue"`
	Running int   `json:"running"`
	Slots   int   `json:"slots"`
	Age     int64 `json:"age"` // milliseconds
}

func (w wireLoad) report() Report {
	return Report{
		Queue:   w.Queue,
		Running: w.Running,
		Slots:   w.Slots,
		Age:     time.Duration(w.Age) * time.Millisecond,
	}
}

// Load asks an engine, pool or service for its load report.
func (c *Client) Load(ctx context.Context, address string) (Report, error) {
	var w wireLoad
	if err := c.getJSON(ctx, "http://"+address+"/v1/load", &w); err != nil {
		return Report{}, err
	}
	return w.report(), nil
}
