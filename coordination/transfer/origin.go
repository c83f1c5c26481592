package transfer

import (
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// maxFirstPollWait bounds the wait for the neighbors' responses before the first fetch from the origin, where hosts announce what they
	// gain. A neighbor that has stopped answers no poll and must not delay a rollout by TakeOver.
	maxFirstPollWait = 150 * time.Millisecond
	// standInDelay is the time without a chunk of its own to fetch after which a reader fetches one of another reader that nobody holds. It
	// is longer than a fetch from the origin, 230 ms at the median while eight readers share its link, so that few are fetched twice.
	standInDelay = 300 * time.Millisecond
	// maxRetryShift prevents the exponential backoff from overflowing a time.Duration.
	maxRetryShift = 16
)

func (p *Planner) handleOriginResult(now time.Time, result Result) {
	p.originActive--
	if result.Outcome == OutcomeHeld {
		if p.originFaults > 0 {
			p.resetStalls(now)
		}
		p.originFaults = 0
		return
	}
	p.originRetryAt = now.Add(max(p.originBackoff(), result.RetryAfter))
	p.originFaults++
	p.idleSince = now
	if p.cfg.OriginReaders > 0 {
		// The lack of progress is not the fault of the hosts that rank before this one. Otherwise all hosts have their turn when the
		// outage ends.
		p.resetStalls(now)
		p.lastProgress = now
	}
}

// resetStalls gives every peer a new TakeOver period to make progress: an origin that failed for this host has most likely
// failed for the others too.
func (p *Planner) resetStalls(now time.Time) {
	for _, remote := range p.responded {
		remote.lastGrowth = now
	}
}

// originSlots returns the number of concurrent fetches from the origin; after a failure a single one probes whether the
// origin has recovered.
func (p *Planner) originSlots() int {
	if p.originFaults > 0 {
		return 1
	}
	return p.cfg.OriginSlots
}

// originBackoff returns a random delay between half and all of the exponential step.
func (p *Planner) originBackoff() time.Duration {
	step := min(p.cfg.RetryBase<<min(p.originFaults, maxRetryShift), p.cfg.RetryCap)
	return step/2 + time.Duration(p.random.Int64N(int64(step/2)+1))
}

// AllowOrigin sets whether chunks may be fetched from the origin.
func (p *Planner) AllowOrigin(allowed bool) { p.originBarred = !allowed }

// fetchFromOrigin starts fetches of the chunks that this host may fetch from the origin now.
func (p *Planner) fetchFromOrigin(now time.Time) []Fetch {
	if p.originBarred || p.originActive >= p.originSlots() || now.Before(p.originRetryAt) || !p.neighborsPolled(now) {
		return nil
	}
	var fetches []Fetch
	assigned, takeOvers := p.originCandidates(now)
	switch {
	case len(assigned) > 0:
		p.idleSince = time.Time{}
	case p.idleSince.IsZero():
		p.idleSince = now
	}
	for i, index := range append(assigned, takeOvers...) {
		if p.originBarred || p.originActive >= p.originSlots() || len(p.inFlight) >= p.cfg.DownloadSlots {
			break
		}
		if i >= len(assigned) {
			p.nextTakeOver = now.Add(p.cfg.PollInterval)
		}
		p.originActive++
		fetches = append(fetches, p.startFetch(index, Source{}, false))
	}
	return fetches
}

// neighborsPolled reports whether every neighbor has been polled or TakeOver has passed, so that a host that starts late does
// not fetch from the origin what its neighbors hold.
func (p *Planner) neighborsPolled(now time.Time) bool {
	wait := p.cfg.TakeOver
	if p.cfg.GainPolls > 0 {
		wait = min(wait, maxFirstPollWait)
	}
	if p.cfg.Strategy == StrategyDirect || now.Sub(p.started) >= wait {
		return true
	}
	for _, id := range p.neighbors {
		if remote := p.peers[id]; remote != nil && !remote.pollCompleted {
			return false
		}
	}
	return true
}

// originCandidates returns the missing chunks that this host may fetch from the origin: those for which it ranks first, and at
// most one that another host is responsible for.
func (p *Planner) originCandidates(now time.Time) (assigned, takeOvers []int) {
	for index, held := range p.held {
		if _, inFlight := p.inFlight[index]; held || inFlight || p.availableFromPeer(now, index) {
			continue
		}
		mayFetch, ranksFirst := p.checkOriginTurn(now, index)
		switch {
		case ranksFirst:
			assigned = append(assigned, index)
		case mayFetch, p.standsIn(now, index):
			takeOvers = append(takeOvers, index)
		}
	}
	return assigned, p.chooseTakeOver(now, takeOvers)
}

// standsIn reports whether this reader fetches a chunk of another reader because it has no chunk of its own left. The other one may be
// slow or gone, and the progress of chunks between peers says nothing about that: in a trace two of 48 chunks were missing when the origin
// failed, after its link had been idle for 0.7 s. The readers have their turns one after the other.
func (p *Planner) standsIn(now time.Time, index int) bool {
	if p.idleSince.IsZero() || p.self.Region != p.cfg.OriginRegion || !p.readers[p.self.ID] {
		return false
	}
	turns := int(now.Sub(p.idleSince) / standInDelay)
	ahead := 0
	for _, host := range p.hosts {
		if host.Region == p.self.Region && p.readers[host.ID] && !p.imports(index, host) &&
			ranksBefore(p.target.Digest, index, host.ID, p.self.ID) {
			ahead++
		}
	}
	return ahead < turns
}

// chooseTakeOver returns at most one of the chunks that other hosts are responsible for, and none before nextTakeOver, so that
// polls can show first which chunks the other hosts have fetched meanwhile.
func (p *Planner) chooseTakeOver(now time.Time, chunks []int) []int {
	if len(chunks) == 0 || now.Before(p.nextTakeOver) {
		return nil
	}
	return []int{chunks[p.random.IntN(len(chunks))]}
}

func (p *Planner) checkOriginTurn(now time.Time, index int) (mayFetch, ranksFirst bool) {
	if p.cfg.Strategy == StrategyDirect {
		return true, true
	}
	near := p.self.Region == p.cfg.OriginRegion
	return p.checkTurn(now, index, func(h core.Host, ownScore uint64) bool {
		if hostNear := h.Region == p.cfg.OriginRegion; hostNear != near {
			return hostNear
		}
		return p.importsBeforeSelf(index, h, ownScore)
	})
}
