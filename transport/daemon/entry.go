package daemon

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/guavatrestle/guavatrestle/state/table"
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
	e.loops.Go(func() { heartbeat.Run(ctx) })
	controlMux := http.NewServeMux()
	e.registerControl(controlMux)
	server.AddDebug(controlMux, e.introspection(e))
	dataMux := http.NewServeMux()
	handler := entryhttp.NewHandler(entryhttp.Parts{
		Config:    *e.cfg.Entry,
		Self:      e.self,
		Settings:  e.settings,
		Upstreams: e.upstreams,
		Random:    e.random,
		Now:       e.now,
		Log:       e.log,
	})
	handler.Register(dataMux)
	e.newAdmin().Register(dataMux)
	return controlMux, dataMux
}

// leave turns the entry not ready; the data listener's shutdown finishes the requests in flight.
func (e *entry) leave(context.Context) { e.leaving.Store(true) }

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
