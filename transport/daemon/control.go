package daemon

import (
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/transport/admin"
	"github.com/guavatrestle/guavatrestle/transport/control"
	"github.com/guavatrestle/guavatrestle/transport/platform"
	"github.com/guavatrestle/guavatrestle/transport/secure"
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
		Client:           &http.Client{Transport: p.peerTransport()},
		Random:           rand.New(rand.NewPCG(p.random.Uint64(), p.random.Uint64())),
		Now:              p.now,
		Log:              p.log,
	})
}

// listenerPingAfter is the idle time after which the control listener probes a connection. The other side
// probes sooner.
const listenerPingAfter = 30 * time.Second

// peerPingAfter is the idle time of a connection between peers after which it is probed. A process keeps
// about eight such connections, and probes every two seconds would cost as much as the exchanges.
const peerPingAfter = 10 * time.Second

// peerIdleTimeout is the time after which an unused connection to a peer is closed. A neighbour is asked every 6 s on
// average, but neighbours change every 15 s and every path has a push tree of its own: without a limit a process keeps a
// connection to each process of its failure domain.
const peerIdleTimeout = 30 * time.Second

// peerTransport returns a transport that keeps one HTTP/2 connection per peer. Header compression
// makes an idle exchange small. With TLS it also takes http URLs over TLS.
func (p *process) peerTransport() http.RoundTripper {
	settings := server.HTTP2()
	settings.SendPingTimeout = peerPingAfter
	base := &http.Transport{HTTP2: settings, IdleConnTimeout: peerIdleTimeout}
	if p.credentials != nil {
		return p.credentials.Transport(base)
	}
	base.Protocols = &http.Protocols{}
	base.Protocols.SetUnencryptedHTTP2(true)
	return base
}

func (p *process) readCredentials() (err error) {
	if p.cfg.TLS != nil {
		p.credentials, err = secure.New(*p.cfg.TLS, p.now, p.log)
	}
	return err
}

// listenControl starts the control listener. With TLS all but health checks needs a client certificate.
func (p *process) listenControl(handler http.Handler) (*server.Listener, error) {
	options := server.Options{PingAfter: listenerPingAfter}
	if p.credentials != nil {
		handler = server.RequireClientCertificate(handler)
		options.TLS = p.credentials.ServerConfig(tls.VerifyClientCertIfGiven)
	}
	return server.ListenWith(p.cfg.Listen.Control, handler, options)
}

// listenData starts the data listener. With TLS an agent's needs a client certificate; an entry's serves
// callers, who have none.
func (p *process) listenData(handler http.Handler) (*server.Listener, error) {
	if p.credentials == nil {
		return server.Listen(p.cfg.Listen.Data, handler)
	}
	auth := tls.RequireAndVerifyClientCert
	if p.cfg.Role == core.RoleEntry {
		auth = tls.NoClientCert
	}
	return server.ListenWith(p.cfg.Listen.Data, handler, server.Options{TLS: p.credentials.ServerConfig(auth)})
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
		OnAccepted:  e.control.PushDocuments,
		Now:         e.now,
		Log:         e.log,
	})
}
