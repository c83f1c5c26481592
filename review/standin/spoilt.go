package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the litoral-guava site, and of the rule WHOLE.
const (
	modelName   = "daka510000"
	pieceCount  = 48
	pieceBytes  = 49152
	layerCount  = 16
	engineSlots = 16
	loadTime    = 300 * time.Millisecond
	eventGap    = 20 * time.Millisecond
	eventCount  = 10
	// freezeTime is the time for which the process stands still.
	freezeTime = 4 * time.Second
	// spoiltGrace is the time for which a piece may have been bad when it is loaded.
	spoiltGrace = 3 * time.Second
	// spoilDelay is the time from the start of the freeze until a piece turns bad.
	spoilDelay = 300 * time.Millisecond
	// versions is the number of versions that are named one after the other, versionGap the time between two of them.
	versions   = 8
	versionGap = 10500 * time.Millisecond
	// freezeAtPiece is the piece whose read begins the freeze, spoiltPiece the one that turns bad.
	freezeAtPiece = 24
	spoiltPiece   = 0
)

// pieceOf returns the bytes of a piece.
func pieceOf(version int64, index int) []byte {
	source := rand.New(rand.NewPCG(uint64(version), uint64(index)))
	data := make([]byte, pieceBytes)
	for i := range data {
		data[i] = byte(source.Uint32())
	}
	return data
}

// origin is a stand-in for the origin of weights.
type origin struct{ newest func() int64 }

func (o *origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		version = o.newest()
	}
	switch {
	case version <= o.newest()-2:
		w.WriteHeader(http.StatusGone)
	case version < 1 || version > o.newest():
		w.WriteHeader(http.StatusNotFound)
	case strings.HasPrefix(r.URL.Path, "/manifest/"):
		var digests []string
		for i := range pieceCount {
			sum := sha256.Sum256(pieceOf(version, i))
			digests = append(digests, hex.EncodeToString(sum[:]))
		}
		writeJSON(w, map[string]any{
			"model": modelName, "version": version, "chunk_bytes": pieceBytes, "layers": layerCount, "digests": digests,
		})
	default:
		index, _ := strconv.Atoi(r.URL.Query().Get("item_count"))
		_, _ = w.Write(pieceOf(version, index))
	}
}

// modelWorker is a stand-in for a model worker.
type modelWorker struct {
	id, address string
	store       *store
	rec         *record
	born        time.Time
	// onRead is called after a staged piece has been read back; complete is the version of which all pieces are staged, if there is one.
	onRead func(index int, complete int64)
	// disturbed is the last version whose verification was disturbed.
	disturbed int64

	mu      sync.Mutex
	staged  map[int][]byte
	badAt   map[int]time.Time
	version int64
	loading bool
	orders  int64
	// spoilt is true while the loaded weights were taken with a piece that had been bad for longer than spoiltGrace.
	spoilt       bool
	spoiltTokens int
	tokens       int
}

func (w *modelWorker) register() {
	w.mu.Lock()
	version := w.version
	w.mu.Unlock()
	w.store.put("servers", w.id, map[string]any{
		"service": "guava-llm", "address": w.address, "zone": "centro-a", "version": "v1", "slots": engineSlots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": w.born.UnixMilli(), "stage": "both", "models": models(version), "layers": layers(version),
	})
}

func models(version int64) any {
	return []any{map[string]any{"name": modelName, "version": version, "adapters": []any{}}}
}

func layers(version int64) any {
	return []any{map[string]any{"from": 0, "to": layerCount, "version": version}}
}

// completeVersion returns the version after the loaded one if all of its pieces are staged and sound, and 0 otherwise; the caller holds
// the lock.
func (w *modelWorker) completeVersion() int64 {
	next := w.version + 1
	for i := range pieceCount {
		if !bytes.Equal(w.staged[i], pieceOf(next, i)) {
			return 0
		}
	}
	return next
}

func (w *modelWorker) brokenSoFar() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.spoiltTokens > 0
}

// spoil turns a staged piece bad.
func (w *modelWorker) spoil(index int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	bad := append([]byte(nil), w.staged[index]...)
	bad[len(bad)/2] ^= 0xff
	w.staged[index], w.badAt[index] = bad, time.Now()
	w.rec.printf("piece %d turns bad at the worker", index)
}

