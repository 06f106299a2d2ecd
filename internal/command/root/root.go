// Package root provides the commands of the operators' command-line client.
package root

// This file defines the root command.

import (
	"github.com/spf13/cobra"
)

// New returns the root command with all subcommands.
func New() *cobra.Command {
	c := &cobra.Command{
		Use:           "jacinthstile",
		Short:         "Operate jacinthstile, a serving system for multi-stage model pipelines",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	c.AddCommand(
		newConfig(),
		newDemo(),
		newDrain(),
		newExperiment(),
		newLoad(),
		newMeasure(),
		newSettings(),
		newStandin(),
		newStatus(),
		newTable(),
		newTrace(),
		newVersion(),
	)
	return c
}
