//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["late-news"] = lateNews }

const (
	versionBound = 8 * time.Second
	stableWindow = 3 * time.Second
	freezeTime   = 3400 * time.Millisecond
	killAfter    = 3700 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	startStep    = 60 * time.Millisecond
	restartStep  = 50 * time.Millisecond
)

// lateNews plays a side machine that stands still as new weights are named, and entry processes that are killed after it.
func lateNews(w *world) {
	origin := w.startOrigin()
	workers := []*modelWorker{w.startModelWorker("i-one", "z-one", "llm"), w.startModelWorker("i-two", "z-two", "llm")}
	generate := route("r-gen", "gen.example", "/gen/", "streaming", "llm", 6000, 500, 2)
	generate["resumable"], generate["target_gap_ms"], generate["sticky"] = true, 400, true
	w.store.put("config", "main", configuration(1, []map[string]any{generate},
		[]map[string]any{engineService("llm"), originService("weights", origin, "z-one")}, []map[string]any{tenant("t-1", "key-1")}))
	var agents []*process
	for _, m := range workers {
		agents = append(agents, w.addAgent("agent-"+m.id, m.zone, "llm", m.ip, m.address))
	}
	// Machines start in any order, within 0.3 s. The order decides which agent reports first to most entry processes.
	agents[1].start()
	time.Sleep(startStep)
	agents[0].start()
	var entries []*host
	for n := range 6 {
		zone := "z-two"
		if n < 2 {
			zone = "z-one"
		}
		entries = append(entries, w.addEntry(fmt.Sprintf("entry-%d", n), zone))
	}
	for _, entry := range entries {
		entry.process.start()
	}
	for _, entry := range entries {
		w.awaitReady(entry)
	}
	time.Sleep(4 * time.Second)
	var stop atomic.Bool
	var group sync.WaitGroup
	var served, refused, failed atomic.Int64
	for n, entry := range entries {
		group.Go(func() {
			for seq := 0; !stop.Load(); seq++ {
				time.Sleep(100 * time.Millisecond)
				group.Go(func() { generateOnce(w, entry, fmt.Sprintf("req-%d-%d", n, seq), &served, &refused, &failed) })
			}
		})
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.note("the machine of i-two freezes")
		workers[1].frozen.Lock()
		agents[1].signal(syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() {
			w.note("the machine of i-two wakes")
			agents[1].signal(syscall.SIGCONT)
			workers[1].frozen.Unlock()
		})
	}
	time.Sleep(100 * time.Millisecond)
	named := w.store.put("versions", modelName, map[string]any{"model": modelName, "version": 2})
	w.note("version 2 is named and acknowledged")
	inTouch := make([]time.Time, len(entries))
	time.Sleep(killAfter)
	if w.trouble {
		for n := 2; n < len(entries); n++ {
			entries[n].process.kill()
		}
		time.Sleep(restartDelay)
		for n := 2; n < len(entries); n++ {
			time.Sleep(restartStep)
			entries[n].process.start()
			inTouch[n] = time.Now().Add(stableWindow)
		}
	}
	time.Sleep(time.Until(named.Add(13 * time.Second)))
	stop.Store(true)
	group.Wait()
	broken := 0
	for _, m := range workers {
		m.mu.Lock()
		for _, r := range m.runs {
			var n, seq int
			_, _ = fmt.Sscanf(r.id, "req-%d-%d", &n, &seq)
			late := r.at.Sub(named)
			if r.version < 2 && late > versionBound && r.at.After(inTouch[n]) {
				broken++
				w.note("%s, sent by entry-%d, in touch since %.3f, begins on version %d at %s %d ms after version 2 was acknowledged",
					r.id, n, max(inTouch[n].Sub(w.began).Seconds(), 0), r.version, r.worker, late.Milliseconds())
			}
		}
		m.mu.Unlock()
	}
	w.verdict(broken > 0, "%d served, %d refused, %d failed; %d began on version 1 more than 8 s after version 2 was acknowledged, sent by machines in touch",
		served.Load(), refused.Load(), failed.Load(), broken)
}

func generateOnce(w *world, entry *host, id string, served, refused, failed *atomic.Int64) {
	c, err := dial(entry.front, 0)
	if err != nil {
		failed.Add(1)
		return
	}
	defer c.conn.Close()
	_ = c.conn.SetDeadline(time.Now().Add(6 * time.Second))
	extra := "X-Guavatrestle-Model: " + modelName + "\r\nX-Guavatrestle-Token-Counts: 200,40\r\n"
	if err := c.sendWith(http.MethodPost, "/gen/x", "gen.example", id, "key-1", 6000, "{}", extra); err != nil {
		failed.Add(1)
		return
	}
	response, err := c.receive(http.MethodPost)
	if err != nil {
		failed.Add(1)
		return
	}
	_, err = io.Copy(io.Discard, response.Body)
	w.note("client of %s: status %d, error %v", id, response.StatusCode, err)
	switch {
	case err != nil:
		failed.Add(1)
	case response.StatusCode == http.StatusOK:
		served.Add(1)
	default:
		refused.Add(1)
	}
}
