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
	"github.com/guavatrestle/guavatrestle/transport/httphead"
	"github.com/guavatrestle/guavatrestle/transport/netdial"
	"github.com/guavatrestle/guavatrestle/transport/platform"
	"github.com/guavatrestle/guavatrestle/transport/secure"
	"github.com/guavatrestle/guavatrestle/transport/server"
)

// newControl returns the node that exchanges settings and membership with other processes.
func (p *process) newControl() *control.Node {
	return control.New(control.Dependencies{
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

// controlPingAfter is the idle time after which the control listener pings a connection. The client side
// pings sooner.
const controlPingAfter = 30 * time.Second

// peerPingAfter is the idle time after which a connection to a peer is pinged. A process keeps about eight
// such connections, and a ping every 2 s would cost as much as the exchanges.
const peerPingAfter = 10 * time.Second

// peerIdleTimeout is the time after which an unused connection to a peer is closed. A neighbor is contacted every 6 s on
// average, but neighbors change every 15 s and each path has its own push tree: without a limit a process would keep a
// connection to every process of its failure domain.
const peerIdleTimeout = 30 * time.Second

// peerTransport returns a transport that keeps one HTTP/2 connection per peer. Header compression
// makes an idle exchange small. With TLS it sends requests for http URLs over TLS too.
func (p *process) peerTransport() http.RoundTripper {
	http2Config := server.HTTP2()
	http2Config.SendPingTimeout = peerPingAfter
	transport := &http.Transport{HTTP2: http2Config, IdleConnTimeout: peerIdleTimeout, MaxResponseHeaderBytes: netdial.MaxHeadBytes}
	if p.credentials != nil {
		return httphead.NewHTTP2Transport(p.credentials.Transport(transport))
	}
	transport.Protocols = &http.Protocols{}
	transport.Protocols.SetUnencryptedHTTP2(true)
	return httphead.NewHTTP2Transport(transport)
}

func (p *process) loadCredentials() (err error) {
	if p.cfg.TLS != nil {
		p.credentials, err = secure.New(*p.cfg.TLS, p.now, p.log)
	}
	return err
}

// listenControl starts the control listener. With TLS all requests except health checks need a client certificate.
func (p *process) listenControl(handler http.Handler) (*server.Listener, error) {
	handler = server.Recover(handler, p.log)
	options := server.Options{PingAfter: controlPingAfter}
	if p.credentials != nil {
		handler = server.RequireClientCertificate(handler)
		options.TLS = p.credentials.ServerConfig(tls.VerifyClientCertIfGiven)
	}
	return server.ListenWith(p.cfg.Listen.Control, handler, options)
}

// listenData starts the data listener. With TLS the listener of an agent requires a client certificate; that of
// an entry does not, because callers have none.
func (p *process) listenData(handler http.Handler) (*server.Listener, error) {
	handler = server.Recover(handler, p.log)
	if p.credentials == nil {
		return server.Listen(p.cfg.Listen.Data, handler)
	}
	auth := tls.RequireAndVerifyClientCert
	if p.cfg.Role == core.RoleEntry {
		auth = tls.NoClientCert
	}
	return server.ListenWith(p.cfg.Listen.Data, handler, server.Options{TLS: p.credentials.ServerConfig(auth)})
}

// registerControl adds the settings service, which other processes call, to mux.
func (p *process) registerControl(mux *http.ServeMux) {
	mux.Handle(wire.SettingsPathPrefix, wire.NewSettingsServer(p.control))
}

// newAdmin returns the entry's admin API.
func (e *entry) newAdmin() *admin.Handler {
	return admin.NewHandler(admin.Dependencies{
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
