// Package follow keeps a view of the fleet up to date with the platform's store, by watches and periodic lists.
package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/feed"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

const (
	// watchWait is the long-poll wait of all watches but the probing one; the store allows 30 s.
	watchWait = 25 * time.Second
	// watchTimeoutSlack is the time after the wait of a watch within which the store must respond.
	watchTimeoutSlack = 1200 * time.Millisecond
	// listTimeout bounds one list call.
	listTimeout = 3 * time.Second
	// retryBase and retryCap are the first and the longest backoff after a failed call of the probing watch.
	retryBase = 150 * time.Millisecond
	retryCap  = 600 * time.Millisecond
	// maxProbeAwait bounds the time for which a failed watch of another kind waits until the probing watch is answered again.
	maxProbeAwait = 4 * time.Second
	// outageSlack is the time beyond the wait of the probing watch after which a store without a response counts as
	// unavailable.
	outageSlack = 1500 * time.Millisecond
	// promptResponseLimit is an upper bound of the time in which even a slow store responds to a watch whose changes were
	// made before the call. A watch that took longer was ended by a change made during its wait.
	promptResponseLimit = 500 * time.Millisecond
	// An agent must know at least outageMinHosts entry hosts, and at least outageMinShare of them must not reach the store, for
	// an outage to count as one of the store. A network fault between the store and some hosts leaves most others connected.
	outageMinHosts = 3
	outageMinShare = 0.7
	// probeRetryWait is the wait of the probing watch after a failure. It is short so that the end of an outage is noticed soon.
	probeRetryWait = 100 * time.Millisecond
	// emptyRefreshInterval bounds the mean time between two stale lists of a kind with PollWhileEmpty while it has no records.
	emptyRefreshInterval = 500 * time.Millisecond
	// burstDelays is the number of coalescing delays within which two changes count as a burst.
	burstDelays = 3
	// relayedDelayDivisor shortens the pause after a change that a relay has passed on.
	relayedDelayDivisor = 4
	// shortListRecords is the number of records up to which a stale list is read at its refresh interval. The interval of a
	// longer list grows in proportion, so that its bytes per second stay constant: lists of 3,000 records every 5 s saturated
	// the link between two regions.
	shortListRecords = 150
	// expireInterval is the time between two checks for registrations that did not reappear after an outage.
	expireInterval = 100 * time.Millisecond
	// restoreSettleTime is how long after the store came back from an older copy its configuration may not be the newest one that
	// it acknowledged. Operators and replicas write again within about two seconds what it lost.
	restoreSettleTime = 2 * time.Second
	// quickFailureLimit is the duration below which a failed call is followed by a backoff; a call that took longer needs none.
	quickFailureLimit = 400 * time.Millisecond
)

// Kind is a kind of record to follow, with the way in which it is read.
type Kind struct {
	feed.Kind
	// CoalesceDelay is the pause after a change. A longer one reads more changes with one call and shows them later.
	CoalesceDelay time.Duration
	// NewestOnly states that only the newest record matters. During a burst of changes the kind is then listed after
	// CoalesceDelay, instead of reading every change from the watch.
	NewestOnly bool
	// RefreshInterval, if set, is the mean time between two lists that may be stale. The kind is then not watched.
	RefreshInterval time.Duration
	// PollWhileEmpty shortens the refresh interval while the list is empty. It is for kinds of which a running fleet always
	// has records.
	PollWhileEmpty bool
}

// Config holds the settings of a Follower.
type Config struct {
	// Kinds lists the kinds to follow. The watch of the first one, the probing watch, also detects whether the store is
	// reachable.
	Kinds []Kind
	// ProbeWait is the long-poll wait of the probing watch. A longer one costs fewer calls and detects outages later.
	ProbeWait time.Duration
}

// position is a point in the store's history from which a kind can be watched. The zero position means that the kind must be
// listed first.
type position struct {
	known    bool
	revision int64
	era      int64
}

// Follower keeps a view of the fleet up to date.
type Follower struct {
	source feed.Source
	cfg    Config
	log    *logrus.Entry

	mu     sync.Mutex
	table  *fleet.Table
	listed map[feed.Kind]bool
	// completeUntil holds, by kind, the time up to which all changes are known.
	completeUntil map[feed.Kind]time.Time
	lastAnswered  time.Time
	// era is the latest era of the store; it is valid once lastAnswered is set.
	era int64
	// settledAt is the time from which the store confirms the configuration again after it came back from an older copy.
	settledAt time.Time
	random    *rand.Rand
	// lastChange holds the time of the last change by kind.
	lastChange map[feed.Kind]time.Time
	// sharedOutage reports whether most other processes do not reach the store either.
	sharedOutage bool
	// probeAnswered is closed and replaced when a call for the first kind is answered.
	probeAnswered chan struct{}

	view        atomic.Pointer[fleet.View]
	confirmedAt atomic.Int64
	onChange    []func(*fleet.View)

	// cancelWatches cancels watchCtx. Both are replaced when the store stops answering, so that pending watches are sent again.
	cancelWatches context.CancelFunc
	watchCtx      context.Context
}

