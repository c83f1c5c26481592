package headers

import (
	"net/http"
	"strconv"
	"strings"
)

// maxTokens bounds the token counts of a request, so that sums of them don't overflow.
const maxTokens = 1 << 30

// Tokens holds the sizes of a generation request. A size that the caller does not state, or states as no number, is 0.
type Tokens struct {
	Prompt int
	// MaxOutput is the largest number of output tokens, OutputHint the caller's estimate of their number.
	MaxOutput  int
	OutputHint int
}

// Tokens returns the sizes that the headers of a request state.
func (n Names) Tokens(h http.Header) Tokens {
	prompt, output, _ := strings.Cut(h.Get(n.TokenCounts), ",")
	return Tokens{Prompt: tokenCount(prompt), MaxOutput: tokenCount(output), OutputHint: tokenCount(h.Get(n.LengthHint))}
}

// tokenCount returns 0 for text that is not a number of tokens.
func tokenCount(text string) int {
	value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(value > 0) {
		return 0
	}
	return int(min(value, maxTokens))
}
