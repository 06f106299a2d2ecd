package code_test

// This file checks the codes and that docs/CODES.md lists them.

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/result/class"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
)

const docPage = "../../../docs/CODES.md"

var update = flag.Bool("update", false, "write docs/CODES.md")

// TestPageMatchesCodes guards against a docs/CODES.md that was not written anew
// after a code was added or changed.
func TestPageMatchesCodes(t *testing.T) {
	g := NewWithT(t)
	if *update {
		g.Expect(os.WriteFile(docPage, []byte(render()), 0o644)).To(Succeed())
	}
	data, err := os.ReadFile(docPage)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(Equal(render()))
}

// TestEveryCodeHasAClassAndStatus guards against a new code whose thousands digit
// denotes no class, whose status is not an error, or that lacks a description.
func TestEveryCodeHasAClassAndStatus(t *testing.T) {
	for _, c := range code.All() {
		g := NewWithT(t)
		g.Expect(c.Class()).To(BeElementOf(class.NotRun, class.Unknown, class.Failed), "%d", int(c))
		g.Expect(c.Status()).To(BeNumerically(">=", 400), "%d", int(c))
		g.Expect(c.Text()).NotTo(BeEmpty(), "%d", int(c))
	}
}

func render() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\nEvery refusal or failure carries a number, its name and its class. " +
		"The thousands digit is the class: 1 not run (nothing reached an endpoint), 2 unknown (it may have run), " +
		"3 failed (it ran, wholly or in part, and gave no answer).\n\n" +
		"`go test ./internal/result/code -update` writes this page.\n\n" +
		"| Code | Name | Class | HTTP | Meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, c := range code.All() {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %d | %s |\n", int(c), c, c.Class(), c.Status(), c.Text())
	}
	return b.String()
}

// TestRetryableStatusesMeanNotRun guards against requests that run twice: clients
// and load balancers retry a request on statuses 408, 421, 429 and 503 because
// these say that it did not run, so only codes of class NotRun may have them.
func TestRetryableStatusesMeanNotRun(t *testing.T) {
	retryable := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	for _, c := range code.All() {
		if c.Class() != class.NotRun {
			NewWithT(t).Expect(retryable).NotTo(ContainElement(c.Status()), "code %d is of class %q", int(c), c.Class())
		}
	}
}
