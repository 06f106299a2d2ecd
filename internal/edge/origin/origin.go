// Package origin identifies the software that began a stream. What two versions of a
// service's software write does not fit together, so a stream may go on only at its origin.
package origin

// This file defines Origin.

import "github.com/cespare/xxhash/v2"

// Origin is the software of the endpoint that wrote the first event of a stream.
type Origin struct {
	Service string
	Version string // empty if the endpoint's registration named none
}

// Known reports whether the origin is known.
func (o Origin) Known() bool { return o.Version != "" }

// Key returns the key under which the origin of a stream is recorded: a hash of the client
// account and of the id of the request that brought the first event. A caller with another
// account does not find the stream.
func Key(account, requestID string) uint64 { return xxhash.Sum64String(account + "\x00" + requestID) }
