package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the litoral-guava site: the cold start of a worker and the bounds of FAILBACK.
const (
	coldStart    = 3 * time.Second
	coldPerS     = 26.0
	coldFactor   = 1.5
	coldSlack    = 5.0
	heartbeat    = 1200 * time.Millisecond
	storeOutage  = 4500 * time.Millisecond
	workerDown   = 500 * time.Millisecond
	workDuration = 15 * time.Millisecond
	plainSlots   = 16
	requestsPerS = 100
	// crashRate is the rate in requests per second at which a cold worker crashes: well above the one that it bears.
	crashRate = 3 * coldPerS
)

// arrivalAt is a request that reached a worker.
type arrivalAt struct{ sent, arrived time.Time }

// plainWorker is a stand-in for a worker of a plain service. It starts again under the ID that it had.
type plainWorker struct {
	id, address string
	store       *store
	rec         *record
	sent        *sync.Map

	mu        sync.Mutex
	server    *http.Server
	born      time.Time
	coldUntil time.Time
	crash     sync.Once
	// coldArrivals holds the requests that arrived while the worker was cold.
	coldArrivals []arrivalAt
}

func (w *plainWorker) start(cold time.Duration) {
	w.mu.Lock()
	w.born, w.coldUntil = time.Now(), time.Now().Add(cold)
	w.mu.Unlock()
	w.server = serve(w.address, w)
	w.register()
}

// stop ends the worker's process: its listener and all its channels are closed.
func (w *plainWorker) stop() { _ = w.server.Close() }

// register writes the worker's entry; while the store is down it fails and the next heartbeat writes it.
func (w *plainWorker) register() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.store.put("servers", w.id, map[string]any{
		"service": "pedidos", "address": w.address, "zone": "centro-a", "version": "v1", "slots": plainSlots, "state": "ready",
		"cold_remaining_ms": max(time.Until(w.coldUntil), 0).Milliseconds(), "sequence": 1, "born": w.born.UnixMilli(),
	})
}

