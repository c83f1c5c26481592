package transfer

import (
	"math/rand/v2"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// maxFetchesPerPeer bounds the concurrent fetches from one peer to spread the load over the holders of a chunk.
	maxFetchesPerPeer = 2
)

// Planner plans the fetch of one version by one host. It is not safe for concurrent use.
type Planner struct {
	cfg    Config
	self   core.Host
	target Target
	random *rand.Rand

	held     []bool
	missing  int
	inFlight map[int]Source

	peers          map[core.HostID]*peer
	unlistedFaulty map[core.HostID]*peer
	hosts          []core.Host
	neighbors      []core.HostID
	// readers lists the hosts of each region that bring chunks into it before all others, if their number is limited.
	readers map[core.HostID]bool
	// importers holds, for each region, the reader that brings each chunk into it.
	importers map[core.Region][]core.HostID
	// responded lists the peers that have reported their chunks; holderCounts counts the holders of each chunk among them.
	responded    []*peer
	holderCounts []int
	// tieBreak orders equally rare chunks; it differs between hosts.
	tieBreak []uint64

	// started is when the Planner was created; lastProgress is when this host or a known peer last gained a chunk.
	started      time.Time
	lastProgress time.Time
	// lastGain is lastProgress without the restarts after failures of the origin.
	lastGain time.Time

	// gainPolls lists the peers to poll because this host has gained a chunk.
	gainPolls []core.HostID
	// pollBudget is the budget for polls in bytes, last refilled at budgetRefilled.
	pollBudget     float64
	budgetRefilled time.Time
	// lastProbedChunk is the last chunk that nextUnavailable returned.
	lastProbedChunk int

	// originBarred is set while the origin is left to another version.
	originBarred bool
	// idleSince is the time since which this host has no chunk of its own to fetch from the origin, or of the last failure of the origin if
	// that is later; zero while it has one.
	idleSince     time.Time
	originActive  int
	originFaults  int
	originRetryAt time.Time
	// nextTakeOver is the earliest time to fetch a chunk that another host is responsible for from the origin.
	nextTakeOver time.Time
}

