package caller_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/guavatrestle/guavatrestle/bench/caller"
)

// TestMain fails the run if a test leaves goroutines behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	prompt = "quote"
	tokens = 3
)

func event(index int, text string) string {
	return fmt.Sprintf("data: {\"index\":%d,\"digest\":\"d\",\"text\":%q}\n\n", index, text)
}

// TestBrokenResponsesDoNotSucceed guards against a check that accepts a truncated, mixed-up or broken response.
func TestBrokenResponsesDoNotSucceed(t *testing.T) {
	const done = "data: [DONE]\n\n"
	complete := event(0, prompt) + event(1, prompt) + event(2, prompt) + done
	cases := map[string]struct {
		status int
		body   string
		abort  bool
		want   caller.Kind
	}{
		"whole":               {200, complete, false, caller.Succeeded},
		"no end":              {200, strings.TrimSuffix(complete, done), false, caller.Invalid},
		"lost event":          {200, event(0, prompt) + event(2, prompt) + done, false, caller.Invalid},
		"another's event":     {200, event(0, prompt) + event(1, "other") + event(2, prompt) + done, false, caller.Invalid},
		"repeated event":      {200, event(0, prompt) + event(1, prompt) + event(1, prompt) + done, false, caller.Invalid},
		"broken connection":   {200, event(0, prompt), true, caller.CutOff},
		"refusal not run":     {503, `{"code":"no_capacity","run":"not_run"}`, false, caller.Refused},
		"refusal unknown":     {502, `{"code":"upstream_failed","run":"unknown"}`, false, caller.Failed},
		"error without a run": {500, `internal error`, false, caller.Failed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
				if c.abort {
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
			}))
			defer web.Close()
			client := caller.New(false)
			defer client.Close()
			out := client.Do(t.Context(), caller.StreamedCompletion(web.URL, "token", "model", prompt, tokens))
			require.Equal(t, c.want, out.Kind, out.Detail)
		})
	}
}

// TestClosedListenerIsUnsent guards against counting a request as cut off although no connection was established.
func TestClosedListenerIsUnsent(t *testing.T) {
	web := httptest.NewServer(http.NotFoundHandler())
	web.Close()
	client := caller.New(false)
	defer client.Close()
	out := client.Do(t.Context(), caller.StreamedCompletion(web.URL, "token", "model", prompt, tokens))
	require.Equal(t, caller.Unsent, out.Kind, out.Detail)
}
