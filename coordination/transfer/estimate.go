package transfer

import (
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// Estimate estimates the remaining time of the rollout of one target from its progress so far.
//
// Estimate is not safe for concurrent use.
type Estimate struct {
	target          core.Digest
	started         time.Time
	initialProgress float64
}

// Remaining records the progress of target, between 0 and 1, and returns the time until it reaches 1 at the mean rate since
// the first call for the target. It reports false until progress has been made since that call.
func (e *Estimate) Remaining(now time.Time, target core.Digest, progress float64) (time.Duration, bool) {
	if e.target != target || progress < e.initialProgress {
		*e = Estimate{target: target, started: now, initialProgress: progress}
	}
	if progress >= 1 {
		return 0, true
	}
	gained, elapsed := progress-e.initialProgress, now.Sub(e.started)
	if gained <= 0 || elapsed <= 0 {
		return 0, false
	}
	return time.Duration((1 - progress) / gained * float64(elapsed)), true
}
