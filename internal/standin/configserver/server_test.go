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
	srv := configserver.New()
	read := func(name string) (string, error) {
		s := httptest.NewServer(srv.View(name))
		defer s.Close()
		client, closeClient := configclient.New(s.URL)
		defer closeClient()
		v, err := client.Read(context.Background(), "k")
		return string(v.Data), err
	}
	srv.Put("k", []byte("old"))
	before := srv.Snapshot()
	srv.Put("k", []byte("new"))
	srv.View("stale").SetStale(before)
	srv.View("down").SetDown(true)
	srv.View("late").SetLag("k", time.Hour)
	srv.View("own").Override("k", []byte("own"))
	for name, want := range map[string]string{"": "new", "stale": "old", "late": "old", "own": "own"} {
		g.Expect(read(name)).To(Equal(want), "reader %q", name)
	}
	_, err := read("down")
	g.Expect(err).To(HaveOccurred())
	srv.View("stale").SetStale(nil)
	g.Expect(read("stale")).To(Equal("new"))
	g.Expect(srv.Calls()).To(BeEquivalentTo(6))
}
