package client

// This file reads what endpoints report of themselves.

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
)

// mostReport bounds a report, so that a busy cache can't use up the bytes that
// reports may cost. Events beyond it are read the next time.
const mostReport = 8 << 10 // bytes

// Report is what an endpoint says of its own load, which may be some time old.
type Report struct {
	Queue   int           // calls that wait
	Running int           // calls that run
	Slots   int           // calls that can run at once
	Age     time.Duration // how old the figures were when they were sent
	Size    int           // bytes of the report
}

type wireLoad struct {
	Queue   int   `json:"queue"`
	Running int   `json:"running"`
	Slots   int   `json:"slots"`
	Age     int64 `json:"age"` // milliseconds
}

// Event says that an engine's cache keeps a block, or has dropped it.
type Event struct {
	Block uint64
	Drop  bool
}

type wireBlock struct {
	Number uint64 `json:"seq"`
	Block  string `json:"block"` // 16 hex digits
	Drop   bool   `json:"drop"`
}

// Load asks an engine, pool or service for its load report.
func (c *Client) Load(ctx context.Context, address string) (Report, error) {
	data, err := c.get(ctx, "http://"+address+"/v1/load")
	if err != nil {
		return Report{}, err
	}
	var w wireLoad
	if err := json.Unmarshal(data, &w); err != nil {
		return Report{}, failure.New(failure.Lost, err, "reading the load report of %s", address)
	}
	return Report{
		Queue: w.Queue, Running: w.Running, Slots: w.Slots,
		Age: time.Duration(w.Age) * time.Millisecond, Size: len(data),
	}, nil
}

// Events asks an engine for the cache events after a number. It returns them
// with the number to ask after next, and the bytes that were read.
func (c *Client) Events(ctx context.Context, address string, after uint64) (events []Event, next uint64, size int, err error) {
	data, err := c.get(ctx, "http://"+address+"/v1/events?after="+strconv.FormatUint(after, 10))
	if err != nil {
		return nil, after, 0, err
	}
	events, next, err = parseEvents(data, after)
	if err != nil {
		err = failure.New(failure.Lost, err, "reading the events of %s", address)
	}
	return events, next, len(data), err
}

// parseEvents reads {"next":N,"events":[…]}. Where the list is cut it returns
// the events before the cut, and the number of the last of them.
func parseEvents(data []byte, after uint64) ([]Event, uint64, error) {
	var whole struct {
		Next   uint64      `json:"next"`
		Events []wireBlock `json:"events"`
	}
	err := json.Unmarshal(data, &whole)
	if err == nil {
		return eventsOf(whole.Events), whole.Next, nil
	}
	_, list, ok := bytes.Cut(data, []byte("["))
	if !ok {
		return nil, after, err
	}
	d := json.NewDecoder(bytes.NewReader(append([]byte("["), list...)))
	d.Token()
	var part []wireBlock
	for d.More() {
		var w wireBlock
		if d.Decode(&w) != nil {
			break
		}
		part = append(part, w)
	}
	if len(part) == 0 {
		return nil, after, err
	}
	return eventsOf(part), part[len(part)-1].Number, nil
}

// eventsOf leaves out blocks that are malformed, since events are only hints.
func eventsOf(list []wireBlock) []Event {
	events := make([]Event, 0, len(list))
	for _, w := range list {
		if block, err := strconv.ParseUint(w.Block, 16, 64); err == nil {
			events = append(events, Event{Block: block, Drop: w.Drop})
		}
	}
	return events
}

// Export asks an engine for a handle of the KV cache of a call that it runs,
// which another engine can import.
func (c *Client) Export(ctx context.Context, address, id, stage string) (string, error) {
	body, err := json.Marshal(map[string]string{"request": id, "stage": stage})
	if err != nil {
		return "", failure.New(failure.Unsent, err, "encoding an export")
	}
	resp, err := c.send(ctx, request{
		method: http.MethodPost, url: "http://" + address + "/v1/kv/export",
		header: http.Header{"Content-Type": {"application/json"}}, body: body,
	})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", refusal(resp)
	}
	var w struct {
		Handle string `json:"handle"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, mostReport)).Decode(&w); err != nil {
		return "", failure.New(failure.Lost, err, "reading an export")
	}
	return w.Handle, nil
}

// get returns the first mostReport bytes of an answer.
func (c *Client) get(ctx context.Context, url string) ([]byte, error) {
	resp, err := c.send(ctx, request{method: http.MethodGet, url: url})
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, refusal(resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, mostReport))
	if err != nil {
		return nil, failure.New(failure.Lost, err, "reading %s", url)
	}
	return data, nil
}
