package ingress_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/quarantine"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/ingress"
)

// withPrompt sets the parts of a prompt.
func withPrompt(prompt string) func(http.Header) {
	return func(header http.Header) { header.Set(names.PromptPrefix, prompt) }
}

// serveStream answers with a complete stream.
func serveStream(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(names.Stamp, "s")
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n")
}

// putInQuarantine puts a part in quarantine for all teams, as another host says.
func (h *harness) putInQuarantine(part quarantine.Part) {
	h.quarantine.Merge([]quarantine.Notice{{ID: 1, At: time.Now(), Quarantine: &quarantine.Quarantine{
		Key: quarantine.Key{Upstream: "llm", Part: part}, AllTeams: true, Processes: 5, Since: time.Now(),
	}}})
}

// addReplica adds a replica with an address to the view.
func (h *harness) addReplica(id fleet.ReplicaID, upstream core.Upstream, address string, born int64) {
	h.table.SetReplica(time.Now(), 1, &fleet.Replica{
		ID: id, Upstream: upstream, Address: address, Slots: 8, Born: born,
		Models: []fleet.LoadedModel{{Model: "m", Version: 1, Layers: 2}},
	})
	h.publish()
}

// TestPromptInQuarantineIsRefusedAtOnce guards against a request that is sent although replicas crash on its prompt, and against one
// that is refused because it shares other parts or only its own last part with it.
func TestPromptInQuarantineIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, streamRoute())
	h.startReplica("r1", "llm", serveStream)
	h.putInQuarantine("bad")
	for _, prompt := range []string{"first:40,bad:800,last:9", "bad:1,last:2", "first:1,BAD:1,more:2,last:3"} {
		response := h.call(http.MethodPost, "/stream/x", "", withPrompt(prompt))
		require.Equal(t, http.StatusServiceUnavailable, response.status)
		require.Contains(t, response.body, api.CodePromptQuarantined)
		require.Contains(t, response.body, string(api.RunNotRun))
		require.Contains(t, response.body, "part bad of the prompt")
		wait, err := time.ParseDuration(response.header.Get("Retry-After"))
		require.NoError(t, err)
		require.Greater(t, wait, quarantine.DefaultConfig().Duration-time.Minute)
	}
	require.Empty(t, h.received())
	for _, prompt := range []string{"first:40,good:800,last:9", "first:40,last:9", "bad:7", ""} {
		require.Equal(t, http.StatusOK, h.call(http.MethodPost, "/stream/x", "", withPrompt(prompt)).status, prompt)
	}
}

// TestPromptThatEntersQuarantineIsNotSentAgain guards against a second try of a request whose prompt has been put in quarantine since
// the first.
func TestPromptThatEntersQuarantineIsNotSentAgain(t *testing.T) {
	h := newHarness(t, streamRoute())
	crash := func(w http.ResponseWriter, r *http.Request) {
		h.putInQuarantine("bad")
		resetConnection(w, r)
	}
	h.startReplica("r1", "llm", crash)
	h.startReplica("r2", "llm", crash)
	response := h.call(http.MethodPost, "/stream/x", "", withPrompt("first:40,bad:800,last:9"))
	require.Equal(t, http.StatusBadGateway, response.status, "it may have run")
	require.Len(t, h.received(), 1)
}

// TestPromptThatEntersQuarantineWhileItWaitsIsNotSent guards against a request that waited for capacity, and is sent although its prompt
// has been put in quarantine meanwhile.
func TestPromptThatEntersQuarantineWhileItWaitsIsNotSent(t *testing.T) {
	for name, routes := range map[string][]fleet.Route{"one priority": {streamRoute()}, "ranked": {streamRoute(), lessUrgentRoute()}} {
		t.Run(name, func(t *testing.T) {
			h := newHarnessWith(t, func(cfg *ingress.Config) {
				cfg.CapacityWaitShare, cfg.Waiting.MaxLateWait, cfg.Waiting.MaxLateShare = 50, 5*time.Second, 1
			}, routes...)
			responses := make(chan callerResponse, 1)
			go func() { responses <- h.call(http.MethodPost, "/stream/x", "", withPrompt("first:40,bad:800,last:9")) }()
			time.Sleep(50 * time.Millisecond)
			h.putInQuarantine("bad")
			h.startReplica("r1", "llm", serveStream)
			require.Contains(t, (<-responses).body, api.CodePromptQuarantined)
			require.Empty(t, h.received())
		})
	}
}

