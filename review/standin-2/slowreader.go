//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["slow-reader"] = slowReader }

const (
	// answerBytes is the largest answer of refund-book on its sheet, slowBudgetMS the client's time budget and slowTimeoutMS the route's
	// timeout there.
	answerBytes   = 4800
	slowBudgetMS  = 4000
	slowTimeoutMS = 2000
	// readPause is the time for which a client reads nothing. The rest of the answer is read before its time budget ends.
	readPause = 3400 * time.Millisecond
	// smallWindow makes the system give a channel its smallest receive window.
	smallWindow = 1
	slowClients = 12
)

// slowReader plays clients that read their answer slowly: they stop for a while in its middle, within their time budget.
func slowReader(w *world) {
	var ran, whole atomic.Int64
	body := strings.Repeat("x", answerBytes)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fatal(err)
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(headerID)
			ran.Add(1)
			w.note("worker runs %s", id)
			rw.Header().Set(headerID, id)
			rw.Header().Set(headerStamp, "stamp."+id)
			rw.Header().Set("Content-Length", fmt.Sprint(len(body)))
			if _, err := io.WriteString(rw, body); err != nil {
				w.note("worker couldn't answer %s: %v", id, err)
				return
			}
			whole.Add(1)
		}))
	}()
	w.store.put("servers", "i-1", registration("desk", listener.Addr().String(), "z-one", "ready", 16, time.Now().UnixMilli()))
	w.store.put("config", "main", configuration(1,
		[]map[string]any{route("r-book", "book.example", "/book/", "unsafe", "desk", slowTimeoutMS, 300, 1)},
		[]map[string]any{plainService("desk")}, []map[string]any{tenant("t-1", "key-1")}))
	entry := w.addEntry("entry-1", "z-one")
	entry.process.start()
	w.awaitReady(entry)
	time.Sleep(stableWindow + 500*time.Millisecond)
	var lost, answered atomic.Int64
	var group sync.WaitGroup
	for n := range slowClients {
		group.Go(func() {
			c, err := dial(entry.front, smallWindow)
			if err != nil {
				w.note("client %d can't connect: %v", n, err)
				return
			}
			defer c.conn.Close()
			for try := range 2 {
				id := fmt.Sprintf("req-%02d-%d", n, try)
				if err := c.send(http.MethodPost, "/book/x", "book.example", id, "key-1", slowBudgetMS, "{}"); err != nil {
					w.note("client can't send %s: %v", id, err)
					return
				}
				w.note("client sends %s on its channel, request %d there", id, try+1)
				_ = c.conn.SetDeadline(time.Now().Add(slowBudgetMS * time.Millisecond))
				response, err := c.receive(http.MethodPost)
				if err != nil {
					w.note("client gets no head for %s: %v", id, err)
					lost.Add(1)
					return
				}
				if w.trouble && try == 1 {
					w.note("client of %s has the head (%d) and pauses", id, response.StatusCode)
					time.Sleep(readPause)
				}
				got, err := io.Copy(io.Discard, response.Body)
				w.note("client of %s: status %d, %d of %d bytes, error %v", id, response.StatusCode, got, answerBytes, err)
				if err != nil {
					lost.Add(1)
					return
				}
				answered.Add(1)
			}
		})
	}
	group.Wait()
	w.verdict(lost.Load() > 3, "%d requests ran, %d answers whole, %d channels closed without the whole answer", ran.Load(), answered.Load(), lost.Load())
}
