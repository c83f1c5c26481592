package routing

import "math/rand/v2"

// sample holds two agents drawn uniformly from those seen, and the least loaded one, as indices in a snapshot.
type sample struct {
	seen        int
	drawn       [2]int
	leastLoaded int
}

// add adds an agent by reservoir sampling, which needs no list of the agents.
func (s *sample) add(snapshot *Snapshot, index int, random *rand.Rand) {
	if s.seen == 0 || load(&snapshot.Agents[index]) < load(&snapshot.Agents[s.leastLoaded]) {
		s.leastLoaded = index
	}
	s.seen++
	if s.seen <= len(s.drawn) {
		s.drawn[s.seen-1] = index
		return
	}
	if slot := random.IntN(s.seen); slot < len(s.drawn) {
		s.drawn[slot] = index
	}
}

// choice returns the index of the agent that the snapshot's policy chooses, or -1 if no agent was added.
func (s *sample) choice(snapshot *Snapshot, random *rand.Rand) int {
	switch {
	case s.seen == 0:
		return -1
	case s.seen == 1 || snapshot.Policy == PolicyLeastInFlight:
		return s.leastLoaded
	}
	first, second := s.drawn[0], s.drawn[1]
	// The order within the reservoir is not random, so a tie must be broken by another draw.
	if random.IntN(2) == 0 {
		first, second = second, first
	}
	if load(&snapshot.Agents[second]) < load(&snapshot.Agents[first]) {
		return second
	}
	return first
}
