// Package logger builds the structured log of the programs.
package logger

// This file defines the construction of a logger.

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// New returns a logger that writes JSON lines to w. Level is "debug", "info" or "error".
func New(w io.Writer, level string) logr.Logger {
	levels := map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "error": slog.LevelError}
	return logr.FromSlogHandler(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: levels[level]}))
}
