// Package output computes the outputs of the stand-in engines and pools. An output
// depends only on the call, so that tests can compute which response a caller must
// receive.
package output

// This file defines the outputs of pool workers and engines.

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Pool returns the output of a pool worker for a stage of a request.
func Pool(request, stage, prompt string) string {
	return fmt.Sprintf("%s-%016x", stage, xxhash.Sum64String(request+"\x00"+stage+"\x00"+prompt))
}

// Token returns token i, counted from 0, of an engine's output for a stage of a
// request.
func Token(request, stage, prompt string, i int) string {
	return fmt.Sprintf(" %08x", uint32(xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%s\x00%d", request, stage, prompt, i))))
}

// Text returns the first n tokens of an engine's output, concatenated.
func Text(request, stage, prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(request, stage, prompt, i))
	}
	return b.String()
}
