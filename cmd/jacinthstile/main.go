// Command jacinthstile is the operators' client.
package main

// This file starts the command line.

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
