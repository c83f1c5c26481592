package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/table"
	claimlog "github.com/guavatrestle/guavatrestle/transport/claims"
	entryhttp "github.com/guavatrestle/guavatrestle/transport/entry"
	"github.com/guavatrestle/guavatrestle/transport/server"
)

// entry implements the entry role.
type entry struct {
	*process
	upstreams *table.Upstreams
	leaving   atomic.Bool
}

func newEntry(p *process) *entry {
	return &entry{process: p, upstreams: table.NewUpstreams()}
}

func (e *entry) start(ctx context.Context) (controlHandler, dataHandler http.Handler) {
	heartbeat := entryhttp.NewHeartbeat(e.self, e.members, e.upstreams, e.cfg.Entry.StatusInterval, e.now, e.log)
	heartbeat.SetTLS(e.tlsWrapper())
	claims := claimlog.New(claimlog.Dependencies{
		Config:    claimlog.DefaultConfig(),
		Self:      e.self,
		Store:     e.store,
		Members:   e.members,
		Transport: e.peerTransport(),
		Now:       e.now,
		Log:       e.log,
	})
	e.loops.Go(func() {
		defer claims.Close()
		claims.Run(ctx)
	})
	controlMux := http.NewServeMux()
	e.registerControl(controlMux)
	controlMux.Handle(wire.ClaimsPathPrefix, wire.NewClaimsServer(claimlog.NewServer(claims)))
	server.AddDebug(controlMux, e.introspection(e))
	dataMux := http.NewServeMux()
	handler := entryhttp.NewHandler(entryhttp.Dependencies{
		Config:    *e.cfg.Entry,
		Tuning:    entryhttp.DefaultTuning(),
		Self:      e.self,
		Settings:  e.settings,
		Upstreams: e.upstreams,
		Claims:    claims,
		TLS:       e.tlsWrapper(),
		Random:    e.random,
		Now:       e.now,
		Log:       e.log,
	})
	handler.Register(dataMux)
	heartbeat.SetHasQueuedRequests(handler.HasQueuedRequests)
	e.loops.Go(func() { heartbeat.Run(ctx) })
	e.newAdmin().Register(dataMux)
	e.loops.Go(func() {
		defer handler.Close()
		handler.Run(ctx)
	})
	return controlMux, entryhttp.WithRequestID(e.closeWhenLeaving(dataMux))
}

// tlsWrapper returns the function that adds TLS to calls to agents, or nil without TLS.
func (e *entry) tlsWrapper() entryhttp.TLSWrapper {
	if e.credentials == nil {
		return nil
	}
	return e.credentials.Transport
}

// leave makes the entry report not ready while it still serves requests for the drain grace, so that the load balancer
// sends callers elsewhere before the listener closes. The shutdown of the data listener waits for the requests in flight.
func (e *entry) leave(ctx context.Context) {
	e.leaving.Store(true)
	graceTimer := time.NewTimer(e.cfg.Entry.DrainGrace)
	defer graceTimer.Stop()
	select {
	case <-ctx.Done():
	case <-graceTimer.C:
	}
}

// closeWhenLeaving closes the caller's connection after each response while the entry is leaving.
func (e *entry) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (e *entry) state() any { return e.upstreams.List() }

func (e *entry) ready() (bool, string) {
	switch {
	case e.leaving.Load():
		return false, "the process is leaving"
	case !e.settings.Tree().InService(e.self.FailureDomain):
		return false, "the failure domain is out of service"
	default:
		return true, ""
	}
}
