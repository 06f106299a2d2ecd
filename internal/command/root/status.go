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

	"github.com/jacinthstile/jacinthstile/internal/command/operatorclient"
)

// Errors of the status command, each with its exit code.
var (
	errNoAnswer     = exitError{code: 2, text: "an instance did not answer"}
	errUnhealthy    = exitError{code: 3, text: "an instance is not ready, or refuses a table"}
	errTablesDiffer = exitError{code: 4, text: "instances have different tables in force"}
)

// exitError is an error that sets the exit code of the program.
type exitError struct {
	code int
	text string
}

func (e exitError) Error() string { return e.text }

// ExitCode returns the exit code for an error of a command: that of an exitError,
// and 1 for any other error.
func ExitCode(err error) int {
	var e exitError
	if errors.As(err, &e) {
		return e.code
	}
	return 1
}

func newStatus() *cobra.Command {
	var o operatorclient.Options
	var asJSON bool
	c := &cobra.Command{
		Use:   "status",
		Short: "Show the state of all instances on one page",
		Long: `Show the state of all instances on one page.

Exit codes: 0 all well; 2 an instance did not answer; 3 an instance is not
ready or refuses a table; 4 instances have different tables in force.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := operatorclient.New(o)
			if err != nil {
				return err
			}
			return showStatus(c.Context(), client, c.OutOrStdout(), asJSON)
		},
	}
	o.Bind(c.Flags())
	c.Flags().BoolVar(&asJSON, "json", false, "print figures as JSON")
	return c
}

func showStatus(ctx context.Context, client *operatorclient.Client, w io.Writer, asJSON bool) error {
	statuses := client.Status(ctx)
	var err error
	if asJSON {
		err = json.NewEncoder(w).Encode(statuses)
	} else {
		err = printStatus(w, statuses)
	}
	return errors.Join(err, checkStatuses(statuses))
}

func printStatus(w io.Writer, statuses []operatorclient.InstanceStatus) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "INSTANCE\tCENTRE\tSTATE\tTABLE\tPLATFORM\tPEERS\tIN FLIGHT\tTICKETS\tREMARK")
	for _, a := range statuses {
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

func stateOf(a operatorclient.InstanceStatus) string {
	switch {
	case a.Status.Stopping:
		return "stopping"
	case a.Status.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

// ago formats an age in seconds, such as "2s ago". A negative age means never.
func ago(seconds float64) string {
	if seconds < 0 {
		return "never"
	}
	return fmt.Sprintf("%.0fs ago", seconds)
}

// checkStatuses returns the error for the worst problem in the statuses, or nil. In
// descending order these are: no answer; not ready, or a refused or conflicting
// table; different tables.
func checkStatuses(statuses []operatorclient.InstanceStatus) error {
	unhealthy, differ := false, false
	for _, a := range statuses {
		s, first := a.Status, statuses[0].Status
		if a.Error != "" {
			return errNoAnswer
		}
		unhealthy = unhealthy || !s.Ready && !s.Stopping || s.Refusal != "" || s.Conflict != ""
		differ = differ || s.Epoch != first.Epoch || s.Version != first.Version
	}
	switch {
	case unhealthy:
		return errUnhealthy
	case differ:
		return errTablesDiffer
	default:
		return nil
	}
}
