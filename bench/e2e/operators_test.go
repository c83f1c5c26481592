package e2e_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/bench/caller"
	"github.com/guavatrestle/guavatrestle/bench/cluster"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

// TestRetiredTeamIsRefusedEverywhere guards against an entry that serves a team after the retirement of the team is in
// force.
func TestRetiredTeamIsRefusedEverywhere(t *testing.T) {
	tc := newTestCluster(t, clusterSpec{entries: 3, agents: 1, engine: defaultEngine()})
	require.NoError(t, cluster.RetireDocument(tc.ctx, tc.entries[0], settings.TeamPath(team), 1))
	for _, entry := range tc.entries {
		tc.eventually("the entry refuses the team", func() bool {
			out := tc.caller.Do(tc.ctx, tc.completion(entry.URL()))
			return out.Status == http.StatusUnauthorized && out.Refusal.Run == api.RunNotRun
		})
	}
	started := tc.agents[0].Engine.Counts().Started
	for _, entry := range tc.entries {
		for range 10 {
			out := tc.caller.Do(tc.ctx, tc.completion(entry.URL()))
			require.Equal(t, caller.Refused, out.Kind, out.Detail)
		}
	}
	require.Equal(t, started, tc.agents[0].Engine.Counts().Started)
}

// TestRacingOperatorsLoseNoEdit guards against a concurrent edit that overwrites an accepted edit: of two edits with
// the same base version, one must be refused.
func TestRacingOperatorsLoseNoEdit(t *testing.T) {
	const rounds = 10
	tc := newTestCluster(t, clusterSpec{entries: 2, agents: 1, engine: defaultEngine()})
	path := settings.FailureDomainPath(domains[1])
	for base := range uint64(rounds) {
		regions := [2]core.Region{"abuja", "kaduna"}
		var errs [2]error
		var wg sync.WaitGroup
		for i, entry := range tc.entries {
			wg.Go(func() {
				body := settings.FailureDomainSettings{Region: regions[i], State: settings.FailureDomainIn}
				_, errs[i] = cluster.ApplyDocument(tc.ctx, entry, path, base, body)
			})
		}
		wg.Wait()
		accepted, rejected := 0, 1
		if errs[0] != nil {
			accepted, rejected = 1, 0
		}
		require.NoError(t, errs[accepted])
		var applyErr *cluster.ApplyError
		require.True(t, errors.As(errs[rejected], &applyErr), "error is %v", errs[rejected])
		require.Equal(t, http.StatusConflict, applyErr.Status)
		for _, entry := range tc.entries {
			tc.eventually("the accepted edit is in force", func() bool { return regionAtVersion(tc, entry, path, base+1) == regions[accepted] })
		}
	}
}

// regionAtVersion returns the region in a failure domain's document if the entry has the given version of it in force.
func regionAtVersion(tc *testCluster, entry *cluster.Process, path string, version uint64) core.Region {
	state, err := entry.ReadState(tc.ctx)
	if err != nil {
		return ""
	}
	for _, doc := range state.Settings {
		if doc.Path == path && doc.Version == version {
			return decodeFailureDomain(tc, doc).Region
		}
	}
	return ""
}

func decodeFailureDomain(tc *testCluster, doc settings.Document) settings.FailureDomainSettings {
	var body settings.FailureDomainSettings
	require.NoError(tc.t, json.Unmarshal(doc.Body, &body))
	return body
}

// TestFailureDomainOutGetsNoNewRequest guards against requests that still go to a failure domain later than
// outOfServiceTimeout after it was taken out of service, and against requests cut off there.
func TestFailureDomainOutGetsNoNewRequest(t *testing.T) {
	tc := newTestCluster(t, clusterSpec{entries: 2, agents: 3, services: 3, engine: defaultEngine()})
	load := tc.startLoad(12, tc.stream, tc.completion, tc.booking)
	engine := tc.agents[0].Engine
	tc.eventually("the failure domain completes requests", func() bool { return engine.Counts().Completed >= 20 })
	tc.apply(settings.FailureDomainPath(domains[0]), 0, settings.FailureDomainSettings{
		Region: core.Region(domains[0]), State: settings.FailureDomainOut,
	})
	ctx, cancel := context.WithTimeout(tc.ctx, outOfServiceTimeout)
	defer cancel()
	require.NoError(t, cluster.WaitFor(ctx, func() bool { return tc.outOfService(ctx, tc.agents[0]) && tc.outOfService(ctx, tc.services[0]) }))
	tc.eventually("the last requests of the failure domain end", func() bool { return engine.Status().InFlight == 0 })
	started, runs := engine.Counts().Started, tc.services[0].Service.Runs()
	succeeded := load.succeeded.Load()
	tc.eventually("requests succeed in the other failure domains", func() bool { return load.succeeded.Load() >= succeeded+300 })
	require.Equal(t, started, engine.Counts().Started)
	require.Equal(t, runs, tc.services[0].Service.Runs())
	load.requireNoneLost(t)
}

// outOfService reports whether an agent is out of service and idle.
func (tc *testCluster) outOfService(ctx context.Context, agent *cluster.Process) bool {
	state, err := agent.ReadAgentState(ctx)
	return err == nil && !state.InService && state.InFlight == 0
}
