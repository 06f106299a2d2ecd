package forwarder

// This file translates what calls showed of endpoints that start slowly.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/routing/slowstart"
	"github.com/jacinthstile/jacinthstile/internal/stage/stagepb"
)

const maxToldStarts = 64 // that a message is read for

func encodeStarts(outcomes []slowstart.Outcome, now time.Time) []*stagepb.StartOutcome {
	var list []*stagepb.StartOutcome
	for _, o := range outcomes {
		list = append(list, &stagepb.StartOutcome{Endpoint: o.Endpoint, Answered: o.Answered, AgeMs: uint32(max(0, now.Sub(o.At)).Milliseconds())})
	}
	return list
}

func decodeStarts(list []*stagepb.StartOutcome, now time.Time) []slowstart.Outcome {
	var outcomes []slowstart.Outcome
	for _, o := range list[:min(len(list), maxToldStarts)] {
		outcomes = append(outcomes, slowstart.Outcome{Endpoint: o.Endpoint, Answered: o.Answered, At: now.Add(-clamp(time.Duration(o.AgeMs) * time.Millisecond))})
	}
	return outcomes
}
