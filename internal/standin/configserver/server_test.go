package configserver_test

// This file tests the views of different readers.

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/platform/configclient"
	"github.com/jacinthstile/jacinthstile/internal/standin/configserver"
)

// TestReadersHaveSeparateViews guards against a fault set for one reader that affects
// other readers, or that does not end when it is cleared.
func TestReadersHaveSeparateViews(t *testing.T) {
	g := NewWithT(t)
	p := configserver.New()
	read := func(name string) (string, error) {
		s := httptest.NewServer(p.View(name))
		defer s.Close()
		r, closeReader := configclient.New(s.URL)
		defer closeReader()
		v, err := r.Read(context.Background(), "k")
		return string(v.Data), err
	}
	p.Put("k", []byte("old"))
	before := p.Snapshot()
	p.Put("k", []byte("new"))
	p.View("stale").SetStale(before)
	p.View("down").SetDown(true)
	p.View("late").SetLag("k", time.Hour)
	p.View("own").Override("k", []byte("own"))
	for name, want := range map[string]string{"": "new", "stale": "old", "late": "old", "own": "own"} {
		g.Expect(read(name)).To(Equal(want), "reader %q", name)
	}
	_, err := read("down")
	g.Expect(err).To(HaveOccurred())
	p.View("stale").SetStale(nil)
	g.Expect(read("stale")).To(Equal("new"))
	g.Expect(p.Calls()).To(BeEquivalentTo(6))
}
