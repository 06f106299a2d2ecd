// Package identity tells daemons apart, and one daemon from its restarted self.
package identity

// This file defines Identity.

import "fmt"

// Identity is one start of one daemon.
type Identity struct {
	Name        string
	Centre      string
	Incarnation uint64 // start of the process, in nanoseconds of the Unix epoch
	Seat        int    // seat among the holders of account limits; -1 for none
}

// String returns "name@incarnation".
func (i Identity) String() string { return fmt.Sprintf("%s@%d", i.Name, i.Incarnation) }
