package mesh

// This file defines the errors of a call. They say how far the call got.

import (
	"fmt"

	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
)

// Unreachable reports that no session could be used: nothing was sent.
type Unreachable struct {
	Address string
	Cause   error
}

// Error names the address and the cause.
func (e *Unreachable) Error() string {
	return fmt.Sprintf("peer %s is unreachable: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *Unreachable) Unwrap() error { return e.Cause }

// Gone reports that another incarnation answers for the one that was asked
// for, which therefore runs no more: nothing was sent.
type Gone struct {
	Want identity.Identity
	Got  identity.Identity
}

// Error names both incarnations.
func (e *Gone) Error() string { return fmt.Sprintf("peer is gone: got %s, want %s", e.Got, e.Want) }

// Lost reports that the call was sent, at least in part, and no whole answer
// came: the peer may have handled it.
type Lost struct {
	Peer  identity.Identity
	Cause error
}

// Error names the peer and the cause.
func (e *Lost) Error() string { return fmt.Sprintf("answer of peer %s is lost: %v", e.Peer, e.Cause) }

// Unwrap returns the cause.
func (e *Lost) Unwrap() error { return e.Cause }

// Remote reports that the peer answered with an error.
type Remote struct {
	Peer identity.Identity
	Text string
}

// Error names the peer and gives its text.
func (e *Remote) Error() string { return fmt.Sprintf("peer %s: %s", e.Peer, e.Text) }
