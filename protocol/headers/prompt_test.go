package headers_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol/headers"
)

// TestPromptPartsAreBounded guards against a header of a caller that is taken for more or longer parts than a process can keep, and
// against two spellings of one ID that count as two parts.
func TestPromptPartsAreBounded(t *testing.T) {
	names := headers.Names{PromptPrefix: "Req-Prompt"}
	for value, want := range map[string][]string{
		"":                               nil,
		"5c1e07a2:800,91bd3f06:410,a1:2": {"5c1e07a2", "91bd3f06", "a1"},
		" 5C1E07A2:800 , 91bd ":          {"5c1e07a2", "91bd"},
		",:5,,x":                         {"x"},
		strings.Repeat("a", 33) + ":1,b": {"b"},
	} {
		require.Equal(t, want, names.PromptParts(http.Header{"Req-Prompt": {value}}), value)
	}
	require.Len(t, names.PromptParts(http.Header{"Req-Prompt": {strings.Repeat("a:1,", 100)}}), 32)
	require.Empty(t, headers.Names{}.PromptParts(http.Header{"": {"a:1"}}))
}
