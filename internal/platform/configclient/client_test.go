package configclient_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/base/stall"
	"github.com/jacinthstile/jacinthstile/internal/platform/configclient"
)

// serve returns a client of a service that sends a value in parts, with a pause after each.
func serve(t *testing.T, part []byte, parts int, gap time.Duration) *configclient.Client {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Version", "2")
		for i := 0; i < parts && r.Context().Err() == nil; i++ {
			w.Write(part)
			w.(http.Flusher).Flush()
			time.Sleep(gap)
		}
	}))
	t.Cleanup(server.Close)
	c, closeClient := configclient.New(server.URL)
	t.Cleanup(closeClient)
	return c
}

// TestLargeValueOverSlowLink guards against a read that is given up while it progresses,
// and begun again for ever.
func TestLargeValueOverSlowLink(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	v, err := serve(t, make([]byte, 32<<10), 16, 250*time.Millisecond).Read(t.Context(), "table")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(v.Data).To(HaveLen(512 << 10))
}

// TestStalledValueIsGivenUp guards against waiting for a value that comes a byte at a time.
func TestStalledValueIsGivenUp(t *testing.T) {
	t.Parallel()
	g, start := NewWithT(t), time.Now()
	_, err := serve(t, []byte("x"), 1000, 20*time.Millisecond).Read(t.Context(), "table")
	g.Expect(err).To(MatchError(stall.ErrStalled))
	g.Expect(time.Since(start)).To(BeNumerically("<", 3*time.Second))
}
