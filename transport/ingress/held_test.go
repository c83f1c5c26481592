package ingress_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/coordination/holding"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/protocol/headers"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/held"
	"github.com/guavatrestle/guavatrestle/transport/ingress"
)

// smallHost is the memory limit of a host in these tests.
const smallHost = 32 << 20

// limits returns short times for a small host.
func limits() holding.Config {
	cfg := holding.ConfigFor(smallHost)
	cfg.ReaderTimeout, cfg.SlowBodyAfter = 200*time.Millisecond, 200*time.Millisecond
	return cfg
}

// sendHead sends the head of a request, and nothing more.
func (h *harness) sendHead(path string, fields ...string) net.Conn {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.frontend.Listener.Addr().String())
	require.NoError(h.t, err)
	h.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(h.t, conn.SetDeadline(time.Now().Add(answerLimit)))
	fields = append(fields, "Host: a.example", "Authorization: Bearer key-1", names.Model+": m", names.Deadline+": 20000")
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\n%s\r\n\r\n", path, strings.Join(fields, "\r\n"))
	require.NoError(h.t, err)
	return conn
}

func readRefusal(t *testing.T, conn net.Conn) (*http.Response, api.Refusal) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	var refusal api.Refusal
	require.NoError(t, json.NewDecoder(response.Body).Decode(&refusal))
	return response, refusal
}

// fill takes almost all memory that is not kept for small requests.
func (h *harness) fill() *held.Request {
	request := h.held.Open(holding.Caller{Connection: "other"}, nil)
	request.Force(holding.KindResponse, limits().Limit)
	return request
}

func requireNoMemory(t *testing.T, conn net.Conn) {
	t.Helper()
	response, refusal := readRefusal(t, conn)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, api.CodeNoMemory, refusal.Code)
	require.Equal(t, api.RunNotRun, refusal.Run)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
}

// TestBodyBeyondTheLimitIsRefusedUnread guards against large bodies that are read whatever memory is left, and against refusing a small
// request beside them.
func TestBodyBeyondTheLimitIsRefusedUnread(t *testing.T) {
	h := newHarnessHolding(t, limits(), func(*ingress.Config) {}, unsafeRoute())
	h.startReplica("r1", "orders", respondStamped("x"))
	for range 3 {
		h.sendHead("/unsafe/", "Content-Length: 600000")
	}
	require.Eventually(t, func() bool { return h.held.Used(holding.KindBody) >= 3*600000 }, answerLimit, time.Millisecond)
	sent := time.Now()
	requireNoMemory(t, h.sendHead("/unsafe/", "Content-Length: 4000000"))
	require.Less(t, time.Since(sent), time.Second, "the refusal doesn't wait for the body")
	require.Equal(t, http.StatusOK, h.call(http.MethodPost, "/unsafe/", strings.Repeat("x", 16<<10), nil).status)
	require.Len(t, h.received(), 1)
}

// TestBodyWithoutLengthIsRefusedWhenItGrowsTooLarge guards against bodies without an announced length that escape the limit.
func TestBodyWithoutLengthIsRefusedWhenItGrowsTooLarge(t *testing.T) {
	h := newHarnessHolding(t, limits(), func(*ingress.Config) {}, unsafeRoute())
	defer h.fill().Close()
	conn := h.sendHead("/unsafe/", "Transfer-Encoding: chunked")
	_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", 1<<20, strings.Repeat("x", 1<<20))
	require.NoError(t, err)
	requireNoMemory(t, conn)
}

// TestBodyIsReleasedWithItsRequest guards against bodies that stay counted.
func TestBodyIsReleasedWithItsRequest(t *testing.T) {
	h := newHarnessHolding(t, limits(), func(*ingress.Config) {}, unsafeRoute())
	h.startReplica("r1", "orders", respondStamped("x"))
	for range 20 {
		require.Equal(t, http.StatusOK, h.call(http.MethodPost, "/unsafe/", strings.Repeat("x", 1<<20), nil).status)
	}
	require.Eventually(t, func() bool {
		return h.held.Used(holding.KindBody)+h.held.Used(holding.KindSocket)+h.held.Used(holding.KindResponse) == 0
	}, answerLimit, time.Millisecond)
}

