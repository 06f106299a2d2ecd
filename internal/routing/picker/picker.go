// Package picker chooses the endpoint of a stage. A decision is a function of
// the table, the board and the query; it does no input or output.
package picker

// This file defines Picker, Query and Choice.

import (
	"fmt"
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/routing/board"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/sheet"
)

// Query describes the call that needs an endpoint.
type Query struct {
	Role   string
	Model  string // empty where any endpoint of the role will do
	Prompt string
	Tried  []string // endpoints that failed this call already
	Now    time.Time
}

// Choice is a decision and its reason.
type Choice struct {
	Endpoint *endpoint.Endpoint // nil where none may take the call
	Reason   string
}

// Picker chooses by the fewest calls in flight for the endpoint's weight.
type Picker struct {
	centre string
	board  *board.Board
}

// New returns a picker for an instance in the given data centre.
func New(centre string, b *board.Board) *Picker {
	return &Picker{centre: centre, board: b}
}

const (
	awayPenalty    = 1.5 // factor for an endpoint in another data centre
	failurePenalty = 4.0 // added for each failure since the last success
	mostFailures   = 5
)

// Pick chooses an endpoint. Endpoints of weight zero are never chosen.
func (p *Picker) Pick(s *sheet.Sheet, q Query) Choice {
	var best *endpoint.Endpoint
	var bestScore float64
	for _, e := range s.Role(q.Role) {
		w := s.Weight(e.Name)
		if w <= 0 || !e.Serves(q.Model) || slices.Contains(q.Tried, e.Name) {
			continue
		}
		if score := p.score(e, w); best == nil || score < bestScore {
			best, bestScore = e, score
		}
	}
	if best == nil {
		return Choice{Reason: "no endpoint with weight for role " + q.Role}
	}
	return Choice{Endpoint: best, Reason: fmt.Sprintf("least score %.3f", bestScore)}
}

func (p *Picker) score(e *endpoint.Endpoint, weight float64) float64 {
	st := p.board.Get(e.Name)
	score := (float64(st.InFlight) + 1 + failurePenalty*float64(min(st.Failures, mostFailures))) / weight
	if e.Centre != p.centre {
		score *= awayPenalty
	}
	return score
}
