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
	"syscall"
	"time"
)

func init() { cases["slow-reader"] = slowReader }

const (
	// answerBytes is the largest answer of refund-book on its sheet and slowBudgetMS the client's time budget there. slowTimeoutMS, the route's
	// timeout, is as long, so that it isn't reached when a channel ends.
	answerBytes   = 4800
	slowBudgetMS  = 4000
	slowTimeoutMS = 4000
	// readPause is the time for which a client reads nothing. The rest of the answer is read before its time budget ends.
	readPause = 3400 * time.Millisecond
	// smallWindow makes the system give a channel its smallest receive window.
	smallWindow = 1
	slowClients = 12
	// applyBound is configuration_apply_ms, up to which after a SIGHUP the rule holds for a request.
	applyBound = 2 * time.Second
	// entryHosts is the number of entry processes; one of them gets SIGHUP.
	entryHosts = 4
)

// slowReader plays clients that read their answer slowly: they stop for a while in its middle, within their time budget.
func slowReader(w *world) {
	var ran atomic.Int64
	var workerDone sync.Map
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
			workerDone.Store(id, true)
		}))
	}()
	w.store.put("servers", "i-1", registration("desk", listener.Addr().String(), "z-one", "ready", 16, time.Now().UnixMilli()))
	w.store.put("config", "main", configuration(1,
		[]map[string]any{route("r-book", "book.example", "/book/", "unsafe", "desk", slowTimeoutMS, 300, 1)},
		[]map[string]any{plainService("desk")}, []map[string]any{tenant("t-1", "key-1")}))
	var entries []*host
	for n := range entryHosts {
		entries = append(entries, w.addEntry(fmt.Sprintf("entry-%d", n+1), "z-one"))
	}
	for _, e := range entries {
		e.process.start()
	}
	for _, e := range entries {
		w.awaitReady(e)
	}
	entry := entries[0]
	time.Sleep(stableWindow + 500*time.Millisecond)
	hup := time.Now()
	entry.process.signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
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
				sent := time.Now()
				w.note("client sends %s on its channel, request %d there", id, try+1)
				_ = c.conn.SetDeadline(time.Now().Add(slowBudgetMS * time.Millisecond))
				response, err := c.receive(http.MethodPost)
				if err != nil {
					w.note("client gets no head for %s: %v", id, err)
					return
				}
				if w.trouble && try == 1 {
					w.note("client of %s has the head (%d) and pauses", id, response.StatusCode)
					time.Sleep(readPause)
				}
				got, err := io.Copy(io.Discard, response.Body)
				w.note("client of %s: status %d, %d of %d bytes, error %v", id, response.StatusCode, got, answerBytes, err)
				if err != nil {
					// The rule excuses a channel that ends when the time budget, here also the route's timeout, is reached, and a worker
					// that broke off.
					took := time.Since(sent)
					_, handed := workerDone.Load(id)
					if sent.Sub(hup) <= applyBound && handed && took < slowBudgetMS*time.Millisecond {
						w.note("%s was sent %d ms after the SIGHUP and cut %d ms after that", id, sent.Sub(hup).Milliseconds(), took.Milliseconds())
						lost.Add(1)
					}
					return
				}
				answered.Add(1)
			}
		})
	}
	group.Wait()
	w.verdict(lost.Load() > 0, "%d requests ran, %d answers whole, %d channels ended without a complete answer after their request was passed on", ran.Load(), answered.Load(), lost.Load())
}
