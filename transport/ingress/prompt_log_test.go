package ingress_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// breakAfter returns a handler that sends a part of a stream and closes the connection.
func breakAfter(sent string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(names.Stamp, "s")
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, sent)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// TestLogTellsWhatABrokenAttemptWasAbout guards against attempts whose replica ended and whose log lines don't show what their prompts
// have in common and how far the responses had come.
func TestLogTellsWhatABrokenAttemptWasAbout(t *testing.T) {
	for name, test := range map[string]struct {
		serve http.HandlerFunc
		stage string
	}{
		"no response":  {resetConnection, "none"},
		"head":         {breakAfter(""), "head"},
		"broken event": {breakAfter("data: x"), "head"},
		"events":       {breakAfter("id: 1\ndata: x\n\n"), "events"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, streamRoute())
			h.startReplica("r1", "llm", test.serve)
			_ = h.call(http.MethodPost, "/stream/x", "", func(header http.Header) { header.Set(names.PromptPrefix, "aa:40,bb:800,cc:90") })
			lines := h.logLines("try failed")
			require.Len(t, lines, 1)
			require.Equal(t, []string{"aa", "bb", "cc"}, lines[0].Data["prompt_parts"])
			require.EqualValues(t, test.stage, lines[0].Data["response_stage"])
		})
	}
}

// TestRefusalsDontHideBrokenAttempts guards against attempts that broke at a replica and are missing in the log because many
// requests were refused at the same time.
func TestRefusalsDontHideBrokenAttempts(t *testing.T) {
	h := newHarness(t, streamRoute())
	h.startReplica("r1", "llm", resetConnection)
	for range 100 {
		_ = h.call(http.MethodPost, "/none/", "", nil)
	}
	_ = h.call(http.MethodPost, "/stream/x", "", nil)
	require.Less(t, len(h.logLines("request refused")), 101)
	require.Len(t, h.logLines("try failed"), 1)
}
