package transfer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// TestReaderStandsInForASlowOne guards against an origin whose link is idle while one reader does not fetch its chunks, because the
// chunks that spread between other hosts count as progress.
func TestReaderStandsInForASlowOne(t *testing.T) {
	agent := func(id core.HostID) core.Host {
		return core.Host{ID: id, Role: core.RoleAgent, Region: "r", FailureDomain: "d", Upstream: "u", State: core.HostLive, DataAddr: string(id)}
	}
	settings := config.DefaultTransfer()
	settings.TakeOver, settings.OriginSlots, settings.PollInterval = time.Second, 1, 200*time.Millisecond
	cfg := transfer.Config{Transfer: settings, Strategy: transfer.StrategySwarm, OriginRegion: "r", OriginReaders: 2, GainPolls: 2}
	now := time.Unix(1000, 0)
	const chunks = 8
	p := transfer.New(cfg, agent("a"), transfer.Target{Digest: "v", Chunks: chunks}, rand.New(rand.NewPCG(1, 1)), now)
	p.SetHosts([]core.Host{agent("b")})
	fetched := map[int]time.Duration{}
	held := transfer.Bitmap{0}
	for elapsed := time.Duration(0); elapsed < 3*time.Second; elapsed += 50 * time.Millisecond {
		at := now.Add(elapsed)
		for _, fetch := range p.Step(at).Fetches {
			if fetch.Source.IsOrigin() {
				fetched[fetch.Index] = elapsed
			}
			p.HandleResult(at, transfer.Result{Fetch: fetch, Outcome: transfer.OutcomeHeld})
		}
		// The other reader gains what this host has fetched, and nothing of its own.
		for index := range fetched {
			held[0] |= 1 << index
		}
		p.HandlePollResponse(at, "b", append(transfer.Bitmap{}, held...))
	}
	require.Len(t, fetched, chunks, "all chunks are fetched")
	last := time.Duration(0)
	for _, at := range fetched {
		last = max(last, at)
	}
	require.Less(t, last, 2*time.Second)
}