// New returns a Follower that follows source while Run runs.
func New(source feed.Source, cfg Config, random *rand.Rand, log *logrus.Entry) *Follower {
	return &Follower{
		source:        source,
		cfg:           cfg,
		log:           log,
		table:         fleet.NewTable(),
		listed:        make(map[feed.Kind]bool),
		completeUntil: make(map[feed.Kind]time.Time),
		probeAnswered: make(chan struct{}),

		lastChange: make(map[feed.Kind]time.Time),
		random:     random,
	}
}

// OnChange registers a function that is called with every new view, in order. It must not block and must be registered
// before Run.
func (f *Follower) OnChange(fn func(*fleet.View)) { f.onChange = append(f.onChange, fn) }

// View returns the current view, or nil before all kinds have been listed.
func (f *Follower) View() *fleet.View { return f.view.Load() }

// Age returns the time since the store last confirmed that the current configuration is the newest, or the maximum
// duration if it never did.
func (f *Follower) Age() time.Duration {
	at := f.confirmedAt.Load()
	if at == 0 {
		return time.Duration(1<<63 - 1)
	}
	return bootclock.Since(bootclock.Instant(at))
}

// Replicas returns the replicas that have been read so far, also before there is a view.
func (f *Follower) Replicas() []fleet.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.View().Members
}

// Answered reports whether the store has answered this process yet, and does so now.
func (f *Follower) Answered() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lastAnswered.IsZero() && !f.storeUnresponsive(bootclock.Time())
}

// StoreUnresponsive reports whether the store has not responded to this process for longer than a watch takes. It is
// false before the first response.
func (f *Follower) StoreUnresponsive() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeUnresponsive(bootclock.Time())
}

// storeUnresponsive is StoreUnresponsive for callers that hold the lock.
func (f *Follower) storeUnresponsive(now time.Time) bool {
	return !f.lastAnswered.IsZero() && now.Sub(f.lastAnswered) > f.cfg.ProbeWait+outageSlack
}

// RecordPeerReachability records the number of entry hosts that an agent knows and how many of them do not reach the
// store. If most do not, and neither does this process, the outage counts as one of the store.
func (f *Follower) RecordPeerReachability(hosts, unreachable int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if hosts >= outageMinHosts && float64(unreachable) >= outageMinShare*float64(hosts) && f.storeUnresponsive(bootclock.Time()) {
		f.sharedOutage = true
	}
}

// ApplyPeerTarget records a peer's report that a version became a model's target age ago. A version newer than the known
// ones becomes the target here too.
func (f *Follower) ApplyPeerTarget(model core.Model, version int64, age time.Duration) {
	view := f.View()
	if !view.Ready() || version <= view.Wanted[model].Newest() {
		f.LearnTargetTime(model, version, age)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.SetWanted(bootclock.Time().Add(-age), fleet.WeightTarget{Model: model, Version: version})
	f.log.WithField("model", model).WithField("version", version).WithField("age_ms", age.Milliseconds()).
		Info("version wanted, as another host says")
	f.publish()
}

// LearnTargetTime records a peer's report of how long ago a version became a model's target, unless that is known.
func (f *Follower) LearnTargetTime(model core.Model, version int64, age time.Duration) {
	view := f.View()
	if !view.Ready() {
		return
	}
	since := bootclock.Time().Add(-age)
	if _, isNew := view.Wanted[model].WithSince(version, since); !isNew {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table.SetWantedSince(model, version, since) {
		f.publish()
	}
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.watchCtx, f.cancelWatches = context.WithCancel(ctx)
	var loops sync.WaitGroup
	for i, kind := range f.cfg.Kinds {
		loops.Go(func() { f.followKind(ctx, kind, i == 0) })
	}
	loops.Go(func() { f.expireLoop(ctx) })
	loops.Wait()
	f.cancelWatches()
}

func (f *Follower) expireLoop(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.mu.Lock()
			if f.table.Expire(bootclock.Time()) {
				f.publish()
			}
			f.mu.Unlock()
		}
	}
}

