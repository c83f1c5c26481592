package server

import (
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/transport"
)

// unauthenticatedPaths are the endpoints of a control listener that require no client certificate.
var unauthenticatedPaths = []string{"/healthz", "/readyz"}

// Options are the settings of a listener that differ between its uses.
type Options struct {
	// TLS is the TLS configuration; nil means a listener without TLS.
	TLS *tls.Config
	// PingAfter is the idle time after which an HTTP/2 connection is probed with a PING frame; 0 means the default.
	PingAfter time.Duration
}

// ListenWith starts to serve handler on addr with the given options.
func ListenWith(addr string, handler http.Handler, o Options) (*Listener, error) {
	n, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", addr)
	}
	settings := HTTP2()
	if o.PingAfter > 0 {
		settings.SendPingTimeout = o.PingAfter
	}
	protocols := Protocols()
	protocols.SetUnencryptedHTTP2(o.TLS == nil)
	l := &Listener{
		net: n,
		server: NewGraceful(&http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			Protocols:         protocols,
			HTTP2:             settings,
			TLSConfig:         o.TLS,
		}, n.(*net.TCPListener)),
	}
	l.wg.Go(func() { _ = l.server.Serve() })
	return l, nil
}

// RequireClientCertificate returns a handler that refuses requests without a verified client certificate, except for
// health checks.
func RequireClientCertificate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		verified := r.TLS != nil && len(r.TLS.VerifiedChains) > 0
		if !verified && !slices.Contains(unauthenticatedPaths, r.URL.Path) {
			transport.WriteError(w, "", transport.Errorf(http.StatusForbidden, api.CodeForbidden, api.RunNotRun,
				"a verified client certificate is required"))
			return
		}
		next.ServeHTTP(w, r)
	})
}
