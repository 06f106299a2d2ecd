package proxy_test

// This file tests streams of a service whose endpoints run several versions of their software.

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/admission/quarantine"
	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/origin"
	"github.com/jacinthstile/jacinthstile/internal/edge/proxy"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/edge/request"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

// setVersions gives the endpoints other versions.
func (h *harness) setVersions(versions ...string) {
	var list []registry.Endpoint
	h.mu.Lock()
	for address := range h.listeners {
		list = append(list, registry.Endpoint{Service: "s", Address: address, Centre: "a", Slots: 8, State: registry.Ready})
	}
	h.mu.Unlock()
	for i, e := range list {
		e.ID, e.Version = fmt.Sprint("e", i), versions[i]
		h.registry.Put(e, time.Now())
	}
}

// TestStreamOfAnotherAttempt guards against a stream that a caller takes up at an endpoint whose
// software did not begin it, and against one that could go on and is rejected. Nothing is sent for
// a stream that is rejected, and its caller is told so.
func TestStreamOfAnotherAttempt(t *testing.T) {
	const long = 2 * time.Minute
	v1, one := origin.Origin{Service: "s", Version: "v1"}, []catalog.Target{{Service: "s"}}
	for name, c := range map[string]struct {
		versions  []string // of the endpoints
		recorded  origin.Origin
		account   string // that the record is of
		resumes   string
		lastEvent string
		departed  string           // version that had endpoints a short time ago
		told      origin.Origin    // by the instance that received the request
		watched   time.Duration    // for which the instance has watched all registrations
		targets   []catalog.Target // of the route; service s and another one if empty
		stale     time.Duration    // since when the endpoints have not been confirmed
		crashed   bool             // the endpoint of the version is said to have crashed
		service   string           // that the request's route chose
		want      code.Code
	}{
		"begun here":                          {versions: []string{"v1", "v2"}, recorded: v1, resumes: "c0", lastEvent: "4"},
		"without an event id":                 {versions: []string{"v1", "v2"}, recorded: v1, resumes: "c0"},
		"no endpoint of the version":          {versions: []string{"v2", "v3"}, recorded: v1, resumes: "c0", lastEvent: "4", want: code.VersionGone},
		"its endpoint has crashed":            {versions: []string{"v1", "v2"}, recorded: v1, resumes: "c0", lastEvent: "4", crashed: true, want: code.VersionGone},
		"not known, two versions":             {versions: []string{"v1", "v2"}, resumes: "c0", lastEvent: "4", want: code.StreamUnknown},
		"not known, one version":              {versions: []string{"v1", "v1"}, watched: long, targets: one, resumes: "c0", lastEvent: "4"},
		"not known, watched since a moment":   {versions: []string{"v1", "v1"}, watched: time.Second, targets: one, resumes: "c0", lastEvent: "4", want: code.StreamUnknown},
		"not known, never listed":             {versions: []string{"v1", "v1"}, targets: one, resumes: "c0", lastEvent: "4", want: code.StreamUnknown},
		"not known, two services":             {versions: []string{"v1", "v1"}, watched: long, resumes: "c0", lastEvent: "4", want: code.StreamUnknown},
		"not known, list is not confirmed":    {versions: []string{"v1", "v1"}, watched: long, targets: one, stale: time.Minute, resumes: "c0", lastEvent: "4", want: code.NotReady},
		"not known, after a release":          {versions: []string{"v1", "v1"}, watched: long, targets: one, departed: "v0", resumes: "c0", lastEvent: "4", want: code.StreamUnknown},
		"not known, one endpoint without":     {versions: []string{"v1", ""}, watched: long, targets: one, resumes: "c0", lastEvent: "4", want: code.StreamUnknown},
		"begun here, list is not confirmed":   {versions: []string{"v1", "v2"}, recorded: v1, stale: 4 * time.Second, resumes: "c0", lastEvent: "4", want: code.NotReady},
		"told by another instance":            {versions: []string{"v1", "v2"}, told: v1, resumes: "c0", lastEvent: "4"},
		"of another account":                  {versions: []string{"v1", "v2"}, recorded: v1, account: "b", resumes: "c0", lastEvent: "4", want: code.StreamUnknown},
		"names itself":                        {versions: []string{"v1", "v2"}, recorded: v1, resumes: "c1", lastEvent: "4", want: code.StreamUnknown},
		"names nothing":                       {versions: []string{"v1", "v2"}, recorded: v1, lastEvent: "4", want: code.StreamUnknown},
		"names no id":                         {versions: []string{"v1", "v2"}, recorded: v1, resumes: "\x7f, ,", lastEvent: "4", want: code.StreamUnknown},
		"names nothing, one version":          {versions: []string{"v1", "v1"}, watched: long, targets: one, lastEvent: "4"},
		"its route chose another service":     {versions: []string{"v1", "v2"}, recorded: v1, resumes: "c0", lastEvent: "4", service: "t"},
		"its route leads to no such service":  {versions: []string{"v1", "v2"}, recorded: origin.Origin{Service: "u", Version: "v1"}, resumes: "c0", lastEvent: "4", want: code.VersionGone},
		"first event of an unknown version":   {versions: []string{"", ""}, resumes: "c0", lastEvent: "4", want: code.StreamUnknown},
		"many endpoints, one of the version":  {versions: []string{"v2", "v2", "v2", "v2", "v2", "v1"}, recorded: v1, resumes: "c0", lastEvent: "4"},
		"many endpoints, none of the version": {versions: []string{"v2", "v2", "v2", "v2", "v2", "v3"}, recorded: v1, resumes: "c0", lastEvent: "4", want: code.VersionGone},
	} {
		for _, resume := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, resume=%t", name, resume), func(t *testing.T) {
				g := NewWithT(t)
				h := newHarness(t, len(c.versions), streamEvents(5, 9, true))
				h.setVersions(c.versions...)
				if c.departed != "" {
					h.versions.Learn(origin.Origin{Service: "s", Version: c.departed}, time.Now())
				}
				h.RecordBegun(origin.Key(c.account, "c0"), c.recorded)
				if !c.recorded.Known() {
					clear(h.origins)
				}
				if c.crashed {
					h.loseVersion("v1")
				}
				req := newRequest(catalog.Stream, 2, resume)
				req.Resumes, req.LastEventID = c.resumes, c.lastEvent
				if req.Route.Targets = c.targets; c.targets == nil {
					req.Route.Targets = []catalog.Target{{Service: "s"}, {Service: "t"}}
				}
				if c.watched > 0 {
					h.versions.Restart(time.Now().Add(-c.watched))
				}
				h.clock.Add(int64(c.stale))
				req.Origin = c.told
				if c.service != "" {
					req.Service = c.service
				}
				w := httptest.NewRecorder()
				err := h.proxy.Serve(context.Background(), req, w)
				if c.want == 0 {
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(h.sent()).To(Equal(1))
					g.Expect(h.requestedVersions()).To(Equal([]string{"v1"}))
					return
				}
				g.Expect(fault.From(err).Code).To(Equal(c.want))
				g.Expect(h.sent()).To(Equal(0))
				g.Expect(h.prepares).To(Equal(0), "no stage work is done for it")
			})
		}
	}
}

