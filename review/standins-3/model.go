package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	modelName   = "m0"
	pieceCount  = 48
	pieceBytes  = 4096
	layerCount  = 16
	warmTime    = 300 * time.Millisecond
	modelSlots  = 16
	streamItems = 6
)

// piece returns the bytes of a piece of a version.
func piece(version int64, index int) []byte {
	data := make([]byte, pieceBytes)
	seed := sha256.Sum256([]byte(fmt.Sprintf("%s/%d/%d", modelName, version, index)))
	for i := range data {
		data[i] = seed[i%len(seed)] ^ byte(i>>5)
	}
	return data
}

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// origin is a stand-in of the service with the weights.
type origin struct {
	w       *world
	address string
	// spoil, if set, may change an answer. It gets the number of the answer, from 1.
	spoil func(number int, path string, body []byte) []byte

	mu      sync.Mutex
	answers int
	spoiled int
}

func (o *origin) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	version, _ := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	var body []byte
	switch {
	case r.URL.Path == "/manifest/"+modelName:
		digests := make([]string, pieceCount)
		for i := range digests {
			digests[i] = digest(piece(version, i))
		}
		body, _ = json.Marshal(map[string]any{"model": modelName, "version": version, "chunk_bytes": pieceBytes, "layers": layerCount, "digests": digests})
	case r.URL.Path == "/piece/"+modelName:
		index, _ := strconv.Atoi(r.URL.Query().Get("item_count"))
		if index < 0 || index >= pieceCount {
			http.NotFound(rw, r)
			return
		}
		body = piece(version, index)
	default:
		http.NotFound(rw, r)
		return
	}
	o.mu.Lock()
	o.answers++
	if o.spoil != nil {
		changed := o.spoil(o.answers, r.URL.Path, body)
		if string(changed) != string(body) {
			o.spoiled++
			o.w.logf("origin: answer %d (%s, version %d) is spoiled", o.answers, r.URL.Path, version)
		}
		body = changed
	}
	o.mu.Unlock()
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = rw.Write(body)
}

// layer is a loaded layer: the versions of the pieces that it was taken from, 0 for one that is missing, -1 for a spoiled one.
type layer struct{ pieces []int64 }

// model is a stand-in of a model worker.
type model struct {
	w       *world
	id      string
	address string
	born    int64
	// delayOrder, if set, returns the time for which an order is not accepted yet.
	delayOrder func(version int64) time.Duration

	mu       sync.Mutex
	staged   map[int][]byte
	layers   []layer
	version  int64
	busy     bool
	sequence int64
	running  int
	tokens   int
	// wrong lists the tokens that were made with layers of pieces of another version.
	wrong []string
}

func newModel(w *world, id string) *model {
	m := &model{w: w, id: id, born: time.Now().UnixMilli(), staged: map[int][]byte{}}
	for i := range pieceCount {
		m.staged[i] = piece(1, i)
	}
	m.load(1)
	return m
}

// load takes the layers from what is staged; the caller holds the lock or is alone.
func (m *model) load(version int64) {
	m.layers = nil
	for l := range layerCount {
		var taken layer
		first, last := l*pieceCount/layerCount, ((l+1)*pieceCount+layerCount-1)/layerCount
		for i := first; i < last; i++ {
			taken.pieces = append(taken.pieces, versionOf(i, m.staged[i]))
		}
		m.layers = append(m.layers, taken)
	}
	m.version = version
}

// versionOf returns the version that a staged piece belongs to, 0 for none and -1 for a spoiled one.
func versionOf(index int, data []byte) int64 {
	if data == nil {
		return 0
	}
	for version := int64(1); version <= 6; version++ {
		if string(data) == string(piece(version, index)) {
			return version
		}
	}
	return -1
}

// mixed returns the pieces of the loaded layers that are not of the loaded version; the caller holds the lock.
func (m *model) mixed() string {
	var found []string
	for l, taken := range m.layers {
		for i, version := range taken.pieces {
			if version != m.version {
				found = append(found, fmt.Sprintf("layer %d: piece %d of it is of version %d", l, i, version))
			}
		}
	}
	return strings.Join(found, "; ")
}

func (m *model) report() map[string]any {
	models, layers := []any{}, []any{}
	if m.version != 0 {
		models = append(models, map[string]any{"name": modelName, "version": m.version, "adapters": []any{}})
		layers = append(layers, map[string]any{"from": 0, "to": layerCount, "version": m.version})
	}
	return map[string]any{
		"stage": "both", "models": models, "layers": layers, "busy": m.busy, "sequence": m.sequence, "waiting": 0, "running": m.running,
		"kv_cache_used": 0, "kv_cache_total": 1000000, "handles": 0, "born": m.born, "pace": 1,
	}
}

func (m *model) registration(zone string, sequence int) map[string]any {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry := m.report()
	entry["service"], entry["address"], entry["zone"], entry["slots"] = "guava-llm", m.address, zone, modelSlots
	entry["state"], entry["cold_remaining_ms"], entry["sequence"] = "ready", 0, sequence
	return entry
}

