package root_test

// This file checks the status command's page and exit codes.

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

// instance serves a status.
func instance(t *testing.T, s operator.Status) string {
	server := httptest.NewServer(operator.New(func() operator.Status { return s }, http.NotFoundHandler(), nil))
	t.Cleanup(server.Close)
	return server.URL
}

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

func TestStatusExitCodes(t *testing.T) {
	well := operator.Status{Name: "entry-1", Centre: "brno", Ready: true, Epoch: 1, Version: 4}
	later := well
	later.Version = 5
	unready := well
	unready.Ready = false
	refusing := well
	refusing.Refusal = "endpoint a, weight: got -1, want 0 or more"
	leaving := unready
	leaving.Stopping = true
	for _, c := range []struct {
		name string
		urls []string
		code int
		text string
	}{
		{"well", []string{instance(t, well), instance(t, well)}, 0, "1.4"},
		{"stopping", []string{instance(t, well), instance(t, leaving)}, 0, "stopping"},
		{"no answer", []string{instance(t, well), gone}, 2, "no answer"},
		{"not ready", []string{instance(t, well), instance(t, unready)}, 3, "not ready"},
		{"refusing", []string{instance(t, refusing)}, 3, "got -1, want 0 or more"},
		{"disagreeing", []string{instance(t, well), instance(t, later)}, 4, "1.5"},
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