// loseVersion records that the endpoints of a version crashed.
func (h *harness) loseVersion(version string) {
	for _, e := range h.index().AcceptingVersion("s", version) {
		h.quarantine.RecordLoss(quarantine.Loss{Engine: e.Name(), Crashed: true, Fingerprint: 7, At: time.Now()})
	}
}

// requestedVersions returns the versions of the endpoints that got requests.
func (h *harness) requestedVersions() []string {
	byAddress := make(map[string]string)
	for _, e := range h.index().Accepting("s") {
		byAddress[e.Address] = e.Version
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []string
	for _, address := range h.reached {
		list = append(list, byAddress[address])
	}
	return list
}

// TestStreamIsResumedAtItsVersion guards against one answer with events of two versions: the engine is
// lost before, between and inside events, with and without another one of its version, and the
// coordinator names an engine of another version, as an older build of it may.
func TestStreamIsResumedAtItsVersion(t *testing.T) {
	for name, c := range map[string]struct {
		versions []string
		first    script
		resume   bool
		want     int  // events that the caller gets
		sends    int  // to endpoints
		any      bool // the second endpoint may have any version
		crash    bool // the first endpoint ends
	}{
		"between events":                  {[]string{"v1", "v1", "v2", "v2"}, streamEvents(0, 2, false), true, 10, 2, false, false},
		"inside an event":                 {[]string{"v1", "v1", "v2", "v2"}, breakInsideEvent(2), true, 10, 2, false, false},
		"before the first event":          {[]string{"v1", "v2"}, breakInsideEvent(0), true, 10, 2, true, false},
		"crash":                           {[]string{"v1", "v1", "v2", "v2"}, streamEvents(0, 2, false), true, 10, 2, false, true},
		"only its connection lost":        {[]string{"v1", "v2"}, streamEvents(0, 2, false), true, 10, 2, false, false},
		"crash, the only one":             {[]string{"v1", "v2"}, streamEvents(0, 2, false), true, 3, 1, false, true},
		"crash inside, the only one":      {[]string{"v1", "v2"}, breakInsideEvent(2), true, 2, 1, false, true},
		"may not be resumed":              {[]string{"v1", "v1"}, streamEvents(0, 2, false), false, 3, 1, false, false},
		"version not known":               {[]string{"", ""}, streamEvents(0, 2, false), true, 3, 1, false, false},
		"three versions, crash":           {[]string{"v1", "v2", "v3"}, streamEvents(0, 2, false), true, 3, 1, false, true},
		"three versions, two of the last": {[]string{"v1", "v1", "v2", "v2", "v3", "v3"}, streamEvents(0, 2, false), true, 10, 2, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var h *harness
			second := streamEvents(3, 9, true)
			if c.any {
				second = streamEvents(0, 9, true)
			} else if name == "inside an event" {
				second = streamEvents(2, 9, true)
			}
			first := c.first
			if c.crash {
				first = func(w net.Conn, r *http.Request) {
					h.refuse(w)
					c.first(w, r)
				}
			}
			h = newHarness(t, len(c.versions), first, second)
			h.setVersions(c.versions...)
			h.prepare = h.preferOtherVersion
			w, err := h.serveRequest(catalog.Stream, 2, c.resume)
			if c.want == 10 {
				g.Expect(err).NotTo(HaveOccurred())
			} else {
				g.Expect(err).To(Equal(proxy.ErrStreamBroken))
			}
			g.Expect(countEvents(w)).To(Equal(c.want))
			got := h.requestedVersions()
			g.Expect(got).To(HaveLen(c.sends))
			if c.sends == 2 && !c.any {
				g.Expect(got[1]).To(Equal(got[0]))
			}
			if c.resume && c.want > 0 && got[0] != "" {
				o, ok := h.Origin(context.Background(), origin.Key("", "c1"))
				g.Expect(ok).To(BeTrue(), "other instances can find what began the stream")
				g.Expect(o).To(Equal(origin.Origin{Service: "s", Version: got[len(got)-1]}))
			}
		})
	}
}

