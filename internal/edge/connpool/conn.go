package connpool

// This file defines conn, a single connection to an endpoint.

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthstile/jacinthstile/internal/base/peek"
)

type conn struct {
	net.Conn
	number    uint64 // in the order in which the pool made them
	name      string
	limit     *limitedReader
	br        *bufio.Reader // reads from limit
	reused    bool
	expiresAt time.Time // no request is sent on the connection from this time on
	carried   []uint64  // hashes of the ids of the requests and responses on the connection
}

func newConn(raw net.Conn, name string, number uint64) *conn {
	limit := &limitedReader{from: raw, left: math.MaxInt64}
	return &conn{Conn: raw, number: number, name: name, limit: limit, br: bufio.NewReaderSize(limit, readBufferBytes)}
}

// hasCarried reports whether the connection has carried a request or response with the given hash of
// its id. One without an id is not remembered.
func (c *conn) hasCarried(id uint64) bool { return id != 0 && slices.Contains(c.carried, id) }

// remember records the hash of the id of a request or response.
func (c *conn) remember(id uint64) {
	if id != 0 {
		c.carried = append(c.carried, id)
	}
}

// isWornOut reports whether the connection has carried as much as it can remember.
func (c *conn) isWornOut() bool { return len(c.carried) >= maxIDsPerConn }

// hashID returns a hash of the id of a request or response, which is not zero, or zero if there is no id.
func hashID(id string) uint64 {
	if id == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(id))
}

// errTooLong is returned for bytes beyond the limit of what is being read.
var errTooLong = errors.New("got more bytes than an answer may have before its body")

// limitedReader is an io.Reader that fails after a number of bytes.
type limitedReader struct {
	from io.Reader
	left int64
}

var _ io.Reader = (*limitedReader)(nil)

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errTooLong
	}
	n, err := r.from.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

// usable reports whether an idle connection can carry another request: its
// idle timeout has not passed, and the endpoint has neither closed it nor sent
// unexpected data. The socket is peeked without blocking.
func (c *conn) usable() bool {
	if !time.Now().Before(c.expiresAt) || c.br.Buffered() > 0 {
		return false
	}
	state := peek.Conn(c.Conn)
	return state == peek.Quiet || state == peek.Unknown
}

// setExpiry sets how long the connection may stay idle after a response with
// the given headers: the timeout of its Keep-Alive header minus a margin, or
// the default. It reports whether the connection may be reused at all.
func (c *conn) setExpiry(h http.Header, now time.Time) bool {
	if hasToken(h.Values("Connection"), "close") {
		return false
	}
	idle := defaultIdleTimeout
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			idle = time.Duration(seconds)*time.Second - idleTimeoutMargin
		}
	}
	c.expiresAt = now.Add(idle)
	return idle > 0
}

// hasToken reports whether a comma-separated header contains a token.
func hasToken(values []string, want string) bool {
	for _, v := range values {
		for _, token := range strings.Split(v, ",") {
			if strings.EqualFold(strings.TrimSpace(token), want) {
				return true
			}
		}
	}
	return false
}
