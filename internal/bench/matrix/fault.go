package matrix

// This file defines Fault and lists the faults.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/bench/member"
	"github.com/jacinthstile/jacinthstile/internal/standin/platform"
	"github.com/jacinthstile/jacinthstile/internal/standin/trouble"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/manifest"
)

// Group says what a fault hits.
type Group string

// Groups of faults.
const (
	AtEndpoint Group = "endpoint"
	AtInstance Group = "instance"
	AtPlatform Group = "configuration service"
	AtList     Group = "instance list"
	AtPeers    Group = "peers"
	OfLoad     Group = "load"
)

// Fault is one thing that goes wrong.
type Fault struct {
	Name  string
	Group Group

	meet  trouble.Fault // of endpoint faults
	apply func(r *run) (heal func())
}

// Names of the faults in the order of the matrix.
const (
	DeadBefore = "endpoint dead before reading"
	DeadAfter  = "endpoint dead after executing"
	Slow       = "endpoint 10 times slow"
	Error      = "endpoint error"
	Doubled    = "doubled answer"
	Late       = "late answer"
	Swapped    = "swapped answer"
	Cut        = "cut answer"
	Killed     = "instance killed"
	Paused     = "instance paused past the deadline"
	Restarted  = "instance restarted with nothing"
	Down       = "configuration service down"
	Stale      = "configuration service stale"
	Invalid    = "invalid value"
	Older      = "older version after newer"
	Ghost      = "instance list with a gone instance"
	Missing    = "instance list without a live instance"
	Partition  = "partition of peers"
	Versions   = "partition with two table versions"
	Burst      = "burst"
)

const (
	lateBy     = 500 * time.Millisecond // beyond lateDeadline
	burstSize  = 30
	olderFor   = 300 * time.Millisecond // the older table stands alone before the step goes on
	cutAt      = 2                      // tokens before a cut
	invalidRow = `{"epoch":1,"version":99,"parts":["0000"]}`
)

// Faults lists every fault.
var Faults = []Fault{
	{Name: DeadBefore, Group: AtEndpoint, meet: trouble.Fault{Kind: trouble.DeadBefore}},
	{Name: DeadAfter, Group: AtEndpoint, meet: trouble.Fault{Kind: trouble.DeadAfter}},
	{Name: Slow, Group: AtEndpoint, meet: trouble.Fault{Kind: trouble.Slow}},
	{Name: Error, Group: AtEndpoint, meet: trouble.Fault{Kind: trouble.Errored}},
	{Name: Doubled, Group: AtEndpoint, meet: trouble.Fault{Kind: trouble.Doubled}},
	{Name: Late, Group: AtEndpoint, meet: trouble.Fault{Kind: trouble.Late, Delay: lateBy}},
	{Name: Swapped, Group: AtEndpoint, meet: trouble.Fault{Kind: trouble.Swapped}},
	{Name: Cut, Group: AtEndpoint, meet: trouble.Fault{Kind: trouble.Cut, At: cutAt}},
	{Name: Killed, Group: AtInstance, apply: (*run).kill},
	{Name: Paused, Group: AtInstance, apply: (*run).pause},
	{Name: Restarted, Group: AtInstance, apply: (*run).restart},
	{Name: Down, Group: AtPlatform, apply: (*run).platformDown},
	{Name: Stale, Group: AtPlatform, apply: (*run).platformStale},
	{Name: Invalid, Group: AtPlatform, apply: (*run).platformInvalid},
	{Name: Older, Group: AtPlatform, apply: (*run).platformOlder},
	{Name: Ghost, Group: AtList, apply: (*run).listGhost},
	{Name: Missing, Group: AtList, apply: (*run).listMissing},
	{Name: Partition, Group: AtPeers, apply: (*run).partition},
	{Name: Versions, Group: AtPeers, apply: (*run).partitionVersions},
	{Name: Burst, Group: OfLoad, apply: (*run).burst},
}

// strike makes the fault come. It does so once.
func (r *run) strike() {
	r.once.Do(func() {
		for i, f := range r.cell.Faults {
			if i > 0 {
				time.Sleep(r.cell.Gap)
			}
			r.mark("fault %s", f.Name)
			if f.Group == AtEndpoint {
				continue
			}
			h := healing{last: f.Group == AtInstance, end: f.apply(r)}
			r.lock(func() { r.heals = append(r.heals, h) })
		}
	})
}

// healing ends a fault. Those that start a daemon come last, since it needs what the others took.
type healing struct {
	last bool
	end  func()
}

