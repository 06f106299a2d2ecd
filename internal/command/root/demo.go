package root

// This file defines the demo command.

import (
	"encoding/json"
	"fmt"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

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
			r, err := demo.Run(c.Context(), o, logr.Discard())
			if err != nil {
				return err
			}
			if asJSON {
				err = json.NewEncoder(c.OutOrStdout()).Encode(r)
			} else {
				_, err = fmt.Fprintf(c.OutOrStdout(), "requests %d, answered %d, refused %d, lost %d, doubled %d\n",
					r.Requests, r.Answered, r.Refused, r.Lost, r.Doubled)
			}
			if err == nil && len(r.Broken) > 0 {
				err = fmt.Errorf("broken promises: %v", r.Broken)
			}
			return err
		},
	}
	f := c.Flags()
	f.StringVar(&o.Deployment, "deployment", "serikelang", "serikelang or slamka")
	f.IntVar(&o.Requests, "requests", 600, "requests to send")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the request mix")
	f.IntVar(&o.Daemons, "daemons", 3, "daemons to start")
	f.IntVar(&o.Workers, "workers", 16, "requests under way at once")
	f.BoolVar(&asJSON, "json", false, "print figures as JSON")
	return c
}
