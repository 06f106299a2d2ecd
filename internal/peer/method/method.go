// Package method defines the methods of the calls between instances.
package method

// This file defines Method.

import "fmt"

// Method is the method of a peer call, by which the receiver chooses the handler.
// It is sent as a number, so numbers are never reused.
type Method uint32

const (
	// Pulse exchanges the epoch and version of the table that each side uses.
	Pulse Method = iota + 1
	// Manifest requests the manifest of the table that the peer uses.
	Manifest
	// Part requests groups and parts of the table by their digests.
	Part
	// TicketRun asks the instance that issued a ticket to run the ticket's call.
	TicketRun
	// LimitTake requests permits from the instance that holds a share of an
	// account's limit.
	LimitTake
	// LimitGive returns permits to their holder before they expire.
	LimitGive
	// Status requests the state of an instance, for operators.
	Status
	// StageRoll exchanges the candidates for coordinator of the stage work.
	StageRoll
	// StageOrder asks the coordinator to prepare the stage results that a request
	// needs.
	StageOrder
	// StageNews reports the progress of requests to the coordinator.
	StageNews
	// StagePermit asks the coordinator for a request from the limits of endpoints.
	StagePermit
	// StageOrigin asks which software began a stream.
	StageOrigin
)

var names = [...]string{
	Pulse:     "pulse",
	Manifest:  "manifest",
	Part:      "part",
	TicketRun: "ticket-run",
	LimitTake: "limit-take",
	LimitGive: "limit-give",
	Status:    "status",

	StageRoll:  "stage-roll",
	StageOrder: "stage-order",
	StageNews:  "stage-news",

	StagePermit: "stage-permit",
	StageOrigin: "stage-origin",
}

// String returns the name used in logs and metrics.
func (m Method) String() string {
	if m < Pulse || int(m) >= len(names) {
		return fmt.Sprintf("kind(%d)", uint32(m))
	}
	return names[m]
}
