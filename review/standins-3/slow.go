package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	largeAnswer = 300_000
	readerPause = 4 * time.Second
	// allowedLosses is the number of lost requests that the rule allows.
	allowedLosses = 3
)

// sized is a stand-in of a worker whose answers are as long as the path says.
type sized struct{ *plain }

func (s *sized) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Guavatrestle-Request-Id")
	rw.Header().Set("X-Guavatrestle-Request-Id", id)
	rw.Header().Set("X-Guavatrestle-Instance-Id", s.id)
	if expected := r.Header.Get("X-Guavatrestle-Expect-Instance"); expected != "" && expected != s.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	size, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/orders/"))
	if err != nil {
		size = 800
	}
	s.mu.Lock()
	s.runs = append(s.runs, run{at: time.Now(), id: id, worker: s.id})
	s.mu.Unlock()
	rw.Header().Set("X-Guavatrestle-Answer-Stamp", "stamp-"+s.id+"-"+id)
	rw.Header().Set("Content-Length", strconv.Itoa(size))
	_, err = rw.Write([]byte(strings.Repeat("x", size)))
	s.w.logf("%s runs %s and answers %d bytes: %v", s.id, id, size, err)
}

// slowReader has clients pause while they read the answer to the second request on a kept channel.
func slowReader(w *world) bool {
	worker := &sized{plain: &plain{w: w, id: "i-pedidos-1"}}
	worker.address = w.serve("127.0.2.1", worker)
	w.store.put("servers", worker.id, worker.registration("pedidos", "centro-a", 1, "ready", time.Now().UnixMilli()))
	configuration := movedRoute(3, "pedidos")
	configuration["routes"].([]any)[0].(map[string]any)["timeout_ms"] = 6000
	w.store.put("config", "main", configuration)
	w.peerPort = w.freePorts("127.0.3.1", 20)
	front := w.startFront(1, "centro-a")
	w.awaitReady(front.ready)
	results := make(chan bool)
	const clients = 8
	for client := range clients {
		go func() { results <- w.readSlowly(front.front, client, worker.plain) }()
	}
	lost := 0
	for range clients {
		if <-results {
			lost++
		}
	}
	w.logf("%d of %d requests on kept channels were run and have no whole answer", lost, clients)
	return lost > allowedLosses
}

// readSlowly sends two requests on a channel and pauses before it reads the answer to the second. It reports whether the second was run and
// its channel ended without the whole answer.
func (w *world) readSlowly(front string, client int, worker *plain) bool {
	conn, err := net.Dial("tcp", front)
	if err != nil {
		w.giveUp("connect: %v", err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i, size := range []int{800, largeAnswer} {
		id := fmt.Sprintf("slow-%d-%d", client, i)
		sent := time.Now()
		fmt.Fprintf(conn, "POST /orders/%d HTTP/1.1\r\nHost: %s\r\nX-Guavatrestle-Request-Id: %s\r\nX-Guavatrestle-Deadline-Milliseconds: 6000\r\nContent-Length: 2\r\n\r\nhi",
			size, frontHost, id)
		if w.trouble && i == 1 {
			time.Sleep(readerPause)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			w.logf("client: %s: no answer after %v: %v", id, time.Since(sent).Round(time.Millisecond), err)
			return len(worker.ran(id)) > 0
		}
		n, err := io.Copy(io.Discard, response.Body)
		w.logf("client: %s: %d, %d of %d bytes after %v: %v", id, response.StatusCode, n, size, time.Since(sent).Round(time.Millisecond), err)
		if err != nil || response.StatusCode != http.StatusOK {
			return len(worker.ran(id)) > 0
		}
	}
	return false
}
