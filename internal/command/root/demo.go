package root

// This file defines the demo command.

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"
	"golang.org/x/term"

	"github.com/jacinthstile/jacinthstile/internal/bench/demo"
)

func newDemo() *cobra.Command {
	var o demo.Options
	var asJSON bool
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run daemons and stand-ins in one process and check the promises",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if term.IsTerminal(int(os.Stderr.Fd())) {
				o.Progress = c.ErrOrStderr()
			}
			r, err := demo.Run(c.Context(), o, logr.Discard())
			if err != nil {
				return err
			}
			if err := printResult(c.OutOrStdout(), r, asJSON); err != nil {
				return err
			}
			if len(r.Broken) > 0 {
				return fmt.Errorf("%d promises broken, the first: %s", len(r.Broken), r.Broken[0])
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&o.Deployment, "deployment", "serikelang", "serikelang or slamka")
	f.IntVar(&o.Requests, "requests", 1500, "requests to send")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the request mix")
	f.IntVar(&o.Daemons, "daemons", 3, "daemons to start, 2 or more")
	f.Float64Var(&o.Rate, "rate", 120, "requests a second")
	f.IntVar(&o.Workers, "workers", 100, "most requests under way at once")
	f.BoolVar(&asJSON, "json", false, "print figures as JSON")
	return c
}

func printResult(w io.Writer, r demo.Result, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(r)
	}
	return r.Print(w)
}
