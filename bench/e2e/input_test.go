package e2e_test

import (
	"bytes"
	"errors"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/bench/caller"
	"github.com/guavatrestle/guavatrestle/bench/cluster"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

// TestInvalidConfigurationIsReported guards against a process that starts with an invalid configuration, or reports it
// without the place or the field at fault.
func TestInvalidConfigurationIsReported(t *testing.T) {
	cases := map[string]struct{ body, want string }{
		"malformed YAML": {"role: entry\nlisten: [", "bad.yaml:2"},
		"unknown key":    {"role: entry\nrolle: agent\n", "rolle"},
		"missing role":   {"host: a\n", "bad.yaml:1: role: want one of entry, agent"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "bad.yaml")
			require.NoError(t, os.WriteFile(path, []byte(c.body), 0o600))
			output, err := exec.CommandContext(t.Context(), binary, "--config", path).CombinedOutput()
			var exit *exec.ExitError
			require.ErrorAs(t, err, &exit)
			require.Equal(t, 2, exit.ExitCode())
			require.Contains(t, strings.ToLower(string(output)), c.want)
		})
	}
}

// TestBadRequestIsRefusedAndRunsNothing guards against invalid requests that reach an engine or get an unspecific
// error.
func TestBadRequestIsRefusedAndRunsNothing(t *testing.T) {
	tc := newTestCluster(t, clusterSpec{entries: 1, agents: 1, services: 1, engine: defaultEngine()})
	base := tc.entries[0].URL()
	oversizeBody := append(bytes.Repeat([]byte(" "), 2<<20), []byte(`{"model":"heats"}`)...)
	cases := map[string]struct {
		request caller.Request
		status  int
		code    string
	}{
		"unknown model":   {caller.Completion(base, token, "nonesuch", "x"), http.StatusNotFound, api.CodeUnknownModel},
		"unknown token":   {caller.Completion(base, "nonesuch", model, "x"), http.StatusUnauthorized, api.CodeUnauthorized},
		"unknown service": {caller.Booking(base, token, "nonesuch", "x"), http.StatusNotFound, api.CodeUnknownUpstream},
		"oversize body":   {rawRequest(base, oversizeBody), http.StatusRequestEntityTooLarge, api.CodeBodyTooLarge},
		"bad JSON":        {rawRequest(base, []byte(`{"model":`)), http.StatusBadRequest, api.CodeBadRequest},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			out := tc.caller.Do(tc.ctx, c.request)
			require.Equal(t, caller.Refused, out.Kind, out.Detail)
			require.Equal(t, c.status, out.Status)
			require.Equal(t, c.code, out.Refusal.Code)
			require.NotEmpty(t, out.Refusal.Message)
			require.NotEmpty(t, out.Refusal.RequestID)
		})
	}
	require.Zero(t, tc.agents[0].Engine.Counts().Started)
	require.Empty(t, tc.services[0].Service.Runs().ByBooking)
}

func rawRequest(base string, body []byte) caller.Request {
	return caller.Request{URL: base + "/v1/completions", Token: token, Body: body}
}

// TestBadEditChangesNothing guards against edits that are accepted without validation or applied in part.
func TestBadEditChangesNothing(t *testing.T) {
	tc := newTestCluster(t, clusterSpec{entries: 1, agents: 1, engine: defaultEngine()})
	valid := settings.UpstreamSettings{Kind: settings.KindService, ColdLimit: 1, WarmLimit: 1}
	withoutColdLimit := settings.UpstreamSettings{Kind: settings.KindService, WarmLimit: 1}
	cases := map[string]struct {
		path   string
		base   uint64
		body   any
		status int
	}{
		"unknown path":      {"/nonesuch/a", 0, valid, http.StatusBadRequest},
		"wrong type":        {"/upstreams/a", 0, "text", http.StatusBadRequest},
		"unknown field":     {"/upstreams/b", 0, map[string]any{"kind": "service", "cold_limt": 1}, http.StatusBadRequest},
		"out of range":      {"/upstreams/c", 0, withoutColdLimit, http.StatusBadRequest},
		"exists already":    {settings.UpstreamPath(upstream), 0, valid, http.StatusConflict},
		"outdated base":     {settings.UpstreamPath(upstream), 7, valid, http.StatusConflict},
		"base of a new one": {"/upstreams/d", 3, valid, http.StatusConflict},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			before := documentVersions(tc)
			_, err := cluster.ApplyDocument(tc.ctx, tc.entries[0], c.path, c.base, c.body)
			var applyErr *cluster.ApplyError
			require.True(t, errors.As(err, &applyErr), "error is %v", err)
			require.Equal(t, c.status, applyErr.Status)
			require.NotEmpty(t, applyErr.Refusal.Message)
			require.Equal(t, c.status == http.StatusConflict, applyErr.Refusal.Code == api.CodeConflict, applyErr.Refusal.Code)
			require.Equal(t, before, documentVersions(tc))
		})
	}
}

// documentVersions returns the version of each settings document in force at the first entry.
func documentVersions(tc *testCluster) map[string]uint64 {
	state, err := tc.entries[0].ReadState(tc.ctx)
	require.NoError(tc.t, err)
	out := make(map[string]uint64)
	for _, doc := range state.Settings {
		out[doc.Path] = doc.Version
	}
	return out
}
