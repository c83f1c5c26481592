package dispatch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
)

// NoticeCount returns the number of notices that are kept.
func (b *Balancer) NoticeCount() int { return len(b.notices) }

// Fork returns a copy that draws other random numbers and shares what Pick does not change. It has the replicas of one upstream.
func (b *Balancer) Fork(random *rand.Rand) *Balancer {
	c := b.copyOf("llm")
	c.random = random
	return c
}

// Dump returns all state of the replicas, the scratch memory and the known services and notices.
func (b *Balancer) Dump() string {
	text := fmt.Sprintf("%+v %d %v %v", b.candidates, b.senders, b.outside, b.hasForecastError)
	for _, id := range slices.Sorted(maps.Keys(b.replicas)) {
		r := b.replicas[id]
		text += fmt.Sprintf("\n%s %+v %+v %+v %+v", id, *r, r.service, r.permits, b.notices[id])
	}
	return text
}

// JitterProbabilities returns the probabilities with which candidates with the given scores are chosen.
func JitterProbabilities(scores []float64, jitter float64) []float64 {
	list := make([]candidate, len(scores))
	for i, score := range scores {
		list[i].score = score
	}
	return jitterProbabilities(list, jitter)
}