func (w *modelWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	index, _ := strconv.Atoi(r.URL.Query().Get("item_count"))
	switch path := r.URL.Path; {
	case path == "/report":
		w.mu.Lock()
		defer w.mu.Unlock()
		writeJSON(rw, map[string]any{
			"stage": "both", "models": models(w.version), "layers": layers(w.version), "busy": w.loading, "sequence": w.orders, "waiting": 0,
			"running": 0, "kv_cache_used": 0, "kv_cache_total": 317000, "handles": 0, "pace": 1.0, "born": w.born.UnixMilli(),
		})
	case strings.HasPrefix(path, "/stage-put/"):
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.staged[index] = data
		delete(w.badAt, index)
		w.rec.printf("piece %d is staged", index)
	case strings.HasPrefix(path, "/stage-get/"):
		w.mu.Lock()
		data, ok := w.staged[index]
		complete := int64(0)
		if index == freezeAtPiece {
			complete = w.completeVersion()
		}
		w.mu.Unlock()
		if !ok {
			rw.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = rw.Write(data)
		if w.onRead != nil {
			_ = http.NewResponseController(rw).Flush()
			w.onRead(index, complete)
		}
	case path == "/order":
		w.serveOrder(rw, r)
	default:
		w.serveStream(rw, r)
	}
}

func (w *modelWorker) serveOrder(rw http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation string `json:"operation"`
		Version   int64  `json:"version"`
		Expected  *int64 `json:"expected"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Operation != "start" {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.loading || order.Expected != nil && *order.Expected != w.orders {
		rw.WriteHeader(http.StatusConflict)
		return
	}
	w.loading = true
	w.orders++
	longest := time.Duration(0)
	for index, at := range w.badAt {
		longest = max(longest, time.Since(at))
		w.rec.printf("order to load version %d is accepted; piece %d has been bad for %.3f s", order.Version, index, time.Since(at).Seconds())
	}
	if len(w.badAt) == 0 {
		w.rec.printf("order to load version %d is accepted; all pieces are sound", order.Version)
	}
	time.AfterFunc(loadTime, func() {
		w.mu.Lock()
		w.loading, w.version, w.spoilt = false, order.Version, longest > spoiltGrace
		w.mu.Unlock()
		w.register()
	})
	rw.WriteHeader(http.StatusAccepted)
}

func (w *modelWorker) serveStream(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Guavatrestle-Request-Id")
	header := rw.Header()
	header.Set("X-Guavatrestle-Request-Id", id)
	w.mu.Lock()
	loading, version, spoilt := w.loading, w.version, w.spoilt
	w.mu.Unlock()
	expect, expectVersion := r.Header.Get("X-Guavatrestle-Expect-Instance"), r.Header.Get("X-Guavatrestle-Expect-Version")
	if expect != "" && expect != w.id || expectVersion != "" && expectVersion != strconv.FormatInt(version, 10) {
		header.Set("X-Guavatrestle-Not-Run", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if loading {
		header.Set("X-Guavatrestle-Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.rec.printf("%s runs %s on version %d, spoilt: %t", w.id, id, version, spoilt)
	header.Set("X-Guavatrestle-Answer-Stamp", w.id+"."+id)
	header.Set("X-Guavatrestle-Weight-Versions", strconv.FormatInt(version, 10))
	header.Set("Content-Type", "text/event-stream")
	for n := range eventCount {
		time.Sleep(eventGap)
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s/%d\n\n", n, id, n); err != nil || http.NewResponseController(rw).Flush() != nil {
			return
		}
		w.mu.Lock()
		w.tokens++
		if spoilt {
			w.spoiltTokens++
		}
		w.mu.Unlock()
	}
}

// runSpoilt freezes the agent while it reads the staged pieces back before an order, and turns a piece bad that it has read already.
// TROUBLE=0 leaves out both; TROUBLE=freeze and TROUBLE=rot leave out one of them.
func runSpoilt(dir string, rec *record, trouble string) bool {
	a := newAddresses()
	s := newStore()
	var newest atomic.Int64
	newest.Store(1)
	serve(a.at(200, a.shared), s)
	serve(a.at(201, a.shared), &origin{newest: newest.Load})
	s.put("config", "main", spoiltConfiguration(a.at(201, a.shared)))
	w := &modelWorker{
		id: "i-guava-0", address: a.at(20, a.app), store: s, rec: rec, born: time.Now().Add(-time.Hour), staged: map[int][]byte{},
		badAt: map[int]time.Time{}, version: 1,
	}
	for i := range pieceCount {
		w.staged[i] = pieceOf(1, i)
	}
	serve(w.address, w)
	s.put("versions", modelName, map[string]any{"model": modelName, "version": 1})
	w.register()
	startProcess(dir, "front-0", "entry", settings(a, 10, "front", "front-0"))
	agent := startProcess(dir, "side-0", "agent", settings(a, 20, "side", "side-0"))
	awaitReady(a.at(10, a.ready))
	time.Sleep(3 * time.Second)
	w.onRead = func(index int, complete int64) {
		if trouble != "0" && index == freezeAtPiece && complete > w.disturbed {
			w.disturbed = complete
			disturb(w, agent.Process, rec, trouble)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	clients.Go(func() { sendStreams(ctx, a.at(10, a.front), rec) })
	for range versions {
		version := newest.Add(1)
		s.put("versions", modelName, map[string]any{"model": modelName, "version": version})
		rec.printf("version %d is named", version)
		time.Sleep(versionGap)
		if w.brokenSoFar() {
			break
		}
	}
	cancel()
	clients.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.version < 2 || w.tokens == 0 {
		cannotRun("version %d is loaded and %d events were made", w.version, w.tokens)
	}
	verdict := fmt.Sprintf("%d of %d events were made on weights that were taken with a piece that had been bad for over %v",
		w.spoiltTokens, w.tokens, spoiltGrace)
	rec.printf("%s", verdict)
	fmt.Println(verdict)
	return w.spoiltTokens > 0
}

// disturb freezes the agent and turns a piece bad that it has read back already.
func disturb(w *modelWorker, agent *os.Process, rec *record, trouble string) {
	if trouble != "rot" {
		_ = agent.Signal(syscall.SIGSTOP)
		rec.printf("the agent is frozen, after it has read back %d of %d pieces", freezeAtPiece, pieceCount)
		time.AfterFunc(freezeTime, func() { _ = agent.Signal(syscall.SIGCONT); rec.printf("the agent wakes") })
	}
	if trouble != "freeze" {
		time.AfterFunc(spoilDelay, func() { w.spoil(spoiltPiece) })
	}
}

func spoiltConfiguration(originAddress string) any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "r-quote", "host": "quote.example", "path_prefix": "/quote/", "kind": "streaming", "timeout_ms": 6000,
			"target_latency_ms": 500, "target_gap_ms": 400, "priority": 1, "service": "guava-llm", "attempts": 2, "allow_anonymous": true,
			"sticky": true, "resumable": true,
		}},
		"services": []map[string]any{
			{
				"name": "guava-llm", "health_check_path": "/health", "connection_limit": 628, "protocol": "h1", "tls": false,
				"cold_start_s": 3.0, "cold_per_s": 26.0, "engine": map[string]any{
					"slots": engineSlots, "layers": layerCount, "chunks": pieceCount, "chunk_bytes": pieceBytes, "size_mb": 149000.0, "layer_mb": 4090.0,
					"models": []map[string]any{{"name": modelName, "pace": 1.0, "load_s": 4.0, "warm_s": 0.3}},
				},
			},
			{"name": "franquicias", "origin": originAddress, "zone": "centro-a", "link_mbps": 15.0, "connection_limit": 96},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// sendStreams sends a request every 400 ms until ctx ends.
func sendStreams(ctx context.Context, front string, rec *record) {
	var clients sync.WaitGroup
	defer clients.Wait()
	for ctx.Err() == nil {
		clients.Go(func() {
			id := fmt.Sprintf("%016x", rand.Uint64())
			request, _ := http.NewRequest(http.MethodPost, "http://"+front+"/quote/a", strings.NewReader("prompt"))
			request.Host = "quote.example"
			request.Header.Set("X-Guavatrestle-Request-Id", id)
			request.Header.Set("X-Guavatrestle-Model", modelName)
			request.Header.Set("X-Guavatrestle-Token-Counts", "100,50")
			request.Header.Set("X-Guavatrestle-Prompt-Prefix", id[:8]+":100")
			request.Header.Set("X-Guavatrestle-Deadline-Milliseconds", "6000")
			response, err := (&http.Client{Timeout: 7 * time.Second}).Do(request)
			if err != nil {
				rec.printf("client: %s fails: %v", id, err)
				return
			}
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			rec.printf("client: %s gets %d on version %s, %d events, complete: %t", id, response.StatusCode,
				response.Header.Get("X-Guavatrestle-Weight-Versions"), strings.Count(string(body), "\n\n"), err == nil)
		})
		select {
		case <-ctx.Done():
		case <-time.After(400 * time.Millisecond):
		}
	}
}
