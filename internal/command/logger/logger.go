// Package logger creates the structured logger of the programs.
package logger

// This file defines New.

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// New returns a logger that writes JSON lines to w. Level is "debug", "info" or
// "error"; any other value means info.
func New(w io.Writer, level string) logr.Logger {
	levels := map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "error": slog.LevelError}
	return logr.FromSlogHandler(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: levels[level]}))
}
