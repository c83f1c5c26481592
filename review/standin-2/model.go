//go:build review

package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	modelName   = "daka510000"
	modelPieces = 48
	pieceBytes  = 4096
	modelLayers = 16
	warmUp      = 300 * time.Millisecond
	beat        = 1200 * time.Millisecond
)

// piece returns the bytes of a piece of a version.
func piece(version, index int) []byte {
	line := fmt.Sprintf("piece %d of version %d.", index, version)
	return []byte(strings.Repeat(line, pieceBytes/len(line)+1)[:pieceBytes])
}

// startOrigin starts the origin of weights and returns its address.
func (w *world) startOrigin() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fatal(err)
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			version, _ := strconv.Atoi(r.URL.Query().Get("version"))
			if strings.HasPrefix(r.URL.Path, "/piece/") {
				index, _ := strconv.Atoi(r.URL.Query().Get("item_count"))
				_, _ = rw.Write(piece(version, index))
				return
			}
			digests := make([]string, modelPieces)
			for index := range digests {
				sum := sha256.Sum256(piece(version, index))
				digests[index] = hex.EncodeToString(sum[:])
			}
			rw.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(rw).Encode(map[string]any{
				"model": modelName, "version": version, "chunk_bytes": pieceBytes, "layers": modelLayers, "digests": digests,
			})
		}))
	}()
	return listener.Addr().String()
}

// run is one request that a model worker has begun to work on.
type run struct {
	id      string
	worker  string
	version int
	at      time.Time
}

// modelWorker is a stand-in for a model worker that holds version 1 at its start.
type modelWorker struct {
	w       *world
	id      string
	zone    string
	service string
	ip      string
	address string
	born    int64

	// frozen is held for writing while the worker's machine stands still.
	frozen sync.RWMutex

	mu       sync.Mutex
	version  int
	busy     bool
	sequence int
	running  int
	staged   map[int][]byte
	runs     []run
}

func (w *world) startModelWorker(id, zone, service string) *modelWorker {
	m := &modelWorker{
		w: w, id: id, zone: zone, service: service, ip: w.newIP(), born: time.Now().UnixMilli(), version: 1, staged: map[int][]byte{},
	}
	for index := range modelPieces {
		m.staged[index] = piece(1, index)
	}
	listener, err := net.Listen("tcp", m.ip+":0")
	if err != nil {
		w.fatal(err)
	}
	m.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, m) }()
	m.register()
	go func() {
		for {
			time.Sleep(beat)
			m.frozen.RLock()
			m.frozen.RUnlock()
			m.register()
		}
	}()
	return m
}

// state returns what the worker says of its models; the caller holds the lock.
func (m *modelWorker) state() map[string]any {
	return map[string]any{
		"stage": "both", "models": []map[string]any{{"name": modelName, "version": m.version, "adapters": []string{}}},
		"layers": []map[string]any{{"from": 0, "to": modelLayers, "version": m.version}}, "sequence": m.sequence, "born": m.born,
	}
}

func (m *modelWorker) register() {
	m.mu.Lock()
	entry := m.state()
	m.mu.Unlock()
	entry["service"], entry["address"], entry["zone"], entry["slots"] = m.service, m.address, m.zone, 16
	entry["version"], entry["state"], entry["cold_remaining_ms"] = "v1", "ready", 0
	m.w.store.put("servers", m.id, entry)
}

// ServeHTTP implements http.Handler.
func (m *modelWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	m.frozen.RLock()
	m.frozen.RUnlock()
	index, _ := strconv.Atoi(r.URL.Query().Get("item_count"))
	switch {
	case r.URL.Path == "/report":
		m.mu.Lock()
		report := m.state()
		report["busy"], report["waiting"], report["running"] = m.busy, 0, m.running
		m.mu.Unlock()
		report["kv_cache_used"], report["kv_cache_total"], report["handles"], report["pace"] = 0, 317000*modelLayers, 0, 1.0
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(report)
	case strings.HasPrefix(r.URL.Path, "/stage-put/"):
		body, _ := io.ReadAll(r.Body)
		m.mu.Lock()
		m.staged[index] = body
		m.mu.Unlock()
	case strings.HasPrefix(r.URL.Path, "/stage-get/"):
		m.mu.Lock()
		body, ok := m.staged[index]
		m.mu.Unlock()
		if !ok {
			http.NotFound(rw, r)
			return
		}
		_, _ = rw.Write(body)
	case r.URL.Path == "/order":
		m.order(rw, r)
	default:
		m.serve(rw, r)
	}
}

