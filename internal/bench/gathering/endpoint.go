package gathering

// This file plays endpoints, which work on one call at a time and refuse what
// they have no room for.

import (
	"fmt"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/stage/freespace"
	"github.com/jacinthstile/jacinthstile/internal/stage/job"
	"github.com/jacinthstile/jacinthstile/internal/stage/scheduler"
)

type worker struct {
	service *Service
	name    string
	centre  string
	held    int64                 // bytes of results
	calls   []*call               // under way and waiting, the first is worked on
	rooms   []freespace.Estimator // as each instance knows it
	asked   map[int]bool          // by instance
	rests   map[int]time.Duration // by instance
	slow    map[int]float64       // by instance: times as long as usual that its last call here took
}

type call struct {
	instance int
	pieces   []scheduler.Piece
	unfit    []scheduler.Piece // that had no room
	sent     time.Duration
}

func (m *model) addWorkers(s *Service) {
	centres := make(map[string]float64)
	for centre, n := range s.Workers {
		name := fmt.Sprint("c", centre)
		centres[name] = float64(n)
		for i := range n {
			m.workers = append(m.workers, &worker{
				service: s, centre: name, name: fmt.Sprint(s.Name, centre, i), rests: make(map[int]time.Duration), asked: make(map[int]bool),
				slow: make(map[int]float64), rooms: make([]freespace.Estimator, len(m.queues)),
			})
		}
	}
	s.centres = centres
}

// reach hands a call to an endpoint, which refuses it when it is full.
func (m *model) reach(w *worker, c *call) {
	if len(w.calls) > w.service.Batch.MaxQueuedCalls {
		m.result.Refusals++
		m.at(m.now+hop, func() {
			w.asked[c.instance] = false
			w.rests[c.instance] = m.now + refused
			for _, p := range c.pieces {
				w.rooms[c.instance].Release(sizeOf(p))
			}
			m.again(c)
			m.at(m.now+refused, func() { m.dispatch(c.instance) })
		})
		return
	}
	w.calls = append(w.calls, c)
	if len(w.calls) == 1 {
		m.work(w)
	}
}

func (m *model) again(c *call) {
	for _, p := range c.pieces {
		m.queues[c.instance].Requeue(p)
	}
}

func sizeOf(p scheduler.Piece) int64 { return p.Job.Stages[p.Stage].Bytes }

func (m *model) work(w *worker) {
	c := w.calls[0]
	took := w.service.Batch.CallOverhead
	asked := c.pieces
	c.pieces = nil
	for _, p := range asked {
		if w.held+sizeOf(p) > w.service.Batch.ResultBytes {
			c.unfit = append(c.unfit, p)
			continue
		}
		c.pieces = append(c.pieces, p)
		took += m.pieceTime(w, p)
		w.held += sizeOf(p)
	}
	m.result.Calls++
	m.result.Pieces += len(c.pieces)
	m.result.Busy += took
	if len(c.pieces) == w.service.Batch.MaxPieces {
		m.result.Full++
	}
	m.result.Unfit += len(c.unfit)
	share := took / time.Duration(max(1, len(c.pieces)))
	for _, p := range c.pieces {
		if r := m.jobs[p.Job]; r != nil {
			r.worked += share
		}
	}
	m.at(m.now+took, func() { m.end(w, c, took) })
}

func (m *model) pieceTime(w *worker, p scheduler.Piece) time.Duration {
	work := 1.0
	if r := m.jobs[p.Job]; r != nil && r.class.Stages[p.Stage].Work > 0 {
		work = r.class.Stages[p.Stage].Work
	}
	return time.Duration(work * float64(w.service.Batch.PieceTime))
}

// end answers a call that took so long once its turn had come.
func (m *model) end(w *worker, c *call, took time.Duration) {
	w.calls = w.calls[1:]
	others := len(w.calls) > 0
	if others {
		m.work(w)
	}
	m.at(m.now+hop, func() {
		w.asked[c.instance] = false
		w.slow[c.instance] = (m.now - c.sent).Seconds() / took.Seconds()
		m.queues[c.instance].RecordResponse(w.service.Name, others && !m.way.Alone, m.clock())
		for _, p := range c.pieces {
			m.made(w, c.instance, p)
		}
		for _, p := range c.unfit {
			w.rooms[c.instance].Release(sizeOf(p))
			w.rooms[c.instance].ReportFull(w.service.Batch.ResultBytes, m.clock())
			m.queues[c.instance].Requeue(p)
		}
		m.dispatch(c.instance)
	})
}

func (m *model) made(w *worker, instance int, p scheduler.Piece) {
	size := sizeOf(p)
	_, finished := m.queues[instance].RecordResult(p, job.Result{Handle: w.name, Endpoint: w.name, Centre: w.centre, Bytes: size})
	// The result is freed once the next stage, or the engine, has read it.
	m.at(m.now+w.service.Batch.CallOverhead, func() {
		w.held -= size
		w.rooms[instance].Release(size)
	})
	if r := m.jobs[p.Job]; finished && r != nil {
		delete(m.jobs, p.Job)
		for i := range p.Job.Stages {
			all, far := p.Job.InputBytes(i)
			m.result.Taken += all
			m.result.Far += far
		}
		m.at(m.now+r.first, func() { m.finish(r) })
	}
}
