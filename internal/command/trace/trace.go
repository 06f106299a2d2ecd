// Package trace collects the log lines of one request from the logs of all
// instances and sorts them by time.
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

// maxLineBytes is the longest log line that can be read.
const maxLineBytes = 1 << 20

// Line is one log line of a request.
type Line struct {
	Time     time.Time      `json:"time"`
	Instance string         `json:"instance"`
	Message  string         `json:"message"`
	Fields   map[string]any `json:"fields"`
}

// Trace holds the log lines of one request, sorted by time.
type Trace struct {
	Request      string `json:"request"`
	Lines        []Line `json:"lines"`
	DroppedLines int    `json:"leftout"` // lines that the instances report as dropped by their rate limit, of any request
}

// Read collects the log lines of a request. The JSON object of a line may be
// preceded by other text, such as a prefix added by a log collector. Lines without
// a JSON object are ignored. Read fails on a line longer than 1 MiB.
func Read(r io.Reader, request string) (*Trace, error) {
	t := &Trace{Request: request}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	for scanner.Scan() {
		t.add(scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("reading the log: %w", err)
	}
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return t, nil
}

// Join returns a reader of several log files, one after the other. It separates them by
// a newline, since the last line of a file may have none.
func Join(files ...io.Reader) io.Reader {
	var parts []io.Reader
	for _, f := range files {
		parts = append(parts, f, strings.NewReader("\n"))
	}
	return io.MultiReader(parts...)
}

// add adds a line if it belongs to the request.
func (t *Trace) add(text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return
	}
	var fields map[string]any
	if json.Unmarshal(text[start:], &fields) != nil {
		return
	}
	if n, ok := fields["lines"].(float64); ok && fields["msg"] == "log lines left out" {
		t.DroppedLines += int(n)
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

// textOf returns v if it is a string, else "".
func textOf(v any) string {
	s, ok := v.(string)
	if !ok {
		return ""
	}
	return s
}

// Write prints the trace as text. Each line has the time since the first line, the
// instance, the log message and the other fields in alphabetical order.
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
	if t.DroppedLines > 0 {
		_, err := fmt.Fprintf(w, "%d lines were left out by the instances, some may be of this request\n", t.DroppedLines)
		return err
	}
	return nil
}
