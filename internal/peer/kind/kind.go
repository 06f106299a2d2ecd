// Package kind numbers the calls between daemons.
package kind

// This file defines Kind.

import "fmt"

// Kind chooses the handler of a peer call. Numbers are never reused.
type Kind uint32

const (
	// Pulse exchanges the pairs (epoch, version) in force.
	Pulse Kind = iota + 1
	// Manifest asks for the manifest in force.
	Manifest
	// Part asks for groups and parts of the table by their digests.
	Part
	// TicketRun asks the issuer of a ticket to run the call.
	TicketRun
	// LimitTake asks the holder of an account's limit for permits.
	LimitTake
	// LimitGive gives permits back before they expire.
	LimitGive
	// Status asks for the state of an instance, for operators.
	Status
	// StageRoll exchanges which instances could gather stage work.
	StageRoll
	// StageOrder asks the gathering instance for what a request needs.
	StageOrder
	// StageNews tells the gathering instance how requests went on.
	StageNews
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
}

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	if k < Pulse || int(k) >= len(names) {
		return fmt.Sprintf("kind(%d)", uint32(k))
	}
	return names[k]
}
