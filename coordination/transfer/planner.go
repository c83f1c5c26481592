package transfer

import (
	"math/rand/v2"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// perPeerSlots bounds the chunks fetched from one peer at once, so that load spreads over holders.
	perPeerSlots = 2
	// maxRetryShift keeps the backoff shift within the range of a duration.
	maxRetryShift = 16
)

// Planner plans the fetch of one version by one host. It is not safe for concurrent use.
type Planner struct {
	cfg    Config
	self   core.Host
	target Target
	random *rand.Rand

	held    []bool
	missing int
	active  map[int]Source

	peers      map[core.HostID]*peer
	gone       map[core.HostID]*peer
	hosts      []core.Host
	neighbours []core.HostID
	// informed lists the peers that have answered; available counts the holders of each chunk among them.
	informed  []*peer
	available []int
	// shuffle orders equally rare chunks; it differs between hosts.
	shuffle []uint64

	// started is the time at which the version was wanted, progress that of the last new chunk seen anywhere.
	started  time.Time
	progress time.Time

	// control is the budget for polls in bytes, refilled at the time refilled.
	control  float64
	refilled time.Time
	probe    int

	originActive int
	originFaults int
	originAfter  time.Time
	// takeOverAfter is the time before which no chunk of another host is fetched from the origin.
	takeOverAfter time.Time
}

// New returns a Planner for target that holds no chunk and knows no peer.
func New(cfg Config, self core.Host, target Target, random *rand.Rand, now time.Time) *Planner {
	shuffle := make([]uint64, target.Chunks)
	for index := range shuffle {
		shuffle[index] = score(core.Digest(self.ID), index, self.ID)
	}
	return &Planner{
		shuffle:   shuffle,
		cfg:       cfg,
		self:      self,
		target:    target,
		random:    random,
		held:      make([]bool, target.Chunks),
		missing:   target.Chunks,
		active:    make(map[int]Source),
		peers:     make(map[core.HostID]*peer),
		gone:      make(map[core.HostID]*peer),
		available: make([]int, target.Chunks),
		started:   now,
		progress:  now,
		control:   controlBurstBytes,
		refilled:  now,
	}
}

// MarkHeld records a chunk that the host already has.
func (p *Planner) MarkHeld(index int) {
	if !p.held[index] {
		p.held[index] = true
		p.missing--
	}
}

// Complete reports whether the host has every chunk.
func (p *Planner) Complete() bool { return p.missing == 0 }

// Step returns the actions to start now.
func (p *Planner) Step(now time.Time) Actions {
	if p.Complete() {
		return Actions{}
	}
	if p.cfg.Strategy == StrategyDirect {
		return Actions{Fetches: p.fromOrigin(now)}
	}
	polls := p.polls(now)
	// The origin comes first: only the few hosts whose turn it is can bring new chunks into the fleet.
	fetches := p.fromOrigin(now)
	return Actions{Fetches: append(fetches, p.fromPeers(now)...), Polls: polls}
}

// HandleResult takes the result of a fetch.
func (p *Planner) HandleResult(now time.Time, result Result) {
	source, ok := p.active[result.Fetch.Index]
	if !ok || source != result.Fetch.Source {
		return
	}
	delete(p.active, result.Fetch.Index)
	if result.Outcome == OutcomeHeld {
		p.MarkHeld(result.Fetch.Index)
		p.progress = now
	}
	if source.IsOrigin() {
		p.doneOrigin(now, result)
		return
	}
	if known := p.peers[source.Peer]; known != nil {
		p.donePeer(now, known, result)
	}
}

func (p *Planner) doneOrigin(now time.Time, result Result) {
	p.originActive--
	if result.Outcome == OutcomeHeld {
		if p.originFaults > 0 {
			p.forgetStalls(now)
		}
		p.originFaults = 0
		return
	}
	p.originAfter = now.Add(max(p.backoff(), result.RetryAfter))
	p.originFaults++
}

// forgetStalls gives every peer time to move again: an origin that failed for this host has most
// likely kept the others from moving too.
func (p *Planner) forgetStalls(now time.Time) {
	for _, known := range p.informed {
		known.grew = now
	}
}

