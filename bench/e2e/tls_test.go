package e2e_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/bench/cluster"
	"github.com/guavatrestle/guavatrestle/state/config"
)

// serverName is the DNS name in the certificates of all processes.
const serverName = "guavatrestle.internal"

// authority signs the certificates of a test.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	dir         string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Unix(0, 0), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	a := &authority{certificate: certificate, key: key, dir: t.TempDir()}
	a.replace(t, a.files().CA, "CERTIFICATE", der)
	a.issue(t, 1)
	return a
}

func (a *authority) files() config.TLS {
	return config.TLS{
		Cert: filepath.Join(a.dir, "cert.pem"), Key: filepath.Join(a.dir, "key.pem"), CA: filepath.Join(a.dir, "ca.pem"),
		ServerName: serverName,
	}
}

// issue replaces the certificate of all processes by one with the serial number given; the key stays.
func (a *authority) issue(t *testing.T, serial int64) {
	t.Helper()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), DNSNames: []string{serverName},
		NotBefore: time.Unix(0, 0), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &a.key.PublicKey, a.key)
	require.NoError(t, err)
	key, err := x509.MarshalPKCS8PrivateKey(a.key)
	require.NoError(t, err)
	a.replace(t, a.files().Key, "PRIVATE KEY", key)
	a.replace(t, a.files().Cert, "CERTIFICATE", der)
}

// replace writes a file beside name and renames it, so that no process reads half of it.
func (a *authority) replace(t *testing.T, name, kind string, der []byte) {
	t.Helper()
	require.NoError(t, os.WriteFile(name+".new", pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	require.NoError(t, os.Rename(name+".new", name))
}

// client returns the TLS settings of a caller, who has no certificate.
func (a *authority) client() *tls.Config {
	roots := x509.NewCertPool()
	roots.AddCert(a.certificate)
	return &tls.Config{RootCAs: roots, ServerName: serverName}
}

func secureWorld(t *testing.T, a *authority) *world {
	t.Helper()
	files := a.files()
	withTLS := func(c *config.Config) { c.TLS = &files }
	w := newWorld(t, worldSpec{
		entries: 2, agents: 2, services: 1, engine: defaultEngine(), shared: []cluster.Option{withTLS},
	})
	w.caller.SetTLS(a.client())
	return w
}

// serial returns the serial number of the certificate that a new connection to an entry gets.
func serial(w *world, a *authority, entry *cluster.Process) int64 {
	dialer := tls.Dialer{Config: a.client()}
	conn, err := dialer.DialContext(w.ctx, "tcp", entry.Host.DataAddr)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// TestReplacedCertificateLosesNoRequest guards against calls between processes without TLS, and against requests lost
// or new connections refused while certificates are replaced.
func TestReplacedCertificateLosesNoRequest(t *testing.T) {
	a := newAuthority(t)
	w := secureWorld(t, a)
	s := w.load(6, w.stream, w.plain, w.keyedBooking)
	w.eventually("load before the change", func() bool { return s.succeeded.Load() >= 100 })
	a.issue(t, 2)
	for _, entry := range w.entries {
		w.eventually("the new certificate is in use", func() bool { return serial(w, a, entry) == 2 })
	}
	// With the origin down the new agent gets the weights from its peers.
	w.Origin.SetOutage(true)
	late, err := w.StartAgent(w.ctx, "agent-late", domains[0], upstream, defaultEngine(), func(c *config.Config) {
		files := a.files()
		c.TLS = &files
	})
	require.NoError(t, err)
	late.Engine.ExpectContent(w.digest, w.agents[0].Engine.ExpectedContent(w.digest))
	w.eventually("a new agent works", func() bool { return late.Engine.Counts().Completed > 0 })
	after := s.succeeded.Load()
	w.eventually("load after the change", func() bool { return s.succeeded.Load() >= after+100 })
	s.requireNoneLost(t)
}

// TestAgentRefusesClientWithoutCertificate guards against work and weights for whoever reaches an agent's listeners.
func TestAgentRefusesClientWithoutCertificate(t *testing.T) {
	a := newAuthority(t)
	w := secureWorld(t, a)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: a.client()}}
	t.Cleanup(client.CloseIdleConnections)
	agent := w.agents[0]
	before := agent.Engine.Counts().Started
	_, err := post(w, client, agent.URL()+"/call")
	require.ErrorContains(t, err, "certificate required")
	status, err := post(w, client, agent.ControlURL()+"/twirp/guavatrestle.wire.Agent/Status")
	require.NoError(t, err)
	require.Equal(t, http.StatusForbidden, status)
	require.Equal(t, before, agent.Engine.Counts().Started)
}

func post(w *world, client *http.Client, url string) (int, error) {
	request, err := http.NewRequestWithContext(w.ctx, http.MethodPost, url, http.NoBody)
	require.NoError(w.t, err)
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}
