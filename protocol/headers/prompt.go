package headers

import (
	"net/http"
	"strings"
)

const (
	// maxPromptParts bounds the parts of a prompt that PromptParts returns.
	maxPromptParts = 32
	// maxPartBytes is the longest ID of a part that PromptParts returns.
	maxPartBytes = 32
)

// PromptParts returns the IDs of the first parts of a request's prompt, in order. The header lists them separated by commas, each
// followed by a colon and its number of tokens. Parts without an ID or with a very long one are left out.
func (n Names) PromptParts(h http.Header) []string {
	value := h.Get(n.PromptPrefix)
	if n.PromptPrefix == "" || value == "" {
		return nil
	}
	var parts []string
	for entry := range strings.SplitSeq(value, ",") {
		id, _, _ := strings.Cut(strings.TrimSpace(entry), ":")
		if id == "" || len(id) > maxPartBytes {
			continue
		}
		if parts = append(parts, strings.ToLower(id)); len(parts) == maxPromptParts {
			break
		}
	}
	return parts
}