// originSlots returns the number of fetches from the origin that may be under way; after a failure
// a single one shows whether the origin is back.
func (p *Planner) originSlots() int {
	if p.originFaults > 0 {
		return 1
	}
	return p.cfg.OriginSlots
}

// backoff returns a time between half and all of the exponential step.
func (p *Planner) backoff() time.Duration {
	step := min(p.cfg.RetryBase<<min(p.originFaults, maxRetryShift), p.cfg.RetryCap)
	return step/2 + time.Duration(p.random.Int64N(int64(step/2)+1))
}

func (p *Planner) donePeer(now time.Time, known *peer, result Result) {
	known.active = max(known.active-1, 0)
	switch result.Outcome {
	case OutcomeHeld:
		known.faults = 0
	case OutcomeCorrupt, OutcomeFailed:
		p.fault(now, known)
	case OutcomeBusy:
		known.busyUntil = now.Add(p.busyPause(result.RetryAfter))
	case OutcomeMissing:
		p.setHeld(known, known.held.without(result.Fetch.Index))
	}
}

// busyPause returns the pause that a busy peer asked for, or RetryBase when it named none.
func (p *Planner) busyPause(asked time.Duration) time.Duration {
	if asked > 0 {
		return asked
	}
	return p.cfg.RetryBase
}

// fromPeers starts fetches from peers, rarest chunk first.
func (p *Planner) fromPeers(now time.Time) []Fetch {
	var fetches []Fetch
	if len(p.active) >= p.cfg.DownloadSlots {
		return nil
	}
	for _, index := range p.rarestFirst() {
		if len(p.active) >= p.cfg.DownloadSlots {
			break
		}
		if chosen := p.choosePeer(now, index); chosen != nil {
			chosen.active++
			cross := chosen.host.Region != p.self.Region
			fetches = append(fetches, p.start(index, Source{Peer: chosen.host.ID}, cross))
		}
	}
	return fetches
}

// rarestFirst returns the missing chunks that some known peer holds, fewest holders first.
func (p *Planner) rarestFirst() []int {
	var indexes []int
	for index, held := range p.held {
		if _, active := p.active[index]; !held && !active && p.available[index] > 0 {
			indexes = append(indexes, index)
		}
	}
	// The order of equally rare chunks differs between hosts, so that they fetch different chunks first.
	sortBy(indexes, func(a, b int) bool {
		if p.available[a] != p.available[b] {
			return p.available[a] < p.available[b]
		}
		return p.shuffle[a] < p.shuffle[b]
	})
	return indexes
}

// holders returns the known peers that hold a chunk.
func (p *Planner) holders(index int) []*peer {
	var holders []*peer
	for _, known := range p.informed {
		if known.held.Has(index) {
			holders = append(holders, known)
		}
	}
	return holders
}

// choosePeer returns the nearest usable holder with the fewest fetches under way.
func (p *Planner) choosePeer(now time.Time, index int) *peer {
	var best *peer
	holders := p.holders(index)
	for _, known := range holders {
		if !known.usable(now) || known.active >= perPeerSlots {
			continue
		}
		if known.host.Region != p.self.Region && !p.mayCross(now, index, holders) {
			continue
		}
		if best == nil || p.better(index, known, best) {
			best = known
		}
	}
	return best
}

func (p *Planner) better(index int, a, b *peer) bool {
	if distA, distB := p.distance(a.host), p.distance(b.host); distA != distB {
		return distA < distB
	}
	if a.active != b.active {
		return a.active < b.active
	}
	return ranksBefore(core.Digest(p.self.ID), index, a.host.ID, b.host.ID)
}

// distance is 0 inside the failure domain, 1 inside the region and 2 outside it.
func (p *Planner) distance(host core.Host) int {
	switch {
	case host.FailureDomain == p.self.FailureDomain:
		return 0
	case host.Region == p.self.Region:
		return 1
	default:
		return 2
	}
}

// mayCross reports whether this host fetches a chunk across the link between regions for its region.
func (p *Planner) mayCross(now time.Time, index int, holders []*peer) bool {
	for _, known := range holders {
		if known.host.Region == p.self.Region && !now.Before(known.avoidUntil) {
			return false
		}
	}
	turn, _ := p.place(now, index, func(h core.Host, own uint64) bool {
		return h.Region == p.self.Region && p.scoresAbove(index, h, own)
	})
	return turn
}

