package transfer

import (
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// maxAvoidShift caps the time for which a peer is avoided at 2^4 times Config.Avoid.
	maxAvoidShift = 4
	// pollOverheadBytes is the estimated size of the headers of one poll in both directions.
	pollOverheadBytes = 450
	// pollBurstBytes caps the poll budget; it lets a host poll its neighbors immediately when a rollout starts.
	pollBurstBytes = 8 << 10
	// maxOwnerProbes bounds the chunks per step for which the responsible hosts are looked up to poll them.
	maxOwnerProbes = 4
	// maxUnlistedFaulty bounds the faulty peers that are remembered after they left the host list.
	maxUnlistedFaulty = 1024
	// farNeighborDivisor reserves a share of 1/farNeighborDivisor of the neighbors for other failure domains of the region.
	farNeighborDivisor = 4
)

// peer is the state that a Planner keeps about another host.
type peer struct {
	host core.Host
	held Bitmap
	// heldCount is the number of chunks in held.
	heldCount int
	// lastGrowth is when held last grew, or when the first response arrived.
	lastGrowth time.Time
	// lastResponse is when the peer last reported its chunks; zero means never.
	lastResponse time.Time
	lastPoll     time.Time
	pollInFlight bool
	// pollCompleted is set once a poll has ended, with or without a response.
	pollCompleted     bool
	consecutiveFaults int
	// avoidUntil is set after a fault, busyUntil when the peer requested a pause.
	avoidUntil    time.Time
	busyUntil     time.Time
	activeFetches int
}

// SetHosts replaces the host list. Peers that are no longer listed are dropped, except that faulty ones are remembered, since
// a lagging list may omit a host and then list it again.
func (p *Planner) SetHosts(hosts []core.Host) {
	next := make(map[core.HostID]*peer, len(hosts))
	var listed []core.Host
	for _, host := range hosts {
		if host.ID == p.self.ID || !eligible(p.self, host) {
			continue
		}
		listed = append(listed, host)
		remote := p.peers[host.ID]
		if remote == nil {
			remote = p.unlistedFaulty[host.ID]
		}
		if remote == nil || remote.host.DataAddr != host.DataAddr || remote.host.Incarnation != host.Incarnation {
			remote = &peer{}
		}
		remote.host = host
		next[host.ID] = remote
	}
	p.retainFaulty(next)
	p.peers, p.hosts = next, listed
	p.neighbors, p.readers = p.chooseNeighbors(), p.chooseReaders()
	p.rebuildHolderCounts()
}

// retainFaulty remembers the peers with faults that are missing from next.
func (p *Planner) retainFaulty(next map[core.HostID]*peer) {
	if len(p.unlistedFaulty) > maxUnlistedFaulty {
		clear(p.unlistedFaulty)
	}
	for id := range next {
		delete(p.unlistedFaulty, id)
	}
	for id, remote := range p.peers {
		if next[id] == nil && remote.consecutiveFaults > 0 {
			p.unlistedFaulty[id] = remote
		}
	}
}

// rebuildHolderCounts recomputes the peers that have responded and the number of holders of each chunk.
func (p *Planner) rebuildHolderCounts() {
	p.responded = p.responded[:0]
	clear(p.holderCounts)
	for _, host := range p.hosts {
		remote := p.peers[host.ID]
		if !remote.lastResponse.IsZero() {
			p.responded = append(p.responded, remote)
			p.addToHolderCounts(remote.held, 1)
		}
	}
}

// addToHolderCounts adds delta to the number of holders of each chunk in held.
func (p *Planner) addToHolderCounts(held Bitmap, delta int) {
	for index := range p.holderCounts {
		if held.Has(index) {
			p.holderCounts[index] += delta
		}
	}
}

// setHeld replaces the chunks that a peer is known to hold and updates the holder counts.
func (p *Planner) setHeld(remote *peer, held Bitmap) {
	p.addToHolderCounts(remote.held, -1)
	p.addToHolderCounts(held, 1)
	remote.held = held
	remote.heldCount = held.count(p.target.Chunks)
}

