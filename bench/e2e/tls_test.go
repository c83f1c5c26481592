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

// certificateAuthority signs the certificates of a test.
type certificateAuthority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	dir         string
}

// newCertificateAuthority creates an authority and issues the first certificate, with serial number 1.
func newCertificateAuthority(t *testing.T) *certificateAuthority {
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
	a := &certificateAuthority{certificate: certificate, key: key, dir: t.TempDir()}
	a.replace(t, a.files().CA, "CERTIFICATE", der)
	a.issue(t, 1)
	return a
}

func (a *certificateAuthority) files() config.TLS {
	return config.TLS{
		Cert: filepath.Join(a.dir, "cert.pem"), Key: filepath.Join(a.dir, "key.pem"), CA: filepath.Join(a.dir, "ca.pem"),
		ServerName: serverName,
	}
}

// issue replaces the certificate of all processes by one with the given serial number and the same key.
func (a *certificateAuthority) issue(t *testing.T, serial int64) {
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

// replace writes a temporary file and renames it to name, so that no process reads a partial file.
func (a *certificateAuthority) replace(t *testing.T, name, kind string, der []byte) {
	t.Helper()
	require.NoError(t, os.WriteFile(name+".new", pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	require.NoError(t, os.Rename(name+".new", name))
}

// client returns the TLS configuration of a client without a certificate.
func (a *certificateAuthority) client() *tls.Config {
	roots := x509.NewCertPool()
	roots.AddCert(a.certificate)
	return &tls.Config{RootCAs: roots, ServerName: serverName}
}

// newTLSCluster returns a cluster whose processes and callers use TLS.
func newTLSCluster(t *testing.T, a *certificateAuthority) *testCluster {
	t.Helper()
	files := a.files()
	withTLS := func(c *config.Config) { c.TLS = &files }
	tc := newTestCluster(t, clusterSpec{
		entries: 2, agents: 2, services: 1, engine: defaultEngine(), sharedOptions: []cluster.Option{withTLS},
	})
	tc.caller.SetTLS(a.client())
	return tc
}

// certificateSerial returns the serial number of the certificate that an entry presents on a new connection, or 0 if
// the connection fails.
func certificateSerial(tc *testCluster, a *certificateAuthority, entry *cluster.Process) int64 {
	dialer := tls.Dialer{Config: a.client()}
	conn, err := dialer.DialContext(tc.ctx, "tcp", entry.Host.DataAddr)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// TestReplacedCertificateLosesNoRequest guards against calls between processes without TLS, and against requests lost
// or new connections refused while certificates are replaced.
func TestReplacedCertificateLosesNoRequest(t *testing.T) {
	a := newCertificateAuthority(t)
	tc := newTLSCluster(t, a)
	load := tc.startLoad(6, tc.stream, tc.completion, tc.keyedBooking)
	tc.eventually("requests succeed before the replacement", func() bool { return load.succeeded.Load() >= 100 })
	a.issue(t, 2)
	for _, entry := range tc.entries {
		tc.eventually("the new certificate is in use", func() bool { return certificateSerial(tc, a, entry) == 2 })
	}
	// While the origin is down, the new agent gets the weights from its peers.
	tc.Origin.SetOutage(true)
	newAgent, err := tc.StartAgent(tc.ctx, "agent-late", domains[0], upstream, defaultEngine(), func(c *config.Config) {
		files := a.files()
		c.TLS = &files
	})
	require.NoError(t, err)
	newAgent.Engine.ExpectContent(tc.digest, tc.agents[0].Engine.ExpectedContent(tc.digest))
	tc.eventually("the engine of the new agent completes requests", func() bool { return newAgent.Engine.Counts().Completed > 0 })
	succeeded := load.succeeded.Load()
	tc.eventually("requests succeed after the replacement", func() bool { return load.succeeded.Load() >= succeeded+100 })
	load.requireNoneLost(t)
}

// TestAgentRefusesClientWithoutCertificate guards against an agent that accepts calls from clients without a
// certificate, or hands out weights to them.
func TestAgentRefusesClientWithoutCertificate(t *testing.T) {
	a := newCertificateAuthority(t)
	tc := newTLSCluster(t, a)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: a.client()}}
	t.Cleanup(client.CloseIdleConnections)
	agent := tc.agents[0]
	before := agent.Engine.Counts().Started
	_, err := post(tc, client, agent.URL()+"/call")
	require.ErrorContains(t, err, "certificate required")
	status, err := post(tc, client, agent.ControlURL()+"/twirp/guavatrestle.wire.Agent/Status")
	require.NoError(t, err)
	require.Equal(t, http.StatusForbidden, status)
	require.Equal(t, before, agent.Engine.Counts().Started)
}

func post(tc *testCluster, client *http.Client, url string) (int, error) {
	request, err := http.NewRequestWithContext(tc.ctx, http.MethodPost, url, http.NoBody)
	require.NoError(tc.t, err)
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}
