package root

// This file defines the drain command.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/jacinthstile/jacinthstile/internal/command/drain"
	"github.com/jacinthstile/jacinthstile/internal/command/operatorclient"
	"github.com/jacinthstile/jacinthstile/internal/platform/configclient"
	"github.com/jacinthstile/jacinthstile/internal/platform/instance"
)

// drainInterval is the time between two queries of drain --wait.
const drainInterval = time.Second

// errNotEmpty makes the command exit with code 2.
var errNotEmpty = exitError{code: 2, text: "the row is not empty"}

type drainOptions struct {
	client   operatorclient.Options
	platform string
	wait     bool
	asJSON   bool
}

func newDrain() *cobra.Command {
	var o drainOptions
	c := &cobra.Command{
		Use:   "drain ROW",
		Short: "Show over all instances how an endpoint or a data centre empties",
		Long: `Show over all instances how an endpoint or a data centre empties. The table
empties it, by weight 0 or a date, or the platform's list.

Exit codes: 0 empty; 2 not empty, or an instance did not answer; 1 any other
fault, such as a row that the table does not have.`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if o.platform != "" {
				urls, err := listOperatorURLs(c.Context(), o.platform)
				if err != nil {
					return err
				}
				o.client.URLs = urls
			}
			client, err := operatorclient.New(o.client)
			if err != nil {
				return err
			}
			return o.run(c.Context(), client, args[0], c.OutOrStdout())
		},
	}
	f := c.Flags()
	o.client.Bind(f)
	f.StringVar(&o.platform, "platform", "", "base URL of the configuration service, whose list names the operators' listeners")
	f.BoolVar(&o.wait, "wait", false, "ask every second until the row is empty")
	f.BoolVar(&o.asJSON, "json", false, "print a JSON object for each round")
	return c
}

// listOperatorURLs returns the URLs of the operators' listeners of all entry
// instances in the platform's list.
func listOperatorURLs(ctx context.Context, platform string) ([]string, error) {
	source, closeSource := configclient.New(platform)
	defer closeSource()
	v, err := source.Read(ctx, instance.Key)
	if err != nil {
		return nil, fmt.Errorf("reading the instance list: %w", err)
	}
	var list instance.List
	if err := json.Unmarshal(v.Data, &list); err != nil {
		return nil, fmt.Errorf("reading the instance list: %w", err)
	}
	var urls []string
	for _, i := range list.Instances {
		if !i.Entry {
			continue
		}
		if i.Operator == "" {
			return nil, fmt.Errorf("reading the instance list: %s has no operators' URL; give --operators", i.Name)
		}
		urls = append(urls, i.Operator)
	}
	return urls, nil
}

func (o *drainOptions) run(ctx context.Context, client *operatorclient.Client, row string, w io.Writer) error {
	for {
		r, err := drain.Summarize(row, client.Endpoints(ctx))
		if err != nil {
			return err
		}
		if err := o.print(w, r); err != nil {
			return err
		}
		if r.Empty {
			return nil
		}
		if !o.wait {
			return errNotEmpty
		}
		select {
		case <-time.After(drainInterval):
		case <-ctx.Done():
			return errNotEmpty
		}
	}
}

func (o *drainOptions) print(w io.Writer, r drain.Report) error {
	if o.asJSON {
		return json.NewEncoder(w).Encode(r)
	}
	state := "not empty"
	if r.Empty {
		state = "empty"
	}
	fmt.Fprintf(w, "%s %s: %d endpoints, %d in flight, last new call %s, %s\n",
		time.Now().Format(time.TimeOnly), r.Row, r.Endpoints, r.CallsInFlight, since(r.LastCall), state)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "  INSTANCE\tTABLE\tNEW WORK\tIN FLIGHT\tLAST NEW CALL\t")
	for _, n := range r.Instances {
		if n.Error != "" {
			fmt.Fprintf(t, "  %s\t-\t-\t-\t-\t%s\n", n.Name, n.Error)
			continue
		}
		work := "yes"
		if n.Closed {
			work = "no"
		}
		fmt.Fprintf(t, "  %s\t%d.%d\t%s\t%d\t%s\t\n", n.Name, n.Epoch, n.Version, work, n.CallsInFlight, since(n.LastCall))
	}
	return t.Flush()
}

func since(t *time.Time) string {
	if t == nil {
		return "never"
	}
	return time.Since(*t).Round(100*time.Millisecond).String() + " ago"
}
