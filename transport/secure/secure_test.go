package secure_test

import (
	"bytes"
	"context"
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

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/transport/secure"
	"github.com/guavatrestle/guavatrestle/transport/server"
)

const serverName = "guavatrestle.internal"

// authority is a certificate authority for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
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
	return authority{certificate: certificate, key: key}
}

// write issues a certificate for name and writes it, its key and the authority's certificate to dir.
func (a authority) write(t *testing.T, dir, name string, serial int64) config.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), DNSNames: []string{name}, NotBefore: time.Unix(0, 0), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	cfg := config.TLS{
		Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem"), ServerName: serverName,
	}
	writePEM(t, cfg.Cert, "CERTIFICATE", der)
	writePEM(t, cfg.Key, "PRIVATE KEY", keyDER)
	writePEM(t, cfg.CA, "CERTIFICATE", a.certificate.Raw)
	modTime := time.Unix(serial*1000, 0)
	for _, file := range []string{cfg.Cert, cfg.Key, cfg.CA} {
		require.NoError(t, os.Chtimes(file, modTime, modTime))
	}
	return cfg
}

func writePEM(t *testing.T, name, kind string, der []byte) {
	require.NoError(t, os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// testProcess holds the credentials of one process on a clock that the test sets.
type testProcess struct {
	*secure.Credentials
	now time.Time
}

func newTestProcess(t *testing.T, cfg config.TLS) *testProcess {
	s := &testProcess{now: time.Now()}
	logger := logrus.New()
	logger.SetOutput(&bytes.Buffer{})
	credentials, err := secure.New(cfg, func() time.Time { return s.now }, logrus.NewEntry(logger))
	require.NoError(t, err)
	s.Credentials = credentials
	return s
}

func listen(t *testing.T, s *testProcess, auth tls.ClientAuthType) string {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	l, err := server.ListenWith("127.0.0.1:0", server.RequireClientCertificate(handler), server.Options{TLS: s.ServerConfig(auth)})
	require.NoError(t, err)
	t.Cleanup(func() {
		// The context of the test is already canceled.
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		require.NoError(t, l.Shutdown(ctx))
	})
	return l.Addr()
}

// get sends a request over a new connection and returns the status and the serial number of the server certificate.
func get(t *testing.T, s *testProcess, addr, path string) (int, int64, error) {
	base := &http.Transport{}
	client := &http.Client{Transport: s.Transport(base)}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + addr + path)
	if err != nil {
		return 0, 0, err
	}
	require.NoError(t, response.Body.Close())
	return response.StatusCode, response.TLS.PeerCertificates[0].SerialNumber.Int64(), nil
}

// TestOnlyProcessesOfTheSystemConnect guards against clients and servers that are accepted without a certificate for the
// configured name from the configured authority.
func TestOnlyProcessesOfTheSystemConnect(t *testing.T) {
	ownCA, otherCA := newAuthority(t), newAuthority(t)
	process := newTestProcess(t, ownCA.write(t, t.TempDir(), serverName, 1))
	addr := listen(t, process, tls.RequireAndVerifyClientCert)
	status, _, err := get(t, process, addr, "/twirp/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	foreignProcess := newTestProcess(t, otherCA.write(t, t.TempDir(), serverName, 1))
	_, _, err = get(t, foreignProcess, addr, "/twirp/x")
	require.Error(t, err, "a server with a certificate of another authority was accepted")
	_, _, err = get(t, process, listen(t, newTestProcess(t, ownCA.write(t, t.TempDir(), "another.name", 1)), tls.NoClientCert), "/")
	require.Error(t, err, "a server with a certificate for another name was accepted")
	insecureTransport := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	defer insecureTransport.CloseIdleConnections()
	client := &http.Client{Transport: insecureTransport}
	_, err = client.Get("https://" + addr + "/twirp/x")
	require.Error(t, err, "a client without a certificate was accepted")
}

// TestControlListenerServesHealthWithoutCertificate guards against health checks that require a client certificate, and
// against other endpoints that don't.
func TestControlListenerServesHealthWithoutCertificate(t *testing.T) {
	process := newTestProcess(t, newAuthority(t).write(t, t.TempDir(), serverName, 1))
	addr := listen(t, process, tls.VerifyClientCertIfGiven)
	transport := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for path, want := range map[string]int{"/readyz": 200, "/healthz": 200, "/debug/state": 403, "/twirp/x": 403} {
		response, err := client.Get("https://" + addr + path)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, want, response.StatusCode, path)
	}
}

// TestChangedCertificatesAreReloaded guards against a running process that keeps using a certificate after its file was
// replaced, and against invalid files that displace the last valid certificate.
func TestChangedCertificatesAreReloaded(t *testing.T) {
	ownCA, dir := newAuthority(t), t.TempDir()
	process := newTestProcess(t, ownCA.write(t, dir, serverName, 1))
	client := newTestProcess(t, ownCA.write(t, t.TempDir(), serverName, 9))
	addr := listen(t, process, tls.RequireAndVerifyClientCert)
	cfg := ownCA.write(t, dir, serverName, 2)
	process.now = process.now.Add(2 * time.Second)
	_, serial, err := get(t, client, addr, "/")
	require.NoError(t, err)
	require.Equal(t, int64(2), serial)
	require.NoError(t, os.WriteFile(cfg.Cert, []byte("broken"), 0o600))
	process.now = process.now.Add(2 * time.Second)
	_, serial, err = get(t, client, addr, "/")
	require.NoError(t, err)
	require.Equal(t, int64(2), serial)
	_, err = secure.New(cfg, time.Now, logrus.NewEntry(logrus.New()))
	require.Error(t, err, "a process started with invalid files")
}
