package daemon

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/transport/admin"
	"github.com/guavatrestle/guavatrestle/transport/control"
	"github.com/guavatrestle/guavatrestle/transport/platform"
	"github.com/guavatrestle/guavatrestle/transport/server"
)

// newControl returns the process's part in the spread of settings and membership.
func (p *process) newControl() *control.Node {
	return control.New(control.Parts{
		Self:             p.self,
		Config:           p.cfg.Spread,
		Settings:         p.settings,
		Members:          p.members,
		Store:            p.store,
		Hosts:            platform.NewHostListClient(p.cfg.Platform.HostList),
		HostListInterval: p.cfg.Platform.HostListInterval,
		Client:           &http.Client{Transport: peerTransport()},
		Scheme:           "http",
		Random:           rand.New(rand.NewPCG(p.random.Uint64(), p.random.Uint64())),
		Now:              p.now,
		Log:              p.log,
	})
}

// peerPingAfter is the idle time of a connection between peers after which it is probed. A process keeps
// about eight such connections, and probes every two seconds would cost as much as the exchanges.
const peerPingAfter = 10 * time.Second

// peerTransport returns a transport that keeps one HTTP/2 connection per peer. Header compression
// makes an idle exchange small.
func peerTransport() *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	settings := server.HTTP2()
	settings.SendPingTimeout = peerPingAfter
	return &http.Transport{Protocols: protocols, HTTP2: settings}
}

// registerControl adds the calls from other processes to mux.
func (p *process) registerControl(mux *http.ServeMux) {
	mux.Handle(wire.SettingsPathPrefix, wire.NewSettingsServer(p.control))
}

// newAdmin returns the entry's admin API.
func (e *entry) newAdmin() *admin.Handler {
	return admin.NewHandler(admin.Parts{
		Self:        e.self,
		Store:       e.store,
		Settings:    e.settings,
		Members:     e.members,
		Upstreams:   e.upstreams,
		TokenHashes: e.cfg.Entry.AdminTokenHashes,
		Accepted:    e.control.Spread,
		Now:         e.now,
		Log:         e.log,
	})
}
