package headers_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol/headers"
)

// TestUnreadableTokenCountsAreUnknown guards against a malformed size that makes a request look larger or smaller than any other.
func TestUnreadableTokenCountsAreUnknown(t *testing.T) {
	names := headers.Names{TokenCounts: "Counts", LengthHint: "Hint"}
	for counts, want := range map[string]headers.Tokens{
		"1460,80": {Prompt: 1460, MaxOutput: 80, OutputHint: 40}, " 7 , 3 ": {Prompt: 7, MaxOutput: 3, OutputHint: 40},
		"1460": {Prompt: 1460, OutputHint: 40}, "": {OutputHint: 40}, "x,-5": {OutputHint: 40}, "NaN,Inf": {MaxOutput: 1 << 30, OutputHint: 40},
	} {
		require.Equal(t, want, names.Tokens(http.Header{"Counts": {counts}, "Hint": {"40"}}), counts)
	}
}
