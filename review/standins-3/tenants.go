package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	frontHost = "orders.example"
	keyA      = "ladderkey0000000001"
	keyNever  = "neverheldbyanybody1"
)

func serviceConfiguration(version int, tenants any) map[string]any {
	configuration := map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "order-confirm", "host": frontHost, "path_prefix": "/orders/", "service": "pedidos", "kind": "unsafe",
			"timeout_ms": 1500, "target_latency_ms": 300, "attempts": 1, "priority": 0,
		}},
		"services": []any{map[string]any{"name": "pedidos", "health_check_path": "/health", "connection_limit": 220, "cold_start_s": 0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants":  tenants,
	}
	return configuration
}

// order sends an order as a client and returns the status, 0 without an answer.
func (w *world) order(front, id, key string) int {
	request, _ := http.NewRequest(http.MethodPost, "http://"+front+"/orders/1", strings.NewReader("order "+id))
	request.Host = frontHost
	request.Header.Set("X-Guavatrestle-Request-Id", id)
	request.Header.Set("X-Guavatrestle-Deadline-Milliseconds", "1500")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		w.logf("client: %s with key %q: no answer: %v", id, key, err)
		return 0
	}
	body, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	w.logf("client: %s with key %q: %d, stamp %q, %d bytes", id, key, response.StatusCode, response.Header.Get("X-Guavatrestle-Answer-Stamp"), len(body))
	return response.StatusCode
}

// lastTenant takes the keys of the only tenant away by removing the tenant.
func lastTenant(w *world) bool {
	worker := &plain{w: w, id: "i-pedidos-1", work: 20 * time.Millisecond}
	worker.address = w.serve("127.0.2.1", worker)
	w.store.put("servers", worker.id, worker.registration("pedidos", "centro-a", 1, "ready", time.Now().UnixMilli()))
	tenant := map[string]any{"name": "showrooms", "api_keys": []string{keyA}}
	w.store.put("config", "main", serviceConfiguration(3, []any{tenant}))
	ip := "127.0.3.1"
	ports := w.freePorts(ip, 20)
	h := host{
		name: "front-centro-a-1", class: "front", ip: ip, zone: "centro-a", internal: ports,
		front: fmt.Sprintf("%s:%d", ip, ports+17), ready: fmt.Sprintf("%s:%d", ip, ports+18),
	}
	w.start(h, "entry")
	w.awaitReady(h.ready)
	for i := range 5 {
		id := fmt.Sprintf("before-%d", i)
		if status := w.order(h.front, id, keyA); status != http.StatusOK || len(worker.ran(id)) != 1 {
			w.giveUp("order %s was answered %d before the change", id, status)
		}
	}
	if status := w.order(h.front, "before-never", keyNever); status != http.StatusUnauthorized {
		w.giveUp("an order with a key that nobody holds was answered %d before the change", status)
	}
	tenants := []any{tenant}
	if w.trouble {
		tenants = []any{}
	}
	acked := w.store.put("config", "main", serviceConfiguration(7, tenants))
	w.logf("operator: version 7 is acknowledged, with %d tenants", len(tenants))
	time.Sleep(time.Until(acked.Add(7 * time.Second)))
	broken := false
	for i := range 10 {
		revoked, never := fmt.Sprintf("after-%d", i), fmt.Sprintf("after-never-%d", i)
		w.order(h.front, revoked, keyA)
		if w.trouble && len(worker.ran(revoked)) > 0 {
			w.logf("BROKEN: %s ran %.1f s after its key was taken away", revoked, time.Since(acked).Seconds())
			broken = true
		}
		w.order(h.front, never, keyNever)
		if len(worker.ran(never)) > 0 {
			w.logf("BROKEN: %s ran with a key that no configuration ever held", never)
			broken = true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return broken
}