// preferOtherVersion names an endpoint of another version than the wanted one.
func (h *harness) preferOtherVersion(p proxy.PrepareParams) (proxy.Prepared, error) {
	prepared := proxy.Prepared{Started: func() {}, Ended: func() {}}
	for _, e := range h.index().Accepting("s") {
		if p.Version != "" && e.Version != p.Version {
			prepared.PreferredEndpoint = e.Name()
		}
	}
	return prepared, nil
}

// TestInferredOriginAwaitsConfirmation guards against a stream that goes on at the only version in sight while
// the registration of the version that began it is on its way, and against a wait without end.
func TestInferredOriginAwaitsConfirmation(t *testing.T) {
	for name, c := range map[string]struct {
		registered string // version that comes with the confirmation; empty for none
		confirmed  bool
		want       code.Code
	}{
		"confirmed":             {confirmed: true},
		"another version comes": {registered: "v2", confirmed: true, want: code.StreamUnknown},
		"not confirmed":         {want: code.NotReady},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			h := newHarness(t, 1, streamEvents(5, 9, true))
			h.versions.Restart(time.Now().Add(-time.Hour))
			h.clock.Add(int64(time.Second))
			time.AfterFunc(100*time.Millisecond, func() {
				if c.registered != "" {
					h.versions.Register(&registry.Endpoint{Service: "s", Version: c.registered}, time.Now())
				}
				if c.confirmed {
					h.freshness.Confirm(h.freshness.Now())
				}
			})
			req := newRequest(catalog.Stream, 2, true)
			req.LastEventID, req.Route.Targets = "4", []catalog.Target{{Service: "s"}}
			err := h.proxy.Serve(context.Background(), req, httptest.NewRecorder())
			if c.want == 0 {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(fault.From(err).Code).To(Equal(c.want))
			g.Expect(h.sent()).To(Equal(0))
		})
	}
}