// New returns a Planner for target without any chunks or peers.
func New(cfg Config, self core.Host, target Target, random *rand.Rand, now time.Time) *Planner {
	tieBreak := make([]uint64, target.Chunks)
	for index := range tieBreak {
		tieBreak[index] = score(core.Digest(self.ID), index, self.ID)
	}
	return &Planner{
		tieBreak:       tieBreak,
		cfg:            cfg,
		self:           self,
		target:         target,
		random:         random,
		held:           make([]bool, target.Chunks),
		missing:        target.Chunks,
		inFlight:       make(map[int]Source),
		peers:          make(map[core.HostID]*peer),
		unlistedFaulty: make(map[core.HostID]*peer),
		holderCounts:   make([]int, target.Chunks),
		started:        now,
		lastProgress:   now,
		lastGain:       now,
		pollBudget:     pollBurstBytes,
		budgetRefilled: now,
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

// Missing returns the number of chunks that are not held.
func (p *Planner) Missing() int { return p.missing }

// Absent returns the number of missing chunks that no known peer holds.
func (p *Planner) Absent() int {
	absent := 0
	for index, held := range p.held {
		if !held && p.holderCounts[index] == 0 {
			absent++
		}
	}
	return absent
}

// IdleFor returns the time since this host or a known peer last gained a chunk.
func (p *Planner) IdleFor(now time.Time) time.Duration { return now.Sub(p.lastGain) }

func (p *Planner) noteGain(now time.Time) { p.lastProgress, p.lastGain = now, now }

// Step returns the actions to start at now.
func (p *Planner) Step(now time.Time) Actions {
	if p.Complete() {
		return Actions{}
	}
	if p.cfg.Strategy == StrategyDirect {
		return Actions{Fetches: p.fetchFromOrigin(now)}
	}
	polls := p.choosePolls(now)
	// Fetches from the origin get slots first, because only the few hosts whose turn it is bring new chunks into the fleet.
	fetches := p.fetchFromOrigin(now)
	return Actions{Fetches: append(fetches, p.fetchFromPeers(now)...), Polls: polls}
}

// HandleResult records the result of a fetch and ignores one that was not started.
func (p *Planner) HandleResult(now time.Time, result Result) {
	source, ok := p.inFlight[result.Fetch.Index]
	if !ok || source != result.Fetch.Source {
		return
	}
	delete(p.inFlight, result.Fetch.Index)
	if result.Outcome == OutcomeHeld {
		p.MarkHeld(result.Fetch.Index)
		p.noteGain(now)
		p.announceGain(result.Fetch)
	}
	if source.IsOrigin() {
		p.handleOriginResult(now, result)
		return
	}
	if remote := p.peers[source.Peer]; remote != nil {
		p.handlePeerResult(now, remote, result)
	}
}

func (p *Planner) handlePeerResult(now time.Time, remote *peer, result Result) {
	remote.activeFetches = max(remote.activeFetches-1, 0)
	switch result.Outcome {
	case OutcomeHeld:
		remote.consecutiveFaults = 0
	case OutcomeCorrupt, OutcomeFailed:
		p.recordFault(now, remote)
	case OutcomeBusy:
		remote.busyUntil = now.Add(p.busyPause(result.RetryAfter))
	case OutcomeMissing:
		p.setHeld(remote, remote.held.without(result.Fetch.Index))
	}
}

// busyPause returns the pause that a busy peer requested, or RetryBase if it requested none.
func (p *Planner) busyPause(requested time.Duration) time.Duration {
	if requested > 0 {
		return requested
	}
	return p.cfg.RetryBase
}

// fetchFromPeers starts fetches from peers.
func (p *Planner) fetchFromPeers(now time.Time) []Fetch {
	var fetches []Fetch
	if len(p.inFlight) >= p.cfg.DownloadSlots {
		return nil
	}
	for _, index := range p.fetchOrder() {
		if len(p.inFlight) >= p.cfg.DownloadSlots {
			break
		}
		if chosen := p.choosePeer(now, index); chosen != nil {
			chosen.activeFetches++
			cross := chosen.host.Region != p.self.Region
			fetches = append(fetches, p.startFetch(index, Source{Peer: chosen.host.ID}, cross))
		}
	}
	return fetches
}

// fetchOrder returns the missing chunks that a known peer holds and that are not being fetched, in the order in which they are fetched.
// Without readers the rarest come first. With readers only those hold the rarest chunks: if all hosts fetched these first, the links of
// the readers would be full and those of the others idle, half of the hosts in a trace of 52. So the order is random there.
func (p *Planner) fetchOrder() []int {
	var indexes []int
	for index, held := range p.held {
		if _, inFlight := p.inFlight[index]; !held && !inFlight && p.holderCounts[index] > 0 {
			indexes = append(indexes, index)
		}
	}
	// Those that the region lacks come first, because all of its hosts wait for them. The others are ordered differently on each host, so
	// that hosts fetch different chunks first.
	lacking := p.lackedByRegion(indexes)
	sortBy(indexes, func(a, b int) bool {
		if lacking[a] != lacking[b] {
			return lacking[a]
		}
		if p.cfg.OriginReaders <= 0 && p.holderCounts[a] != p.holderCounts[b] {
			return p.holderCounts[a] < p.holderCounts[b]
		}
		return p.tieBreak[a] < p.tieBreak[b]
	})
	return indexes
}

// lackedByRegion returns which of the chunks no known peer of this host's region holds.
func (p *Planner) lackedByRegion(indexes []int) map[int]bool {
	lacking := make(map[int]bool, len(indexes))
	if p.cfg.OriginReaders == 0 {
		return lacking
	}
	for _, index := range indexes {
		lacking[index] = true
	}
	for _, remote := range p.responded {
		if remote.host.Region != p.self.Region {
			continue
		}
		for _, index := range indexes {
			if remote.held.Has(index) {
				delete(lacking, index)
			}
		}
	}
	return lacking
}

// holders returns the known peers that hold a chunk.
func (p *Planner) holders(index int) []*peer {
	var holders []*peer
	for _, remote := range p.responded {
		if remote.held.Has(index) {
			holders = append(holders, remote)
		}
	}
	return holders
}

// choosePeer returns the nearest usable holder, the one with the fewest active fetches among equally near ones, or nil.
func (p *Planner) choosePeer(now time.Time, index int) *peer {
	var best *peer
	holders := p.holders(index)
	for _, remote := range holders {
		if !remote.usable(now) || remote.activeFetches >= maxFetchesPerPeer {
			continue
		}
		if remote.host.Region != p.self.Region && !p.mayFetchCrossRegion(now, index, holders) {
			continue
		}
		if best == nil || p.preferred(index, remote, best) {
			best = remote
		}
	}
	return best
}

func (p *Planner) preferred(index int, a, b *peer) bool {
	if distA, distB := p.distance(a.host), p.distance(b.host); distA != distB {
		return distA < distB
	}
	// The link of the reader that brought the chunk into the region is needed for new ones.
	if imports := p.imports(index, a.host); imports != p.imports(index, b.host) {
		return !imports
	}
	if a.activeFetches != b.activeFetches {
		return a.activeFetches < b.activeFetches
	}
	return ranksBefore(core.Digest(p.self.ID), index, a.host.ID, b.host.ID)
}

// distance returns 0 for a host in the same failure domain, 1 in the same region and 2 elsewhere.
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

// mayFetchCrossRegion reports whether this host may fetch a chunk from another region now on behalf of its region.
func (p *Planner) mayFetchCrossRegion(now time.Time, index int, holders []*peer) bool {
	for _, remote := range holders {
		if remote.host.Region == p.self.Region && !now.Before(remote.avoidUntil) {
			return false
		}
	}
	mayFetch, _ := p.checkTurn(now, index, func(h core.Host, ownScore uint64) bool {
		return h.Region == p.self.Region && p.importsBeforeSelf(index, h, ownScore)
	})
	return mayFetch
}

// checkTurn returns whether this host may fetch a chunk now and whether it ranks first for it. before reports whether a host
// ranks before this one.
//
// It may fetch when fewer than turnLimit hosts that are not stalled rank before it; turnLimit grows with the time without
// progress. The loop ends as soon as the result is known, usually after about two hosts.
func (p *Planner) checkTurn(now time.Time, index int, before func(core.Host, uint64) bool) (mayFetch, ranksFirst bool) {
	limit := turnLimit(now.Sub(p.lastProgress), p.cfg.TakeOver)
	ownScore := score(p.target.Digest, index, p.self.ID)
	ahead := 0
	ranksFirst = true
	for _, host := range p.hosts {
		if !before(host, ownScore) {
			continue
		}
		ranksFirst = false
		if p.stalled(now, p.peers[host.ID]) {
			continue
		}
		ahead++
		if ahead >= limit {
			return false, false
		}
	}
	return true, ranksFirst
}

// availableFromPeer reports whether a peer that is not avoided holds a chunk. The direct strategy uses no peers.
func (p *Planner) availableFromPeer(now time.Time, index int) bool {
	if p.cfg.Strategy == StrategyDirect || p.holderCounts[index] == 0 {
		return false
	}
	for _, remote := range p.holders(index) {
		if !now.Before(remote.avoidUntil) {
			return true
		}
	}
	return false
}

// outranksSelf reports whether host ranks before this host, whose score is ownScore.
func (p *Planner) outranksSelf(index int, host core.Host, ownScore uint64) bool {
	other := score(p.target.Digest, index, host.ID)
	return other > ownScore || other == ownScore && host.ID < p.self.ID
}

func (p *Planner) startFetch(index int, source Source, cross bool) Fetch {
	p.inFlight[index] = source
	return Fetch{Index: index, Source: source, CrossRegion: cross}
}