func (m *modelWorker) order(rw http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation string `json:"operation"`
		Version   int    `json:"version"`
		Expected  *int   `json:"expected"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Operation != "start" {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.busy || order.Expected != nil && *order.Expected != m.sequence {
		rw.WriteHeader(http.StatusConflict)
		return
	}
	m.busy = true
	m.sequence++
	m.w.note("%s accepts the order to load version %d", m.id, order.Version)
	rw.WriteHeader(http.StatusAccepted)
	go func() {
		for {
			time.Sleep(10 * time.Millisecond)
			m.mu.Lock()
			idle := m.running == 0
			m.mu.Unlock()
			if idle {
				break
			}
		}
		time.Sleep(warmUp)
		m.mu.Lock()
		m.version, m.busy = order.Version, false
		m.mu.Unlock()
		m.w.note("%s has loaded version %d", m.id, order.Version)
		m.register()
	}()
}

// serve runs a generation.
func (m *modelWorker) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	rw.Header().Set(headerID, id)
	m.mu.Lock()
	expected := r.Header.Get("X-Guavatrestle-Expect-Version")
	switch {
	case r.Header.Get(headerExpect) != m.id || expected != "" && expected != strconv.Itoa(m.version):
		m.mu.Unlock()
		rw.Header().Set(headerInstance, m.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	case m.busy || m.running >= 16:
		m.mu.Unlock()
		rw.Header().Set(headerNotRun, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	m.running++
	version := m.version
	m.runs = append(m.runs, run{id: id, worker: m.id, version: version, at: time.Now()})
	m.mu.Unlock()
	m.w.note("%s begins %s on version %d", m.id, id, version)
	defer func() {
		m.mu.Lock()
		m.running--
		m.mu.Unlock()
	}()
	rw.Header().Set(headerStamp, "stamp."+id)
	rw.Header().Set("X-Guavatrestle-Weight-Versions", strconv.Itoa(version))
	rw.Header().Set("Content-Type", "text/event-stream")
	for event := range 8 {
		fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", event+1, strings.Repeat("t", 70))
		rw.(http.Flusher).Flush()
		time.Sleep(40 * time.Millisecond)
	}
}

// engineService is the entry of a service of model workers in the configuration.
func engineService(name string) map[string]any {
	return map[string]any{
		"name": name, "health_check_path": "/health", "connection_limit": 628, "protocol": "h1", "tls": false, "cold_start_s": 3.0,
		"cold_per_s": 26.0,
		"engine": map[string]any{
			"slots": 16, "kv_cache_tokens": 317000, "kv_token_bytes": 262144, "link_mbps": 400000.0, "stride": 5,
			"models":  []map[string]any{{"name": modelName, "pace": 1.0, "load_s": 4.0, "warm_s": 0.3}},
			"size_mb": 149000.0, "adapter_slots": 8, "loads_per_s": 0.0, "step_ms": 9.27, "per_seq_ms": 0.0232, "context_per_k": 0.0322,
			"read_per_s": 20700.0, "pairs_per_m": 1.18, "chunk": 2048, "report_lag_ms": 200.0, "loads_at_once": 8,
			"delays": []map[string]any{}, "usual": map[string]any{"prompt": 979, "answer": 92}, "layers": modelLayers, "layer_mb": 4090.0,
			"act_bytes": 16384, "pipe_mbps": 0.0, "chunks": modelPieces, "chunk_bytes": pieceBytes,
		},
	}
}

func originService(name, address, zone string) map[string]any {
	return map[string]any{"name": name, "origin": address, "zone": zone, "link_mbps": 15.0, "connection_limit": 96}
}
