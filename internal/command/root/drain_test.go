package root_test

// This file checks the drain command's figures and exit codes.

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/entry/operator"
)

// serveEndpoints starts the operators' API of an instance with an endpoint report
// of the given rows, and returns its URL.
func serveEndpoints(t *testing.T, name string, rows ...operator.Endpoint) string {
	s := operator.New(func() operator.Status { return operator.Status{} }, http.NotFoundHandler(), nil)
	s.ServeEndpoints(func() operator.EndpointReport {
		return operator.EndpointReport{Name: name, Epoch: 1, Version: 7, Endpoints: rows}
	})
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return server.URL
}

// unreachable is a URL at which no server listens. The port of a closed test
// server would not do, since it may be given to another test at once; port 1 is
// given to no test server.
const unreachable = "http://127.0.0.1:1"

// TestDrainExitCodes guards against a drain command that reports an endpoint as
// empty although an instance still has calls in flight, sends new ones, has no
// such row in its table yet, or did not answer.
func TestDrainExitCodes(t *testing.T) {
	last := time.Now().Add(-4 * time.Second)
	open := operator.Endpoint{Name: "llm-01", Centre: "brno", Weight: 1, CallsInFlight: 2, LastCall: &last}
	busy := operator.Endpoint{Name: "llm-01", Centre: "brno", CallsInFlight: 1, LastCall: &last}
	empty := operator.Endpoint{Name: "llm-01", Centre: "brno", LastCall: &last}
	leaving := operator.Endpoint{Name: "llm-02", Centre: "brno", Weight: 1, Leaving: true}
	other := operator.Endpoint{Name: "llm-03", Centre: "praha", Weight: 1, CallsInFlight: 5}
	for _, c := range []struct {
		name string
		row  string
		urls []string
		code int
		text string
	}{
		{"empty", "llm-01", []string{serveEndpoints(t, "a", empty, other), serveEndpoints(t, "b", empty)}, 0, `"empty":true`},
		{"a whole data centre", "brno", []string{serveEndpoints(t, "a", empty, leaving, other)}, 0, `"endpoints":2`},
		{"in flight", "llm-01", []string{serveEndpoints(t, "a", busy), serveEndpoints(t, "b", empty)}, 2, `"flights":1`},
		{"still open on one", "llm-01", []string{serveEndpoints(t, "a", empty), serveEndpoints(t, "b", open)}, 2, `"closed":false`},
		{"not in force on one", "llm-01", []string{serveEndpoints(t, "a", empty), serveEndpoints(t, "b")}, 2, `"empty":false`},
		{"no answer", "llm-01", []string{serveEndpoints(t, "a", empty), unreachable}, 2, `"error":`},
		{"no such row", "llm-99", []string{serveEndpoints(t, "a", empty)}, 1, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			args := []string{"drain", c.row, "--json"}
			for _, u := range c.urls {
				args = append(args, "--operators", u)
			}
			out, code := run(args...)
			g.Expect(code).To(Equal(c.code))
			g.Expect(out).To(ContainSubstring(c.text))
		})
	}
}
