package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/guavatrestle/guavatrestle/platform/platformtest"
)

const (
	// malformedRounds is how often a worker answers with malformed responses, malformedTime for how long.
	malformedRounds = 6
	malformedTime   = 1500 * time.Millisecond
	// malformedPause is the time between two such periods.
	malformedPause = 500 * time.Millisecond
)

// malformedResponses tells which responses of a worker are malformed.
type malformedResponses struct {
	// toAgent is true if the responses to the agent are malformed, such as reports and staged pieces, and false if those to requests are.
	toAgent bool
}

func (h *workerHost) answersMalformed(path string) bool {
	malformed := h.malformed.Load()
	return malformed != nil && malformed.toAgent == platformtest.IsAgentCall(path)
}

// answerMalformed makes one worker after the other answer requests, or the calls of its agent, with malformed responses. A new version is
// wanted before the latter, so that the agent stages pieces.
func (f *fleet) answerMalformed(ctx context.Context, random *rand.Rand) {
	for round := range malformedRounds {
		faulty, malformed := f.workers[len(f.workers)-1-round%len(f.workers)], malformedResponses{toAgent: round%3 == 2}
		if malformed.toAgent {
			faulty = pickRandom(random, f.workers)
			f.setTargetVersion(random).inject(ctx)
		}
		from := time.Now()
		faulty.malformed.Store(&malformed)
		sleep(ctx, malformedTime)
		faulty.malformed.Store(nil)
		f.checker.recordFault(interval{from: from, to: time.Now().Add(faultRecoveryTime)}, false)
		sleep(ctx, malformedPause)
	}
}
