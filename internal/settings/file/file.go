// Package file reads settings files.
package file

// This file defines Read.

import (
	"fmt"
	"io"
	"os"
)

// MaxBytes is the greatest size of a settings file.
const MaxBytes = 1 << 20

// Read returns the content of a settings file. A file above MaxBytes is an error, and is not read as a whole.
func Read(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("reading settings: %w", err)
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("reading settings: %w", err)
	}
	if len(data) > MaxBytes {
		return nil, fmt.Errorf("reading settings: got a file above %d bytes", MaxBytes)
	}
	return data, nil
}