// followKind lists a kind and then watches it until ctx ends. It lists again when the store no longer has the history.
func (f *Follower) followKind(ctx context.Context, kind Kind, probe bool) {
	failures := 0
	var from position
	for ctx.Err() == nil {
		started := bootclock.Now()
		next, err := f.listOrWatch(ctx, kind, from, probe, failures > 0)
		if err == nil {
			from, failures = next, 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if protocol.CodeOf(err) == protocol.CodeExpired {
			from = position{}
			continue
		}
		if failures == 0 {
			f.log.WithError(err).WithField("kind", kind.Kind).Warn("store does not answer")
		}
		if probe {
			f.restartWatches(ctx)
			if bootclock.Since(started) < quickFailureLimit {
				f.backOff(ctx, failures)
			}
		} else {
			f.awaitProbe(ctx)
		}
		failures++
	}
}

// listOrWatch makes one list or watch call from the given position and returns the position from which to watch next.
func (f *Follower) listOrWatch(ctx context.Context, kind Kind, from position, probe, failing bool) (position, error) {
	if kind.RefreshInterval > 0 || !f.canWatch(from) {
		return f.list(ctx, kind)
	}
	wait, parent := watchWait, f.watchContext()
	if probe {
		wait, parent = f.cfg.ProbeWait, ctx
	}
	if probe && failing {
		wait = probeRetryWait
	}
	callCtx, cancel := context.WithTimeout(parent, wait+watchTimeoutSlack)
	defer cancel()
	sent := bootclock.Now()
	batch, err := f.source.Watch(callCtx, kind.Kind, from.revision, wait)
	if err != nil {
		if parent.Err() != nil && ctx.Err() == nil {
			return from, nil
		}
		if protocol.CodeOf(err) == protocol.CodeExpired && bootclock.Since(sent) > promptResponseLimit {
			f.recordQuietWatch(kind.Kind)
		}
		return from, err
	}
	if batch.Era != from.era {
		// The revision is of another history, so the changes do not continue what was read before.
		return position{}, f.enterEra(ctx, batch.Era)
	}
	next := position{known: true, revision: batch.Revision, era: batch.Era}
	got := arrival{sent: sent, completeAt: confirmedUntil(sent, wait, batch)}
	f.applyBatch(kind.Kind, batch, got)
	if len(batch.Records) == 0 {
		return next, nil
	}
	sleep(ctx, coalesceDelay(kind, batch))
	if kind.NewestOnly && !batch.Relayed && f.inBurst(kind) {
		return position{}, nil
	}
	return next, nil
}

// coalesceDelay returns the pause after a change. It is short for changes from a relay, which has paused itself and costs the store
// nothing.
func coalesceDelay(kind Kind, batch feed.Batch) time.Duration {
	if batch.Relayed {
		return kind.CoalesceDelay / relayedDelayDivisor
	}
	return kind.CoalesceDelay
}

// recordQuietWatch records that a watch of a kind waited until just now, although it then failed because the store no longer has the
// history: a change would have ended it before.
func (f *Follower) recordQuietWatch(kind feed.Kind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.completeUntil[kind] = bootclock.Time().Add(-promptResponseLimit)
}

// canWatch reports whether a position can be watched: it is known and of the store's latest era.
func (f *Follower) canWatch(from position) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return from.known && from.era == f.era
}

// confirmedUntil returns the time up to which the batch of a watch is complete. Without changes that is the end of the wait, or the
// time at which the watch was sent if it was answered before its wait was over. A relay states the time itself.
func confirmedUntil(sent bootclock.Instant, wait time.Duration, batch feed.Batch) bootclock.Instant {
	switch {
	case batch.Relayed:
		return sent + bootclock.Instant(batch.CompleteAfter)
	case len(batch.Records) > 0 || bootclock.Since(sent) < wait:
		return sent
	}
	return sent + bootclock.Instant(wait)
}

// inBurst records a change of a kind and reports whether it follows the previous one within burstDelays coalescing delays.
func (f *Follower) inBurst(kind Kind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := bootclock.Time()
	last := f.lastChange[kind.Kind]
	f.lastChange[kind.Kind] = now
	return !last.IsZero() && now.Sub(last) < burstDelays*kind.CoalesceDelay
}

func (f *Follower) list(ctx context.Context, kind Kind) (position, error) {
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	stale := kind.RefreshInterval > 0
	sent := bootclock.Now()
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

// awaitProbe waits until the probing watch is answered again, so that an unavailable store gets few calls.
func (f *Follower) awaitProbe(ctx context.Context) {
	f.mu.Lock()
	answered := f.probeAnswered
	f.mu.Unlock()
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