// place returns whether it is this host's turn for a chunk and whether it ranks first for it.
//
// Its turn has come when the hosts ranked before it are passed over, or are so few that the time
// without any progress has brought the turn down to this host. It looks at hosts only until the
// answer is known, which is after about two hosts in the usual case.
func (p *Planner) place(now time.Time, index int, before func(core.Host, uint64) bool) (turn, first bool) {
	limit := cohort(now.Sub(p.progress), p.cfg.TakeOver)
	own := score(p.target.Digest, index, p.self.ID)
	ahead := 0
	first = true
	for _, host := range p.hosts {
		if !before(host, own) {
			continue
		}
		first = false
		if p.passedOver(now, p.peers[host.ID]) {
			continue
		}
		ahead++
		if ahead >= limit {
			return false, false
		}
	}
	return true, first
}

// fromOrigin starts fetches of the chunks that it is this host's turn to fetch from the origin.
func (p *Planner) fromOrigin(now time.Time) []Fetch {
	if p.originActive >= p.originSlots() || now.Before(p.originAfter) || !p.asked(now) {
		return nil
	}
	var fetches []Fetch
	own, others := p.originOrder(now)
	for i, index := range append(own, others...) {
		if p.originActive >= p.originSlots() || len(p.active) >= p.cfg.DownloadSlots {
			break
		}
		if i >= len(own) {
			p.takeOverAfter = now.Add(p.cfg.PollInterval)
		}
		p.originActive++
		fetches = append(fetches, p.start(index, Source{}, false))
	}
	return fetches
}

// asked reports whether the neighbours were asked what they hold, so that a late host does not go to the origin first.
func (p *Planner) asked(now time.Time) bool {
	if p.cfg.Strategy == StrategyDirect || now.Sub(p.started) >= p.cfg.TakeOver {
		return true
	}
	for _, id := range p.neighbours {
		if known := p.peers[id]; known != nil && !known.tried {
			return false
		}
	}
	return true
}

// originOrder returns the missing chunks that this host may fetch from the origin: its own, for
// which it ranks first, and at most one of others.
func (p *Planner) originOrder(now time.Time) (own, others []int) {
	for index, held := range p.held {
		if _, active := p.active[index]; held || active || p.reachable(now, index) {
			continue
		}
		turn, first := p.originPlace(now, index)
		switch {
		case first:
			own = append(own, index)
		case turn:
			others = append(others, index)
		}
	}
	return own, p.takeOver(now, others)
}

// takeOver returns at most one of the chunks of other hosts, and none before the next polls can
// have shown what the others do meanwhile.
func (p *Planner) takeOver(now time.Time, chunks []int) []int {
	if len(chunks) == 0 || now.Before(p.takeOverAfter) {
		return nil
	}
	return []int{chunks[p.random.IntN(len(chunks))]}
}

// reachable reports whether a peer that is not avoided holds a chunk.
func (p *Planner) reachable(now time.Time, index int) bool {
	if p.cfg.Strategy == StrategyDirect || p.available[index] == 0 {
		return false
	}
	for _, known := range p.holders(index) {
		if !now.Before(known.avoidUntil) {
			return true
		}
	}
	return false
}

func (p *Planner) originPlace(now time.Time, index int) (turn, first bool) {
	if p.cfg.Strategy == StrategyDirect {
		return true, true
	}
	near := p.self.Region == p.cfg.OriginRegion
	return p.place(now, index, func(h core.Host, own uint64) bool {
		if hostNear := h.Region == p.cfg.OriginRegion; hostNear != near {
			return hostNear
		}
		return p.scoresAbove(index, h, own)
	})
}

// scoresAbove reports whether host ranks before this host, whose score is own.
func (p *Planner) scoresAbove(index int, host core.Host, own uint64) bool {
	other := score(p.target.Digest, index, host.ID)
	return other > own || other == own && host.ID < p.self.ID
}

func (p *Planner) start(index int, source Source, cross bool) Fetch {
	p.active[index] = source
	return Fetch{Index: index, Source: source, CrossRegion: cross}
}