// chooseNeighbors returns a bounded set of peers in the host's region, most of them in its failure domain.
func (p *Planner) chooseNeighbors() []core.HostID {
	near := p.rankedPeers(func(h core.Host) bool { return h.FailureDomain == p.self.FailureDomain })
	far := p.rankedPeers(func(h core.Host) bool {
		return h.Region == p.self.Region && h.FailureDomain != p.self.FailureDomain
	})
	farLimit := min(len(far), max(p.cfg.Neighbors/farNeighborDivisor, p.cfg.Neighbors-len(near)))
	nearLimit := min(len(near), p.cfg.Neighbors-farLimit)
	return append(near[:nearLimit:nearLimit], far[:farLimit]...)
}

// rankedPeers returns the peers that match, in an order that differs between hosts.
func (p *Planner) rankedPeers(match func(core.Host) bool) []core.HostID {
	var ids []core.HostID
	for _, host := range p.hosts {
		if match(host) {
			ids = append(ids, host.ID)
		}
	}
	sortBy(ids, func(a, b core.HostID) bool { return ranksBefore(core.Digest(p.self.ID), manifestIndex, a, b) })
	return ids
}

// HandlePollResponse records the chunks reported in the response to a poll or along with a chunk.
func (p *Planner) HandlePollResponse(now time.Time, id core.HostID, held Bitmap) {
	remote := p.peers[id]
	if remote == nil {
		return
	}
	remote.pollInFlight, remote.pollCompleted = false, true
	p.recordHeld(now, remote, held)
}

// HandlePeerBitmap records the chunks that a peer reported in a request of its own.
func (p *Planner) HandlePeerBitmap(now time.Time, id core.HostID, held Bitmap) {
	if remote := p.peers[id]; remote != nil {
		p.recordHeld(now, remote, held)
	}
}

// recordHeld records which chunks a peer holds and whether their number has grown.
func (p *Planner) recordHeld(now time.Time, remote *peer, held Bitmap) {
	previousCount, firstResponse := remote.heldCount, remote.lastResponse.IsZero()
	p.setHeld(remote, held)
	if firstResponse || remote.heldCount > previousCount {
		remote.lastGrowth = now
		p.noteGain(now)
	}
	if firstResponse {
		p.responded = append(p.responded, remote)
	}
	remote.lastResponse = now
}

// HandlePollFailure records a failed poll.
func (p *Planner) HandlePollFailure(now time.Time, id core.HostID) {
	if remote := p.peers[id]; remote != nil {
		remote.pollInFlight, remote.pollCompleted = false, true
		p.recordFault(now, remote)
	}
}

// recordFault avoids a peer for a time that doubles with each consecutive fault.
func (p *Planner) recordFault(now time.Time, remote *peer) {
	shift := min(remote.consecutiveFaults, maxAvoidShift)
	remote.avoidUntil = now.Add(p.cfg.Avoid << shift)
	remote.consecutiveFaults++
}

// usable reports whether a chunk may be requested from the peer.
func (p *peer) usable(now time.Time) bool {
	return !now.Before(p.avoidUntil) && !now.Before(p.busyUntil)
}

// stalled reports whether the peer is known not to fetch the chunks that it is responsible for: it is avoided after a fault,
// or a response at least TakeOver after its last growth showed no new chunk.
func (p *Planner) stalled(now time.Time, remote *peer) bool {
	if now.Before(remote.avoidUntil) {
		return true
	}
	return !remote.lastResponse.IsZero() && remote.lastResponse.Sub(remote.lastGrowth) >= p.cfg.TakeOver
}

// choosePolls returns the peers to poll within the budget for control traffic.
func (p *Planner) choosePolls(now time.Time) []core.Host {
	p.refillPollBudget(now)
	bitmapBytes := (p.target.Chunks + bitsPerByte - 1) / bitsPerByte
	cost := float64(pollOverheadBytes + 2*bitmapBytes)
	if p.pollBudget < cost {
		return nil
	}
	var chosen []core.Host
	for _, id := range append(p.dueGainPolls(), p.duePeers(now)...) {
		if p.pollBudget < cost {
			return chosen
		}
		if p.peers[id].pollInFlight {
			continue
		}
		p.pollBudget -= cost
		remote := p.peers[id]
		remote.lastPoll, remote.pollInFlight = now, true
		chosen = append(chosen, remote.host)
	}
	return chosen
}

