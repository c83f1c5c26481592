package transfer

import (
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// maxAvoidShift caps the time for which a peer is avoided at 2^4 times the configured time.
	maxAvoidShift = 4
	// pollOverheadBytes is the estimated size of the headers of one poll in both directions.
	pollOverheadBytes = 450
	// controlBurstBytes lets a host ask its neighbours at once when a rollout starts.
	controlBurstBytes = 8 << 10
	// ownerProbes bounds the chunks looked at per step to find ranked hosts worth a poll.
	ownerProbes = 4
	// maxGone bounds the faulty peers remembered after they left the host list.
	maxGone = 1024
	// farShare is the divisor of the neighbours that may be in other failure domains of the region.
	farShare = 4
)

// peer is what a Planner knows about another host.
type peer struct {
	host core.Host
	held Bitmap
	// count is the number of chunks in held.
	count int
	// grew is the time of the last growth of held, or of the first response.
	grew time.Time
	// seen is the time of the last response; zero means none yet.
	seen time.Time
	// asked is the time of the last poll sent.
	asked time.Time
	// polling says that a poll is under way.
	polling bool
	// tried says that a poll has ended, with or without a response.
	tried  bool
	faults int
	// avoidUntil is set after a fault, and busyUntil when the peer asked for a pause.
	avoidUntil time.Time
	busyUntil  time.Time
	active     int
}

// SetHosts replaces the host list. A peer no longer listed is forgotten, but for its faults, since
// a lagging list may leave out a host and show it again.
func (p *Planner) SetHosts(hosts []core.Host) {
	next := make(map[core.HostID]*peer, len(hosts))
	var listed []core.Host
	for _, host := range hosts {
		if host.ID == p.self.ID || !eligible(p.self, host) {
			continue
		}
		listed = append(listed, host)
		known := p.peers[host.ID]
		if known == nil {
			known = p.gone[host.ID]
		}
		if known == nil || known.host.DataAddr != host.DataAddr || known.host.Incarnation != host.Incarnation {
			known = &peer{}
		}
		known.host = host
		next[host.ID] = known
	}
	p.keepFaults(next)
	p.peers, p.hosts = next, listed
	p.neighbours = p.chooseNeighbours()
	p.recount()
}

// keepFaults keeps the peers with faults that next leaves out.
func (p *Planner) keepFaults(next map[core.HostID]*peer) {
	if len(p.gone) > maxGone {
		clear(p.gone)
	}
	for id := range next {
		delete(p.gone, id)
	}
	for id, known := range p.peers {
		if next[id] == nil && known.faults > 0 {
			p.gone[id] = known
		}
	}
}

// recount rebuilds the peers that have answered and the number of holders of each chunk.
func (p *Planner) recount() {
	p.informed = p.informed[:0]
	clear(p.available)
	for _, host := range p.hosts {
		known := p.peers[host.ID]
		if !known.seen.IsZero() {
			p.informed = append(p.informed, known)
			p.countHolder(known.held, 1)
		}
	}
}

// countHolder adds delta to the number of holders of each chunk in held.
func (p *Planner) countHolder(held Bitmap, delta int) {
	for index := range p.available {
		if held.Has(index) {
			p.available[index] += delta
		}
	}
}

// setHeld replaces the chunks that a peer is known to hold.
func (p *Planner) setHeld(known *peer, held Bitmap) {
	p.countHolder(known.held, -1)
	p.countHolder(held, 1)
	known.held = held
	known.count = held.count(p.target.Chunks)
}

// chooseNeighbours returns a bounded set of peers of the own region, most of them in the own failure domain.
func (p *Planner) chooseNeighbours() []core.HostID {
	near := p.rankedFrom(func(h core.Host) bool { return h.FailureDomain == p.self.FailureDomain })
	far := p.rankedFrom(func(h core.Host) bool {
		return h.Region == p.self.Region && h.FailureDomain != p.self.FailureDomain
	})
	farLimit := min(len(far), max(p.cfg.Neighbours/farShare, p.cfg.Neighbours-len(near)))
	nearLimit := min(len(near), p.cfg.Neighbours-farLimit)
	return append(near[:nearLimit:nearLimit], far[:farLimit]...)
}

// rankedFrom returns the peers that match, in an order that differs between hosts.
func (p *Planner) rankedFrom(match func(core.Host) bool) []core.HostID {
	var ids []core.HostID
	for _, host := range p.hosts {
		if match(host) {
			ids = append(ids, host.ID)
		}
	}
	sortBy(ids, func(a, b core.HostID) bool { return ranksBefore(core.Digest(p.self.ID), manifestIndex, a, b) })
	return ids
}

// HandlePollResponse takes the response to a poll, or the bitmap that came with a chunk.
func (p *Planner) HandlePollResponse(now time.Time, id core.HostID, held Bitmap) {
	known := p.peers[id]
	if known == nil {
		return
	}
	known.polling, known.tried = false, true
	p.learn(now, known, held)
}

// HandlePeerBitmap takes the bitmap that came with a request of a peer.
func (p *Planner) HandlePeerBitmap(now time.Time, id core.HostID, held Bitmap) {
	if known := p.peers[id]; known != nil {
		p.learn(now, known, held)
	}
}

// learn records what a peer holds and whether that has grown.
func (p *Planner) learn(now time.Time, known *peer, held Bitmap) {
	before, first := known.count, known.seen.IsZero()
	p.setHeld(known, held)
	if first || known.count > before {
		known.grew = now
		p.progress = now
	}
	if first {
		p.informed = append(p.informed, known)
	}
	known.seen = now
}

