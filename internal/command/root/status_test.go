package root_test

// This file checks the output and the exit codes of the status command.

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/command/root"
	"github.com/jacinthstile/jacinthstile/internal/entry/operator"
)

// serveStatus starts the operators' API of an instance with the status s, and
// returns its URL.
func serveStatus(t *testing.T, s operator.Status) string {
	server := httptest.NewServer(operator.New(func() operator.Status { return s }, http.NotFoundHandler(), nil))
	t.Cleanup(server.Close)
	return server.URL
}

// run executes the command line and returns its output and exit code.
func run(args ...string) (string, int) {
	var out bytes.Buffer
	c := root.New()
	c.SetOut(&out)
	c.SetArgs(args)
	if err := c.Execute(); err != nil {
		return out.String(), root.ExitCode(err)
	}
	return out.String(), 0
}

// TestStatusExitCodes guards against a status command that exits with 0, or with the
// code of a lesser problem, although an instance did not answer, is not ready,
// refuses a table, or has another table in force than the others.
func TestStatusExitCodes(t *testing.T) {
	healthy := operator.Status{Name: "entry-1", Centre: "brno", Ready: true, Epoch: 1, Version: 4}
	newer := healthy
	newer.Version = 5
	unready := healthy
	unready.Ready = false
	refusing := healthy
	refusing.Refusal = "endpoint a, weight: got -1, want 0 or more"
	leaving := unready
	leaving.Stopping = true
	for _, c := range []struct {
		name string
		urls []string
		code int
		text string
	}{
		{"healthy", []string{serveStatus(t, healthy), serveStatus(t, healthy)}, 0, "1.4"},
		{"stopping", []string{serveStatus(t, healthy), serveStatus(t, leaving)}, 0, "stopping"},
		{"no answer", []string{serveStatus(t, healthy), unreachable}, 2, "no answer"},
		{"not ready", []string{serveStatus(t, healthy), serveStatus(t, unready)}, 3, "not ready"},
		{"refusing", []string{serveStatus(t, refusing)}, 3, "got -1, want 0 or more"},
		{"disagreeing", []string{serveStatus(t, healthy), serveStatus(t, newer)}, 4, "1.5"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			out, code := run("status", "--operators", strings.Join(c.urls, ","))
			g.Expect(code).To(Equal(c.code))
			g.Expect(out).To(ContainSubstring(c.text))
			out, code = run("status", "--json", "--operators", strings.Join(c.urls, ","))
			g.Expect(code).To(Equal(c.code))
			g.Expect(json.Valid([]byte(out))).To(BeTrue())
		})
	}
}
