package root

// This file defines the command that collects the log lines of one request.

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/jacinthstile/jacinthstile/internal/command/trace"
)

func newTrace() *cobra.Command {
	var files []string
	var asJSON bool
	c := &cobra.Command{
		Use:   "trace ID",
		Short: "Put the log lines of one request in order, from the logs of all instances",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			t, err := readLogs(files, args[0])
			if err != nil {
				return err
			}
			if len(t.Lines) == 0 {
				return exitError{code: exitNegative, text: fmt.Sprintf("no line of request %s", args[0])}
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(t)
			}
			return t.Write(c.OutOrStdout())
		},
	}
	c.Flags().StringSliceVar(&files, "log", nil, "log files of the instances; standard input if none")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

func readLogs(files []string, id string) (*trace.Trace, error) {
	if len(files) == 0 {
		return trace.Read(os.Stdin, id)
	}
	var readers []io.Reader
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		readers = append(readers, f)
	}
	return trace.Read(trace.Join(readers...), id)
}