// arm sets an endpoint fault before the step acts: the next call of the stage meets it.
func (r *run) arm() {
	for _, fault := range r.cell.Faults {
		if fault.Group != AtEndpoint {
			continue
		}
		f := fault.meet
		f.Stage, f.Times = r.cell.Step.Stage, 1
		if r.cell.Step.Name == MidStream && f.At > 0 {
			f.At = midStream
		}
		r.trouble.Add(f)
	}
}

func nothing() {}

func (r *run) kill() func() {
	i := r.cell.Step.Victim
	r.loseDaemon(i)
	r.fleet.Members()[i].Kill()
	return func() {
		r.startAgain(i)
		r.awaitReady(i)
	}
}

func (r *run) restart() func() {
	i := r.cell.Step.Victim
	r.loseDaemon(i)
	r.fleet.Members()[i].Kill()
	r.startAgain(i)
	return func() { r.awaitReady(i) }
}

// pause wakes the daemon by itself, once the deadlines of its requests have passed.
func (r *run) pause() func() {
	i := r.cell.Step.Victim
	r.loseDaemon(i)
	resume, err := r.fleet.Members()[i].Pause()
	if err != nil {
		r.fail(err)
		return nothing
	}
	woken := make(chan struct{})
	time.AfterFunc(r.deadline()+pauseMargin, func() { resume(); close(woken) })
	return func() {
		<-woken
		r.lock(func() { r.lostUntil[i] = time.Now() })
	}
}

// views returns the platform as all daemons but the last see it.
func (r *run) views() []*platform.View {
	var views []*platform.View
	for _, m := range r.fleet.Members()[:last] {
		views = append(views, r.fleet.Platform.View(m.Name()))
	}
	return views
}

func (r *run) platformDown() func() {
	for _, v := range r.views() {
		v.SetDown(true)
	}
	return func() {
		for _, v := range r.views() {
			v.SetDown(false)
		}
	}
}

func (r *run) platformStale() func() { return r.setStale(r.first) }

// setStale holds most readers at a snapshot.
func (r *run) setStale(s platform.Snapshot) func() {
	for _, v := range r.views() {
		v.SetStale(s)
	}
	return func() {
		for _, v := range r.views() {
			v.SetStale(nil)
		}
	}
}

// platformInvalid publishes a manifest whose parts do not exist, and on healing
// the table once more, since the invalid one took its place.
func (r *run) platformInvalid() func() {
	r.fleet.Platform.Put(manifest.Key, []byte(invalidRow))
	return func() { r.publish(func(*fleettable.Table) {}) }
}

// platformOlder lets a change come into force and then answers with the first table.
func (r *run) platformOlder() func() {
	r.publish(func(s *fleettable.Table) { s.Accounts[0].Weight++ })
	r.waitInForce()
	heal := r.setStale(r.first)
	time.Sleep(olderFor)
	return heal
}

// listGhost lists an instance that nothing answers for.
func (r *run) listGhost() func() {
	members := append(r.fleet.Members(), ghost{r.fleet.Members()[last]})
	if err := r.fleet.List(members...); err != nil {
		r.fail(err)
	}
	return r.relist
}

func (r *run) listMissing() func() {
	if err := r.fleet.List(r.fleet.Members()[:last]...); err != nil {
		r.fail(err)
	}
	return r.relist
}

func (r *run) relist() {
	if err := r.fleet.ListInstances(); err != nil {
		r.fail(err)
	}
}

func (r *run) partition() func() {
	names := r.names()
	return r.fleet.Part(names[:1], names[1:])
}

// partitionVersions cuts one side off and lets only the other see the next table.
func (r *run) partitionVersions() func() {
	healPeers := r.partition()
	r.lock(func() { r.apart[issuer] = true })
	view := r.fleet.Platform.View(r.names()[issuer])
	view.SetStale(r.fleet.Platform.Snapshot())
	r.publish(func(s *fleettable.Table) { s.Accounts[0].Weight++ })
	return func() {
		healPeers()
		view.SetStale(nil)
		r.lock(func() { r.apart[issuer] = false })
	}
}

// burst sends many requests at once to all daemons.
func (r *run) burst() func() {
	wait := r.async(func() {
		var waits []func()
		for n := range burstSize {
			i := n % len(r.fleet.Members())
			capped := n%2 == 0
			waits = append(waits, r.async(func() { r.chat(r.ctx, i, capped) }))
		}
		for _, w := range waits {
			w()
		}
	})
	return wait
}

// ghost is a listed instance at an address where nothing listens.
type ghost struct{ member.Member }

// Name returns the name of no daemon.
func (g ghost) Name() string { return "entry-gone" }

// Peer returns an address that refuses connections.
func (g ghost) Peer() string { return "127.0.0.1:1" }