// TestBodyCountsWhileTheReplicaReadsNothing guards against a body that isn't counted, or not given back at the deadline, while a replica reads
// nothing of it.
func TestBodyCountsWhileTheReplicaReadsNothing(t *testing.T) {
	const size = 3 << 20
	h := newHarnessHolding(t, limits(), func(*ingress.Config) {}, unsafeRoute())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	h.table.SetReplica(time.Now(), 1, &fleet.Replica{ID: "r1", Upstream: "orders", Address: listener.Addr().String(), Slots: 8, Born: 1})
	h.publish()
	var caller sync.WaitGroup
	caller.Go(func() {
		response := h.call(http.MethodPost, "/unsafe/", strings.Repeat("x", size), func(header http.Header) { header.Set(names.Deadline, "1000") })
		require.Equal(t, http.StatusGatewayTimeout, response.status)
	})
	time.Sleep(500 * time.Millisecond)
	require.EqualValues(t, size, h.held.Used(holding.KindBody))
	caller.Wait()
	require.Eventually(t, func() bool { return h.held.Used(holding.KindBody) == 0 }, answerLimit, time.Millisecond)
}

// TestTricklingBodyIsRefusedWhileMemoryIsShort guards against a body that keeps its announced memory until its deadline although others
// need it.
func TestTricklingBodyIsRefusedWhileMemoryIsShort(t *testing.T) {
	h := newHarnessHolding(t, limits(), func(*ingress.Config) {}, unsafeRoute())
	conn := h.sendHead("/unsafe/", "Content-Length: 1000000")
	require.Eventually(t, func() bool { return h.held.Used(holding.KindBody) > 0 }, answerLimit, time.Millisecond)
	time.Sleep(2 * limits().SlowBodyAfter)
	defer h.fill().Close()
	h.call(http.MethodPost, "/unsafe/", "x", nil)
	requireNoMemory(t, conn)
}

// endlessEvents sends events until the caller's connection ends, and counts them.
func endlessEvents(sent, ended *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		defer ended.Add(1)
		w.Header().Set("Content-Type", headers.EventStream)
		w.Header().Set(names.Stamp, "s")
		for i := 0; ; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 16<<10)); err != nil {
				return
			}
			if http.NewResponseController(w).Flush() != nil {
				return
			}
			sent.Add(1)
		}
	}
}

// startUnreadStream sends a request for a stream without end, and waits until the replica can send no more.
func (h *harness) startUnreadStream(sent *atomic.Int64) net.Conn {
	conn := h.sendHead("/stream/", "Content-Length: 0")
	for previous := int64(-1); previous != sent.Load() || previous == 0; time.Sleep(100 * time.Millisecond) {
		previous = sent.Load()
	}
	return conn
}

// requireCut reads a response that must end early.
func requireCut(t *testing.T, conn net.Conn) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF, "the caller must see that the stream is incomplete")
}

// TestSlowReaderIsCutOffWhileOthersNeedTheMemory guards against a caller that doesn't read and keeps memory and a replica's connection, and
// against cutting it off without need.
func TestSlowReaderIsCutOffWhileOthersNeedTheMemory(t *testing.T) {
	var sent, ended atomic.Int64
	route := streamRoute()
	route.Timeout = time.Minute
	h := newHarnessHolding(t, limits(), func(*ingress.Config) {}, route, unsafeRoute())
	h.startReplica("r1", "llm", endlessEvents(&sent, &ended))
	h.startReplica("r2", "orders", respondStamped("x"))
	conn := h.startUnreadStream(&sent)
	time.Sleep(2 * limits().ReaderTimeout)
	require.Equal(t, http.StatusOK, h.call(http.MethodPost, "/unsafe/", "x", nil).status)
	require.Zero(t, ended.Load(), "no other request needs the memory")
	require.GreaterOrEqual(t, h.held.Used(holding.KindSocket), int64(holding.UnreadBytes))
	defer h.fill().Close()
	require.Eventually(t, func() bool {
		require.Equal(t, http.StatusOK, h.call(http.MethodPost, "/unsafe/", "x", nil).status)
		return ended.Load() == 1
	}, 2*time.Second, 10*time.Millisecond)
	requireCut(t, conn)
	require.Eventually(t, func() bool { return h.held.Used(holding.KindSocket) == 0 }, answerLimit, time.Millisecond)
	require.Len(t, h.logLines("response not taken by the caller"), 1)
}

// TestWriteToReaderThatStoppedIsAbandoned guards against a caller that never reads and holds a goroutine, its memory and a replica's
// connection for ever.
func TestWriteToReaderThatStoppedIsAbandoned(t *testing.T) {
	var sent, ended atomic.Int64
	route := streamRoute()
	route.Timeout = time.Minute
	h := newHarnessWith(t, func(c *ingress.Config) { c.SendTimeout = 500 * time.Millisecond }, route)
	h.startReplica("r1", "llm", endlessEvents(&sent, &ended))
	conn := h.startUnreadStream(&sent)
	require.Eventually(t, func() bool { return ended.Load() == 1 }, answerLimit, time.Millisecond)
	requireCut(t, conn)
}

