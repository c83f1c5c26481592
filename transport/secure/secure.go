// Package secure provides TLS between processes with certificates that are read again when they change.
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

// checkInterval is the least time between looks at the files for changes.
const checkInterval = time.Second

// material is what the files hold.
type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	// stamps are the change times of the files when they were read.
	stamps [3]time.Time
}

// Credentials are the certificate of a process and the authorities that it accepts from others.
type Credentials struct {
	cfg config.TLS
	now func() time.Time
	log *logrus.Entry

	mu      sync.Mutex
	checked time.Time
	held    material
}

// New reads the files once and fails when they are not usable.
func New(cfg config.TLS, now func() time.Time, log *logrus.Entry) (*Credentials, error) {
	held, err := read(cfg)
	if err != nil {
		return nil, err
	}
	return &Credentials{cfg: cfg, now: now, log: log, checked: now(), held: held}, nil
}

// ServerConfig returns the configuration of a listener. auth says whether clients must show a certificate.
func (c *Credentials) ServerConfig(auth tls.ClientAuthType) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			held := c.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"h2", "http/1.1"},
				Certificates: []tls.Certificate{held.certificate},
				ClientCAs:    held.authorities,
				ClientAuth:   auth,
			}, nil
		},
	}
}

// ClientConfig returns the configuration of a client of other processes. Processes are reached by IP address, so
// their certificates carry the configured name instead of a host's.
func (c *Credentials) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: c.cfg.ServerName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			held := c.current()
			return &held.certificate, nil
		},
		// The check below replaces the standard one, which cannot take changed authorities.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verify,
	}
}

// Transport returns a round tripper that sends requests over TLS, also those for http URLs.
func (c *Credentials) Transport(base *http.Transport) http.RoundTripper {
	base.TLSClientConfig = c.ClientConfig()
	base.Protocols = &http.Protocols{}
	base.Protocols.SetHTTP2(true)
	return upgrade{base}
}

// upgrade turns http URLs into https URLs.
type upgrade struct{ base *http.Transport }

// RoundTrip implements http.RoundTripper.
func (u upgrade) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Scheme == "https" {
		return u.base.RoundTrip(r)
	}
	r = r.Clone(r.Context())
	r.URL.Scheme = "https"
	return u.base.RoundTrip(r)
}

// CloseIdleConnections closes the connections that carry no request.
func (u upgrade) CloseIdleConnections() { u.base.CloseIdleConnections() }

func (c *Credentials) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("the process shows no certificate")
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
	return eris.Wrap(err, "verify the certificate of a process")
}

// current returns the material in force. Files that changed but are not usable leave the last in force.
func (c *Credentials) current() material {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.now().Sub(c.checked) < checkInterval {
		return c.held
	}
	c.checked = c.now()
	stamps, err := changeTimes(c.cfg)
	if err == nil && stamps == c.held.stamps {
		return c.held
	}
	next, err := read(c.cfg)
	if err != nil {
		c.log.WithError(err).Error("changed certificates are not usable; the last ones stay in force")
		return c.held
	}
	c.held = next
	c.log.Info("certificates read again")
	return c.held
}

func read(cfg config.TLS) (material, error) {
	stamps, err := changeTimes(cfg)
	if err != nil {
		return material{}, err
	}
	certificate, err := tls.LoadX509KeyPair(cfg.Cert, cfg.Key)
	if err != nil {
		return material{}, eris.Wrap(err, "read certificate and key")
	}
	pem, err := os.ReadFile(cfg.CA)
	if err != nil {
		return material{}, eris.Wrap(err, "read certificate authorities")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return material{}, eris.Errorf("%s holds no certificate", cfg.CA)
	}
	return material{certificate: certificate, authorities: authorities, stamps: stamps}, nil
}

func changeTimes(cfg config.TLS) ([3]time.Time, error) {
	var stamps [3]time.Time
	for i, name := range []string{cfg.Cert, cfg.Key, cfg.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return stamps, eris.Wrap(err, "look at certificate file")
		}
		stamps[i] = info.ModTime()
	}
	return stamps, nil
}
