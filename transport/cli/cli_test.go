package cli

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/internal/objecttest"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/table"
	"github.com/guavatrestle/guavatrestle/transport/admin"
)

// fixture runs commands against an admin API with an in-memory store.
type fixture struct {
	t     *testing.T
	url   string
	dir   string
	stdin string
}

func newFixture(t *testing.T) *fixture {
	mux := http.NewServeMux()
	log := logrus.New()
	log.SetOutput(&bytes.Buffer{})
	admin.NewHandler(admin.Dependencies{
		Store: objecttest.New(), Settings: table.NewSettings(), Members: table.NewMembers(), Upstreams: table.NewUpstreams(),
		TokenHashes: []core.Digest{core.DigestOf([]byte("op"))}, Now: time.Now, Log: logrus.NewEntry(log),
	}).Register(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return &fixture{t: t, url: server.URL, dir: t.TempDir()}
}

func (f *fixture) run(args ...string) (status int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	environment := map[string]string{envServer: f.url, envToken: "op"}
	status = Main(context.Background(), args, Streams{In: strings.NewReader(f.stdin), Out: &stdout, Err: &stderr},
		func(name string) string { return environment[name] })
	return status, stdout.String(), stderr.String()
}

func (f *fixture) writeFile(name, body string) string {
	path := filepath.Join(f.dir, name)
	require.NoError(f.t, os.WriteFile(path, []byte(body), 0o600))
	return path
}

const domainYAML = "path: /failure-domains/norte-a\nbody:\n  region: norte\n  state: in\n"

// TestApplyReadEditApply guards against a document that cannot be read, edited and applied again, and against an edit of an
// old version that overwrites a newer one.
func TestApplyReadEditApply(t *testing.T) {
	f := newFixture(t)
	status, _, errOut := f.run("apply", "-f", f.writeFile("d.yaml", domainYAML))
	require.Equal(t, exitOK, status, errOut)
	_, out, _ := f.run("get", "/failure-domains/norte-a", "--yaml")
	require.Contains(t, out, "base_version: 1")
	status, _, errOut = f.run("apply", "-f", f.writeFile("e.yaml", strings.Replace(out, "state: in", "state: out", 1)))
	require.Equal(t, exitOK, status, errOut)
	status, _, errOut = f.run("apply", "-f", f.writeFile("e.yaml", out))
	require.Equal(t, exitFailure, status, "an edit of an old version is accepted")
	require.Contains(t, errOut, `state: "in" -> "out"`)
	_, out, _ = f.run("diff", "/failure-domains/norte-a", "--json")
	require.Contains(t, out, `"field": "state"`)
	status, out, _ = f.run("domain", "in", "norte-a")
	require.Equal(t, exitOK, status)
	require.Contains(t, out, "version 3")
	_, out, _ = f.run("history", "/failure-domains/norte-a")
	require.Len(t, strings.Split(strings.TrimSpace(out), "\n"), 3)
	status, _, errOut = f.run("retire", "/failure-domains/norte-a")
	require.Equal(t, exitOK, status, errOut)
}

// TestBadFileNamesItsLine guards against an invalid file that is reported without file and line, or accepted.
func TestBadFileNamesItsLine(t *testing.T) {
	f := newFixture(t)
	name := f.writeFile("t.yaml", `path: /teams/litoral
body:
  token_hashes: []
  limits: {requests_per_second: 0, burst: 1, queue_length: 1}
  weight: 1
  wieght: 2
  models:
    - name: guava
      upstream: none
---
path: /failure-domains/a
bodi: {}
`)
	status, _, errOut := f.run("validate", "-f", name)
	require.Equal(t, exitUsage, status)
	require.Contains(t, errOut, name+`:12: unknown field "bodi"`)
	firstDocument := f.writeFile("first.yaml", strings.Split(readFile(t, name), "---")[0])
	for _, command := range []string{"validate", "apply"} {
		status, _, errOut = f.run(command, "-f", firstDocument)
		require.Equal(t, exitUsage, status, command)
		require.Contains(t, errOut, firstDocument+":4: /teams/litoral: limits.requests_per_second: want more than 0")
		require.Contains(t, errOut, firstDocument+":3: /teams/litoral: token_hashes: want at least 1")
		require.Contains(t, errOut, firstDocument+":6: /teams/litoral: wieght: unknown key")
	}
}

func readFile(t *testing.T, name string) string {
	body, err := os.ReadFile(name)
	require.NoError(t, err)
	return string(body)
}

// TestExitStatusTellsUsageFromFailure guards against exit statuses by which a script cannot tell a usage error from a
// refusal.
func TestExitStatusTellsUsageFromFailure(t *testing.T) {
	f := newFixture(t)
	for _, args := range [][]string{{"nonsense"}, {"get"}, {"apply"}, {"apply", "-f", "/none.yaml"}, {"list", "--wrong"}, {"diff"}} {
		status, _, _ := f.run(args...)
		require.Equal(t, exitUsage, status, args)
	}
	for _, args := range [][]string{{"get", "/teams/none"}, {"domain", "out", "none"}, {"list", "--token", "wrong"}, {"list", "--server", "http://127.0.0.1:1"}} {
		status, _, _ := f.run(args...)
		require.Equal(t, exitFailure, status, args)
	}
	for _, args := range [][]string{{"status"}, {"dump"}, {"rollout", "status"}, {"list", "--json"}, {"version"}, {"completion", "bash"}} {
		status, _, errOut := f.run(args...)
		require.Equal(t, exitOK, status, "%v: %s", args, errOut)
	}
}

// TestManifestMatchesCore guards against a manifest that agents reject.
func TestManifestMatchesCore(t *testing.T) {
	f := newFixture(t)
	content := strings.Repeat("weights", 1000)
	want, err := core.BuildManifest("guava", "v2", []byte(content), 1024)
	require.NoError(t, err)
	digest, err := want.Digest()
	require.NoError(t, err)
	out := filepath.Join(f.dir, "manifest.json")
	status, text, errOut := f.run("manifest", f.writeFile("w.bin", content), "--model", "guava", "--version", "v2", "--chunk-size", "1024", "--out", out)
	require.Equal(t, exitOK, status, errOut)
	require.Contains(t, text, string(digest))
	_, err = core.ParseManifest([]byte(readFile(t, out)), digest)
	require.NoError(t, err)
}

// TestTokenHashReadsInput guards against a hash computed over the token and its trailing newline.
func TestTokenHashReadsInput(t *testing.T) {
	f := newFixture(t)
	f.stdin = "secret\n"
	_, out, _ := f.run("token", "hash")
	require.Equal(t, string(core.DigestOf([]byte("secret")))+"\n", out)
}

// TestEveryCommandHasExamples guards against a command whose help shows no example.
func TestEveryCommandHasExamples(t *testing.T) {
	var visit func(cmd *cobra.Command)
	visit = func(cmd *cobra.Command) {
		require.NotEmpty(t, cmd.Example, cmd.CommandPath())
		for _, subcommand := range cmd.Commands() {
			visit(subcommand)
		}
	}
	visit((&app{}).newRootCommand())
}

// TestDirectoryExpandsToItsFiles guards against a settings directory that is refused or read only in part.
func TestDirectoryExpandsToItsFiles(t *testing.T) {
	f := newFixture(t)
	status, out, errOut := f.run("validate", "-f", "../../examples/litoral/settings")
	require.Zero(t, status, errOut)
	name := f.writeFile("bad.yaml", "path: /failure-domains/a\nbodi: {}\n")
	status, _, errOut = f.run("validate", "-f", filepath.Dir(name))
	require.Equal(t, exitUsage, status, out)
	require.Contains(t, errOut, name+`:2: unknown field "bodi"`)
}
