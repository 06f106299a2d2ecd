package routingsim

// This file defines workload, which generates the requests.

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
	chatShare          = 0.5  // share of chats among the requests that run a pipeline
	rareModelShare     = 0.15 // upper bound on the share, among the requests that run a pipeline, of one whose model is held by less than half of the engines
	plainShare         = 0.2  // share of calls to plain services among all requests
	nonIdempotentShare = 0.25 // share of non-idempotent calls among the calls to plain services
	systemPromptBlocks = 6    // blocks of the system prompt, with which all chats start
	chatTurnBlocks     = 3    // blocks that each turn of a chat adds
	chatTurns          = 8    // turns after which a chat ends
	templateBlocks     = 4    // blocks of the template with which all requests of a pipeline other than chat start
	uniqueBlocks       = 12   // further blocks of such a request, which no other request has
	sessionsPerSlot    = 3.75 // concurrent chat sessions for each engine slot
	noisyFactor        = 10   // multiple of its usual share that the noisy account sends
)

// workload generates requests: their accounts are drawn by weight, their pipelines by
// the fixed shares above.
type workload struct {
	table              *fleettable.Table
	rng                *rand.Rand
	chats              []*pipeline.Pipeline
	nonChats           []*pipeline.Pipeline
	idempotentCalls    []*pipeline.Pipeline // calls to plain services, as pipelines of one stage
	nonIdempotentCalls []*pipeline.Pipeline
	sessions           []session
	noisyAccount       *account.Account // nil for none
}

// session is a chat, whose prompt grows with each turn.
type session struct {
	blocks []uint64 // prompt of the last turn
	turn   int      // number of turns so far
}

func newWorkload(t *fleettable.Table, rng *rand.Rand) *workload {
	w := &workload{table: t, rng: rng}
	slots := 0
	for i := range t.Endpoints {
		if t.Endpoints[i].Kind == endpoint.Engine {
			slots += t.Endpoints[i].Limit
		}
	}
	for i := range t.Pipelines {
		p := &t.Pipelines[i]
		if strings.HasPrefix(p.Name, "chat") {
			w.chats = append(w.chats, p)
		} else {
			w.nonChats = append(w.nonChats, p)
		}
	}
	for i := range t.Services {
		w.addService(t, i)
	}
	w.sessions = make([]session, int(sessionsPerSlot*float64(slots)))
	for i := range w.sessions {
		w.sessions[i].turn = rng.IntN(chatTurns)
		w.sessions[i].blocks = appendBlocks(nil, systemPromptBlocks, 1)
		w.sessions[i].blocks = appendBlocks(w.sessions[i].blocks, chatTurnBlocks*w.sessions[i].turn, rng.Uint64())
	}
	return w
}

// addService adds the calls to the i-th plain service of the table.
func (w *workload) addService(t *fleettable.Table, i int) {
	svc := &t.Services[i]
	stage := pipeline.Stage{Name: svc.Name, Role: svc.Name, ExpectedTime: span.Span(serviceTime)}
	w.idempotentCalls = append(w.idempotentCalls, &pipeline.Pipeline{Name: svc.Name, Deadline: svc.Deadline, Stages: []pipeline.Stage{stage}})
	stage.NonIdempotent = true
	for _, op := range svc.Operations {
		if !op.Idempotent {
			p := &pipeline.Pipeline{Name: svc.Name + " once", Deadline: svc.Deadline, Stages: []pipeline.Stage{stage}}
			w.nonIdempotentCalls = append(w.nonIdempotentCalls, p)
		}
	}
}

// appendBlocks appends n block hashes to a prompt. They depend on the last block and
// on the seed, so prompts that differ in one block share none of the later ones.
func appendBlocks(blocks []uint64, n int, seed uint64) []uint64 {
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

// draw returns a new request.
func (w *workload) draw() *request {
	r := &request{account: w.drawAccount()}
	switch {
	case w.rng.Float64() < plainShare:
		list := w.idempotentCalls
		if w.rng.Float64() < nonIdempotentShare {
			list = w.nonIdempotentCalls
		}
		r.pipeline = list[w.rng.IntN(len(list))]
	case w.rng.Float64() < chatShare:
		r.pipeline = w.chats[w.rng.IntN(len(w.chats))]
		r.blocks = w.drawChat()
		r.isChat = true
	default:
		r.pipeline = w.drawNonChat()
		template := uint64(len(r.pipeline.Name)) + uint64(r.pipeline.Name[0])<<8
		r.blocks = appendBlocks(nil, templateBlocks, template)
		r.blocks = appendBlocks(r.blocks, uniqueBlocks, w.rng.Uint64())
	}
	return r
}

// drawNonChat draws a pipeline that is not a chat. A pipeline whose model is held by
// less than half of the engines is drawn less often, see rareModelShare.
func (w *workload) drawNonChat() *pipeline.Pipeline {
	p := w.nonChats[w.rng.IntN(len(w.nonChats))]
	last := p.Stages[len(p.Stages)-1]
	holders, engines := 0, w.table.EndpointsByRole(last.Role)
	for _, e := range engines {
		if e.Serves(last.Model) {
			holders++
		}
	}
	if 2*holders < len(engines) && w.rng.Float64() > rareModelShare/(1-chatShare)*float64(len(w.nonChats)) {
		return w.nonChats[0]
	}
	return p
}

// drawChat returns the prompt of the next turn of a random session. A session that
// has had its last turn is replaced by a new one.
func (w *workload) drawChat() []uint64 {
	s := &w.sessions[w.rng.IntN(len(w.sessions))]
	if s.turn == chatTurns {
		*s = session{blocks: appendBlocks(nil, systemPromptBlocks, 1)}
	}
	s.turn++
	s.blocks = appendBlocks(s.blocks[:len(s.blocks):len(s.blocks)], chatTurnBlocks, w.rng.Uint64())
	return s.blocks
}

// drawAccount draws an account by weight.
func (w *workload) drawAccount() *account.Account {
	total := 0.0
	for i := range w.table.Accounts {
		total += w.weight(&w.table.Accounts[i])
	}
	at := w.rng.Float64() * total
	for i := range w.table.Accounts {
		a := &w.table.Accounts[i]
		if at -= w.weight(a); at < 0 {
			return a
		}
	}
	return &w.table.Accounts[0]
}

// weight returns the weight by which an account is drawn.
func (w *workload) weight(a *account.Account) float64 {
	if a == w.noisyAccount {
		return noisyFactor * a.Weight
	}
	return a.Weight
}

// loadFactor returns the factor by which the noisy account increases the total
// offered load; it is 1 if there is no noisy account.
func (w *workload) loadFactor() float64 {
	usual, offered := 0.0, 0.0
	for i := range w.table.Accounts {
		usual += w.table.Accounts[i].Weight
		offered += w.weight(&w.table.Accounts[i])
	}
	return offered / usual
}