func (w *plainWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	header := rw.Header()
	w.mu.Lock()
	cold := time.Until(w.coldUntil)
	w.mu.Unlock()
	if r.URL.Path == "/health" {
		header.Set("X-Guavatrestle-Instance-Id", w.id)
		if cold > 0 {
			header.Set("X-Guavatrestle-Cold-Milliseconds", strconv.FormatInt(cold.Milliseconds(), 10))
		}
		return
	}
	id := r.Header.Get("X-Guavatrestle-Request-Id")
	header.Set("X-Guavatrestle-Request-Id", id)
	if expect := r.Header.Get("X-Guavatrestle-Expect-Instance"); expect != "" && expect != w.id {
		header.Set("X-Guavatrestle-Not-Run", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if cold > 0 {
		if sent, ok := w.sent.Load(id); ok {
			w.mu.Lock()
			w.coldArrivals = append(w.coldArrivals, arrivalAt{sent.(time.Time), arrived})
			w.mu.Unlock()
			if count, _ := w.busiestSecond(); float64(count) > crashRate {
				w.crash.Do(func() {
					w.rec.printf("%s crashes: it got %d requests in one second while it was cold", w.id, count)
					go w.stop()
				})
			}
		}
	}
	w.rec.printf("%s runs %s, cold for %d ms", w.id, id, max(cold, 0).Milliseconds())
	time.Sleep(workDuration)
	header.Set("X-Guavatrestle-Answer-Stamp", w.id+"."+id)
	_, _ = io.WriteString(rw, "answer to "+id)
}

// busiestSecond returns the most requests that were sent and arrived inside one second while the worker was cold.
func (w *plainWorker) busiestSecond() (count int, from time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, first := range w.coldArrivals {
		n := 0
		for _, a := range w.coldArrivals {
			if !a.sent.Before(first.sent) && a.arrived.Before(first.sent.Add(time.Second)) {
				n++
			}
		}
		if n > count {
			count, from = n, first.sent
		}
	}
	return count, from
}

// runCold restarts a worker while the store is down and counts what it gets while it is cold. TROUBLE=0 leaves out both; TROUBLE=restart
// restarts the worker and keeps the store up.
func runCold(dir string, rec *record, trouble string) bool {
	a := newAddresses()
	s := newStore()
	serve(a.at(200, a.shared), s)
	s.put("config", "main", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "r-stock", "host": "stock.example", "path_prefix": "/stock/", "kind": "safe", "timeout_ms": 800,
			"target_latency_ms": 300, "priority": 2, "service": "pedidos", "attempts": 2, "allow_anonymous": true,
		}},
		"services": []map[string]any{{
			"name": "pedidos", "health_check_path": "/health", "connection_limit": 220, "protocol": "h1", "tls": false,
			"cold_start_s": coldStart.Seconds(), "cold_per_s": coldPerS,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	var sent sync.Map
	var workers []*plainWorker
	for i := range 1 {
		w := &plainWorker{id: fmt.Sprintf("i-pedidos-%d", i), address: a.at(20+i, a.app), store: s, rec: rec, sent: &sent}
		w.start(0)
		workers = append(workers, w)
	}
	var fronts []string
	for i := range 2 {
		startProcess(dir, fmt.Sprint("front-", i), "entry", settings(a, 10+i, "front", fmt.Sprint("front-", i)))
		fronts = append(fronts, a.at(10+i, a.front))
	}
	for i := range fronts {
		awaitReady(a.at(10+i, a.ready))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 14*time.Second)
	defer cancel()
	var clients sync.WaitGroup
	served := atomic.Int64{}
	clients.Go(func() { sendRequests(ctx, fronts, &sent, rec, &clients, &served) })
	time.Sleep(4 * time.Second)
	restarted := workers[0]
	if trouble != "0" && trouble != "restart" {
		rec.printf("the store is down")
		s.setDown(true)
		time.AfterFunc(storeOutage, func() { s.setDown(false); rec.printf("the store is up") })
	}
	time.Sleep(500 * time.Millisecond)
	if trouble != "0" {
		rec.printf("%s ends", restarted.id)
		restarted.stop()
		time.Sleep(workerDown)
		restarted.start(coldStart)
		rec.printf("%s starts again, cold for %v", restarted.id, coldStart)
		go func() {
			for !restarted.register() {
				time.Sleep(heartbeat)
			}
			rec.printf("%s has registered again", restarted.id)
		}()
	}
	<-ctx.Done()
	clients.Wait()
	if served.Load() < 500 {
		cannotRun("only %d requests were served", served.Load())
	}
	bound := coldPerS*coldFactor + coldSlack
	count, from := restarted.busiestSecond()
	verdict := fmt.Sprintf("%s got at most %d requests in one second while it was cold (bound %.0f)", restarted.id, count, bound)
	if count > 0 {
		verdict += fmt.Sprintf(", from %.3f s on", from.Sub(rec.start).Seconds())
	}
	rec.printf("%s", verdict)
	fmt.Println(verdict)
	return float64(count) > bound
}

// sendRequests sends requests at a constant rate, to the entries in turn.
func sendRequests(ctx context.Context, fronts []string, sent *sync.Map, rec *record, clients *sync.WaitGroup, served *atomic.Int64) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 2 * time.Second}
	ticker := time.NewTicker(time.Second / requestsPerS)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		id, front := fmt.Sprintf("%016x", rand.Uint64()), fronts[n%len(fronts)]
		clients.Go(func() {
			request, _ := http.NewRequest(http.MethodGet, "http://"+front+"/stock/a", nil)
			request.Host = "stock.example"
			request.Header.Set("X-Guavatrestle-Request-Id", id)
			request.Header.Set("X-Guavatrestle-Deadline-Milliseconds", "1500")
			sent.Store(id, time.Now())
			response, err := client.Do(request)
			if err != nil {
				rec.printf("client: %s fails: %v", id, err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				served.Add(1)
			}
			rec.printf("client: %s gets %d", id, response.StatusCode)
		})
	}
}