// TestReplicasThatEndUnderAPromptPutItInQuarantine guards against requests that end one replica after the other, and against a prompt
// that is blamed while the processes of the replicas go on.
func TestReplicasThatEndUnderAPromptPutItInQuarantine(t *testing.T) {
	for name, ends := range map[string]bool{"processes end": true, "connections end": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, streamRoute())
			h.startReplica("sound", "llm", serveStream)
			for i := range 20 {
				prompt := fmt.Sprintf("first:40,other:800,last%d:9", i)
				require.Equal(t, http.StatusOK, h.call(http.MethodPost, "/stream/x", "", withPrompt(prompt)).status)
			}
			h.table.RemoveReplica(time.Now(), "sound")
			for born := range int64(quarantine.DefaultConfig().MinProcesses) {
				require.Equal(t, quarantine.VerdictSend, h.verdictOf("bad"))
				h.crashOneReplica(born+1, ends)
			}
			h.startReplica("sound2", "llm", serveStream)
			for i := range 20 {
				prompt := fmt.Sprintf("first:40,other:800,last%d:9", i)
				require.Equal(t, http.StatusOK, h.call(http.MethodPost, "/stream/x", "", withPrompt(prompt)).status)
			}
			status := h.call(http.MethodPost, "/stream/x", "", withPrompt("first:40,bad:800,lastx:9")).status
			if ends {
				require.Equal(t, http.StatusServiceUnavailable, status)
				require.Equal(t, quarantine.Part("bad"), h.quarantine.State()[0].Key.Part)
				return
			}
			require.Equal(t, http.StatusOK, status)
		})
	}
}

func (h *harness) verdictOf(part quarantine.Part) quarantine.Verdict {
	for _, s := range h.quarantine.State() {
		if s.Key.Part == part {
			return quarantine.VerdictRefuse
		}
	}
	return quarantine.VerdictSend
}

// crashOneReplica sends a request to a replica of its own that closes the connection after the head of the response; its process ends
// with that if ends is set.
func (h *harness) crashOneReplica(born int64, ends bool) {
	id := fleet.ReplicaID("crash-" + strconv.FormatInt(born, 10))
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ends {
			_ = server.Listener.Close()
		}
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		breakAfter("")(w, r)
	}))
	defer server.Close()
	h.addReplica(id, "llm", strings.TrimPrefix(server.URL, "http://"), born)
	response := h.call(http.MethodPost, "/stream/x", "", withPrompt(fmt.Sprintf("first:40,bad:800,x%d:9", born)))
	require.GreaterOrEqual(h.t, response.status, http.StatusInternalServerError)
	h.quarantine.Wait()
	h.table.RemoveReplica(time.Now(), id)
	h.publish()
}

// TestStreamWithoutLengthIsCompleteOnlyAfterWholeEvents guards against a stream of which neither a length nor chunks tell the end, and
// that looks complete although its replica ended before the first event or inside one.
func TestStreamWithoutLengthIsCompleteOnlyAfterWholeEvents(t *testing.T) {
	for name, test := range map[string]struct {
		sent   string
		status int
		whole  bool
	}{
		"whole events":     {"id: 1\ndata: x\n\n", http.StatusOK, true},
		"no event":         {"", http.StatusBadGateway, true},
		"inside an event":  {"id: 1\ndata: x\n\nid: 2\nda", http.StatusOK, false},
		"inside the first": {"id: 1\nda", http.StatusBadGateway, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, streamRoute())
			h.startReplica("r1", "llm", func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				writeUnframed(conn, r.Header.Get(names.RequestID), "text/event-stream", test.sent)
			})
			response := h.call(http.MethodPost, "/stream/x", "", nil)
			require.Equal(t, test.status, response.status)
			require.Equal(t, test.whole, response.err == nil)
		})
	}
}

