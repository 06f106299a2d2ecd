package root

// This file defines the status command.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/jacinthstile/jacinthstile/internal/command/inquiry"
)

// Errors of the status command, by its exit codes.
var (
	errUnheard  = exitError{code: 2, text: "an instance did not answer"}
	errTrouble  = exitError{code: 3, text: "an instance is not ready, or refuses a table"}
	errDisagree = exitError{code: 4, text: "instances have different tables in force"}
)

// exitError is an error with the exit code of the program.
type exitError struct {
	code int
	text string
}

// Error returns the text.
func (e exitError) Error() string { return e.text }

// ExitCode returns the exit code for an error of a command: 1 unless the error has its own.
func ExitCode(err error) int {
	var e exitError
	if errors.As(err, &e) {
		return e.code
	}
	return 1
}

func newStatus() *cobra.Command {
	var o inquiry.Options
	var asJSON bool
	c := &cobra.Command{
		Use:   "status",
		Short: "Show the state of all instances on one page",
		Long: `Show the state of all instances on one page.

Exit codes: 0 all well; 2 an instance did not answer; 3 an instance is not
ready or refuses a table; 4 instances have different tables in force.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			q, err := inquiry.New(o)
			if err != nil {
				return err
			}
			return showStatus(c.Context(), q, c.OutOrStdout(), asJSON)
		},
	}
	o.Bind(c.Flags())
	c.Flags().BoolVar(&asJSON, "json", false, "print figures as JSON")
	return c
}

func showStatus(ctx context.Context, q *inquiry.Inquiry, w io.Writer, asJSON bool) error {
	answers := q.Ask(ctx)
	var err error
	if asJSON {
		err = json.NewEncoder(w).Encode(answers)
	} else {
		err = printStatus(w, answers)
	}
	return errors.Join(err, verdict(answers))
}

func printStatus(w io.Writer, answers []inquiry.Answer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "INSTANCE\tCENTRE\tSTATE\tTABLE\tPLATFORM\tPEERS\tIN FLIGHT\tTICKETS\tREMARK")
	for _, a := range answers {
		s := a.Status
		if a.Error != "" {
			fmt.Fprintf(t, "%s\t-\tno answer\t-\t-\t-\t-\t-\t%s\n", a.URL, a.Error)
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d.%d\t%s\t%s\t%d\t%d\t%s\n", s.Name, s.Centre, stateOf(a),
			s.Epoch, s.Version, ago(s.PlatformAge), ago(s.PeersAge), s.RequestsInFlight, s.Tickets, s.Refusal+s.Conflict)
	}
	return t.Flush()
}

func stateOf(a inquiry.Answer) string {
	switch {
	case a.Status.Stopping:
		return "stopping"
	case a.Status.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

// ago writes an age in seconds, such as "2s ago".
func ago(seconds float64) string {
	if seconds < 0 {
		return "never"
	}
	return fmt.Sprintf("%.0fs ago", seconds)
}

// verdict returns the error that the answers stand for, the worst first.
func verdict(answers []inquiry.Answer) error {
	trouble, disagree := false, false
	for _, a := range answers {
		s, first := a.Status, answers[0].Status
		if a.Error != "" {
			return errUnheard
		}
		trouble = trouble || !s.Ready && !s.Stopping || s.Refusal != "" || s.Conflict != ""
		disagree = disagree || s.Epoch != first.Epoch || s.Version != first.Version
	}
	switch {
	case trouble:
		return errTrouble
	case disagree:
		return errDisagree
	default:
		return nil
	}
}
