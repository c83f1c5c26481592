package follow

import (
	"cmp"
	"context"
	"expvar"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/feed"
)

// Counters of the reads that ended without an answer.
var (
	varHistoriesLost   = expvar.NewInt("follow_histories_lost")
	varWatchesRepeated = expvar.NewInt("follow_watches_repeated")
)

// followKind lists a kind and then watches it until ctx ends. It lists again when the store no longer has the history.
func (f *Follower) followKind(ctx context.Context, kind Kind, probe bool) {
	failures := 0
	var from position
	for ctx.Err() == nil {
		started := f.now()
		next, err := f.listOrWatch(ctx, kind, from, probe, failures > 0)
		if err == nil {
			from, failures = next, 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if protocol.CodeOf(err) == protocol.CodeExpired {
			varHistoriesLost.Add(1)
			f.log.WithError(err).WithFields(f.readFields(kind, from, started)).Info("history is lost, listing again")
			from = position{}
			// The watches of the other kinds may wait for changes of the lost history.
			f.restartWatches(ctx)
			continue
		}
		if failures == 0 {
			f.log.WithError(err).WithField("kind", kind.Kind).Warn("store does not answer")
		}
		if probe {
			f.restartWatches(ctx)
			from = f.afterFailure(kind, from, started)
			if time.Duration(f.now()-started) < quickFailureLimit {
				f.backOff(ctx, failures)
			}
		} else {
			f.awaitProbe(ctx, started)
		}
		failures++
	}
}

// listOrWatch makes one list or watch call from the given position and returns the position from which to watch next.
func (f *Follower) listOrWatch(ctx context.Context, kind Kind, from position, probe, failing bool) (position, error) {
	if kind.RefreshInterval > 0 || !f.canWatch(from) {
		return f.list(ctx, kind)
	}
	wait, parent := cmp.Or(kind.WatchWait, defaultWatchWait), f.watchContext()
	if probe {
		wait, parent = f.cfg.ProbeWait, ctx
	}
	if probe && failing {
		wait = probeRetryWait
	}
	callCtx, cancel := context.WithTimeout(parent, wait+watchTimeoutSlack)
	defer cancel()
	sent := f.now()
	batch, err := f.source.Watch(callCtx, kind.Kind, from.revision, wait)
	if err != nil {
		if parent.Err() != nil && ctx.Err() == nil {
			varWatchesRepeated.Add(1)
			f.log.WithFields(f.readFields(kind, from, sent)).Info("watch is sent again")
			return from, nil
		}
		return from, err
	}
	if batch.Era != from.era {
		// The revision is of another history, so the changes do not continue what was read before.
		return position{}, f.enterEra(ctx, batch.Era)
	}
	next := position{known: true, revision: batch.Revision, era: batch.Era}
	got := arrival{sent: sent, completeAt: f.confirmedUntil(sent, wait, batch)}
	f.applyBatch(kind.Kind, batch, got)
	if len(batch.Records) == 0 {
		return next, nil
	}
	if !kind.NewestOnly || batch.Relayed {
		sleep(ctx, coalesceDelay(kind, batch))
		return next, nil
	}
	if !f.inBurst(kind) {
		sleep(ctx, kind.CoalesceDelay/firstChangeDivisor)
		return next, nil
	}
	sleep(ctx, kind.CoalesceDelay)
	return position{}, nil
}

// afterFailure returns the position from which to continue after a call that failed. A kind of which only the newest record matters is
// listed soon after a change, and if the store has answered another call meanwhile: a watch that returned more versions than the link
// carries in time returns even more of them the next time. After an outage most hosts continue with a watch, which costs no copy.
func (f *Follower) afterFailure(kind Kind, from position, began bootclock.Instant) position {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.lastChange[kind.Kind]
	recent := !last.IsZero() && f.time().Sub(last) < burstFailureTime
	if kind.NewestOnly && (recent || f.lastAnswered.After(time.Unix(0, int64(began)))) {
		return position{}
	}
	return from
}

// readFields returns the fields of log lines about a read that began at a time and ended without an answer.
func (f *Follower) readFields(kind Kind, from position, began bootclock.Instant) logrus.Fields {
	f.mu.Lock()
	defer f.mu.Unlock()
	return logrus.Fields{
		"kind": kind.Kind, "since_revision": from.revision, "waited_ms": time.Duration(f.now() - began).Milliseconds(),
		"age_ms": f.kindAge(kind.Kind).Milliseconds(),
	}
}

// coalesceDelay returns the pause after a change. It is short for changes from a relay, which has paused itself and costs the store
// nothing.
func coalesceDelay(kind Kind, batch feed.Batch) time.Duration {
	if batch.Relayed {
		return kind.CoalesceDelay / relayedDelayDivisor
	}
	return kind.CoalesceDelay
}

// canWatch reports whether a position can be watched: it is known and of the store's latest era.
func (f *Follower) canWatch(from position) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return from.known && from.era == f.era
}

