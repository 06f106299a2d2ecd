// Package answer gives the outputs of the stand-ins. They depend on nothing but
// the call, so that a checker can work out what a caller must receive.
package answer

// This file defines the outputs of pools and engines.

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Pool returns the output of a pool's stage for a request and prompt.
func Pool(request, stage, prompt string) string {
	return fmt.Sprintf("%s-%016x", stage, xxhash.Sum64String(request+"\x00"+stage+"\x00"+prompt))
}

// Token returns token i of a model engine's output.
func Token(request, stage, prompt string, i int) string {
	return fmt.Sprintf(" %08x", uint32(xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%s\x00%d", request, stage, prompt, i))))
}

// Text returns a model engine's whole output of n tokens.
func Text(request, stage, prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(request, stage, prompt, i))
	}
	return b.String()
}
