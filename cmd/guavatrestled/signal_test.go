package main

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/platform"
)

// envRunMain makes the test binary run the program instead of the tests.
const envRunMain = "GUAVATRESTLED_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(envRunMain) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const hostedSettings = `node_name=e1
ip_address=127.0.12.3
region=ra
zone=a
zones.a=ra
listen.front=127.0.12.3:17771
listen.ready=127.0.12.3:17772
internal_ports=17773,17788
heartbeat_ms=1200
bounds.grace_s=8
`

const entryConfiguration = `host: e1
role: entry
region: ra
failure_domain: a
listen: {control: "127.0.12.4:17772", data: "127.0.12.4:17771"}
entry: {drain_grace: 1s}
`

// TestSignalsDuringAStopDoNotEndTheProcessAtOnce guards against a process that is killed in the middle of a planned stop by a second
// SIGTERM or by a SIGHUP, which would cut off the requests in flight.
func TestSignalsDuringAStopDoNotEndTheProcessAtOnce(t *testing.T) {
	store := httptest.NewServer(http.NotFoundHandler())
	defer store.Close()
	dir := t.TempDir()
	write := func(name, content string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
		return path
	}
	settings := write("settings", hostedSettings+"platform.address="+strings.TrimPrefix(store.URL, "http://")+"\n")
	configuration := write("entry.yaml", entryConfiguration+"platform: {object_api: \""+store.URL+"\", host_list: \""+store.URL+"\"}\n")
	for name, c := range map[string]struct {
		callers string
		args    []string
	}{
		"hosted entry": {"127.0.12.3:17771", []string{"hosted", "entry"}},
		"entry":        {"127.0.12.4:17771", []string{"--config", configuration}},
	} {
		t.Run(name, func(t *testing.T) {
			cmd := exec.Command(os.Args[0], c.args...)
			cmd.Env = append(os.Environ(), envRunMain+"=1", platform.EnvSettings+"="+settings)
			output, writer, err := os.Pipe()
			require.NoError(t, err)
			defer output.Close()
			cmd.Stdout, cmd.Stderr = writer, writer
			require.NoError(t, cmd.Start())
			require.NoError(t, writer.Close())
			defer func() { _ = cmd.Process.Kill() }()
			lines := bufio.NewScanner(output)
			waitForLine(t, lines, "process started")
			require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
			require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
			waitForLine(t, lines, "process is leaving")
			for _, signal := range []os.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
				require.NoError(t, cmd.Process.Signal(signal))
			}
			response, err := http.Get("http://" + c.callers + "/a")
			require.NoError(t, err)
			defer response.Body.Close()
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			waitForLine(t, lines, "process stopped")
			require.NoError(t, cmd.Wait())
		})
	}
}

// waitForLine reads the log until a line contains text.
func waitForLine(t *testing.T, lines *bufio.Scanner, text string) {
	t.Helper()
	var seen []string
	for lines.Scan() {
		if strings.Contains(lines.Text(), text) {
			return
		}
		seen = append(seen, lines.Text())
	}
	require.Fail(t, "the process ended without the log line "+text, strings.Join(seen, "\n"))
}