// HandlePollFailure takes the failure of a poll.
func (p *Planner) HandlePollFailure(now time.Time, id core.HostID) {
	if known := p.peers[id]; known != nil {
		known.polling, known.tried = false, true
		p.fault(now, known)
	}
}

// fault avoids a peer for a time that doubles with each fault in a row.
func (p *Planner) fault(now time.Time, known *peer) {
	shift := min(known.faults, maxAvoidShift)
	known.avoidUntil = now.Add(p.cfg.Avoid << shift)
	known.faults++
}

// usable reports whether the peer may be asked for a chunk.
func (k *peer) usable(now time.Time) bool {
	return !now.Before(k.avoidUntil) && !now.Before(k.busyUntil)
}

// passedOver reports whether the peer is known not to bring the chunks it is responsible for.
//
// A peer that answers counts as stalled only when a response at least TakeOver after its last growth shows no growth.
func (p *Planner) passedOver(now time.Time, known *peer) bool {
	if now.Before(known.avoidUntil) {
		return true
	}
	return !known.seen.IsZero() && known.seen.Sub(known.grew) >= p.cfg.TakeOver
}

// polls returns the peers to poll, within the budget for control traffic.
func (p *Planner) polls(now time.Time) []core.Host {
	p.refillControl(now)
	bitmapBytes := (p.target.Chunks + bitsPerByte - 1) / bitsPerByte
	cost := float64(pollOverheadBytes + 2*bitmapBytes)
	if p.control < cost {
		return nil
	}
	var chosen []core.Host
	for _, id := range p.pollOrder(now) {
		if p.control < cost {
			return chosen
		}
		p.control -= cost
		known := p.peers[id]
		known.asked, known.polling = now, true
		chosen = append(chosen, known.host)
	}
	return chosen
}

func (p *Planner) refillControl(now time.Time) {
	earned := now.Sub(p.refilled).Seconds() * float64(p.cfg.ControlBytesPerSecond)
	p.control = min(p.control+earned, controlBurstBytes)
	p.refilled = now
}

// pollOrder returns the peers due for a poll, the longest not asked first.
func (p *Planner) pollOrder(now time.Time) []core.HostID {
	due := make(map[core.HostID]bool)
	for _, id := range p.neighbours {
		due[id] = p.due(now, id)
	}
	for _, id := range p.owners(now) {
		due[id] = p.due(now, id)
	}
	var order []core.HostID
	for id, is := range due {
		if is {
			order = append(order, id)
		}
	}
	sortBy(order, func(a, b core.HostID) bool {
		askedA, askedB := p.peers[a].asked, p.peers[b].asked
		if !askedA.Equal(askedB) {
			return askedA.Before(askedB)
		}
		return a < b
	})
	return order
}

func (p *Planner) due(now time.Time, id core.HostID) bool {
	known := p.peers[id]
	switch {
	case known == nil, known.polling, now.Before(known.avoidUntil):
		return false
	case known.count == p.target.Chunks && !known.seen.IsZero():
		return false
	default:
		return known.asked.IsZero() || now.Sub(known.asked) >= p.cfg.PollInterval
	}
}

// owners returns the hosts that are responsible for a few missing chunks that no known peer holds.
//
// It includes a host that has stalled, to see when it moves again, and the next in line that has not.
func (p *Planner) owners(now time.Time) []core.HostID {
	listens := func(h core.Host) bool { return !now.Before(p.peers[h.ID].avoidUntil) }
	answers := func(h core.Host) bool { return !p.passedOver(now, p.peers[h.ID]) }
	var ids []core.HostID
	for range ownerProbes {
		index, ok := p.nextUnavailable()
		if !ok {
			break
		}
		for _, match := range []func(core.Host) bool{listens, answers} {
			if id, found := p.owner(index, match); found {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// owner returns the matching host of the region that ranks first and before this host. When there
// is none, this host brings the chunk into its region, and the first other host is the one that
// may have taken over already.
func (p *Planner) owner(index int, match func(core.Host) bool) (core.HostID, bool) {
	id, found := p.top(index, func(h core.Host) bool {
		return h.Region == p.self.Region && match(h) && ranksBefore(p.target.Digest, index, h.ID, p.self.ID)
	})
	if found {
		return id, true
	}
	return p.top(index, match)
}

// nextUnavailable returns the next missing chunk, after the last one returned, that no known peer holds.
func (p *Planner) nextUnavailable() (int, bool) {
	for range p.target.Chunks {
		p.probe = (p.probe + 1) % p.target.Chunks
		if !p.held[p.probe] && p.available[p.probe] == 0 {
			return p.probe, true
		}
	}
	return 0, false
}

// top returns the first peer in ranked order that matches.
func (p *Planner) top(index int, match func(core.Host) bool) (core.HostID, bool) {
	var best core.Host
	var bestScore uint64
	for _, host := range p.hosts {
		if !match(host) {
			continue
		}
		near, bestNear := host.Region == p.cfg.OriginRegion, best.Region == p.cfg.OriginRegion
		if best.ID != "" && bestNear && !near {
			continue
		}
		own := score(p.target.Digest, index, host.ID)
		first := best.ID == "" || near && !bestNear
		if first || own > bestScore || own == bestScore && host.ID < best.ID {
			best, bestScore = host, own
		}
	}
	return best.ID, best.ID != ""
}
