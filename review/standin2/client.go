//go:build review2

package main

// This file is a stand-in for a client.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const key = "9dnn2ctnfzs989anu6ws"

var ids atomic.Int64

// newID returns the id of a client's attempt.
func newID(what string) string { return fmt.Sprintf("%s-%05d", what, ids.Add(1)) }

// outcome is what a client saw of one attempt.
type outcome struct {
	id     string
	status int // 0 if the channel ended without an answer
	signed bool
	bytes  int // of the answer's body
	whole  bool
	took   time.Duration
	again  string // Retry-After
	reason string // of the refusal, as the instance words it
	err    error
}

// send sends one attempt on a channel of its own and waits for the answer.
func send(address, method, host, path, id string, body int, deadline time.Duration) outcome {
	o := outcome{id: id}
	start := time.Now()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		o.err = err
		return o
	}
	defer conn.Close()
	conn.SetDeadline(start.Add(deadline + 2*time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		method, path, host, wireName("id"), id, wireName("deadline"), deadline.Milliseconds(), key, body)
	go io.WriteString(conn, head+strings.Repeat("b", body)) // an answer may come before the whole body was sent
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		o.err, o.took = err, time.Since(start)
		return o
	}
	data, err := io.ReadAll(resp.Body)
	o.status, o.signed, o.bytes, o.whole, o.err, o.took = resp.StatusCode, resp.Header.Get(wireName("signature")) != "", len(data), err == nil, err, time.Since(start)
	o.again = resp.Header.Get("Retry-After")
	if !o.signed {
		o.reason = strings.TrimSpace(string(data[:min(len(data), 120)]))
	}
	return o
}

func (o outcome) String() string {
	return fmt.Sprintf("%s: status %d, signed %t, %d bytes, whole %t, after %d ms, retry after %q, %s", o.id, o.status, o.signed, o.bytes, o.whole, o.took.Milliseconds(), o.again, o.reason)
}
