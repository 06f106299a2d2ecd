// Package gathering replays loads of stage work against the real decisions of
// stage/scheduler, in virtual time and without sockets, so that a change of these
// can be judged in seconds. Its endpoints work as published: one call at a
// time, a fixed time for a call and a time for each piece in it. Engines are a
// fixed time to the first event.
package gathering

// This file defines Site, the model of a deployment.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
)

// Site is a deployment.
type Site struct {
	Name     string
	Services []Service
	Classes  []Class
}

// Service is a service that makes pieces.
type Service struct {
	Name    string
	Workers []int // endpoints by data centre
	Batch   catalog.Batch

	centres map[string]float64 // endpoints by name of the data centre
}

// Class is a kind of request.
type Class struct {
	Name     string
	Rate     float64 // requests a second
	Goal     time.Duration
	Deadline time.Duration
	Rank     int
	Worth    float64
	Stages   []Stage
}

// Stage is a stage of a class's route.
type Stage struct {
	Service string
	After   []int
	Share   float64 // of requests that have the stage; zero stands for all
	Pieces  float64 // mean; zero stands for one
	Bytes   int64
	Work    float64 // of a piece, as a share of the service's usual time; zero stands for one
}

const mb = 1_000_000

func batch(most int, item time.Duration, room float64) catalog.Batch {
	return catalog.Batch{
		MaxPieces: most, MaxCalls: 1, MaxQueuedCalls: 2, CallOverhead: 200 * time.Millisecond, PieceTime: item, ResultBytes: int64(room * mb), ResultRetention: 4 * time.Second,
	}
}

// chain is three stages one after the other, as two classes of each site have.
func chain(first, second, third string) []Stage {
	return []Stage{
		{Service: first, Bytes: 8000, Work: 0.3},
		{Service: second, After: []int{0}, Pieces: 6, Bytes: 60_000},
		{Service: third, After: []int{1}, Pieces: 10, Bytes: 6000},
	}
}

// Kelang is the six-instance deployment at its usual load.
func Kelang() Site {
	return Site{
		Name: "kelang",
		Services: []Service{
			{Name: "tank-log", Workers: []int{2, 2, 1}, Batch: batch(22, 7800*time.Microsecond, 50)},
			{Name: "qc-record", Workers: []int{2, 2, 1}, Batch: batch(64, 2700*time.Microsecond, 8.6)},
			{Name: "billing", Workers: []int{2, 2, 2}, Batch: batch(96, 1800*time.Microsecond, 1.2)},
		},
		Classes: []Class{
			{
				Name: "batch-review", Rate: 41.7, Goal: 910 * time.Millisecond, Deadline: 6 * time.Second, Rank: 1, Worth: 3.4,
				Stages: []Stage{{Service: "tank-log", Share: 0.7, Pieces: 2.5, Bytes: 1_500_000}},
			},
			{
				Name: "defect-note", Rate: 48.9, Goal: 1800 * time.Millisecond, Deadline: 6 * time.Second, Worth: 1.9,
				Stages: chain("tank-log", "qc-record", "billing"),
			},
			{
				Name: "shift-chat", Rate: 25.4, Goal: 1700 * time.Millisecond, Deadline: 20 * time.Second, Rank: 2, Worth: 0.78,
				Stages: chain("tank-log", "qc-record", "billing"),
			},
		},
	}
}

// Slamka is the nine-instance deployment at its usual load.
func Slamka() Site {
	return Site{
		Name: "slamka",
		Services: []Service{
			{Name: "royalties", Workers: []int{2, 2, 1}, Batch: batch(10, 17*time.Millisecond, 22)},
			{Name: "training", Workers: []int{2, 2, 1}, Batch: batch(24, 7100*time.Microsecond, 3.2)},
			{Name: "catalogue", Workers: []int{2, 2, 1}, Batch: batch(60, 2900*time.Microsecond, 0.8)},
		},
		Classes: []Class{
			{
				Name: "contract-review", Rate: 19.1, Goal: 1900 * time.Millisecond, Deadline: 8 * time.Second, Rank: 1, Worth: 3.4,
				Stages: chain("royalties", "training", "catalogue"),
			},
			{
				Name: "spec-answer", Rate: 22.4, Goal: 1800 * time.Millisecond, Deadline: 6 * time.Second, Worth: 1.9,
				Stages: chain("royalties", "training", "catalogue"),
			},
			{
				Name: "listing-blurb", Rate: 12.7, Goal: 790 * time.Millisecond, Deadline: 15 * time.Second, Rank: 2, Worth: 0.73,
				Stages: []Stage{{Service: "royalties", Share: 0.6, Pieces: 2, Bytes: 1_000_000}},
			},
		},
	}
}