// confirmedUntil returns the time up to which the batch of a watch is complete. Without changes that is the end of the wait, or the
// time at which the watch was sent if it was answered before its wait was over. A source that read through a relay states the time itself.
func (f *Follower) confirmedUntil(sent bootclock.Instant, wait time.Duration, batch feed.Batch) bootclock.Instant {
	switch {
	case batch.Relayed || batch.CompleteAfter != 0:
		return sent + bootclock.Instant(batch.CompleteAfter)
	case len(batch.Records) > 0 || time.Duration(f.now()-sent) < wait:
		return sent
	}
	return sent + bootclock.Instant(wait)
}

// inBurst records a change of a kind and reports whether it follows the previous one within burstDelays coalescing delays.
func (f *Follower) inBurst(kind Kind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.time()
	last := f.lastChange[kind.Kind]
	f.lastChange[kind.Kind] = now
	return !last.IsZero() && now.Sub(last) < burstDelays*kind.CoalesceDelay
}

func (f *Follower) list(ctx context.Context, kind Kind) (position, error) {
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	stale := kind.RefreshInterval > 0
	sent := f.now()
	batch, err := f.source.List(callCtx, kind.Kind, stale)
	if err != nil {
		return position{}, err
	}
	if err := f.enterEra(ctx, batch.Era); err != nil {
		return position{}, err
	}
	got := arrival{list: true, stale: stale, sent: sent, completeAt: sent}
	if batch.Relayed {
		got.completeAt += bootclock.Instant(batch.CompleteAfter)
	}
	f.applyBatch(kind.Kind, batch, got)
	if stale {
		f.jitteredSleep(ctx, refreshAfter(kind, batch))
	}
	return position{known: true, revision: batch.Revision, era: batch.Era}, nil
}

// refreshAfter returns the mean time until the next stale list.
func refreshAfter(kind Kind, batch feed.Batch) time.Duration {
	if kind.PollWhileEmpty && len(batch.Records) == 0 {
		return min(kind.RefreshInterval, emptyRefreshInterval)
	}
	return kind.RefreshInterval * time.Duration(max(len(batch.Records), shortListRecords)) / shortListRecords
}

// jitteredSleep waits for 0.5 to 1.5 times the mean, so that the calls of processes are spread over time.
func (f *Follower) jitteredSleep(ctx context.Context, mean time.Duration) {
	f.mu.Lock()
	wait := mean/2 + time.Duration(f.random.Int64N(int64(mean)+1))
	f.mu.Unlock()
	sleep(ctx, wait)
}

func (f *Follower) watchContext() context.Context {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watchCtx
}

// restartWatches cancels the pending watches so that they are sent again. Their connections may be broken like the one that
// failed.
func (f *Follower) restartWatches(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelWatches()
	f.watchCtx, f.cancelWatches = context.WithCancel(ctx)
}

// awaitProbe waits until the probing watch is answered again, so that an unavailable store gets few calls. It doesn't wait if the store
// has answered another call since the failed one was sent.
func (f *Follower) awaitProbe(ctx context.Context, sent bootclock.Instant) {
	f.mu.Lock()
	answered, available := f.probeAnswered, f.lastAnswered.After(time.Unix(0, int64(sent)))
	f.mu.Unlock()
	if available {
		return
	}
	// The wait is bounded, since the failure may concern this connection only while the probing watch stays pending.
	timer := time.NewTimer(maxProbeAwait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-answered:
	}
}

// backOff waits for a jittered time that doubles with each consecutive failure, up to retryCap.
func (f *Follower) backOff(ctx context.Context, failures int) {
	bound := min(retryBase<<min(failures, 8), retryCap)
	f.mu.Lock()
	wait := bound/2 + time.Duration(f.random.Int64N(int64(bound/2)+1))
	f.mu.Unlock()
	sleep(ctx, wait)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
