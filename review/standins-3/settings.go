package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// movedRoute returns a configuration with a route for everybody to a service.
func movedRoute(version int, service string) map[string]any {
	configuration := serviceConfiguration(version, []any{map[string]any{"name": "showrooms", "api_keys": []string{keyA}}})
	configuration["routes"] = []any{map[string]any{
		"name": "order-confirm", "host": frontHost, "path_prefix": "/orders/", "service": service, "kind": "unsafe", "allow_anonymous": true,
		"timeout_ms": 1500, "target_latency_ms": 300, "attempts": 1, "priority": 0,
	}}
	configuration["services"] = []any{
		map[string]any{"name": "pedidos", "health_check_path": "/health", "connection_limit": 220, "cold_start_s": 0},
		map[string]any{"name": "franquicias", "health_check_path": "/health", "connection_limit": 96, "cold_start_s": 0},
	}
	return configuration
}

// changedSettings changes the settings file of one of four entry machines, with a SIGHUP: it names another address of the store.
func changedSettings(w *world) bool {
	workers := map[string]*plain{}
	for i, service := range []string{"pedidos", "franquicias"} {
		worker := &plain{w: w, id: "i-" + service + "-1", work: 20 * time.Millisecond}
		worker.address = w.serve(fmt.Sprintf("127.0.2.%d", i+1), worker)
		w.store.put("servers", worker.id, worker.registration(service, "centro-a", 1, "ready", time.Now().UnixMilli()))
		workers[service] = worker
	}
	w.store.put("config", "main", movedRoute(3, "pedidos"))
	w.peerPort = w.freePorts("127.0.3.1", 20)
	// The machine whose settings change reaches the store at an address of its own, so that the others keep theirs.
	old := w.listenOn("127.0.0.2")
	server := &http.Server{Handler: w.store}
	go func() { _ = server.Serve(old) }()
	var fronts []host
	for i, zone := range []string{"centro-a", "centro-a", "sur-a", "norte-a"} {
		front := w.front(i+1, zone)
		if zone == "norte-a" {
			front.store = old.Addr().String()
		}
		w.start(front, "entry")
		fronts = append(fronts, front)
	}
	changing, process := &fronts[3], w.procs[len(w.procs)-1]
	for i, front := range fronts {
		w.awaitReady(front.ready)
		id := fmt.Sprintf("before-%d", i)
		if status := w.order(front.front, id, ""); status != http.StatusOK || len(workers["pedidos"].ran(id)) != 1 {
			w.giveUp("a request before the change was answered %d by %s", status, front.name)
		}
	}
	if w.trouble {
		changing.store = w.serve("127.0.0.3", w.store)
		path := filepath.Join(w.dir, changing.name+".conf")
		if err := os.WriteFile(path, []byte(w.settings(*changing)), 0o600); err != nil {
			w.giveUp("write settings: %v", err)
		}
		process.signal(syscall.SIGHUP)
		w.logf("platform: the settings file of %s names the store at %s now; SIGHUP", changing.name, changing.store)
		time.Sleep(3 * time.Second)
		_ = server.Close()
		w.logf("platform: the store closes %s, its old address for %s", old.Addr(), changing.name)
	}
	time.Sleep(4 * time.Second)
	acked := w.store.put("config", "main", movedRoute(7, "franquicias"))
	w.logf("operator: version 7 is acknowledged, it moves the route from pedidos to franquicias")
	time.Sleep(time.Until(acked.Add(8 * time.Second)))
	broken := false
	for i := range 10 {
		for _, front := range fronts {
			id := fmt.Sprintf("after-%d-%s", i, front.name)
			w.order(front.front, id, "")
			if len(workers["pedidos"].ran(id)) > 0 {
				w.logf("BROKEN: %s was run by pedidos %.1f s after version 7 was acknowledged", id, time.Since(acked).Seconds())
				broken = true
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return broken
}
