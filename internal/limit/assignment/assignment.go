// Package assignment assigns the units of an account's limit to seats. A seat
// is a numbered slot that one instance of the fleet holds. The assignment is a
// pure function of the account's name, the unit's number and the number of
// seats: instances whose lists of live instances differ still agree on it.
package assignment

// This file defines SeatOf, UnitsBySeat and RateUnits.

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-jump"
)

// SeatOf returns the seat that holds unit k of an account's limit, from 0 to
// seats-1. It uses a jump consistent hash, so a change of the number of seats
// moves as few units as possible.
func SeatOf(account string, k, seats int) int {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(account)
	var buf [20]byte
	d.Write([]byte{0})
	d.Write(strconv.AppendInt(buf[:0], int64(k), 10))
	return int(jump.Hash(d.Sum64(), seats))
}

// UnitsBySeat returns, for each seat that holds at least one of the account's
// units 0 to units-1, how many of them it holds.
func UnitsBySeat(account string, units, seats int) map[int]int {
	held := make(map[int]int)
	for k := range units {
		held[SeatOf(account, k, seats)]++
	}
	return held
}

// RateUnits returns the number of units that a rate, in requests per second,
// is split into. Each unit carries an equal part of the rate and a burst of one
// request. All bursts together are therefore what the rate allows in one
// second, rounded down, and at least one request.
func RateUnits(rate float64) int { return max(1, int(rate)) }
