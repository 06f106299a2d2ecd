package transport

// This file bounds the memory of the calls of peers.

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/peer/quota"
)

// Frames of yamux, whose headers count against the memory before yamux makes room for what follows them.
const (
	frameBytes = 12 // of a header
	dataFrame  = 0
	pingFrame  = 2
	openFlag   = 1
	// windowBytes is the greatest part of a message that yamux holds. Its buffer doubles when it is full, beside the copy
	// from which the message is read.
	windowBytes  = 256 << 10
	bufferFactor = 3
)

const (
	roomTime = 500 * time.Millisecond // for which room is awaited before a session is closed
	roomPoll = 10 * time.Millisecond
)

var errNoRoom = errors.New("calls of peers hold too much memory")

// memory is the quota of a Transport with its lock.
type memory struct {
	log   logr.Logger
	mu    sync.Mutex
	quota *quota.Quota
}

func newMemory(limit int64, log logr.Logger) *memory {
	return &memory{log: log, quota: quota.New(limit)}
}

// take takes n bytes for a session. It may wait for room, and then closes the session that is shed for that. The error
// is errNoRoom.
func (m *memory) take(s *quota.Session, n int64) error {
	m.mu.Lock()
	for end := time.Now().Add(roomTime); !m.quota.Fits(s, n) && time.Now().Before(end); {
		m.mu.Unlock()
		time.Sleep(roomPoll)
		m.mu.Lock()
	}
	shed, ok := m.quota.Take(s, n)
	m.mu.Unlock()
	if shed != nil {
		m.log.V(1).Info("peer session closed", "reason", "its calls hold most memory")
		go shed.Close() // waits until the session has read what it reads, which may be closing this one
	}
	if !ok {
		return errNoRoom
	}
	return nil
}

func (m *memory) release(s *quota.Session, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.quota.Release(s, n)
}

// call is a stream that the peer has opened.
type call struct {
	bytes    int64 // that it takes
	received int64 // bytes of data
	accepted bool  // end will be called
}

// streams are those that the peer of a session has opened and that have not ended.
type streams struct {
	memory  *memory
	session *quota.Session
	began   time.Time

	mu    sync.Mutex
	open  map[uint32]*call
	ended bool
	pings int
}

func newStreams(m *memory) *streams {
	return &streams{memory: m, session: new(quota.Session), began: time.Now(), open: make(map[uint32]*call)}
}

// receive records a frame of which the header has come. After an error the session is to be closed.
func (s *streams) receive(kind byte, flags uint16, id, length uint32) error {
	if kind == pingFrame {
		return s.receivePing()
	}
	c, more, err := s.need(kind, flags, id, length)
	if err != nil || c == nil {
		return err
	}
	if err := s.memory.take(s.session, more); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[id] != c { // ended meanwhile
		s.memory.release(s.session, more)
		return nil
	}
	c.bytes += more
	return nil
}

// receivePing counts a ping, whose answer takes memory until it is sent.
func (s *streams) receivePing() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pings++; float64(s.pings) > maxPings+pingRate*time.Since(s.began).Seconds() {
		return fmt.Errorf("got %d pings", s.pings)
	}
	return nil
}

// need returns the call to which a frame belongs, or nil, and the memory that it takes.
func (s *streams) need(kind byte, flags uint16, id, length uint32) (c *call, more int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if flags&openFlag != 0 && s.open[id] == nil && !s.ended {
		if len(s.open) >= maxSessionStreams {
			return nil, 0, fmt.Errorf("got %d streams, want %d at most", len(s.open)+1, maxSessionStreams)
		}
		s.open[id] = new(call)
		more = streamBytes
	}
	c = s.open[id]
	if c != nil && kind == dataFrame {
		more += int64(length) + bufferFactor*min(int64(length), max(0, windowBytes-c.received))
		c.received += int64(length)
	}
	return c, more, nil
}

// accept records that a stream is being served.
func (s *streams) accept(id uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.open[id]; c != nil {
		c.accepted = true
	}
}

// end releases what a stream took. Its call has ended on both sides, or its session has.
func (s *streams) end(id uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.open[id]; c != nil {
		s.memory.release(s.session, c.bytes)
		delete(s.open, id)
	}
}

// close releases what the streams took that nothing serves. The session has ended.
func (s *streams) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for id, c := range s.open {
		if !c.accepted {
			s.memory.release(s.session, c.bytes)
			delete(s.open, id)
		}
	}
}

// countedConn is a connection whose frames are counted before yamux reads them.
type countedConn struct {
	net.Conn
	raw     net.Conn // below Conn
	streams *streams
	header  [frameBytes]byte
	have    int    // bytes of the header
	skip    uint32 // bytes of data before the next header
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for rest := p[:n]; len(rest) > 0; {
		if c.skip > 0 {
			k := min(uint32(len(rest)), c.skip)
			c.skip, rest = c.skip-k, rest[k:]
			continue
		}
		k := copy(c.header[c.have:], rest)
		c.have, rest = c.have+k, rest[k:]
		if c.have < frameBytes {
			continue
		}
		c.have = 0
		kind, length := c.header[1], binary.BigEndian.Uint32(c.header[8:])
		if kind == dataFrame {
			c.skip = length
		}
		if err := c.streams.receive(kind, binary.BigEndian.Uint16(c.header[2:]), binary.BigEndian.Uint32(c.header[4:]), length); err != nil {
			c.streams.memory.log.V(1).Info("peer session closed", "remote", c.RemoteAddr().String(), "reason", err.Error())
			c.raw.Close() // else yamux would wait until the peer has read what was sent
			return 0, err
		}
	}
	return n, err
}
