package transfer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
)

const chunks = 16

func readerConfig() transfer.Config {
	cfg := transfer.Config{
		Transfer: config.DefaultTransfer(), Strategy: transfer.StrategySwarm, OriginRegion: "r0", OriginReaders: 2, GainPolls: 2,
	}
	cfg.TakeOver, cfg.PollInterval = time.Second, 200*time.Millisecond
	cfg.RetryBase, cfg.RetryCap, cfg.ControlBytesPerSecond = 100*time.Millisecond, 250*time.Millisecond, 40<<10
	return cfg
}

func agents(count int) []core.Host {
	var hosts []core.Host
	for i := range count {
		hosts = append(hosts, core.Host{
			ID: core.HostID(fmt.Sprint("h", i)), Role: core.RoleAgent, Upstream: "u", State: core.HostLive, Region: "r0", FailureDomain: "r0",
		})
	}
	return hosts
}

func planner(cfg transfer.Config, self core.Host, hosts []core.Host, now time.Time) *transfer.Planner {
	p := transfer.New(cfg, self, transfer.Target{Digest: "d", Chunks: chunks}, rand.New(rand.NewPCG(1, 1)), now)
	p.SetHosts(hosts)
	return p
}

// TestFailingOriginIsProbedByItsReaders guards against all hosts having their turn at the origin because it fails for a while: 58 of them
// would request pieces at the moment of its return.
func TestFailingOriginIsProbedByItsReaders(t *testing.T) {
	hosts := agents(20)
	requests := func(cfg transfer.Config) (total int) {
		for _, self := range hosts {
			now := time.Unix(1000, 0)
			p := planner(cfg, self, hosts, now)
			for range 60 {
				now = now.Add(100 * time.Millisecond)
				actions := p.Step(now)
				for _, peer := range actions.Polls {
					p.HandlePollResponse(now, peer.ID, nil)
				}
				for _, fetch := range actions.Fetches {
					total++
					p.HandleResult(now, transfer.Result{Fetch: fetch, Outcome: transfer.OutcomeFailed})
				}
			}
		}
		return total
	}
	earlier := readerConfig()
	earlier.OriginReaders, earlier.GainPolls = 0, 0
	require.Less(t, requests(readerConfig()), requests(earlier)/3)
}

// TestGainedChunkIsAnnouncedAtOnce guards against a chunk that other hosts notice only with their next poll, after PollInterval.
func TestGainedChunkIsAnnouncedAtOnce(t *testing.T) {
	pollsAfterGain := func(cfg transfer.Config) int {
		hosts, now := agents(20), time.Unix(1000, 0)
		for _, self := range hosts {
			p := planner(cfg, self, hosts, now)
			for _, peer := range p.Step(now).Polls {
				p.HandlePollResponse(now, peer.ID, nil)
			}
			fetches := p.Step(now.Add(time.Millisecond)).Fetches
			if len(fetches) == 0 {
				continue
			}
			p.HandleResult(now.Add(20*time.Millisecond), transfer.Result{Fetch: fetches[0], Outcome: transfer.OutcomeHeld})
			return len(p.Step(now.Add(20 * time.Millisecond)).Polls)
		}
		return -1
	}
	earlier := readerConfig()
	earlier.GainPolls = 0
	require.Zero(t, pollsAfterGain(earlier), "with the earlier decision they wait")
	require.Equal(t, 2, pollsAfterGain(readerConfig()))
}

// TestFewHostsReadTheManifestFromTheOrigin guards against a request from every host when the origin returns, and against a manifest that
// nobody requests because the first hosts have stopped.
func TestFewHostsReadTheManifestFromTheOrigin(t *testing.T) {
	hosts, cfg := agents(58), readerConfig()
	readers := func(waited time.Duration) (now, earlier int) {
		for _, self := range hosts {
			if transfer.ManifestReader(cfg, self, hosts, "d", waited) {
				now++
			}
			if transfer.ManifestFromOrigin(cfg, self, hosts, "d", waited) {
				earlier++
			}
		}
		return now, earlier
	}
	first, _ := readers(0)
	require.Equal(t, 2, first)
	during, all := readers(6 * time.Second)
	require.Equal(t, 8, during)
	require.Equal(t, len(hosts), all, "the earlier turns give all of them one during an outage of 6 s")
	last, _ := readers(time.Minute)
	require.Len(t, hosts, last)
}