// TestStreamMayPauseBeforeItsEnd guards against a complete stream that looks cut off because the write deadline of its last event passes
// before the replica ends it.
func TestStreamMayPauseBeforeItsEnd(t *testing.T) {
	const timeout = 100 * time.Millisecond
	h := newHarnessWith(t, func(c *ingress.Config) { c.SendTimeout = timeout }, streamRoute())
	h.startReplica("r1", "llm", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", headers.EventStream)
		w.Header().Set(names.Stamp, "s")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(3 * timeout)
	})
	response, err := http.ReadResponse(bufio.NewReader(h.sendHead("/stream/", "Content-Length: 0")), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: x\n\n", string(body))
}

// TestReplicaThatCutsOffAnUnreadResponseIsNotBroken guards against counting a replica as broken, and its prompt as one on which it crashes,
// because it has cut off a response that the caller didn't read.
func TestReplicaThatCutsOffAnUnreadResponseIsNotBroken(t *testing.T) {
	var sent, ended atomic.Int64
	route := streamRoute()
	route.Timeout, route.Attempts = time.Minute, 1
	h := newHarness(t, route)
	h.startReplica("r1", "llm", func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(time.Second))
		endlessEvents(&sent, &ended)(w, r)
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(-time.Second))
	})
	conn := h.startUnreadStream(&sent)
	time.Sleep(1500 * time.Millisecond)
	requireCut(t, conn)
	lines := h.logLines("try failed")
	require.Len(t, lines, 1)
	require.Equal(t, dispatch.OutcomeAbandoned, lines[0].Data["outcome"])
}

// TestHostWithoutRoomIsNoFaultOfTheReplica guards against counting sound replicas as broken, up to their ejection, because this host has no
// room for their responses.
func TestHostWithoutRoomIsNoFaultOfTheReplica(t *testing.T) {
	h := newHarnessHolding(t, limits(), func(*ingress.Config) {}, unsafeRoute())
	h.startReplica("r1", "orders", respondStamped(strings.Repeat("x", 1<<20)))
	defer h.fill().Close()
	require.Equal(t, http.StatusBadGateway, h.call(http.MethodPost, "/unsafe/", "x", nil).status)
	lines := h.logLines("try failed")
	require.Len(t, lines, 1)
	require.Equal(t, dispatch.OutcomeAbandoned, lines[0].Data["outcome"])
}

// TestSlowReaderIsNoFaultOfTheReplica guards against moving a stream to another replica, and counting the first as broken, because the
// caller doesn't read.
func TestSlowReaderIsNoFaultOfTheReplica(t *testing.T) {
	var sent, ended atomic.Int64
	route := streamRoute()
	route.Timeout = time.Minute
	h := newHarnessHolding(t, limits(), func(c *ingress.Config) { c.StallMinTimeout = 300 * time.Millisecond }, route)
	for _, id := range []fleet.ReplicaID{"r1", "r2"} {
		h.startReplica(id, "llm", endlessEvents(&sent, &ended))
	}
	h.startUnreadStream(&sent)
	time.Sleep(time.Second)
	require.Len(t, h.received(), 1)
	require.Zero(t, ended.Load())
}

// slowWriter is a caller that takes a while to read each part of a response.
type slowWriter struct {
	*httptest.ResponseRecorder
	onWrite func()
}

func (w slowWriter) Write(p []byte) (int, error) {
	w.onWrite()
	time.Sleep(300 * time.Millisecond)
	return w.ResponseRecorder.Write(p)
}

// TestSlowReaderDoesNotCountAsLatencyOfTheReplica guards against a usual service time, and thereby an expected start of other requests,
// that contains the time in which callers read their responses, and against a replica that counts as occupied meanwhile.
func TestSlowReaderDoesNotCountAsLatencyOfTheReplica(t *testing.T) {
	h := newHarness(t, safeRoute())
	h.startReplica("r1", "orders", respondStamped("x"))
	request := httptest.NewRequest(http.MethodGet, "http://a.example/safe/x", nil)
	request.Header.Set("Authorization", "Bearer key-1")
	inFlight := -1
	w := slowWriter{httptest.NewRecorder(), func() { inFlight = h.router.State()[0].InFlight }}
	h.frontend.Config.Handler.ServeHTTP(w, request)
	require.Equal(t, http.StatusOK, w.Code)
	require.Zero(t, inFlight)
	latency := h.router.State()[0].Latency
	require.Greater(t, latency, 0.0)
	require.Less(t, latency, 0.2)
}
