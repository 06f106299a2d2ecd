package versionset_test

// This file tests Tracker.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

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

// TestOnlyVersion guards against a service that counts as having one version while streams of
// another one may be taken up, and against a release that is remembered for ever.
func TestOnlyVersion(t *testing.T) {
	start := time.Unix(1000, 0)
	type step struct {
		after    time.Duration
		versions []string
	}
	for name, c := range map[string]struct {
		steps []step
		told  string // version that another instance saw at the start
		after time.Duration
		want  string
	}{
		"one":                          {steps: []step{{0, []string{"v1", "v1"}}}, want: "v1"},
		"none":                         {steps: []step{{0, nil}}},
		"two":                          {steps: []step{{0, []string{"v1", "v2"}}}},
		"one of them unknown":          {steps: []step{{0, []string{"v1", ""}}}},
		"all unknown":                  {steps: []step{{0, []string{""}}}},
		"after a release":              {steps: []step{{0, []string{"v1"}}, {time.Second, []string{"v2"}}}, after: 59 * time.Second},
		"long after a release":         {steps: []step{{0, []string{"v1"}}, {time.Second, []string{"v2"}}}, after: 2 * time.Minute, want: "v2"},
		"replaced long after a change": {steps: []step{{0, []string{"v1"}}, {time.Hour, []string{"v2"}}}, after: time.Hour + time.Second},
		"after a restart":              {steps: []step{{time.Second, []string{"v2"}}}, told: "v1", after: 2 * time.Second},
		"told the same":                {steps: []step{{time.Second, []string{"v1"}}}, told: "v1", after: 2 * time.Second, want: "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			tr := versionset.New()
			if c.told != "" {
				tr.Learn(origin.Origin{Service: "s", Version: c.told}, start)
			}
			for _, s := range c.steps {
				tr.Observe(endpoints(s.versions...), start.Add(s.after))
			}
			version, ok := tr.Only("s", start.Add(c.after))
			g.Expect(ok).To(Equal(c.want != ""))
			if ok {
				g.Expect(version).To(Equal(c.want))
			}
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
