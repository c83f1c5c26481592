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

// behaviours maps the part of a request ID after its colon to what the back end does with the request.
var behaviours = map[string]http.HandlerFunc{
	"answer": answerOK,
	"reset":  hijack(""),
	"cut":    hijack("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfour"),
	"fail":   func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "failed", http.StatusInternalServerError) },
}

func behave(w http.ResponseWriter, r *http.Request) {
	_, name, _ := strings.Cut(r.Header.Get(api.HeaderRequestID), ":")
	behaviours[name](w, r)
}

// site is a back end's address, at which one boot after the other accepts connections.
type site struct {
	addr  string
	boots []*backEnd
}

// restart ends the current boot without telling the agent and starts the next one.
func (s *site) restart(t require.TestingT) {
	if len(s.boots) > 0 {
		s.current().CloseClientConnections()
		s.current().Close()
	}
	next := newBackEnd(fmt.Sprint("boot-", len(s.boots)), behave)
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

func (s *site) current() *backEnd { return s.boots[len(s.boots)-1] }

func (s *site) runs(id string) int {
	total := 0
	for _, b := range s.boots {
		total += b.count(id)
	}
	return total
}

// TestRefusalsTellTheTruth guards against a not_run for a request that ran, a second run of a request, and a whole
// response to a request that failed.
//
// Its oracle counts runs at the back ends themselves.
func TestRefusalsTellTheTruth(t *testing.T) {
	names := []string{"answer", "answer", "answer", "reset", "cut", "fail"}
	methods := []string{http.MethodGet, http.MethodPost, http.MethodDelete}
	rapid.Check(t, func(rt *rapid.T) {
		var s site
		s.restart(rt)
		a := newAgent(t, "http://"+s.addr, patient)
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
			var all sync.WaitGroup
			for i := range size {
				ids[i] = fmt.Sprintf("%d:%s", sent+i, rapid.SampledFrom(names).Draw(rt, "behaviour"))
				method := rapid.SampledFrom(methods).Draw(rt, "method")
				body := rapid.SampledFrom([]string{"", "order"}).Draw(rt, "body")
				all.Go(func() { outcomes[i] = a.call(t.Context(), ids[i], method, body) })
			}
			all.Wait()
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
	whole := strings.HasSuffix(id, ":answer") || strings.HasSuffix(id, ":fail")
	switch {
	case o.end != nil:
		require.True(t, whole, "request %s ended whole", id)
		require.Equal(t, 1, runs)
	case o.refusal.GetRun() == wire.Run_RUN_NOT_RUN:
		require.Zero(t, runs, "request %s was refused as not run", id)
	}
}
