package matrix

// This file generates the text of docs/FAULTS.md.

import (
	"fmt"
	"strings"
)

const head = `# Fault matrix

Every fault at every step. Written by ` + "`go test ./internal/bench/matrix -update`" + ` and checked by
` + "`go test ./internal/bench/matrix`" + `; ` + "`-cell TEXT`" + ` runs the cells whose name contains a text and ` + "`-rounds N`" + `
runs each cell N times. Three daemons stand before three data centres with an endpoint of each role.

A cell sends the step's request or makes the operator's change, lets the fault come at that point, makes other requests
at the other daemons meanwhile, ends the fault, and asks every daemon again. It checks all promises from what the
stand-ins counted and what the callers received: own result, whole answer, "not run", at most once, leaving, graceful
stop, table in force, and that requests are answered where a way is left and all after the fault.

- An endpoint fault meets one call of the step's stage, at whichever endpoint it comes to; for steps without a stage,
  the next call of any stage.
- The daemon that is killed, paused or restarted is a process of its own: SIGKILL, SIGSTOP and SIGCONT, and a new process.
  The others share the test's process. Answers that the fault itself took from a caller are excused while it lasts.
- The configuration service is down or stale for all daemons but one.
- Peers reach one another through relays that a partition cuts.
- The placement step has one issuer of orders, since issuers take turns of many seconds. The engine that it moves takes
  old orders where an instance or the configuration service is at fault, and refuses them elsewhere.

held: the suite checks this cell. red: KNOWN-RED.txt lists it.
`

const broken = `
## Deliberate breaks

Each row is a change of the product's code that must turn its cell red with a violation of its promise. ` + "`go test ./internal/bench/matrix -run TestBreaks -breaks`" + `
builds the product with each (an overlay of the build; the files stay as they are) and runs the cell, or the test where
the time between two of the product's steps is too short for a cell to come between. Without that flag the
suite skips a row whose change no longer fits the code, and names it.

| Break | Promise | Caught by |
| --- | --- | --- |
`

// Page returns the text of docs/FAULTS.md. The function isRed reports whether
// violations of a cell are known and listed in KNOWN-RED.txt.
func Page(isRed func(cell string) bool) string {
	var b strings.Builder
	b.WriteString(head)
	fmt.Fprintf(&b, "\n| Fault |")
	for _, s := range Steps {
		fmt.Fprintf(&b, " %s |", s.Name)
	}
	fmt.Fprintf(&b, "\n|%s\n", strings.Repeat(" --- |", len(Steps)+1))
	for _, f := range Faults {
		fmt.Fprintf(&b, "| %s |", f.Name)
		for _, s := range Steps {
			mark := "held"
			if isRed(Cell{Step: s, Faults: []Fault{f}}.String()) {
				mark = "red"
			}
			fmt.Fprintf(&b, " %s |", mark)
		}
		b.WriteString("\n")
	}
	b.WriteString(broken)
	for _, k := range Breaks {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", k.Name, k.Promise, k.DetectedBy())
	}
	return b.String()
}