func (m *model) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/report":
		m.mu.Lock()
		body := m.report()
		m.mu.Unlock()
		reply(rw, body)
	case r.URL.Path == "/order":
		m.order(rw, r)
	case strings.HasPrefix(r.URL.Path, "/stage-put/"):
		index, _ := strconv.Atoi(r.URL.Query().Get("item_count"))
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		m.mu.Lock()
		m.staged[index] = data
		m.mu.Unlock()
	case strings.HasPrefix(r.URL.Path, "/stage-get/"):
		m.mu.Lock()
		index, err := strconv.Atoi(r.URL.Query().Get("item_count"))
		data := m.staged[index]
		m.mu.Unlock()
		if err != nil || data == nil {
			http.NotFound(rw, r)
			return
		}
		rw.Header().Set("Content-Length", strconv.Itoa(len(data)))
		_, _ = rw.Write(data)
	default:
		m.generate(rw, r)
	}
}

func (m *model) order(rw http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation string `json:"operation"`
		Version   int64  `json:"version"`
		Expected  *int64 `json:"expected"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Operation != "start" {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	m.w.logf("%s gets an order for version %d", m.id, order.Version)
	if m.delayOrder != nil {
		time.Sleep(m.delayOrder(order.Version))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case order.Version == m.version:
		rw.WriteHeader(http.StatusOK)
		return
	case m.busy, order.Expected != nil && *order.Expected != m.sequence:
		m.w.logf("%s rejects the order for version %d", m.id, order.Version)
		rw.WriteHeader(http.StatusConflict)
		return
	}
	m.sequence++
	m.busy = true
	snapshot := make(map[int][]byte, len(m.staged))
	for i, data := range m.staged {
		snapshot[i] = data
	}
	m.w.logf("%s accepts the order for version %d", m.id, order.Version)
	go m.finish(order.Version, snapshot)
	rw.WriteHeader(http.StatusAccepted)
}

// finish loads what was staged when an order was accepted, after what is running.
func (m *model) finish(version int64, snapshot map[int][]byte) {
	for {
		m.mu.Lock()
		idle := m.running == 0
		m.mu.Unlock()
		if idle {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(warmTime)
	m.mu.Lock()
	defer m.mu.Unlock()
	kept := m.staged
	m.staged = snapshot
	m.load(version)
	m.staged = kept
	m.busy = false
	if mixed := m.mixed(); mixed != "" {
		m.w.logf("%s has loaded version %d: MIXED: %s", m.id, version, mixed)
	} else {
		m.w.logf("%s has loaded version %d, all pieces of it", m.id, version)
	}
}

// generate answers a request with a stream.
func (m *model) generate(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Guavatrestle-Request-Id")
	rw.Header().Set("X-Guavatrestle-Request-Id", id)
	rw.Header().Set("X-Guavatrestle-Instance-Id", m.id)
	_, _ = io.Copy(io.Discard, r.Body)
	m.mu.Lock()
	expected, version := r.Header.Get("X-Guavatrestle-Expect-Instance"), r.Header.Get("X-Guavatrestle-Expect-Version")
	switch {
	case expected != "" && expected != m.id, version != "" && version != strconv.FormatInt(m.version, 10):
		m.mu.Unlock()
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	case m.busy:
		m.mu.Unlock()
		rw.Header().Set("X-Guavatrestle-Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	m.running++
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		m.running--
		m.mu.Unlock()
	}()
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("X-Guavatrestle-Answer-Stamp", "stamp-"+m.id+"-"+id)
	rw.Header().Set("X-Guavatrestle-Weight-Versions", strconv.FormatInt(m.version, 10))
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for event := first; event <= streamItems; event++ {
		m.mu.Lock()
		m.tokens++
		if mixed := m.mixed(); mixed != "" {
			m.wrong = append(m.wrong, fmt.Sprintf("%s event %d of %s on version %d: %s", m.id, event, id, m.version, mixed))
		}
		m.mu.Unlock()
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: token %d of %s\n\n", event, event, id); err != nil {
			return
		}
		if http.NewResponseController(rw).Flush() != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func modelConfiguration(version int, originAddress string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "quote-draft", "host": frontHost, "path_prefix": "/quotes/", "service": "guava-llm", "kind": "streaming", "resumable": true,
			"timeout_ms": 6000, "target_latency_ms": 500, "target_gap_ms": 400, "attempts": 2, "priority": 0, "allow_anonymous": true, "sticky": true,
		}},
		"services": []any{
			map[string]any{
				"name": "guava-llm", "health_check_path": "/health", "connection_limit": 628, "cold_start_s": 0,
				"engine": map[string]any{
					"slots": modelSlots, "layers": layerCount, "chunks": pieceCount, "chunk_bytes": pieceBytes,
					"models": []any{map[string]any{"name": modelName, "warm_s": warmTime.Seconds()}},
				},
			},
			map[string]any{"name": "franquicias", "origin": originAddress, "zone": "sur-a", "link_mbps": 15.0, "connection_limit": 96},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants": []any{map[string]any{"name": "showrooms", "api_keys": []string{keyA}}},
	}
}

// quote asks for a quote as a client. It returns the status, 0 without an answer, and the events.
func (w *world) quote(front, id string) (int, string) {
	request, _ := http.NewRequest(http.MethodPost, "http://"+front+"/quotes/1", strings.NewReader("quote "+id))
	request.Host = frontHost
	request.Header.Set("X-Guavatrestle-Request-Id", id)
	request.Header.Set("X-Guavatrestle-Deadline-Milliseconds", "6000")
	request.Header.Set("X-Guavatrestle-Model", modelName)
	request.Header.Set("X-Guavatrestle-Token-Counts", "100,30")
	client := &http.Client{Timeout: 7 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}
