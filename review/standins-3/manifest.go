package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// side is a machine of a model worker with its agent.
type side struct {
	host  host
	model *model
	agent *process
}

// startSide starts a model worker and the agent beside it.
func (w *world) startSide(number int, zone string) *side {
	ip := fmt.Sprintf("127.0.4.%d", number)
	s := &side{model: newModel(w, fmt.Sprintf("i-model-%d", number))}
	s.model.address = w.serve(ip, s.model)
	s.host = host{
		name: fmt.Sprintf("side-%s-%d", zone, number), class: "side", ip: ip, zone: zone, internal: w.peerPort, app: s.model.address, service: "guava-llm",
	}
	w.store.put("servers", s.model.id, s.model.registration(zone, 1))
	s.agent = w.start(s.host, "agent")
	return s
}

// front returns the machine of an entry process.
func (w *world) front(number int, zone string) host {
	ip := fmt.Sprintf("127.0.3.%d", number)
	h := host{
		name: fmt.Sprintf("front-%s-%d", zone, number), class: "front", ip: ip, zone: zone, internal: w.peerPort,
		front: fmt.Sprintf("%s:%d", ip, w.peerPort+17), ready: fmt.Sprintf("%s:%d", ip, w.peerPort+18),
	}
	return h
}

// startFront starts an entry process.
func (w *world) startFront(number int, zone string) host {
	h := w.front(number, zone)
	w.start(h, "entry")
	return h
}

// beat writes the registrations of model workers as they write them themselves, until the process ends.
func (w *world) beat(sides []*side) {
	for sequence := 2; ; sequence++ {
		time.Sleep(1200 * time.Millisecond)
		for _, s := range sides {
			w.store.put("servers", s.model.id, s.model.registration(s.host.zone, sequence))
		}
	}
}

// cutManifest has the origin send a manifest that ends early, as two of its 50 answers.
func cutManifest(w *world) bool {
	w.peerPort = w.freePorts("127.0.3.1", 20)
	o := &origin{w: w}
	o.address = w.serve("127.0.5.1", o)
	w.store.put("config", "main", modelConfiguration(3, o.address))
	w.store.put("versions", modelName, map[string]any{"model": modelName, "version": 1})
	s := w.startSide(1, "sur-a")
	go w.beat([]*side{s})
	front := w.startFront(1, "sur-a")
	w.awaitReady(front.ready)
	// Until here nothing needs the origin but the pieces of version 1, which are staged.
	time.Sleep(2 * time.Second)
	if status, body := w.quote(front.front, "before-1"); status != http.StatusOK || strings.Count(body, "data:") != streamItems {
		w.giveUp("a quote before the change was answered %d: %q", status, body)
	}
	if w.trouble {
		o.mu.Lock()
		o.spoil = spoilManifests(2)
		o.mu.Unlock()
	}
	w.store.put("versions", modelName, map[string]any{"model": modelName, "version": 2})
	w.logf("operator: version 2 is named")
	served := 0
	for i, end := 0, time.Now().Add(14*time.Second); time.Now().Before(end); i++ {
		id := fmt.Sprintf("quote-%d", i)
		status, body := w.quote(front.front, id)
		w.logf("client: %s: %d, %d events", id, status, strings.Count(body, "data:"))
		if status == http.StatusOK {
			served++
		}
		time.Sleep(50 * time.Millisecond)
	}
	o.mu.Lock()
	w.logf("origin: %d answers, %d of them spoiled", o.answers, o.spoiled)
	o.mu.Unlock()
	s.model.mu.Lock()
	defer s.model.mu.Unlock()
	w.logf("%d quotes were served, %d tokens made, %d of them with layers of two versions", served, s.model.tokens, len(s.model.wrong))
	if s.model.version != 2 && !w.trouble {
		w.giveUp("version 2 was not loaded without trouble")
	}
	for _, wrong := range s.model.wrong[:min(len(s.model.wrong), 3)] {
		w.logf("BROKEN: %s", wrong)
	}
	return len(s.model.wrong) > 0
}

// spoilManifests leaves the last digest out of the next n manifests.
func spoilManifests(n int) func(int, string, []byte) []byte {
	left := n
	return func(_ int, path string, body []byte) []byte {
		if left == 0 || !strings.HasPrefix(path, "/manifest/") {
			return body
		}
		left--
		var manifest map[string]any
		if err := json.NewDecoder(bytes.NewReader(body)).Decode(&manifest); err != nil {
			return body
		}
		digests := manifest["digests"].([]any)
		manifest["digests"] = digests[:len(digests)-1]
		changed, _ := json.Marshal(manifest)
		return changed
	}
}
