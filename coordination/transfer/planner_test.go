package transfer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// TestFaultFreeFleetFetchesOneCopy guards against hosts that fetch the same chunk from the origin or from another region when
// nothing fails.
func TestFaultFreeFleetFetchesOneCopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chunks := rapid.IntRange(1, 60).Draw(t, "chunks")
		f := newFleet(t, rapid.IntRange(1, 3).Draw(t, "regions"), rapid.IntRange(1, 12).Draw(t, "hosts"), chunks)
		for end := f.now.Add(10 * time.Minute); len(f.incomplete()) > 0; {
			require.True(t, f.now.Before(end), "not finished: %v", f.incomplete())
			f.run(time.Second)
		}
		require.LessOrEqual(t, f.originCopies, chunks+chunks/4+2)
		total := 0
		for _, n := range f.crossRegionCopies {
			total += n
		}
		require.LessOrEqual(t, total, len(f.crossRegionCopies)+len(f.crossRegionCopies)/4+2)
	})
}

// TestEveryLiveHostEndsWithTheVersion guards against a host that never completes the version, and against origin copies that
// grow with the fleet, when hosts die, stall, serve corrupt chunks or see different host lists and the origin fails and
// recovers.
func TestEveryLiveHostEndsWithTheVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chunks := rapid.IntRange(1, 40).Draw(t, "chunks")
		f := newFleet(t, rapid.IntRange(1, 3).Draw(t, "regions"), rapid.IntRange(2, 6).Draw(t, "hosts"), chunks)
		pick := func() *node { return f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "host")] }
		disrupt := func(change func()) func(*rapid.T) {
			return func(*rapid.T) { f.disruptions++; change() }
		}
		t.Repeat(map[string]func(*rapid.T){
			"run":     func(*rapid.T) { f.run(3 * time.Second) },
			"kill":    disrupt(func() { pick().dead = true }),
			"stall":   disrupt(func() { pick().stalled = true }),
			"corrupt": disrupt(func() { pick().corrupt = true }),
			"origin":  disrupt(func() { f.originDown = !f.originDown }),
			"replace": disrupt(func() { f.replace(pick()) }),
			"list": disrupt(func() {
				f.setHostList(pick(), map[core.HostID]bool{pick().host.ID: true, pick().host.ID: true})
			}),
		})
		f.originDown = false
		for end := f.now.Add(30 * time.Minute); len(f.incomplete()) > 0; {
			require.True(t, f.now.Before(end), "not finished: %v", f.incomplete())
			f.run(5 * time.Second)
		}
		// When all others avoid a host, the chunks that only it holds may be copied from the origin once more per disruption.
		require.LessOrEqual(t, f.originCopies, chunks*(2+f.disruptions))
	})
}

// replace starts a new process on a host; every host list then shows its incarnation.
func (f *fleet) replace(n *node) {
	n.host.Incarnation = core.Incarnation(fmt.Sprint(f.now.UnixNano(), len(f.queue)))
	f.boot(n)
	for _, other := range f.nodes {
		f.setHostList(other, nil)
	}
}

// TestReplacedHostFetchesNothingFromOrigin guards against a restarted host that fetches chunks from the origin although its peers
// hold the version.
func TestReplacedHostFetchesNothingFromOrigin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chunks := rapid.IntRange(1, 60).Draw(t, "chunks")
		f := newFleet(t, rapid.IntRange(1, 3).Draw(t, "regions"), rapid.IntRange(2, 10).Draw(t, "hosts"), chunks)
		for len(f.incomplete()) > 0 {
			f.run(time.Second)
		}
		copiesBefore := f.originCopies
		f.replace(f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "host")])
		for end := f.now.Add(10 * time.Minute); len(f.incomplete()) > 0; {
			require.True(t, f.now.Before(end), "not finished: %v", f.incomplete())
			f.run(time.Second)
		}
		require.Equal(t, copiesBefore, f.originCopies)
	})
}

// TestRecoveredOriginServesFewCopies guards against all hosts fetching the same chunks from the origin when it recovers after an
// outage so long that every host may take over any chunk.
func TestRecoveredOriginServesFewCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chunks := rapid.IntRange(20, 60).Draw(t, "chunks")
		f := newFleet(t, rapid.IntRange(1, 3).Draw(t, "regions"), rapid.IntRange(1, 8).Draw(t, "hosts"), chunks)
		f.originDown = true
		// In an outage of about TakeOver the responsible hosts are in backoff while other hosts begin to take over.
		outage := rapid.OneOf(rapid.IntRange(2, 5), rapid.IntRange(1, 60)).Draw(t, "outage")
		f.run(time.Duration(outage) * time.Second)
		f.originDown = false
		for end := f.now.Add(10 * time.Minute); len(f.incomplete()) > 0; {
			require.True(t, f.now.Before(end), "not finished: %v", f.incomplete())
			f.run(time.Second)
		}
		// Every host may have one fetch in flight when the origin recovers.
		require.LessOrEqual(t, f.originCopies, chunks+chunks/2+len(f.nodes), "chunks %d", chunks)
	})
}

// BenchmarkStep measures one step of a host among 1,400 with 1,750 chunks, some of which peers hold.
func BenchmarkStep(b *testing.B) {
	cfg := transfer.Config{Transfer: config.DefaultTransfer(), OriginRegion: "r0"}
	var hosts []core.Host
	for i := range 1400 {
		region := core.Region(fmt.Sprintf("r%d", i%5))
		hosts = append(hosts, core.Host{
			ID: core.HostID(fmt.Sprint("h", i)), Role: core.RoleAgent, Upstream: "u", Region: region, FailureDomain: core.FailureDomain(region),
		})
	}
	now := time.Unix(1000, 0)
	target := transfer.Target{Digest: core.DigestOf(nil), Chunks: 1750}
	plan := transfer.New(cfg, hosts[0], target, rand.New(rand.NewPCG(1, 1)), now)
	plan.SetHosts(hosts)
	for i := range 20 {
		held := make([]bool, target.Chunks)
		for c := i; c < len(held); c += 40 {
			held[c] = true
		}
		plan.HandlePollResponse(now, hosts[5*(i+1)].ID, bitmapOf(held))
	}
	for b.Loop() {
		now = now.Add(tick)
		actions := plan.Step(now)
		for _, fetch := range actions.Fetches {
			plan.HandleResult(now, transfer.Result{Fetch: fetch, Outcome: transfer.OutcomeBusy})
		}
		for _, peer := range actions.Polls {
			plan.HandlePollResponse(now, peer.ID, nil)
		}
	}
}
