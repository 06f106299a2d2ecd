package matrix

// This file defines Fault, lists the faults and injects them.

import (
	"time"

	"github.com/jacinthstile/jacinthstile/internal/bench/member"
	"github.com/jacinthstile/jacinthstile/internal/standin/configserver"
	"github.com/jacinthstile/jacinthstile/internal/standin/faultinject"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/manifest"
)

// Group is the part of the system that a fault affects.
type Group string

// Groups of faults. A fault AtPeers interrupts connections between instances; one
// AtLoad is a burst of requests.
const (
	AtEndpoint Group = "endpoint"
	AtInstance Group = "instance"
	AtPlatform Group = "configuration service"
	AtList     Group = "instance list"
	AtPeers    Group = "peers"
	AtLoad     Group = "load"
)

// Fault is a fault that a cell injects.
type Fault struct {
	Name  string
	Group Group

	standinFault faultinject.Fault          // what the stand-in does, for faults in group AtEndpoint
	inject       func(r *run) (heal func()) // for all other groups; heal ends the fault
}

// Names of the faults, in the order of the matrix.
const (
	DeadBefore        = "endpoint dead before reading"
	DeadAfter         = "endpoint dead after executing"
	Slow              = "endpoint 10 times slow"
	Error             = "endpoint error"
	Doubled           = "doubled answer"
	Late              = "late answer"
	Swapped           = "swapped answer"
	Cut               = "cut answer"
	Killed            = "instance killed"
	Paused            = "instance paused past the deadline"
	Restarted         = "instance restarted with nothing"
	Down              = "configuration service down"
	Stale             = "configuration service stale"
	Invalid           = "invalid value"
	Older             = "older version after newer"
	GoneListed        = "instance list with a gone instance"
	LiveUnlisted      = "instance list without a live instance"
	Partition         = "partition of peers"
	PartitionVersions = "partition with two table versions"
	Burst             = "burst"
)

const (
	lateDelay       = 500 * time.Millisecond // longer than shortDeadline
	burstSize       = 30
	olderDuration   = 300 * time.Millisecond // how long the platform answers with the older table before the step goes on
	tokensBeforeCut = 2                      // tokens before the stream is cut
	invalidManifest = `{"epoch":1,"version":99,"parts":["0000"]}`
)

// Faults lists every fault, in the order of the matrix.
var Faults = []Fault{
	{Name: DeadBefore, Group: AtEndpoint, standinFault: faultinject.Fault{Kind: faultinject.DeadBefore}},
	{Name: DeadAfter, Group: AtEndpoint, standinFault: faultinject.Fault{Kind: faultinject.DeadAfter}},
	{Name: Slow, Group: AtEndpoint, standinFault: faultinject.Fault{Kind: faultinject.Slow}},
	{Name: Error, Group: AtEndpoint, standinFault: faultinject.Fault{Kind: faultinject.Errored}},
	{Name: Doubled, Group: AtEndpoint, standinFault: faultinject.Fault{Kind: faultinject.Doubled}},
	{Name: Late, Group: AtEndpoint, standinFault: faultinject.Fault{Kind: faultinject.Late, Delay: lateDelay}},
	{Name: Swapped, Group: AtEndpoint, standinFault: faultinject.Fault{Kind: faultinject.Swapped}},
	{Name: Cut, Group: AtEndpoint, standinFault: faultinject.Fault{Kind: faultinject.Cut, At: tokensBeforeCut}},
	{Name: Killed, Group: AtInstance, inject: (*run).kill},
	{Name: Paused, Group: AtInstance, inject: (*run).pause},
	{Name: Restarted, Group: AtInstance, inject: (*run).restart},
	{Name: Down, Group: AtPlatform, inject: (*run).platformDown},
	{Name: Stale, Group: AtPlatform, inject: (*run).platformStale},
	{Name: Invalid, Group: AtPlatform, inject: (*run).platformInvalid},
	{Name: Older, Group: AtPlatform, inject: (*run).platformOlder},
	{Name: GoneListed, Group: AtList, inject: (*run).listGone},
	{Name: LiveUnlisted, Group: AtList, inject: (*run).listWithoutLive},
	{Name: Partition, Group: AtPeers, inject: (*run).partition},
	{Name: PartitionVersions, Group: AtPeers, inject: (*run).partitionVersions},
	{Name: Burst, Group: AtLoad, inject: (*run).burst},
}

// injectFaults injects the cell's faults in succession. Only the first call does so;
// the others wait for its end. Endpoint faults are only logged here, since
// armEndpointFaults has set them.
func (r *run) injectFaults() {
	r.once.Do(func() {
		for i, f := range r.cell.Faults {
			if i > 0 {
				time.Sleep(r.cell.Gap)
			}
			r.logf("fault %s", f.Name)
			if f.Group == AtEndpoint {
				continue
			}
			h := healing{runLast: f.Group == AtInstance, heal: f.inject(r)}
			r.withLock(func() { r.healings = append(r.healings, h) })
		}
	})
}

