// Package identity identifies instances, and distinguishes an instance from
// the same instance after a restart.
package identity

// This file defines Identity.

import "fmt"

// Identity identifies one process of one instance: a restarted instance has the
// same name and a later incarnation.
type Identity struct {
	Name        string
	Centre      string
	Incarnation uint64 // start time of the process, in nanoseconds of the Unix epoch
	Seat        int    // seat among the instances that hold shares of account limits; -1 for none
}

// String returns "name@incarnation".
func (i Identity) String() string { return fmt.Sprintf("%s@%d", i.Name, i.Incarnation) }
