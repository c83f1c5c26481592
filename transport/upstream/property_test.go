package upstream_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
)

// behaviors maps the part of a request ID after its colon to the way in which the back end handles the request.
var behaviors = map[string]http.HandlerFunc{
	"answer": respondOK,
	"reset":  hijack(""),
	"cut":    hijack("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfour"),
	"fail":   func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "failed", http.StatusInternalServerError) },
}

func serveBehavior(w http.ResponseWriter, r *http.Request) {
	_, name, _ := strings.Cut(r.Header.Get(api.HeaderRequestID), ":")
	behaviors[name](w, r)
}

// restartingBackEnd is the address of a back end that restarts; boots holds its processes in order.
type restartingBackEnd struct {
	addr  string
	boots []*backEnd
}

// restart stops the current process without notice to the agent and starts the next one at the same address.
func (s *restartingBackEnd) restart(t require.TestingT) {
	if len(s.boots) > 0 {
		s.current().CloseClientConnections()
		s.current().Close()
	}
	next := newBackEnd(fmt.Sprint("boot-", len(s.boots)), serveBehavior)
	if s.addr != "" {
		require.NoError(t, next.Listener.Close())
		l, err := net.Listen("tcp", s.addr)
		require.NoError(t, err)
		next.Listener = l
	}
	next.Start()
	s.addr = next.Listener.Addr().String()
	s.boots = append(s.boots, next)
}

func (s *restartingBackEnd) current() *backEnd { return s.boots[len(s.boots)-1] }

func (s *restartingBackEnd) runs(id string) int {
	total := 0
	for _, b := range s.boots {
		total += b.count(id)
	}
	return total
}

// TestRefusalRunStateMatchesBackEndRuns guards against a request that is refused as not run although it ran, a request
// that runs twice, and a missing or truncated response that is reported as complete. It compares the refusals with the
// runs that the back ends counted, while they restart.
func TestRefusalRunStateMatchesBackEndRuns(t *testing.T) {
	names := []string{"answer", "answer", "answer", "reset", "cut", "fail"}
	methods := []string{http.MethodGet, http.MethodPost, http.MethodDelete}
	rapid.Check(t, func(rt *rapid.T) {
		var s restartingBackEnd
		s.restart(rt)
		a := newAgent(t, "http://"+s.addr, longTiming)
		defer func() { s.current().Close() }()
		sent := 0
		for range rapid.IntRange(1, 6).Draw(rt, "steps") {
			if rapid.Bool().Draw(rt, "restart") {
				s.restart(rt)
			}
			if rapid.Bool().Draw(rt, "read status") {
				a.monitor.Poll(t.Context())
			}
			size := rapid.IntRange(1, 10).Draw(rt, "requests")
			ids, outcomes := make([]string, size), make([]outcome, size)
			var calls sync.WaitGroup
			for i := range size {
				ids[i] = fmt.Sprintf("%d:%s", sent+i, rapid.SampledFrom(names).Draw(rt, "behaviour"))
				method := rapid.SampledFrom(methods).Draw(rt, "method")
				body := rapid.SampledFrom([]string{"", "order"}).Draw(rt, "body")
				calls.Go(func() { outcomes[i] = a.call(t.Context(), ids[i], method, body) })
			}
			calls.Wait()
			sent += size
			for i, o := range outcomes {
				checkOutcome(rt, ids[i], o, s.runs(ids[i]))
			}
		}
	})
}

func checkOutcome(t require.TestingT, id string, o outcome, runs int) {
	require.NoError(t, o.err)
	require.LessOrEqual(t, runs, 1, "request %s ran more than once", id)
	complete := strings.HasSuffix(id, ":answer") || strings.HasSuffix(id, ":fail")
	switch {
	case o.end != nil:
		require.True(t, complete, "request %s was reported as complete", id)
		require.Equal(t, 1, runs)
	case o.refusal.GetRun() == wire.Run_RUN_NOT_RUN:
		require.Zero(t, runs, "request %s was refused as not run", id)
	}
}
