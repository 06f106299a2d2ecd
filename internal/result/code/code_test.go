package code_test

// This file compares the codes with docs/CODES.md.

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

const page = "../../../docs/CODES.md"

var update = flag.Bool("update", false, "write docs/CODES.md")

func TestPageMatchesCodes(t *testing.T) {
	g := NewWithT(t)
	if *update {
		g.Expect(os.WriteFile(page, []byte(render()), 0o644)).To(Succeed())
	}
	data, err := os.ReadFile(page)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(Equal(render()))
}

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

// TestPromisesAreKept checks that the statuses by which callers and balancers
// take a request for not run stand only where it never ran.
func TestPromisesAreKept(t *testing.T) {
	promises := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	for _, c := range code.All() {
		if c.Class() != class.NotRun {
			NewWithT(t).Expect(promises).NotTo(ContainElement(c.Status()), "code %d is of class %q", int(c), c.Class())
		}
	}
}
