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

// entry is the entry role.
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
	heartbeat.SetTLS(e.secure())
	claims := claimlog.New(claimlog.Parts{
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
	handler := entryhttp.NewHandler(entryhttp.Parts{
		Config:    *e.cfg.Entry,
		Tuning:    entryhttp.DefaultTuning(),
		Self:      e.self,
		Settings:  e.settings,
		Upstreams: e.upstreams,
		Claims:    claims,
		TLS:       e.secure(),
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

// secure returns how calls to agents use TLS, nil without.
func (e *entry) secure() entryhttp.TLSWrapper {
	if e.credentials == nil {
		return nil
	}
	return e.credentials.Transport
}

// leave turns the entry not ready and serves on for the drain grace, so that the load balancer sends callers elsewhere
// before the listener closes. The data listener's shutdown finishes the requests in flight.
func (e *entry) leave(ctx context.Context) {
	e.leaving.Store(true)
	grace := time.NewTimer(e.cfg.Entry.DrainGrace)
	defer grace.Stop()
	select {
	case <-ctx.Done():
	case <-grace.C:
	}
}

// closeWhenLeaving ends the caller's connection after each response while the entry leaves.
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
