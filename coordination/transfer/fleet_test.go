package transfer_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	tick         = 100 * time.Millisecond
	transferTime = 200 * time.Millisecond
	stallTime    = 2 * time.Second
)

// node is one simulated host; held is the ground truth, independent of the state of its planner.
type node struct {
	host                   core.Host
	plan                   *transfer.Planner
	held                   []bool
	dead, stalled, corrupt bool
	active                 int
	polls                  int
	bootedAt               time.Time
}

type event struct {
	at  time.Time
	run func()
}

// fleet runs planners over simulated links in virtual time.
type fleet struct {
	t                 *rapid.T
	cfg               transfer.Config
	now               time.Time
	nodes             []*node
	queue             []event
	chunks            int
	originDown        bool
	originCopies      int
	crossRegionCopies map[string]int
	lastCorrupt       map[string]time.Time
	disruptions       int
	random            *rand.Rand
}

func newFleet(t *rapid.T, regions, perRegion, chunks int) *fleet {
	cfg := transfer.Config{Transfer: config.DefaultTransfer(), Strategy: transfer.StrategySwarm, OriginRegion: "r0"}
	cfg.TakeOver = 4 * time.Second
	f := &fleet{t: t, cfg: cfg, now: time.Unix(1000, 0), chunks: chunks, crossRegionCopies: map[string]int{}, lastCorrupt: map[string]time.Time{}, random: rand.New(rand.NewPCG(1, 2))}
	for i := range regions * perRegion {
		region := fmt.Sprintf("r%d", i%regions)
		domain := fmt.Sprintf("%s-%d", region, i/regions%2)
		f.nodes = append(f.nodes, &node{host: core.Host{
			ID: core.HostID(fmt.Sprintf("h%d", i)), Role: core.RoleAgent, Upstream: "u", State: core.HostLive,
			Region: core.Region(region), FailureDomain: core.FailureDomain(domain), Incarnation: "1",
		}})
	}
	for _, n := range f.nodes {
		f.boot(n)
	}
	return f
}

func (f *fleet) boot(n *node) {
	n.held = make([]bool, f.chunks)
	n.active, n.bootedAt, n.polls = 0, f.now, 0
	n.dead, n.stalled, n.corrupt = false, false, false
	n.plan = transfer.New(f.cfg, n.host, transfer.Target{Digest: "d", Chunks: f.chunks}, f.random, f.now)
	f.setHostList(n, nil)
}

// setHostList gives a node a host list without the hosts in hidden.
func (f *fleet) setHostList(n *node, hidden map[core.HostID]bool) {
	var hosts []core.Host
	for _, other := range f.nodes {
		if !hidden[other.host.ID] {
			hosts = append(hosts, other.host)
		}
	}
	n.plan.SetHosts(hosts)
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tick)
		f.deliver()
		for _, n := range f.nodes {
			if !n.dead {
				f.act(n, n.plan.Step(f.now))
			}
		}
	}
}

func (f *fleet) deliver() {
	queue := f.queue
	f.queue = nil
	for _, e := range queue {
		if e.at.After(f.now) {
			f.queue = append(f.queue, e)
			continue
		}
		e.run()
	}
}

func (f *fleet) act(n *node, actions transfer.Actions) {
	plan := n.plan
	for _, target := range actions.Polls {
		n.polls++
		peer := f.find(target.ID)
		f.queue = append(f.queue, event{f.now.Add(tick), func() {
			if peer.dead || peer.stalled {
				plan.HandlePollFailure(f.now, target.ID)
				return
			}
			plan.HandlePollResponse(f.now, target.ID, bitmapOf(peer.held))
		}})
	}
	for _, fetch := range actions.Fetches {
		if n.held[fetch.Index] {
			f.t.Fatalf("%s fetches chunk %d that it already holds", n.host.ID, fetch.Index)
		}
		n.active++
		if n.active > f.cfg.DownloadSlots {
			f.t.Fatalf("%s has %d concurrent fetches", n.host.ID, n.active)
		}
		outcome, duration := f.outcome(n, fetch)
		f.queue = append(f.queue, event{f.now.Add(duration), func() {
			if n.plan != plan {
				return
			}
			n.active--
			if outcome == transfer.OutcomeHeld {
				n.held[fetch.Index] = true
			}
			plan.HandleResult(f.now, transfer.Result{Fetch: fetch, Outcome: outcome})
		}})
	}
	seconds := f.now.Sub(n.bootedAt).Seconds()
	if bytes := float64(n.polls * 450); bytes > 8<<10+1000*seconds {
		f.t.Fatalf("%s sent %d polls in %.1f s", n.host.ID, n.polls, seconds)
	}
}

func (f *fleet) outcome(n *node, fetch transfer.Fetch) (transfer.Outcome, time.Duration) {
	if fetch.Source.IsOrigin() {
		if f.originDown {
			return transfer.OutcomeFailed, transferTime
		}
		f.originCopies++
		return transfer.OutcomeHeld, transferTime
	}
	peer := f.find(fetch.Source.Peer)
	switch {
	case peer == n:
		f.t.Fatalf("%s fetches from itself", n.host.ID)
	case peer.dead:
		return transfer.OutcomeFailed, transferTime
	case peer.stalled:
		return transfer.OutcomeFailed, stallTime
	case peer.corrupt:
		f.checkAvoided(n, peer)
		return transfer.OutcomeCorrupt, transferTime
	case !peer.held[fetch.Index]:
		return transfer.OutcomeMissing, transferTime
	}
	if peer.host.Region != n.host.Region {
		f.crossRegionCopies[fmt.Sprintf("%s/%d", n.host.Region, fetch.Index)]++
	}
	return transfer.OutcomeHeld, transferTime
}

// checkAvoided fails the test when a host fetches from a peer again within Config.Avoid after a corrupt chunk.
func (f *fleet) checkAvoided(n, peer *node) {
	pair := fmt.Sprint(n.host.ID, n.host.Incarnation, peer.host.ID, peer.host.Incarnation)
	if last, ok := f.lastCorrupt[pair]; ok && f.now.After(last.Add(transferTime)) && f.now.Before(last.Add(f.cfg.Avoid)) {
		f.t.Fatalf("%s fetches from %s again %s after a corrupt chunk", n.host.ID, peer.host.ID, f.now.Sub(last))
	}
	f.lastCorrupt[pair] = f.now
}

func (f *fleet) find(id core.HostID) *node {
	for _, n := range f.nodes {
		if n.host.ID == id {
			return n
		}
	}
	f.t.Fatalf("no host %s", id)
	return nil
}

// incomplete returns the running hosts that lack a chunk.
func (f *fleet) incomplete() []core.HostID {
	var ids []core.HostID
	for _, n := range f.nodes {
		if n.dead {
			continue
		}
		for _, isHeld := range n.held {
			if !isHeld {
				ids = append(ids, n.host.ID)
				break
			}
		}
	}
	return ids
}

func bitmapOf(held []bool) transfer.Bitmap {
	bitmap := make(transfer.Bitmap, len(held)/8+1)
	for i, isHeld := range held {
		if isHeld {
			bitmap[i/8] |= 1 << (i % 8)
		}
	}
	return bitmap
}
