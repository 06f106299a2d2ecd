package room_test

// This file tests the estimate of room at an endpoint.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/stage/room"
)

const size = 1000

var start = time.Unix(1000, 0)

func TestOwnResultsTakeRoom(t *testing.T) {
	g := NewWithT(t)
	var r room.Room
	g.Expect(r.Left(size, start)).To(BeEquivalentTo(900), "sizes are known roughly")
	r.Hold(500)
	g.Expect(r.Left(size, start)).To(BeEquivalentTo(400))
	r.Free(200)
	g.Expect(r.Left(size, start)).To(BeEquivalentTo(600))
}

// TestOthersTakeRoomForAWhile has an endpoint without room though this instance
// holds little there.
func TestOthersTakeRoomForAWhile(t *testing.T) {
	g := NewWithT(t)
	var r room.Room
	r.Hold(500)
	r.Free(100) // ten pieces were asked for, two were not made
	r.Full(size, start)
	g.Expect(r.Left(size, start)).To(BeNumerically("<=", 0))
	r.Free(400)
	g.Expect(r.Left(size, start)).To(BeNumerically("~", 300, 1), "of 600 bytes that others hold none is freed yet")
	half, all := r.Left(size, start.Add(500*time.Millisecond)), r.Left(size, start.Add(10*time.Second))
	g.Expect(half).To(BeNumerically("~", 600, 1))
	g.Expect(all).To(BeNumerically("~", 900, 1))
}

// TestOwnResultsAloneTellNothingOfOthers fills an endpoint by this instance.
func TestOwnResultsAloneTellNothingOfOthers(t *testing.T) {
	g := NewWithT(t)
	var r room.Room
	r.Hold(size)
	r.Full(size, start)
	r.Free(size)
	g.Expect(r.Left(size, start)).To(BeEquivalentTo(900))
}
