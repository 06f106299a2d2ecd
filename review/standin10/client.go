//go:build review2

package main

// This file is a client of the booking route.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	target    = "/book/2f"
	host      = "desk.example"
	key       = "m68k7b2ex5wa5xwyhks8"
	timeLimit = 3 * time.Second
)

// send sends the booking on a new channel, and records its outcome.
func (k *booking) send(r *record) {
	k.outcome = "no answer"
	conn, err := net.DialTimeout("tcp", k.daemon.callers, time.Second)
	if err != nil {
		r.line("client", k.id, err.Error())
		return
	}
	defer conn.Close()
	k.sent = time.Now()
	conn.SetDeadline(k.sent.Add(timeLimit))
	r.line("client", k.id, "sent to "+k.daemon.name)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nrack",
		target, host, names["id"], k.id, names["deadline"], timeLimit.Milliseconds(), key)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(bufio.NewReader(conn), nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		r.line("client", k.id, err.Error())
		return
	}
	k.outcome = strconv.Itoa(resp.StatusCode)
	r.line("client", k.id, fmt.Sprintf("got %d after %s", resp.StatusCode, time.Since(k.sent).Round(time.Millisecond)))
}
