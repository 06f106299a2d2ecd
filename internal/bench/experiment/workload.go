package experiment

// This file defines workload, which makes the requests.

import (
	"math/rand/v2"
	"strings"

	"github.com/jacinthstile/jacinthstile/internal/base/span"
	"github.com/jacinthstile/jacinthstile/internal/table/account"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/pipeline"
)

const (
	chatShare     = 0.5  // of the requests that run a pipeline
	scarceShare   = 0.15 // for a pipeline whose model few engines hold
	plainShare    = 0.2  // of all requests, calls to plain services
	onceShare     = 0.25 // of the plain calls, non-idempotent ones
	systemBlocks  = 6    // blocks that all chats start with
	turnBlocks    = 3    // blocks that each turn of a chat adds
	turns         = 8    // turns of a chat
	sharedBlocks  = 4    // blocks that all requests of another pipeline start with
	ownBlocks     = 12   // blocks of a request alone
	sessionsASlot = 3.75 // chats going on for each engine slot
	hogTimes      = 10
)

// workload draws requests: accounts by their weight, pipelines by fixed shares.
type workload struct {
	table    *fleettable.Table
	random   *rand.Rand
	chats    []*pipeline.Pipeline
	others   []*pipeline.Pipeline
	reads    []*pipeline.Pipeline // plain calls as pipelines of one stage
	once     []*pipeline.Pipeline
	sessions []session
	hog      *account.Account // nil for none
}

type session struct {
	blocks []uint64
	turn   int
}

func newWorkload(s *fleettable.Table, random *rand.Rand) *workload {
	w := &workload{table: s, random: random}
	slots := 0
	for i := range s.Endpoints {
		if s.Endpoints[i].Kind == endpoint.Engine {
			slots += s.Endpoints[i].Limit
		}
	}
	for i := range s.Pipelines {
		p := &s.Pipelines[i]
		if strings.HasPrefix(p.Name, "chat") {
			w.chats = append(w.chats, p)
		} else {
			w.others = append(w.others, p)
		}
	}
	for i := range s.Services {
		w.addService(s, i)
	}
	w.sessions = make([]session, int(sessionsASlot*float64(slots)))
	for i := range w.sessions {
		w.sessions[i].turn = random.IntN(turns)
		w.sessions[i].blocks = chain(nil, systemBlocks, 1)
		w.sessions[i].blocks = chain(w.sessions[i].blocks, turnBlocks*w.sessions[i].turn, random.Uint64())
	}
	return w
}

func (w *workload) addService(s *fleettable.Table, i int) {
	row := &s.Services[i]
	stage := pipeline.Stage{Name: row.Name, Role: row.Name, ExpectedTime: span.Span(serviceTime)}
	w.reads = append(w.reads, &pipeline.Pipeline{Name: row.Name, Deadline: row.Deadline, Stages: []pipeline.Stage{stage}})
	stage.NonIdempotent = true
	for _, op := range row.Operations {
		if !op.Idempotent {
			p := &pipeline.Pipeline{Name: row.Name + " once", Deadline: row.Deadline, Stages: []pipeline.Stage{stage}}
			w.once = append(w.once, p)
		}
	}
}

// chain appends n blocks that follow the last one and a seed.
func chain(blocks []uint64, n int, seed uint64) []uint64 {
	last := uint64(0)
	if len(blocks) > 0 {
		last = blocks[len(blocks)-1]
	}
	source := rand.NewPCG(seed, last)
	for range n {
		blocks = append(blocks, source.Uint64())
	}
	return blocks
}

// next draws a request.
func (w *workload) next() *request {
	r := &request{account: w.account()}
	switch {
	case w.random.Float64() < plainShare:
		list := w.reads
		if w.random.Float64() < onceShare {
			list = w.once
		}
		r.pipeline = list[w.random.IntN(len(list))]
	case w.random.Float64() < chatShare:
		r.pipeline = w.chats[w.random.IntN(len(w.chats))]
		r.blocks = w.chat()
		r.chat = true
	default:
		r.pipeline = w.other()
		template := uint64(len(r.pipeline.Name)) + uint64(r.pipeline.Name[0])<<8
		r.blocks = chain(nil, sharedBlocks, template)
		r.blocks = chain(r.blocks, ownBlocks, w.random.Uint64())
	}
	return r
}

// other draws a pipeline that is no chat; one whose model few engines hold is drawn less.
func (w *workload) other() *pipeline.Pipeline {
	p := w.others[w.random.IntN(len(w.others))]
	last := p.Stages[len(p.Stages)-1]
	holders, engines := 0, w.table.EndpointsByRole(last.Role)
	for _, e := range engines {
		if e.Serves(last.Model) {
			holders++
		}
	}
	if 2*holders < len(engines) && w.random.Float64() > scarceShare/(1-chatShare)*float64(len(w.others)) {
		return w.others[0]
	}
	return p
}

// chat takes the next turn of a session; a session at its end is replaced.
func (w *workload) chat() []uint64 {
	s := &w.sessions[w.random.IntN(len(w.sessions))]
	if s.turn == turns {
		*s = session{blocks: chain(nil, systemBlocks, 1)}
	}
	s.turn++
	s.blocks = chain(s.blocks[:len(s.blocks):len(s.blocks)], turnBlocks, w.random.Uint64())
	return s.blocks
}

// account draws by weight; a hog weighs ten times.
func (w *workload) account() *account.Account {
	total := 0.0
	for i := range w.table.Accounts {
		total += w.weight(&w.table.Accounts[i])
	}
	at := w.random.Float64() * total
	for i := range w.table.Accounts {
		a := &w.table.Accounts[i]
		if at -= w.weight(a); at < 0 {
			return a
		}
	}
	return &w.table.Accounts[0]
}

func (w *workload) weight(a *account.Account) float64 {
	if a == w.hog {
		return hogTimes * a.Weight
	}
	return a.Weight
}

// growth returns how many times the offered load of all accounts a hog makes it.
func (w *workload) growth() float64 {
	plain, offered := 0.0, 0.0
	for i := range w.table.Accounts {
		plain += w.table.Accounts[i].Weight
		offered += w.weight(&w.table.Accounts[i])
	}
	return offered / plain
}