// TestResponseWithoutLengthEndsWithItsConnection guards against a plain response without a length that is cut or taken for broken.
func TestResponseWithoutLengthEndsWithItsConnection(t *testing.T) {
	h := newHarness(t, safeRoute())
	h.startReplica("r1", "orders", func(w http.ResponseWriter, r *http.Request) {
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			writeUnframed(conn, r.Header.Get(names.RequestID), "text/plain", "whole")
			_ = conn.Close()
		}
	})
	response := h.call(http.MethodPost, "/safe/x", "", nil)
	require.Equal(t, http.StatusOK, response.status)
	require.Equal(t, "whole", response.body)
}

// writeUnframed writes a response with neither a length nor chunks.
func writeUnframed(conn net.Conn, id, contentType, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Type: %s\r\n\r\n%s", names.RequestID, id, names.Stamp, contentType, body)
}

// TestLapsedQuarantineIsTriedAtOneReplica guards against a part that is tried at several replicas at once, which may all crash.
func TestLapsedQuarantineIsTriedAtOneReplica(t *testing.T) {
	h := newHarnessWith(t, func(cfg *ingress.Config) {
		cfg.Quarantine.Duration, cfg.Quarantine.TrialInterval = time.Second, time.Hour
	}, streamRoute())
	release := make(chan struct{})
	releaseAll := sync.OnceFunc(func() { close(release) })
	defer releaseAll()
	for i := range 3 {
		h.startReplica(fleet.ReplicaID(fmt.Sprint("r", i)), "llm", func(w http.ResponseWriter, r *http.Request) {
			<-release
			serveStream(w, r)
		})
	}
	h.putInQuarantine("bad")
	require.Eventually(t, func() bool { return time.Since(h.quarantine.State()[0].At) > 1020*time.Millisecond }, 10*time.Second, time.Millisecond)
	statuses := make(chan int, 4)
	for range cap(statuses) {
		go func() {
			statuses <- h.call(http.MethodPost, "/stream/x", "", withPrompt("first:40,bad:800,last:9")).status
		}()
	}
	for range cap(statuses) - 1 {
		require.Equal(t, http.StatusServiceUnavailable, <-statuses)
	}
	require.Eventually(t, func() bool { return len(h.received()) > 0 }, 10*time.Second, time.Millisecond)
	require.Len(t, h.received(), 1)
	releaseAll()
	require.Equal(t, http.StatusOK, <-statuses)
	require.Equal(t, quarantine.VerdictSend, h.verdictOf("bad"), "it was served")
}

// TestResponsesThatProveNothingDontClearAPart guards against a part that counts as sound although its replica ended with the response, or
// rejected the request.
func TestResponsesThatProveNothingDontClearAPart(t *testing.T) {
	for name, serve := range map[string]http.HandlerFunc{
		"stream without a length": func(w http.ResponseWriter, r *http.Request) {
			if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
				writeUnframed(conn, r.Header.Get(names.RequestID), "text/event-stream", "id: 1\ndata: x\n\n")
				_ = conn.Close()
			}
		},
		"response without a length": func(w http.ResponseWriter, r *http.Request) {
			if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
				writeUnframed(conn, r.Header.Get(names.RequestID), "text/plain", "whole")
				_ = conn.Close()
			}
		},
		"rejected": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(names.Stamp, "s")
			w.WriteHeader(http.StatusBadRequest)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, streamRoute())
			h.startReplica("r1", "llm", func(w http.ResponseWriter, r *http.Request) {
				h.putInQuarantine("bad")
				serve(w, r)
			})
			_ = h.call(http.MethodPost, "/stream/x", "", withPrompt("first:40,bad:800,last:9"))
			require.Equal(t, quarantine.VerdictRefuse, h.verdictOf("bad"))
		})
	}
}
