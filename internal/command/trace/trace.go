// Package trace puts the log lines of one request in order, from the logs of
// all instances that took part in it.
package trace

// This file defines Trace and Line.

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

const mostLine = 1 << 20 // bytes of a log line

// Line is one log line of the request.
type Line struct {
	Time     time.Time      `json:"time"`
	Instance string         `json:"instance"`
	Message  string         `json:"message"`
	Fields   map[string]any `json:"fields"`
}

// Trace is the lines of one request in the order of their times.
type Trace struct {
	Request string `json:"request"`
	Lines   []Line `json:"lines"`
	LeftOut int    `json:"leftout"` // lines that some instance says it left out, of any request
}

// Read collects the lines of a request. A line may have anything before its
// JSON object, such as the mark of a collector; what is no JSON is passed over.
func Read(r io.Reader, request string) (*Trace, error) {
	t := &Trace{Request: request}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), mostLine)
	for scanner.Scan() {
		t.take(scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("reading the log: %w", err)
	}
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return t, nil
}

func (t *Trace) take(text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return
	}
	var fields map[string]any
	if json.Unmarshal(text[start:], &fields) != nil {
		return
	}
	if n, ok := fields["lines"].(float64); ok && fields["msg"] == "log lines left out" {
		t.LeftOut += int(n)
	}
	if fields["request"] != t.Request {
		return
	}
	l := Line{Instance: textOf(fields["instance"]), Message: textOf(fields["msg"]), Fields: fields}
	at, err := time.Parse(time.RFC3339Nano, textOf(fields["time"]))
	if err == nil {
		l.Time = at
	}
	for _, name := range []string{"time", "level", "msg", "instance", "request"} {
		delete(fields, name)
	}
	t.Lines = append(t.Lines, l)
}

func textOf(v any) string {
	s, ok := v.(string)
	if !ok {
		return ""
	}
	return s
}

// Write prints the trace for people: the time since the first line, the
// instance, what happened, and its inputs.
func (t *Trace) Write(w io.Writer) error {
	for _, l := range t.Lines {
		var b strings.Builder
		fmt.Fprintf(&b, "%8.1f ms  %-20s %-16s", float64(l.Time.Sub(t.Lines[0].Time).Microseconds())/1000, l.Instance, l.Message)
		for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
			fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
		}
		if _, err := fmt.Fprintln(w, b.String()); err != nil {
			return err
		}
	}
	if t.LeftOut > 0 {
		_, err := fmt.Fprintf(w, "%d lines were left out by the instances, some may be of this request\n", t.LeftOut)
		return err
	}
	return nil
}
