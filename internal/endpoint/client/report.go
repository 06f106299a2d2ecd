package client

// This file fetches load reports and cache events of endpoints, and handles of KV
// caches.

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

// maxReport is the most that is read of a report in bytes, so that the events of
// a busy cache can't use up the poller's byte budget. Events beyond it are read
// by the next request.
const maxReport = 8 << 10

// LoadReport is the load that an endpoint reports about itself. It may be out of date
// by Age.
type LoadReport struct {
	Queue   int           // number of waiting calls
	Running int           // number of running calls
	Slots   int           // number of calls that can run at once
	Age     time.Duration // age of the values when the endpoint sent them
	Size    int           // bytes of the report
}

type wireLoad struct {
	Queue   int   `json:"queue"`
	Running int   `json:"running"`
	Slots   int   `json:"slots"`
	Age     int64 `json:"age"` // milliseconds
}

// CacheEvent reports that an engine's prefix cache has stored a block, or has dropped
// it.
type CacheEvent struct {
	Block uint64 // hash of the block
	Drop  bool   // true if the block was dropped
}

type wireBlock struct {
	Number uint64 `json:"seq"`
	Block  string `json:"block"` // 16 hex digits
	Drop   bool   `json:"drop"`
}

// FetchLoad fetches the load report of an engine, pool or service.
func (c *Client) FetchLoad(ctx context.Context, address string) (LoadReport, error) {
	data, err := c.get(ctx, "http://"+address+"/v1/load")
	if err != nil {
		return LoadReport{}, err
	}
	var w wireLoad
	if err := json.Unmarshal(data, &w); err != nil {
		return LoadReport{}, failure.New(failure.Lost, err, "reading the load report of %s", address)
	}
	return LoadReport{
		Queue: w.Queue, Running: w.Running, Slots: w.Slots,
		Age: time.Duration(w.Age) * time.Millisecond, Size: len(data),
	}, nil
}

// FetchEvents fetches the cache events of an engine that follow the event number
// after. It returns the number to pass in the next call, and the bytes read.
func (c *Client) FetchEvents(ctx context.Context, address string, after uint64) (events []CacheEvent, next uint64, size int, err error) {
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

// parseEvents decodes {"next":N,"events":[…]}. If the list is truncated, it
// returns the complete events before the end and the number of the last of them.
func parseEvents(data []byte, after uint64) ([]CacheEvent, uint64, error) {
	var full struct {
		Next   uint64      `json:"next"`
		Events []wireBlock `json:"events"`
	}
	err := json.Unmarshal(data, &full)
	if err == nil {
		return eventsOf(full.Events), full.Next, nil
	}
	_, list, ok := bytes.Cut(data, []byte("["))
	if !ok {
		return nil, after, err
	}
	d := json.NewDecoder(bytes.NewReader(append([]byte("["), list...)))
	d.Token()
	var partial []wireBlock
	for d.More() {
		var w wireBlock
		if d.Decode(&w) != nil {
			break
		}
		partial = append(partial, w)
	}
	if len(partial) == 0 {
		return nil, after, err
	}
	return eventsOf(partial), partial[len(partial)-1].Number, nil
}

// eventsOf converts events and skips malformed ones, since events are only hints
// for the choice of an engine.
func eventsOf(list []wireBlock) []CacheEvent {
	events := make([]CacheEvent, 0, len(list))
	for _, w := range list {
		if block, err := strconv.ParseUint(w.Block, 16, 64); err == nil {
			events = append(events, CacheEvent{Block: block, Drop: w.Drop})
		}
	}
	return events
}

// ExportKV asks an engine for a handle of the KV cache of a call that it runs. With
// the handle another engine can import that cache. Handles name no call, so the
// connection is new: one that was used may bring the handle of another call.
func (c *Client) ExportKV(ctx context.Context, address, id, stage string) (string, error) {
	body, err := json.Marshal(map[string]string{"request": id, "stage": stage})
	if err != nil {
		return "", failure.New(failure.Unsent, err, "encoding an export")
	}
	resp, err := c.send(ctx, request{
		method: http.MethodPost, url: "http://" + address + "/v1/kv/export",
		header: http.Header{"Content-Type": {"application/json"}}, body: body, once: true,
	})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", errorFromResponse(resp)
	}
	var w struct {
		Handle string `json:"handle"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReport)).Decode(&w); err != nil {
		return "", failure.New(failure.Lost, err, "reading an export")
	}
	return w.Handle, nil
}

// get returns the first maxReport bytes of a response body.
func (c *Client) get(ctx context.Context, url string) ([]byte, error) {
	resp, err := c.send(ctx, request{method: http.MethodGet, url: url})
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errorFromResponse(resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReport))
	if err != nil {
		return nil, failure.New(failure.Lost, err, "reading %s", url)
	}
	return data, nil
}
