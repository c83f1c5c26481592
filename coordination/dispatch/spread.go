package dispatch

import (
	"math/rand/v2"
	"time"
)

// maxLevelRounds bounds the rounds in which the level is found; each leaves out at least one candidate.
const maxLevelRounds = 8

// candidateSet holds the engines that can take a request, of which one is drawn. All hosts act on the same reports, some hundred ms old:
// if each chose the best replica, all would choose the same one.
type candidateSet struct {
	home, distant []candidate
	// unrated holds the replicas in other regions. They are rated only if a request may leave its region.
	unrated []*replica
}

func (f *candidateSet) reset() {
	f.home, f.distant, f.unrated = f.home[:0], f.distant[:0], f.unrated[:0]
}

// addModelled adds an engine with published figures that has capacity.
func (b *Balancer) addModelled(now time.Time, request *Request, r *replica, waiting *waitSummary) {
	if !b.inOwnRegion(r) {
		b.candidates.unrated = append(b.candidates.unrated, r)
		return
	}
	b.candidates.home = b.rate(b.candidates.home, now, request, r, waiting)
}

func (b *Balancer) inOwnRegion(r *replica) bool {
	return b.cfg.Regions[r.member.FailureDomain] == b.cfg.Region
}

// rate appends an engine to list unless the request would only lengthen its queue.
func (b *Balancer) rate(list []candidate, now time.Time, request *Request, r *replica, waiting *waitSummary) []candidate {
	c := b.modelledCandidate(now, request, r)
	if c.queues {
		waiting.add(VerdictFull, time.Time{})
		return list
	}
	return append(list, c)
}

// chooseModelled returns an engine of this region, unless one in another region is less likely to miss the objective by regionMargin. It
// returns nil if there is none.
func (b *Balancer) chooseModelled(now time.Time, request *Request, waiting *waitSummary) *candidate {
	f := &b.candidates
	home := draw(f.home, b.random)
	if home != nil && home.miss < regionMargin {
		return home
	}
	for _, r := range f.unrated {
		f.distant = b.rate(f.distant, now, request, r, waiting)
	}
	distant := draw(f.distant, b.random)
	if home == nil || distant != nil && leavesRegion(home, distant) {
		return distant
	}
	return home
}

// leavesRegion reports whether a request goes to a candidate in another region, since it is much less likely to miss the objective there.
func leavesRegion(home, distant *candidate) bool {
	return home.miss-distant.miss >= regionMargin
}

// draw draws a candidate so that the requests which all hosts have sent since the reports, and this one, even out the scores: each
// replica gets requests in proportion to what it lacks to the common level that they would reach. With a single host, which knows all
// that it has sent, that is the best replica.
func draw(list []candidate, random *rand.Rand) *candidate {
	if len(list) == 0 {
		return nil
	}
	level := commonLevel(list)
	total := 0.0
	best := 0
	for i := range list {
		total += list[i].deficit(level)
		if list[i].score < list[best].score {
			best = i
		}
	}
	drawn := random.Float64() * total
	for i := range list {
		if drawn -= list[i].deficit(level); drawn < 0 {
			return &list[i]
		}
	}
	return &list[best]
}

// deficit returns the number of requests that raise the replica's score to a level.
func (c *candidate) deficit(level float64) float64 { return max(level-c.score, 0) * c.capacity() }

// capacity returns the number of requests by which the replica's score rises by one.
func (c *candidate) capacity() float64 { return float64(c.replica.slots()) / c.pace }

// commonLevel returns the score that all candidates below it reach if the requests of other hosts, and one more, are spread over them.
func commonLevel(list []candidate) float64 {
	requests := 0.0
	for i := range list {
		requests += list[i].arrivals
	}
	requests = max(requests, 0) + 1
	level := 0.0
	for round := range maxLevelRounds {
		room, filled := requests, 0.0
		for i := range list {
			c := &list[i]
			if round > 0 && c.score >= level {
				continue
			}
			room += c.score * c.capacity()
			filled += c.capacity()
		}
		next := room / filled
		if round > 0 && next >= level {
			break
		}
		level = next
	}
	return level
}