// TestProcessUnderTheSameIDHasNoKnownVersion guards against the version of a process that crashed
// being taken for that of the one which answers in its place: its registration may be on its way.
func TestProcessUnderTheSameIDHasNoKnownVersion(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1, streamEvents(0, 2, false), streamEvents(3, 9, true))
	h.loseVersion("v1")
	_, err := h.serveRequest(catalog.Stream, 2, true)
	g.Expect(err).To(Equal(proxy.ErrStreamBroken))
	o, _ := h.Origin(context.Background(), origin.Key("", "c1"))
	g.Expect(o.Known()).To(BeFalse())
}

// TestProcessReplacedUnderTheSameIDBeganNothing guards against a stream that goes on at the version which the
// list named when it began, although another process answered under the endpoint's id: the registration
// of that one, which was born before the request was sent, came later.
func TestProcessReplacedUnderTheSameIDBeganNothing(t *testing.T) {
	for name, resumedByCaller := range map[string]bool{"within an answer": false, "by its caller": true} {
		t.Run(name, func(t *testing.T) {
			var h *harness
			born := time.Now().UnixMilli()
			begin := func(w net.Conn, r *http.Request) { // the new process, of version v2
				e := *h.index().ByName("e0@0")
				e.Version, e.StartTime = "v2", born
				h.registry.Put(e, time.Now())
				h.registry.Put(registry.Endpoint{ID: "e1", Service: "s", Address: h.listen(t), Centre: "a", Slots: 8, State: registry.Ready, Version: "v1"}, time.Now())
				h.freshness.Confirm(h.freshness.Now())
				streamEvents(0, 2, resumedByCaller)(w, r)
			}
			h = newHarness(t, 1, begin, streamEvents(3, 9, true))
			h.clock.Add(int64(time.Second)) // the list is older than the process
			_, err := h.serveRequest(catalog.Stream, 2, true)
			if !resumedByCaller {
				h.g.Expect(err).To(Equal(proxy.ErrStreamBroken))
			} else {
				req := newRequest(catalog.Stream, 2, true)
				req.ID, req.Resumes, req.LastEventID = "c2", "c1", "2"
				h.g.Expect(h.proxy.Serve(t.Context(), req, httptest.NewRecorder())).NotTo(Succeed())
			}
			h.g.Expect(h.sent()).To(Equal(1), "requests at endpoints, of versions v2 and v1")
		})
	}
}

// TestUnknownOriginIsNotInferred guards against a stream that the only version in sight is said to have begun,
// although the instance knows that the process which began it may have had another one: that process
// answered under the id of one that crashed, and its registration has not come.
func TestUnknownOriginIsNotInferred(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1, streamEvents(0, 2, false), streamEvents(3, 9, true))
	h.versions.Restart(time.Now().Add(-time.Hour))
	h.loseVersion("v1")
	_, err := h.serveRequest(catalog.Stream, 1, true)
	g.Expect(err).To(Equal(proxy.ErrStreamBroken))
	h.registry.Put(registry.Endpoint{ID: "e1", Service: "s", Address: h.listen(t), Centre: "a", Slots: 8, State: registry.Ready, Version: "v1"}, time.Now())
	req := newRequest(catalog.Stream, 2, true)
	req.ID, req.Resumes, req.LastEventID, req.Route.Targets = "c2", "c1", "2", []catalog.Target{{Service: "s"}}
	g.Expect(h.proxy.Serve(t.Context(), req, httptest.NewRecorder())).NotTo(Succeed())
	g.Expect(h.sent()).To(Equal(1), "requests at endpoints")
}

// TestOtherRequestsIgnoreWhatTheyWouldTakeUp guards against a plain request that is rejected as it
// carries headers of streams.
func TestOtherRequestsIgnoreWhatTheyWouldTakeUp(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Idempotent, catalog.NonIdempotent} {
		r := &request.Request{Route: &catalog.Route{Kind: kind}, LastEventID: "3", Resumes: "c0"}
		NewWithT(t).Expect(r.TakesUp()).To(BeFalse())
	}
}
