package transport

// This file defines the errors of a call. They say whether the peer may have
// handled the call.

import (
	"fmt"

	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
)

// UnreachableError reports that no session with the peer could be opened or used.
// Nothing was sent.
type UnreachableError struct {
	Address string
	Cause   error
}

// Error returns a text with the address and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("peer %s is unreachable: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// RestartedError reports that the peer has restarted: another incarnation
// serves at the address, so the wanted one no longer runs. Nothing was sent.
type RestartedError struct {
	Want identity.Identity
	Got  identity.Identity
}

// Error returns a text with both incarnations.
func (e *RestartedError) Error() string {
	return fmt.Sprintf("peer is gone: got %s, want %s", e.Got, e.Want)
}

// ResponseLostError reports that the call was sent, at least in part, and that
// no complete response was received. The peer may or may not have handled the
// call.
type ResponseLostError struct {
	Peer  identity.Identity
	Cause error
}

// Error returns a text with the peer and the cause.
func (e *ResponseLostError) Error() string {
	return fmt.Sprintf("answer of peer %s is lost: %v", e.Peer, e.Cause)
}

// Unwrap returns the cause.
func (e *ResponseLostError) Unwrap() error { return e.Cause }

// RemoteError reports that the peer responded with an error, which is the text
// of its handler's error.
type RemoteError struct {
	Peer identity.Identity
	Text string
}

// Error returns a text with the peer and its error.
func (e *RemoteError) Error() string { return fmt.Sprintf("peer %s: %s", e.Peer, e.Text) }
