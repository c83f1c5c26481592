package transfer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// TestManifestReachesAllRegionsInFewSteps guards against a region whose hosts only ask each other while none has the manifest,
// and against one host that all others ask.
func TestManifestReachesAllRegionsInFewSteps(t *testing.T) {
	const perRegion, maxSteps, maxAskers = 100, 6, 4
	cfg := transfer.Config{Transfer: config.DefaultTransfer(), OriginRegion: "r0"}
	var hosts []core.Host
	for i := range 3 * perRegion {
		hosts = append(hosts, core.Host{
			ID: core.HostID(fmt.Sprint("h", i)), Role: core.RoleAgent, Upstream: "u", State: core.HostLive,
			Region: core.Region(fmt.Sprint("r", i%3)),
		})
	}
	digest := core.DigestOf([]byte("version"))
	parents, askers := map[core.HostID]core.HostID{}, map[core.HostID]int{}
	for _, host := range hosts {
		if transfer.ManifestFromOrigin(cfg, host, hosts, digest, 0) {
			parents[host.ID] = ""
			continue
		}
		first := transfer.ManifestPeers(cfg, host, hosts, digest, 0)[0]
		parents[host.ID] = first.ID
		askers[first.ID]++
	}
	for _, host := range hosts {
		steps := 0
		for id := host.ID; id != ""; id = parents[id] {
			steps++
			require.LessOrEqual(t, steps, maxSteps, "%s is too many steps from the origin", host.ID)
		}
		// The host that fetches from the origin also serves the first hosts of the two other regions.
		require.LessOrEqual(t, askers[host.ID], maxAskers+2)
	}
}
