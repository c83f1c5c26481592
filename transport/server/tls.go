package server

import (
	"crypto/tls"
	"net"
	"net/http"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/transport"
)

// openPaths are the endpoints of a control listener that need no client certificate.
var openPaths = []string{"/healthz", "/readyz"}

// ListenTLS starts serving handler on addr over TLS; a nil cfg means without TLS.
func ListenTLS(addr string, handler http.Handler, cfg *tls.Config) (*Listener, error) {
	if cfg == nil {
		return Listen(addr, handler)
	}
	n, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", addr)
	}
	protocols := Protocols()
	protocols.SetUnencryptedHTTP2(false)
	l := &Listener{
		net: n,
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			Protocols:         protocols,
			HTTP2:             HTTP2(),
			TLSConfig:         cfg,
		},
	}
	l.wg.Go(func() { _ = l.http.ServeTLS(n, "", "") })
	return l, nil
}

// RequirePeer refuses requests without a verified client certificate, except for health checks.
func RequirePeer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		verified := r.TLS != nil && len(r.TLS.VerifiedChains) > 0
		if !verified && !slices.Contains(openPaths, r.URL.Path) {
			transport.WriteError(w, "", transport.Errorf(http.StatusForbidden, api.CodeForbidden, api.RunNotRun,
				"a client certificate of the system is required"))
			return
		}
		next.ServeHTTP(w, r)
	})
}