// healing ends a fault. Faults of instances are healed last: a daemon that starts
// needs the platform and the peers that other faults have taken away.
type healing struct {
	runLast bool
	heal    func()
}

// armEndpointFaults sets the endpoint faults before the step begins. Each affects
// the next call of the step's stage.
func (r *run) armEndpointFaults() {
	for _, fault := range r.cell.Faults {
		if fault.Group != AtEndpoint {
			continue
		}
		f := fault.standinFault
		f.Stage, f.Times = r.cell.Step.Stage, 1
		if r.cell.Step.Name == MidStream && f.At > 0 {
			f.At = midStreamToken
		}
		r.injector.Add(f)
	}
}

func noop() {}

// kill ends the victim at once. Healing starts it again.
func (r *run) kill() func() {
	i := r.cell.Step.Victim
	r.markUnavailable(i)
	r.fleet.Members()[i].Kill()
	return func() {
		r.startAgain(i)
		r.awaitReady(i)
	}
}

// restart ends the victim and starts it again at once, without its state.
func (r *run) restart() func() {
	i := r.cell.Step.Victim
	r.markUnavailable(i)
	r.fleet.Members()[i].Kill()
	r.startAgain(i)
	return func() { r.awaitReady(i) }
}

// pause suspends the victim. It resumes once the deadlines of its requests have
// passed, whether or not the fault has been healed; healing waits for that.
func (r *run) pause() func() {
	i := r.cell.Step.Victim
	r.markUnavailable(i)
	resume, err := r.fleet.Members()[i].Pause()
	if err != nil {
		r.recordError(err)
		return noop
	}
	woken := make(chan struct{})
	time.AfterFunc(r.deadline()+pauseMargin, func() { resume(); close(woken) })
	return func() {
		<-woken
		r.withLock(func() { r.availableSince[i] = time.Now() })
	}
}

// views returns the platform views of all daemons but the last.
func (r *run) views() []*configserver.View {
	var views []*configserver.View
	for _, m := range r.fleet.Members()[:lastDaemon] {
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

func (r *run) platformStale() func() { return r.setStale(r.initial) }

// setStale makes the platform answer with a snapshot to all daemons but the last.
func (r *run) setStale(s configserver.Snapshot) func() {
	for _, v := range r.views() {
		v.SetStale(s)
	}
	return func() {
		for _, v := range r.views() {
			v.SetStale(nil)
		}
	}
}

// platformInvalid publishes a manifest whose parts don't exist. Healing publishes
// the table again, since the invalid manifest has replaced it.
func (r *run) platformInvalid() func() {
	r.fleet.Platform.Put(manifest.Key, []byte(invalidManifest))
	return func() { r.publish(func(*fleettable.Table) {}) }
}

// platformOlder waits until a change is in force and then makes the platform answer
// with the first table.
func (r *run) platformOlder() func() {
	r.publish(func(t *fleettable.Table) { t.Accounts[0].Weight++ })
	r.waitInForce()
	heal := r.setStale(r.initial)
	time.Sleep(olderDuration)
	return heal
}

// listGone publishes an instance list with an additional instance that doesn't exist.
func (r *run) listGone() func() {
	members := append(r.fleet.Members(), goneInstance{r.fleet.Members()[lastDaemon]})
	if err := r.fleet.List(members...); err != nil {
		r.recordError(err)
	}
	return r.restoreList
}

// listWithoutLive publishes an instance list without the last daemon, which is live.
func (r *run) listWithoutLive() func() {
	if err := r.fleet.List(r.fleet.Members()[:lastDaemon]...); err != nil {
		r.recordError(err)
	}
	return r.restoreList
}

func (r *run) restoreList() {
	if err := r.fleet.ListInstances(); err != nil {
		r.recordError(err)
	}
}

// partition cuts the first daemon off from its peers.
func (r *run) partition() func() {
	names := r.names()
	return r.fleet.Partition(names[:1], names[1:])
}

// partitionVersions cuts the first daemon off from its peers, makes the platform
// answer it with the current state, and publishes a table that only the others see.
func (r *run) partitionVersions() func() {
	healPeers := r.partition()
	r.withLock(func() { r.isolated[firstDaemon] = true })
	view := r.fleet.Platform.View(r.names()[firstDaemon])
	view.SetStale(r.fleet.Platform.Snapshot())
	r.publish(func(t *fleettable.Table) { t.Accounts[0].Weight++ })
	return func() {
		healPeers()
		view.SetStale(nil)
		r.withLock(func() { r.isolated[firstDaemon] = false })
	}
}

// burst sends burstSize concurrent requests, evenly to all daemons. Every other
// one is of the capped account.
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

// goneInstance is a listed instance at an address where nothing listens.
type goneInstance struct{ member.Member }

// Name returns a name that no daemon has.
func (g goneInstance) Name() string { return "entry-gone" }

// PeerAddress returns an address that refuses connections.
func (g goneInstance) PeerAddress() string { return "127.0.0.1:1" }
