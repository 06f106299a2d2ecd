// Package quota decides which sessions with peers may hold memory for calls that have been received and not ended.
// It answers peers, or others at their port, that open many calls, or begin large ones and do not finish them. It does
// no I/O, no locking and reads no clock: callers serialise access.
package quota

// This file defines Quota.

const (
	// smallBytes is what a session may hold to use the spare room.
	smallBytes    = 256 << 10
	spareDivisor  = 4 // part of the limit that is added for small sessions
	excessDivisor = 4 // part of the limit that shed sessions may hold beside it until their calls have ended
)

// Session is one connection of a peer.
type Session struct {
	Close func() // for the owner of the quota; ends the session
	held  int64
	shed  bool // is being closed
}

// Quota is the memory that the calls of all sessions may take.
type Quota struct {
	limit    int64
	held     int64
	shed     int64 // part of held
	sessions map[*Session]struct{}
}

// New returns a quota of the given number of bytes.
func New(limit int64) *Quota {
	return &Quota{limit: limit, sessions: make(map[*Session]struct{})}
}

// Fits reports whether a session can take n bytes while no other is shed for that.
func (q *Quota) Fits(s *Session, n int64) bool {
	limit := q.limitFor(s, n)
	return !s.shed && q.held-q.shed+n <= limit && q.held+n <= limit+q.limit/excessDivisor
}

// limitFor returns the bytes that all sessions may hold when one takes n more.
func (q *Quota) limitFor(s *Session, n int64) int64 {
	if s.held+n <= smallBytes {
		return q.limit + q.limit/spareDivisor
	}
	return q.limit
}

// Take takes n bytes for a call of a session. If there is no room, the session that holds most is shed, which is
// returned and must be closed. If that is the one that asks, Take reports false, and the call must not run.
func (q *Quota) Take(s *Session, n int64) (shed *Session, ok bool) {
	if s.shed {
		return nil, false
	}
	if q.held-q.shed+n > q.limitFor(s, n) {
		shed = q.heaviest()
		if shed == nil || shed == s || shed.held <= s.held+n {
			return nil, false
		}
		shed.shed = true
		q.shed += shed.held
	}
	if !q.Fits(s, n) {
		return shed, false
	}
	s.held, q.held = s.held+n, q.held+n
	q.sessions[s] = struct{}{}
	return shed, true
}

// Release returns n bytes that a session took.
func (q *Quota) Release(s *Session, n int64) {
	s.held, q.held = s.held-n, q.held-n
	if s.shed {
		q.shed -= n
	}
	if s.held == 0 {
		delete(q.sessions, s)
	}
}

// heaviest returns the session that holds most and is not being closed, or nil.
func (q *Quota) heaviest() *Session {
	var most *Session
	for s := range q.sessions {
		if !s.shed && (most == nil || s.held > most.held) {
			most = s
		}
	}
	return most
}
