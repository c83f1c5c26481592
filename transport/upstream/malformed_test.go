package upstream_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/admission"
	"github.com/guavatrestle/guavatrestle/internal/headtest"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
)

const soundResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"

// requireMalformed requires that a response ends its request with an unknown outcome and as a failure of the back end.
func requireMalformed(t *testing.T, a *agentUnderTest, b *backEnd, raw string) {
	t.Helper()
	id := fmt.Sprintf("%q", raw)
	a.monitor.Poll(t.Context())
	o := a.call(t.Context(), id, http.MethodPost, "order")
	require.NoError(t, o.err)
	require.Nil(t, o.end, "%s was taken for an answer with body %q", id, o.body)
	require.Equal(t, wire.Run_RUN_UNKNOWN, o.refusal.GetRun(), id)
	require.Equal(t, 1, b.count(id))
	require.Equal(t, admission.ReasonUnidentified, a.gate.Snapshot().Closed, id)
	require.Zero(t, a.gate.Snapshot().Completed, id)
}

// TestMalformedAnswerIsNeverComplete guards against a malformed answer that an agent relays to the entry as a complete one: each status and
// name by its bytes.
func TestMalformedAnswerIsNeverComplete(t *testing.T) {
	var raw atomic.Pointer[string]
	b := startBackEnd(t, "a", func(w http.ResponseWriter, r *http.Request) { hijack(*raw.Load())(w, r) })
	a := newAgent(t, b.URL, longTiming)
	try := func(t *testing.T, text string) {
		raw.Store(&text)
		requireMalformed(t, a, b, text)
	}
	t.Run("status", func(t *testing.T) {
		for _, status := range headtest.Statuses() {
			for _, rest := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 5\r\n\r\nwrong", "Content-Length: 0\r\n\r\n" + soundResponse} {
				try(t, "HTTP/1.1 "+status+" Trouble\r\n"+rest)
			}
		}
	})
	for place, c := range map[string]struct{ name, before, after string }{
		"field":             {"X-Load", "HTTP/1.1 200 OK\r\n", ": 1\r\nContent-Length: 5\r\n\r\nwrong"},
		"length":            {"Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n", ": 7\r\n\r\nwrong"},
		"chunks and length": {"Transfer-Encoding", "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n", ": chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n"},
		"informational":     {"Link", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n", ": </a>\r\n\r\n" + soundResponse},
		"trailer":           {"X-Sum", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n", ": 1\r\n\r\n"},
	} {
		t.Run(place, func(t *testing.T) {
			for _, name := range headtest.Names(c.name) {
				try(t, c.before+name+c.after)
			}
		})
	}
	t.Run("protocol switched", func(t *testing.T) { try(t, "HTTP/1.1 101 Switching Protocols\r\n\r\n"+soundResponse) })
	t.Run("version", func(t *testing.T) { try(t, strings.Replace(soundResponse, "1.1", "2.0", 1)) })
	t.Run("reason", func(t *testing.T) { try(t, strings.Replace(soundResponse, "OK", "O\x01K", 1)) })
}

// TestLogNamesWhatIsMalformed guards against a rejected answer whose cause the log does not tell, and against a line for each of many.
func TestLogNamesWhatIsMalformed(t *testing.T) {
	for line, want := range map[string]string{
		"X Load: 1": `field name "X Load" is not a token`, "X\x01Load: 1": `malformed MIME header line: "X\x01Load: 1"`,
	} {
		t.Run(line, func(t *testing.T) {
			b := startBackEnd(t, "a", hijack("HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 0\r\n\r\n"))
			a := newAgent(t, b.URL, longTiming)
			for i := range 20 {
				a.monitor.Poll(t.Context())
				a.call(t.Context(), fmt.Sprintf("r%d", i), http.MethodPost, "order")
			}
			lines := a.log.AllEntries()
			require.Less(t, len(lines), 20)
			require.Equal(t, "back end gave no complete response", lines[0].Message)
			require.Equal(t, "r0", lines[0].Data["request_id"])
			require.ErrorContains(t, lines[0].Data[logrus.ErrorKey].(error), want)
		})
	}
}

// TestUnusualAnswerIsComplete guards against the rejection of answers that are unusual but well formed.
func TestUnusualAnswerIsComplete(t *testing.T) {
	name := headtest.TokenBytes
	for place, raw := range map[string]string{
		"name":          "HTTP/1.1 200 OK\r\n" + name + ": \x80\t\xff\r\nContent-Length: 4\r\n\r\ndone",
		"status 299":    "HTTP/1.1 299 \xe9\r\nContent-Length: 4\r\n\r\ndone",
		"informational": "HTTP/1.1 102 P\r\n\r\nHTTP/1.1 103 E\r\n" + name + ": </a>\r\n\r\n" + soundResponse,
		"trailers":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n" + name + ": \xff\r\n\r\n",
	} {
		t.Run(place, func(t *testing.T) {
			b := startBackEnd(t, "a", hijack(raw))
			a := newAgent(t, b.URL, longTiming)
			a.monitor.Poll(t.Context())
			o := a.call(t.Context(), "r1", http.MethodPost, "order")
			require.NoError(t, o.err)
			require.Nil(t, o.refusal)
			require.Equal(t, "done", o.body)
		})
	}
}
