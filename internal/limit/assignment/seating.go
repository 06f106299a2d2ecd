// Package seating places the units of an account's limit on seats. It is a
// pure function of the account's name, the unit's number and the seat count, so
// that no list of instances can move a unit.
package assignment

// This file defines Owner, Seats and Count.

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-jump"
)

// SeatOf returns the seat that holds unit k of an account's limit, from 0 to seats-1.
// Between two seat counts it changes for the least share of units.
func SeatOf(account string, k, seats int) int {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(account)
	var buf [20]byte
	d.Write([]byte{0})
	d.Write(strconv.AppendInt(buf[:0], int64(k), 10))
	return int(jump.Hash(d.Sum64(), seats))
}

// UnitsBySeat returns the seats that hold at least one of the account's first units
// units, by how many they hold.
func UnitsBySeat(account string, units, seats int) map[int]int {
	held := make(map[int]int)
	for k := range units {
		held[SeatOf(account, k, seats)]++
	}
	return held
}

// RateUnits returns how many units the rate of an account is split into. Each
// carries an equal part of the rate and a burst of one request, so that all
// bursts together are what the rate gives in a second, and at least one request.
func RateUnits(rate float64) int { return max(1, int(rate)) }
