package answerlog_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/stage/answerlog"
)

func TestAdd(t *testing.T) {
	g := NewWithT(t)
	l := answerlog.New()
	g.Expect(l.Add("a", "h1")).To(BeTrue())
	g.Expect(l.Add("a", "h2")).To(BeTrue())
	g.Expect(l.Add("a", "h1")).To(BeFalse(), "a copy that is not of the last answer")
	g.Expect(l.Add("b", "h1")).To(BeTrue(), "another endpoint")
	for i := range 10_000 {
		g.Expect(l.Add(fmt.Sprint("e", i), "h")).To(BeTrue())
		g.Expect(l.Add("c", fmt.Sprint(i))).To(BeTrue())
	}
}
