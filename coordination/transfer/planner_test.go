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

// TestQuietFleetFetchesOneCopy guards against hosts that draw the same chunk from the origin or
// across a region link when nothing fails.
func TestQuietFleetFetchesOneCopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chunks := rapid.IntRange(1, 60).Draw(t, "chunks")
		f := newFleet(t, rapid.IntRange(1, 3).Draw(t, "regions"), rapid.IntRange(1, 12).Draw(t, "hosts"), chunks)
		for end := f.now.Add(10 * time.Minute); len(f.unfinished()) > 0; {
			require.True(t, f.now.Before(end), "not finished: %v", f.unfinished())
			f.run(time.Second)
		}
		require.LessOrEqual(t, f.originSent, chunks+chunks/4+2)
		total := 0
		for _, n := range f.crossed {
			total += n
		}
		require.LessOrEqual(t, total, len(f.crossed)+len(f.crossed)/4+2)
	})
}

// TestEveryLiveHostEndsWithTheVersion guards against a host left without a source, and against
// origin copies that grow with the fleet, when hosts die, stall, corrupt chunks or see different
// lists and the origin goes away and returns.
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
				f.list(pick(), map[core.HostID]bool{pick().host.ID: true, pick().host.ID: true})
			}),
		})
		f.originDown = false
		for end := f.now.Add(30 * time.Minute); len(f.unfinished()) > 0; {
			require.True(t, f.now.Before(end), "not finished: %v", f.unfinished())
			f.run(5 * time.Second)
		}
		// A host that every other distrusts may force one copy of its own share per disruption.
		require.LessOrEqual(t, f.originSent, chunks*(2+f.disruptions))
	})
}

// replace boots a fresh process in the place of a host, which every list then shows.
func (f *fleet) replace(n *node) {
	n.host.Incarnation = core.Incarnation(fmt.Sprint(f.now.UnixNano(), len(f.queue)))
	f.boot(n)
	for _, other := range f.nodes {
		f.list(other, nil)
	}
}

// TestReplacedHostLeavesTheOriginAlone guards against a fresh host that draws its share from the
// origin although its peers hold the version.
func TestReplacedHostLeavesTheOriginAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chunks := rapid.IntRange(1, 60).Draw(t, "chunks")
		f := newFleet(t, rapid.IntRange(1, 3).Draw(t, "regions"), rapid.IntRange(2, 10).Draw(t, "hosts"), chunks)
		for len(f.unfinished()) > 0 {
			f.run(time.Second)
		}
		sent := f.originSent
		f.replace(f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "host")])
		for end := f.now.Add(10 * time.Minute); len(f.unfinished()) > 0; {
			require.True(t, f.now.Before(end), "not finished: %v", f.unfinished())
			f.run(time.Second)
		}
		require.Equal(t, sent, f.originSent)
	})
}

// TestOriginReturnsToFewCopies guards against a rush of all hosts for the same chunks when the
// origin comes back after every host's turn has come.
func TestOriginReturnsToFewCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chunks := rapid.IntRange(20, 60).Draw(t, "chunks")
		f := newFleet(t, rapid.IntRange(1, 3).Draw(t, "regions"), rapid.IntRange(1, 8).Draw(t, "hosts"), chunks)
		f.originDown = true
		// An outage of about TakeOver catches owners in backoff while the turn of others begins.
		outage := rapid.OneOf(rapid.IntRange(2, 5), rapid.IntRange(1, 60)).Draw(t, "outage")
		f.run(time.Duration(outage) * time.Second)
		f.originDown = false
		for end := f.now.Add(10 * time.Minute); len(f.unfinished()) > 0; {
			require.True(t, f.now.Before(end), "not finished: %v", f.unfinished())
			f.run(time.Second)
		}
		// Every host may have one fetch under way at the moment when the origin returns.
		require.LessOrEqual(t, f.originSent, chunks+chunks/2+len(f.nodes), "chunks %d", chunks)
	})
}

// BenchmarkStep measures one step of a host among 1,400 with 1,750 chunks that peers partly hold.
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
		have := make([]bool, target.Chunks)
		for c := i; c < len(have); c += 40 {
			have[c] = true
		}
		plan.HandlePollResponse(now, hosts[5*(i+1)].ID, bits(have))
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
