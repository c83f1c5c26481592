package main

import "time"

const (
	// oldVersionCancelMargin is the time before the activation timeout at which a request that still waits at a replica with an older
	// version is canceled. It covers the delay of the cancellation to the replica (5 ms between regions, 0.2 s with one retransmission)
	// and a pause of this process of 0.2 s.
	oldVersionCancelMargin = 400 * time.Millisecond
	// oldVersionGraceMargin is the time before the activation timeout from which replicas with older versions get no requests. A
	// replica with free slots sends the first event within 0.3 s (200 ms for 4,000 prompt tokens, a few steps, and two network delays),
	// so that a request sent before is rarely canceled.
	oldVersionGraceMargin = oldVersionCancelMargin + 300*time.Millisecond
	// oldVersionIdleOnlyMargin is the time before the activation timeout from which older versions get only requests that start at once.
	// At a loaded replica a request waits for about a second.
	oldVersionIdleOnlyMargin = oldVersionGraceMargin + time.Second

	// The margins are at most these shares of the activation timeout, so that short timeouts leave time in which old versions serve.
	maxCancelShare, maxGraceShare, maxIdleOnlyShare = 0.25, 0.35, 0.5
)

// oldVersionEnd holds the times after a version became wanted at which replicas with older ones lose their requests step by step.
type oldVersionEnd struct {
	// idleOnly is when they get only requests that start at once, grace when they get none, and cancel when requests without a response
	// are canceled there.
	idleOnly, grace, cancel time.Duration
}

// endOfOldVersion returns the times for an activation timeout; zero, which means never, without one.
func endOfOldVersion(timeout time.Duration) oldVersionEnd {
	before := func(margin time.Duration, maxShare float64) time.Duration {
		return timeout - min(margin, scaleDuration(timeout, maxShare))
	}
	return oldVersionEnd{
		idleOnly: before(oldVersionIdleOnlyMargin, maxIdleOnlyShare),
		grace:    before(oldVersionGraceMargin, maxGraceShare),
		cancel:   before(oldVersionCancelMargin, maxCancelShare),
	}
}
