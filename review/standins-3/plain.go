package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// run is what a worker has seen of a request that it ran.
type run struct {
	at               time.Time
	id, tenant, body string
	worker           string
}

// plain is a stand-in of a worker of a plain service.
type plain struct {
	w       *world
	id      string
	work    time.Duration
	address string

	mu   sync.Mutex
	runs []run
}

func (p *plain) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Guavatrestle-Request-Id")
	rw.Header().Set("X-Guavatrestle-Request-Id", id)
	rw.Header().Set("X-Guavatrestle-Instance-Id", p.id)
	if expected := r.Header.Get("X-Guavatrestle-Expect-Instance"); expected != "" && expected != p.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == "/health" {
		rw.Header().Set("X-Guavatrestle-Server-Load", "0,0,6")
		return
	}
	p.mu.Lock()
	p.runs = append(p.runs, run{at: time.Now(), id: id, tenant: r.Header.Get("X-Guavatrestle-Tenant"), body: string(body), worker: p.id})
	p.mu.Unlock()
	p.w.logf("%s runs %s %s, id %s, tenant %q", p.id, r.Method, r.URL.Path, id, r.Header.Get("X-Guavatrestle-Tenant"))
	time.Sleep(p.work)
	rw.Header().Set("X-Guavatrestle-Answer-Stamp", "stamp-"+p.id+"-"+id)
	rw.Header().Set("X-Guavatrestle-Server-Load", "0,0,6")
	answer := fmt.Sprintf("answer of %s to %s\n", p.id, id)
	rw.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = io.WriteString(rw, answer)
}

// ran returns the runs of a request.
func (p *plain) ran(id string) []run {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []run
	for _, r := range p.runs {
		if r.id == id {
			found = append(found, r)
		}
	}
	return found
}

// registration returns the entry of the worker in the store.
func (p *plain) registration(service, zone string, sequence int, state string, born int64) map[string]any {
	return map[string]any{
		"service": service, "address": p.address, "zone": zone, "version": 1, "slots": 6, "state": state, "cold_remaining_ms": 0,
		"sequence": sequence, "born": born,
	}
}