func (p *Planner) refillPollBudget(now time.Time) {
	earned := now.Sub(p.budgetRefilled).Seconds() * float64(p.cfg.ControlBytesPerSecond)
	p.pollBudget = min(p.pollBudget+earned, pollBurstBytes)
	p.budgetRefilled = now
}

// duePeers returns the peers due for a poll, the least recently polled first.
func (p *Planner) duePeers(now time.Time) []core.HostID {
	due := make(map[core.HostID]bool)
	for _, id := range p.neighbors {
		due[id] = p.pollDue(now, id)
	}
	for _, id := range p.owners(now) {
		due[id] = p.pollDue(now, id)
	}
	var order []core.HostID
	for id, isDue := range due {
		if isDue {
			order = append(order, id)
		}
	}
	sortBy(order, func(a, b core.HostID) bool {
		pollA, pollB := p.peers[a].lastPoll, p.peers[b].lastPoll
		if !pollA.Equal(pollB) {
			return pollA.Before(pollB)
		}
		return a < b
	})
	return order
}

func (p *Planner) pollDue(now time.Time, id core.HostID) bool {
	remote := p.peers[id]
	switch {
	case remote == nil, remote.pollInFlight, now.Before(remote.avoidUntil):
		return false
	case remote.heldCount == p.target.Chunks && !remote.lastResponse.IsZero():
		return false
	default:
		return remote.lastPoll.IsZero() || now.Sub(remote.lastPoll) >= p.cfg.PollInterval && !p.heardFrom(now, remote)
	}
}

// heardFrom reports whether a peer has told what it holds within PollInterval without being polled, as peers do that exchange chunks
// or announce new ones.
func (p *Planner) heardFrom(now time.Time, remote *peer) bool {
	return p.cfg.GainPolls > 0 && now.Sub(remote.lastResponse) < p.cfg.PollInterval
}

// owners returns the hosts that are responsible for a few missing chunks that no known peer holds.
//
// It includes a stalled host, to notice when it makes progress again, and the next host in rank that is not stalled.
func (p *Planner) owners(now time.Time) []core.HostID {
	notAvoided := func(h core.Host) bool { return !now.Before(p.peers[h.ID].avoidUntil) }
	notStalled := func(h core.Host) bool { return !p.stalled(now, p.peers[h.ID]) }
	var ids []core.HostID
	for range maxOwnerProbes {
		index, ok := p.nextUnavailable()
		if !ok {
			break
		}
		for _, match := range []func(core.Host) bool{notAvoided, notStalled} {
			if id, found := p.owner(index, match); found {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// owner returns the highest ranked matching host of the region that ranks before this host. When there is none, this host is
// responsible for bringing the chunk into its region, and owner returns the highest ranked matching host of any region, which
// may already have taken over.
func (p *Planner) owner(index int, match func(core.Host) bool) (core.HostID, bool) {
	ownScore := score(p.target.Digest, index, p.self.ID)
	id, found := p.highestRanked(index, func(h core.Host) bool {
		return h.Region == p.self.Region && match(h) && p.importsBeforeSelf(index, h, ownScore)
	})
	if found {
		return id, true
	}
	return p.highestRanked(index, match)
}

// nextUnavailable returns the next missing chunk, after the last one returned, that no known peer holds.
func (p *Planner) nextUnavailable() (int, bool) {
	for range p.target.Chunks {
		p.lastProbedChunk = (p.lastProbedChunk + 1) % p.target.Chunks
		if !p.held[p.lastProbedChunk] && p.holderCounts[p.lastProbedChunk] == 0 {
			return p.lastProbedChunk, true
		}
	}
	return 0, false
}

// highestRanked returns the matching peer that ranks first; peers in the region nearest to the origin rank before others, and readers
// before other hosts.
func (p *Planner) highestRanked(index int, match func(core.Host) bool) (core.HostID, bool) {
	var best core.Host
	var bestScore uint64
	for _, host := range p.hosts {
		if !match(host) {
			continue
		}
		tier, bestTier := p.importTier(index, host), p.importTier(index, best)
		if best.ID != "" && bestTier < tier {
			continue
		}
		hostScore := score(p.target.Digest, index, host.ID)
		preferred := best.ID == "" || tier < bestTier
		if preferred || hostScore > bestScore || hostScore == bestScore && host.ID < best.ID {
			best, bestScore = host, hostScore
		}
	}
	return best.ID, best.ID != ""
}
