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

// node is one simulated host; have is what it truly holds, apart from what its planner believes.
type node struct {
	host                   core.Host
	plan                   *transfer.Planner
	have                   []bool
	dead, stalled, corrupt bool
	active                 int
	polls                  int
	born                   time.Time
}

type pending struct {
	at  time.Time
	run func()
}

// fleet runs planners against simulated links in virtual time.
type fleet struct {
	t           *rapid.T
	cfg         transfer.Config
	now         time.Time
	nodes       []*node
	queue       []pending
	chunks      int
	originDown  bool
	originSent  int
	crossed     map[string]int
	bad         map[string]time.Time
	disruptions int
	random      *rand.Rand
}

func newFleet(t *rapid.T, regions, perRegion, chunks int) *fleet {
	cfg := transfer.Config{Transfer: config.DefaultTransfer(), Strategy: transfer.StrategySwarm, OriginRegion: "r0"}
	cfg.TakeOver = 4 * time.Second
	f := &fleet{t: t, cfg: cfg, now: time.Unix(1000, 0), chunks: chunks, crossed: map[string]int{}, bad: map[string]time.Time{}, random: rand.New(rand.NewPCG(1, 2))}
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
	n.have = make([]bool, f.chunks)
	n.active, n.born, n.polls = 0, f.now, 0
	n.dead, n.stalled, n.corrupt = false, false, false
	n.plan = transfer.New(f.cfg, n.host, transfer.Target{Digest: "d", Chunks: f.chunks}, f.random, f.now)
	f.list(n, nil)
}

// list gives a node a host list that leaves out the hosts in hidden.
func (f *fleet) list(n *node, hidden map[core.HostID]bool) {
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
	for _, p := range queue {
		if p.at.After(f.now) {
			f.queue = append(f.queue, p)
			continue
		}
		p.run()
	}
}

func (f *fleet) act(n *node, actions transfer.Actions) {
	plan := n.plan
	for _, poll := range actions.Polls {
		n.polls++
		peer := f.find(poll.ID)
		f.queue = append(f.queue, pending{f.now.Add(tick), func() {
			if peer.dead || peer.stalled {
				plan.HandlePollFailure(f.now, poll.ID)
				return
			}
			plan.HandlePollResponse(f.now, poll.ID, bits(peer.have))
		}})
	}
	for _, fetch := range actions.Fetches {
		if n.have[fetch.Index] {
			f.t.Fatalf("%s fetches chunk %d that it holds", n.host.ID, fetch.Index)
		}
		n.active++
		if n.active > f.cfg.DownloadSlots {
			f.t.Fatalf("%s has %d fetches under way", n.host.ID, n.active)
		}
		outcome, after := f.outcome(n, fetch)
		f.queue = append(f.queue, pending{f.now.Add(after), func() {
			if n.plan != plan {
				return
			}
			n.active--
			if outcome == transfer.OutcomeHeld {
				n.have[fetch.Index] = true
			}
			plan.HandleResult(f.now, transfer.Result{Fetch: fetch, Outcome: outcome})
		}})
	}
	seconds := f.now.Sub(n.born).Seconds()
	if bytes := float64(n.polls * 450); bytes > 8<<10+1000*seconds {
		f.t.Fatalf("%s sent %d polls in %.1f s", n.host.ID, n.polls, seconds)
	}
}

func (f *fleet) outcome(n *node, fetch transfer.Fetch) (transfer.Outcome, time.Duration) {
	if fetch.Source.IsOrigin() {
		if f.originDown {
			return transfer.OutcomeFailed, transferTime
		}
		f.originSent++
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
	case !peer.have[fetch.Index]:
		return transfer.OutcomeMissing, transferTime
	}
	if peer.host.Region != n.host.Region {
		f.crossed[fmt.Sprintf("%s/%d", n.host.Region, fetch.Index)]++
	}
	return transfer.OutcomeHeld, transferTime
}

// checkAvoided fails when a host goes back to a peer within the time for which it must avoid it.
func (f *fleet) checkAvoided(n, peer *node) {
	pair := fmt.Sprint(n.host.ID, n.host.Incarnation, peer.host.ID, peer.host.Incarnation)
	if last, ok := f.bad[pair]; ok && f.now.After(last.Add(transferTime)) && f.now.Before(last.Add(f.cfg.Avoid)) {
		f.t.Fatalf("%s asks %s again %s after a bad chunk", n.host.ID, peer.host.ID, f.now.Sub(last))
	}
	f.bad[pair] = f.now
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

// unfinished returns the live hosts that truly lack a chunk.
func (f *fleet) unfinished() []core.HostID {
	var ids []core.HostID
	for _, n := range f.nodes {
		if n.dead {
			continue
		}
		for _, has := range n.have {
			if !has {
				ids = append(ids, n.host.ID)
				break
			}
		}
	}
	return ids
}

func bits(have []bool) transfer.Bitmap {
	out := make(transfer.Bitmap, len(have)/8+1)
	for i, has := range have {
		if has {
			out[i/8] |= 1 << (i % 8)
		}
	}
	return out
}
