// Command jacinthstile is the command-line client for operators. It shows the
// state of running instances, checks tables, and runs demos and measurements.
package main

// This file runs the root command.

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jacinthstile/jacinthstile/internal/command/root"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root.New().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "jacinthstile:", err)
		os.Exit(root.ExitCode(err))
	}
}
