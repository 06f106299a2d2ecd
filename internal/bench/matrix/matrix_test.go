package matrix_test

// This file runs every cell and checks that docs/FAULTS.md matches the matrix.

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/bench/audit"
	"github.com/jacinthstile/jacinthstile/internal/bench/matrix"
)

var (
	only   = flag.String("cell", "", "run the cells whose name contains this text")
	update = flag.Bool("update", false, "write docs/FAULTS.md")
	rounds = flag.Int("rounds", 1, "run each cell this often")
	pairs  = flag.Int("pairs", 20, "cells of two faults to run")
	seed   = flag.Uint64("seed", 1, "seed of the first pair; the next ones follow it")
)

const (
	knownRed  = "../../../KNOWN-RED.txt"
	redPrefix = "matrix: "
)

// TestMain runs a daemon instead of the tests in processes started by process.
func TestMain(m *testing.M) {
	if settings := os.Getenv(settingsVariable); settings != "" {
		serve(settings)
		return
	}
	os.Exit(m.Run())
}

// TestMatrix guards the promises to callers: each cell injects a fault at a step of a
// request or of an operator's change, and no promise may be broken.
func TestMatrix(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Fault matrix")
}

// finding holds the violations and the log of one cell.
type finding struct {
	violations []audit.Violation
	log        []string
}

var (
	findings   = map[string]finding{}
	findingsMu sync.Mutex
)

// All cells run in parallel before the specs. Each spec then reports one cell.
var _ = BeforeSuite(func(ctx SpecContext) {
	slots := make(chan struct{}, max(2, runtime.GOMAXPROCS(0)/2))
	var wg sync.WaitGroup
	for range *rounds {
		for _, c := range append(matrix.Cells(), pairCells()...) {
			if !strings.Contains(c.String(), *only) {
				continue
			}
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				runCell(ctx, c)
			})
		}
	}
	wg.Wait()
})

// runCell runs a cell and stores its finding. If a cell runs several times, the first
// finding with violations is kept.
func runCell(ctx context.Context, c matrix.Cell) {
	violations, log := c.Run(ctx, process)
	findingsMu.Lock()
	defer findingsMu.Unlock()
	if known, ok := findings[c.String()]; ok && len(known.violations) > 0 {
		return
	}
	findings[c.String()] = finding{violations: violations, log: log}
}

func pairCells() []matrix.Cell {
	var cells []matrix.Cell
	for i := range *pairs {
		cells = append(cells, matrix.Pair(*seed+uint64(i)))
	}
	return cells
}

var _ = Describe("pairs", func() {
	It("keep the promises", func() {
		var broken []string
		for i, c := range pairCells() {
			f := findings[c.String()]
			for _, v := range f.violations {
				if !isKnownRed(c.String(), v.String()) {
					broken = append(broken, fmt.Sprintf("%s\n%v\nreplay: go test ./internal/bench/matrix -cell %q -pairs 1 -seed %d\n%s",
						c, f.violations, c.String(), *seed+uint64(i), strings.Join(f.log, "\n")))
					break
				}
			}
		}
		Expect(broken).To(BeEmpty(), strings.Join(broken, "\n\n"))
	})
})

func entries() []TableEntry {
	var out []TableEntry
	for _, c := range matrix.Cells() {
		out = append(out, Entry(c.String(), c))
	}
	return out
}

var _ = DescribeTable("keeps the promises", func(c matrix.Cell) {
	f, ok := findings[c.String()]
	if !ok {
		Skip("not among the cells asked for")
	}
	if len(f.violations) == 0 {
		return
	}
	report := fmt.Sprintf("%v\nreplay: go test ./internal/bench/matrix -cell %q\n%s",
		f.violations, c.String(), strings.Join(f.log, "\n"))
	for _, v := range f.violations {
		if !isKnownRed(c.String(), v.String()) {
			Fail(report)
		}
	}
	Skip("known red: " + report)
}, entries())

// isKnownRed reports whether KNOWN-RED.txt lists a violation of a cell, in a line
// "matrix: CELL: VIOLATION", where CELL and VIOLATION may each have one "*". The
// empty violation matches any.
func isKnownRed(cell, violation string) bool {
	file, err := os.Open(knownRed)
	if err != nil {
		return false
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		rest, ok := strings.CutPrefix(lines.Text(), redPrefix)
		if !ok {
			continue
		}
		cellPattern, violationPattern, _ := strings.Cut(rest, ": ")
		if matches(cell, cellPattern) && (violation == "" || matches(violation, violationPattern)) {
			return true
		}
	}
	return false
}

// matches reports whether a text matches a pattern, in which one "*" matches any text.
func matches(text, pattern string) bool {
	text = strings.TrimSpace(text)
	start, end, hasWildcard := strings.Cut(pattern, "*")
	if !hasWildcard {
		return text == pattern
	}
	return len(text) >= len(start)+len(end) && strings.HasPrefix(text, start) && strings.HasSuffix(text, end)
}

var _ = Describe("docs/FAULTS.md", func() {
	It("holds the matrix", func() {
		const path = "../../../docs/FAULTS.md"
		want := matrix.Page(func(cell string) bool { return isKnownRed(cell, "") })
		if *update {
			Expect(os.WriteFile(path, []byte(want), 0o644)).To(Succeed())
		}
		got, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal(want), "run go test ./internal/bench/matrix -update")
	})
})
