// Package secure provides mutual TLS between processes. Certificates are reloaded when their files change.
package secure

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/state/config"
)

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

// keyMaterial is the parsed content of the certificate files.
type keyMaterial struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	// modTimes are the modification times of the files when they were read.
	modTimes [3]time.Time
}

// Credentials hold the certificate of a process and the certificate authorities that it trusts.
type Credentials struct {
	cfg config.TLS
	now func() time.Time
	log *logrus.Entry

	mu        sync.Mutex
	checkedAt time.Time
	loaded    keyMaterial
}

// New returns Credentials read from the files in cfg. It fails when a file is missing or invalid.
func New(cfg config.TLS, now func() time.Time, log *logrus.Entry) (*Credentials, error) {
	loaded, err := readFiles(cfg)
	if err != nil {
		return nil, err
	}
	return &Credentials{cfg: cfg, now: now, log: log, checkedAt: now(), loaded: loaded}, nil
}

// ServerConfig returns the TLS configuration of a listener. auth is the policy for client certificates.
func (c *Credentials) ServerConfig(auth tls.ClientAuthType) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			loaded := c.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"h2", "http/1.1"},
				Certificates: []tls.Certificate{loaded.certificate},
				ClientCAs:    loaded.authorities,
				ClientAuth:   auth,
			}, nil
		},
	}
}

// ClientConfig returns the TLS configuration for connections to other processes. Processes are addressed by IP, so their
// certificates are verified against the configured server name instead of a host name.
func (c *Credentials) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: c.cfg.ServerName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			loaded := c.current()
			return &loaded.certificate, nil
		},
		// VerifyConnection replaces the standard verification, which cannot reload the certificate authorities.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verifyPeer,
	}
}

// Transport configures base for TLS and HTTP/2 and returns a round tripper that sends all requests through it, also those
// with http URLs.
func (c *Credentials) Transport(base *http.Transport) http.RoundTripper {
	base.TLSClientConfig = c.ClientConfig()
	base.Protocols = &http.Protocols{}
	base.Protocols.SetHTTP2(true)
	return httpsTransport{base}
}

// httpsTransport sends requests with http URLs over https.
type httpsTransport struct{ base *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t httpsTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Scheme == "https" {
		return t.base.RoundTrip(r)
	}
	r = r.Clone(r.Context())
	r.URL.Scheme = "https"
	return t.base.RoundTrip(r)
}

// CloseIdleConnections closes the idle connections of the underlying transport.
func (t httpsTransport) CloseIdleConnections() { t.base.CloseIdleConnections() }

func (c *Credentials) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("the peer presented no certificate")
	}
	options := x509.VerifyOptions{
		Roots:         c.current().authorities,
		DNSName:       c.cfg.ServerName,
		CurrentTime:   c.now(),
		Intermediates: x509.NewCertPool(),
	}
	for _, intermediate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return eris.Wrap(err, "verify the certificate of the peer")
}

// current returns the key material in use, reloaded if the files have changed. If the changed files are not valid, the
// previous material stays in use.
func (c *Credentials) current() keyMaterial {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.now().Sub(c.checkedAt) < checkInterval {
		return c.loaded
	}
	c.checkedAt = c.now()
	modTimes, err := readModTimes(c.cfg)
	if err == nil && modTimes == c.loaded.modTimes {
		return c.loaded
	}
	reloaded, err := readFiles(c.cfg)
	if err != nil {
		c.log.WithError(err).Error("failed to reload changed certificates; the previous ones stay in use")
		return c.loaded
	}
	c.loaded = reloaded
	c.log.Info("certificates reloaded")
	return c.loaded
}

func readFiles(cfg config.TLS) (keyMaterial, error) {
	modTimes, err := readModTimes(cfg)
	if err != nil {
		return keyMaterial{}, err
	}
	certificate, err := tls.LoadX509KeyPair(cfg.Cert, cfg.Key)
	if err != nil {
		return keyMaterial{}, eris.Wrap(err, "read certificate and key")
	}
	pem, err := os.ReadFile(cfg.CA)
	if err != nil {
		return keyMaterial{}, eris.Wrap(err, "read CA file")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return keyMaterial{}, eris.Errorf("CA file %s contains no certificate", cfg.CA)
	}
	return keyMaterial{certificate: certificate, authorities: authorities, modTimes: modTimes}, nil
}

func readModTimes(cfg config.TLS) ([3]time.Time, error) {
	var modTimes [3]time.Time
	for i, name := range []string{cfg.Cert, cfg.Key, cfg.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return modTimes, eris.Wrap(err, "stat certificate file")
		}
		modTimes[i] = info.ModTime()
	}
	return modTimes, nil
}
