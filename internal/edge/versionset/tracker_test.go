package versionset_test

// This file tests Tracker.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/catalog"
	"github.com/jacinthstile/jacinthstile/internal/edge/origin"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/edge/versionset"
)

func endpoints(versions ...string) []*registry.Endpoint {
	list := []*registry.Endpoint{{Service: "other", Version: "v9"}}
	for _, v := range versions {
		list = append(list, &registry.Endpoint{Service: "s", Version: v})
	}
	return list
}

// route returns a stream route that leads to services.
func route(prefix string, services ...string) *catalog.Route {
	r := &catalog.Route{Host: "h", Prefix: prefix, Kind: catalog.Stream}
	for _, s := range services {
		r.Targets = append(r.Targets, catalog.Target{Service: s, Weight: 1})
	}
	return r
}

// TestOnlyVersion guards against a service that counts as having one version while streams of
// another one may be taken up, and against a release that is remembered for ever.
func TestOnlyVersion(t *testing.T) {
	start := time.Unix(1000, 0)
	type step struct {
		after    time.Duration
		versions []string
	}
	const long = -time.Hour
	for name, c := range map[string]struct {
		steps   []step
		told    string        // version that another instance saw at the start
		passing string        // version that was registered at the start and has gone by then
		since   time.Duration // when the instance began to watch, against the start
		after   time.Duration
		want    string
	}{
		"one":                              {steps: []step{{0, []string{"v1", "v1"}}}, since: long, want: "v1"},
		"none":                             {steps: []step{{0, nil}}},
		"two":                              {steps: []step{{0, []string{"v1", "v2"}}}, since: long},
		"one of them unknown":              {steps: []step{{0, []string{"v1", ""}}}, since: long},
		"all unknown":                      {steps: []step{{0, []string{""}}}, since: long},
		"after a release":                  {steps: []step{{0, []string{"v1"}}, {time.Second, []string{"v2"}}}, since: long, after: 59 * time.Second},
		"long after a release":             {steps: []step{{0, []string{"v1"}}, {time.Second, []string{"v2"}}}, since: long, after: 2 * time.Minute, want: "v2"},
		"replaced long after a change":     {steps: []step{{0, []string{"v1"}}, {time.Hour, []string{"v2"}}}, since: long, after: time.Hour + time.Second},
		"after a restart":                  {steps: []step{{time.Second, []string{"v2"}}}, since: long, told: "v1", after: 2 * time.Second},
		"told the same":                    {steps: []step{{time.Second, []string{"v1"}}}, since: long, told: "v1", after: 2 * time.Second, want: "v1"},
		"watched for less than a minute":   {steps: []step{{0, []string{"v1"}}}, since: -59 * time.Second},
		"watched for a minute":             {steps: []step{{0, []string{"v1"}}}, since: -time.Minute, want: "v1"},
		"listed again":                     {steps: []step{{0, []string{"v1"}}}, since: time.Second, after: 30 * time.Second},
		"listed again long ago":            {steps: []step{{0, []string{"v1"}}}, since: time.Second, after: 61 * time.Second, want: "v1"},
		"another one came and went":        {steps: []step{{0, []string{"v1"}}}, since: long, passing: "v2", after: 59 * time.Second},
		"another one came and went before": {steps: []step{{0, []string{"v1"}}, {time.Hour, []string{"v1"}}}, since: long, passing: "v2", after: time.Hour, want: "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			tr := versionset.New()
			tr.Restart(start.Add(c.since))
			if c.passing != "" {
				tr.Register(&registry.Endpoint{Service: "s", Version: c.passing}, start)
			}
			if c.told != "" {
				tr.Learn(origin.Origin{Service: "s", Version: c.told}, start)
			}
			for _, s := range c.steps {
				tr.Observe(endpoints(s.versions...), start.Add(s.after))
			}
			version, ok := tr.Only(route("/p/", "s"), start.Add(c.after))
			g.Expect(ok).To(Equal(c.want != ""))
			if ok {
				g.Expect(version).To(Equal(c.want))
			}
		})
	}
}

// TestRoutesOfStreams guards against a stream that goes on at the one version of a service although its
// route led to another service when it began.
func TestRoutesOfStreams(t *testing.T) {
	start := time.Unix(1000, 0)
	plain := &catalog.Route{Host: "h", Prefix: "/plain/", Kind: catalog.Idempotent, Targets: []catalog.Target{{Service: "x"}}}
	for name, c := range map[string]struct {
		before, next []*catalog.Route
		want         bool
	}{
		"the same":               {[]*catalog.Route{route("/p/", "s"), route("/q/", "s")}, []*catalog.Route{route("/q/", "s"), route("/p/", "s")}, true},
		"other shares":           {[]*catalog.Route{route("/p/", "s", "t")}, []*catalog.Route{route("/p/", "t", "s", "s")}, true},
		"a plain route changes":  {[]*catalog.Route{route("/p/", "s")}, []*catalog.Route{route("/p/", "s"), plain}, true},
		"moved":                  {[]*catalog.Route{route("/p/", "t")}, []*catalog.Route{route("/p/", "s")}, false},
		"another one took over":  {[]*catalog.Route{route("/", "t")}, []*catalog.Route{route("/", "t"), route("/p/", "s")}, false},
		"a share of it is gone":  {[]*catalog.Route{route("/p/", "s", "t")}, []*catalog.Route{route("/p/", "s")}, false},
		"gone, and others serve": {[]*catalog.Route{route("/p/", "s"), route("/", "s")}, []*catalog.Route{route("/", "s")}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			tr := versionset.New()
			tr.Observe(endpoints("v1"), start)
			publish := func(version uint64, routes []*catalog.Route, at time.Time) {
				tr.ObserveRoutes(catalog.New(version, routes, nil, nil, false, catalog.Limits{}), at)
			}
			publish(1, c.before, start)
			publish(2, c.next, start.Add(time.Hour))
			_, ok := tr.Only(route("/p/", "s"), start.Add(time.Hour+59*time.Second))
			g.Expect(ok).To(Equal(c.want))
			_, ok = tr.Only(route("/p/", "s"), start.Add(time.Hour+time.Minute))
			g.Expect(ok).To(BeTrue(), "no stream of before is taken up any longer")
			_, ok = tr.Only(route("/p/", "s", "t"), start.Add(2*time.Hour))
			g.Expect(ok).To(BeFalse(), "the route leads to two services")
		})
	}
}

// TestDepartedVersions guards against a starting instance that is not told of a version whose last
// endpoint has just gone.
func TestDepartedVersions(t *testing.T) {
	start := time.Unix(1000, 0)
	tr := versionset.New()
	tr.Observe(endpoints("v1", "v2"), start)
	tr.Observe(endpoints("v2"), start.Add(time.Second))
	NewWithT(t).Expect(tr.Departed(start.Add(2 * time.Second))).
		To(Equal(map[origin.Origin]time.Time{{Service: "s", Version: "v1"}: start.Add(time.Second)}))
}
