package routing

import "math/rand/v2"

// sample holds two agents drawn evenly from those seen, and the least loaded one, by their indices in a snapshot.
type sample struct {
	seen  int
	drawn [2]int
	least int
}

// add takes one more agent into account (reservoir sampling, which needs no list of the agents).
func (s *sample) add(snapshot *Snapshot, index int, random *rand.Rand) {
	if s.seen == 0 || load(&snapshot.Agents[index]) < load(&snapshot.Agents[s.least]) {
		s.least = index
	}
	s.seen++
	if s.seen <= len(s.drawn) {
		s.drawn[s.seen-1] = index
		return
	}
	if place := random.IntN(s.seen); place < len(s.drawn) {
		s.drawn[place] = index
	}
}

// choice returns the agent that the snapshot's policy takes, or -1 when none was seen.
func (s *sample) choice(snapshot *Snapshot, random *rand.Rand) int {
	switch {
	case s.seen == 0:
		return -1
	case s.seen == 1 || snapshot.Policy == PolicyLeastInFlight:
		return s.least
	}
	first, second := s.drawn[0], s.drawn[1]
	// The places in the reservoir are not in random order, so a tie needs a draw of its own.
	if random.IntN(2) == 0 {
		first, second = second, first
	}
	if load(&snapshot.Agents[second]) < load(&snapshot.Agents[first]) {
		return second
	}
	return first
}
