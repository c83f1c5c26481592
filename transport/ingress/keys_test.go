package ingress_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/ingress"
)

// callsByKey returns the statuses of requests with the key of the harness's team, with a key that nobody ever had, with an empty one and
// without one.
func (h *harness) callsByKey(path string) [4]int {
	h.t.Helper()
	var statuses [4]int
	for i, value := range []string{"Bearer key-1", "Bearer never", "Bearer  ", ""} {
		statuses[i] = h.call(http.MethodGet, path, "", func(header http.Header) { header.Set("Authorization", value) }).status
	}
	return statuses
}

var (
	allUnauthorized = [4]int{http.StatusUnauthorized, http.StatusUnauthorized, http.StatusUnauthorized, http.StatusUnauthorized}
	allServed       = [4]int{http.StatusOK, http.StatusOK, http.StatusOK, http.StatusOK}
)

// Guards against a service that is open to everybody once the last key has been taken away, whatever is left of the list of teams and
// whatever configurations follow. Routes for anonymous requests go on.
func TestTakingTheLastKeyAwayOpensNothing(t *testing.T) {
	for name, last := range map[string]fleet.Configuration{
		"list of teams is empty":    {Teams: []fleet.Team{}},
		"team has no keys":          {Teams: []fleet.Team{{Name: "blue"}}},
		"team has an empty key":     {Teams: []fleet.Team{{Name: "blue", Keys: []string{""}}}},
		"list of teams is left out": {KeysOptional: true},
	} {
		t.Run(name, func(t *testing.T) {
			open := safeRoute()
			open.Name, open.PathPrefix, open.Anonymous = "open", "/open/", true
			h := newHarness(t, safeRoute(), open)
			h.startReplica("r1", "orders", respondStamped("ok"))
			require.Equal(t, [4]int{200, 401, 401, 401}, h.callsByKey("/safe/x"))
			for version, next := range []fleet.Configuration{last, last, {KeysOptional: true}, {Teams: []fleet.Team{}}, last} {
				next.Version, next.Routes = int64(version)+2, []fleet.Route{safeRoute(), open}
				require.True(t, h.table.SetConfiguration(&next))
				h.publish()
				require.Equal(t, allUnauthorized, h.callsByKey("/safe/x"), "configuration %d", next.Version)
				require.Equal(t, allServed, h.callsByKey("/open/x"), "configuration %d", next.Version)
			}
		})
	}
}

// Guards against a process that has just started, and so knows no earlier configuration, and takes a list of teams that is empty or left out
// for a service without keys.
func TestRestartAfterTheLastKeyOpensNothing(t *testing.T) {
	for name, test := range map[string]struct {
		first        fleet.Configuration
		keysRequired bool
		want         [4]int
	}{
		"list of teams is empty":                        {first: fleet.Configuration{Teams: []fleet.Team{}}, want: allUnauthorized},
		"list is left out, the platform requires keys":  {first: fleet.Configuration{KeysOptional: true}, keysRequired: true, want: allUnauthorized},
		"no list ever, the platform has no teams":       {first: fleet.Configuration{KeysOptional: true}, want: [4]int{401, 401, 200, 200}},
		"empty list, although the platform has no keys": {first: fleet.Configuration{}, want: allUnauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarnessWith(t, func(cfg *ingress.Config) { cfg.RequireKeys = test.keysRequired }, safeRoute())
			h.table = fleet.NewTable()
			h.startReplica("r1", "orders", respondStamped("ok"))
			test.first.Version, test.first.Routes = 9, []fleet.Route{safeRoute()}
			require.True(t, h.table.SetConfiguration(&test.first))
			h.publish()
			require.Equal(t, test.want, h.callsByKey("/safe/x"))
		})
	}
}
