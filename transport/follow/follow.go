// Package follow keeps a view of the fleet current from the platform's store.
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
	// watchWait is the wait of all other watches; the store allows 30 s.
	watchWait = 25 * time.Second
	// callSlack is the time that the store has to answer beyond the wait of a watch.
	callSlack = 1200 * time.Millisecond
	// listTimeout bounds one read of a whole list.
	listTimeout = 3 * time.Second
	// retryBase and retryCap bound the pause after a failed call of the probing watch.
	retryBase = 150 * time.Millisecond
	retryCap  = 600 * time.Millisecond
	// followerPause bounds the time for which the other watches wait for the probing one to be answered again.
	followerPause = 4 * time.Second
	// outageSlack is the time beyond the wait of the probing watch after which a silent store counts as having been away.
	outageSlack = 1500 * time.Millisecond
	// promptAnswer bounds the time in which a slow store answers a watch whose changes were made before the call.
	promptAnswer = 500 * time.Millisecond
	// outageQuorum is the number of entry hosts, and outageShare the share of them, that must miss the store for it to count
	// as away; a fault on the way to some hosts leaves most others in touch.
	outageQuorum = 3
	outageShare  = 0.7
	// retryWait is the wait of the probing watch after a failure, so that the return of the store shows soon.
	retryWait = 100 * time.Millisecond
	// emptyRefresh is the mean time between two stale lists of a kind of which there is no record yet.
	emptyRefresh = 500 * time.Millisecond
	// unknownRevision stands for a kind that must be listed.
	unknownRevision = -1
	// successionPauses is the number of pauses within which changes count as following each other quickly.
	successionPauses = 3
	// shortList is the number of records up to which a stale list is read at its usual interval; a longer one is read as much
	// less often, so that the bytes of lists stay the same: 3,000 records at 5 s filled the link between two regions.
	shortList = 150
	// expireInterval is the time between two looks for registrations that did not come back.
	expireInterval = 100 * time.Millisecond
	// quickFailure is the time below which a failed call is followed by a pause; a longer one was a pause by itself.
	quickFailure = 400 * time.Millisecond
)

// Kind is a kind of records to follow.
type Kind struct {
	feed.Kind
	// CoalesceDelay is the pause after a change, so that changes in quick succession cost one call.
	CoalesceDelay time.Duration
	// NewestOnly says that a record replaces those before it, so that after a change in quick succession a list of what is
	// there now stands in for all changes of the pause.
	NewestOnly bool
	// RefreshInterval, when it is set, is the mean time between two stale lists, which take the place of watches.
	RefreshInterval time.Duration
	// PollWhileEmpty says that a running fleet has records of the kind, so that an empty list is soon followed by another.
	PollWhileEmpty bool
}

// Config says what a Follower follows.
type Config struct {
	// Kinds lists the kinds; the watch of the first also shows whether the store is reachable.
	Kinds []Kind
	// ProbeWait is the longest wait of the watch of the first kind.
	ProbeWait time.Duration
}

// Follower keeps a view of the fleet current.
type Follower struct {
	source feed.Source
	cfg    Config
	log    *logrus.Entry

	mu     sync.Mutex
	table  *fleet.Table
	listed map[feed.Kind]bool
	// current holds the time up to which all changes of a kind are known.
	current  map[feed.Kind]time.Time
	answered time.Time
	random   *rand.Rand
	// changedAt holds the time of the last change of a kind.
	changedAt map[feed.Kind]time.Time
	// sharedOutage says that most other processes do not reach the store either.
	sharedOutage bool
	// probed is closed and replaced whenever the probing watch is answered.
	probed chan struct{}

	view      atomic.Pointer[fleet.View]
	confirmed atomic.Int64
	onChange  []func(*fleet.View)

	// broken is closed and replaced when the store stops answering, so that waiting watches start again.
	broken context.CancelFunc
	watch  context.Context
}

// New returns a Follower.
func New(source feed.Source, cfg Config, random *rand.Rand, log *logrus.Entry) *Follower {
	return &Follower{
		source:  source,
		cfg:     cfg,
		log:     log,
		table:   fleet.NewTable(),
		listed:  make(map[feed.Kind]bool),
		current: make(map[feed.Kind]time.Time),
		probed:  make(chan struct{}),

		changedAt: make(map[feed.Kind]time.Time),
		random:    random,
	}
}

// OnChange adds a function that gets every new view; it is called in order and must not wait.
func (f *Follower) OnChange(fn func(*fleet.View)) { f.onChange = append(f.onChange, fn) }

// View returns the current view, or nil before all kinds have been listed.
func (f *Follower) View() *fleet.View { return f.view.Load() }

// Age returns the time since the store last confirmed that the configuration in force is the newest.
func (f *Follower) Age() time.Duration {
	at := f.confirmed.Load()
	if at == 0 {
		return time.Duration(1<<63 - 1)
	}
	return bootclock.Since(bootclock.Instant(at))
}

// StoreUnresponsive reports whether the store has not answered this process for longer than it does in good times.
func (f *Follower) StoreUnresponsive() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent(bootclock.Time())
}

// silent is Silent with the lock held.
func (f *Follower) silent(now time.Time) bool {
	return !f.answered.IsZero() && now.Sub(f.answered) > f.cfg.ProbeWait+outageSlack
}

// RecordPeerReachability takes how many of the entry hosts known to an agent do not reach the store.
func (f *Follower) RecordPeerReachability(hosts, silent int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if hosts >= outageQuorum && float64(silent) >= outageShare*float64(hosts) && f.silent(bootclock.Time()) {
		f.sharedOutage = true
	}
}

// ApplyPeerTarget takes from another process that a version was named, and how long ago.
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

// LearnTargetTime takes from another process how long ago a version was named, if this process does not know.
func (f *Follower) LearnTargetTime(model core.Model, version int64, age time.Duration) {
	view := f.View()
	if !view.Ready() {
		return
	}
	since := bootclock.Time().Add(-age)
	if _, news := view.Wanted[model].WithSince(version, since); !news {
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
	f.watch, f.broken = context.WithCancel(ctx)
	var loops sync.WaitGroup
	for i, kind := range f.cfg.Kinds {
		loops.Go(func() { f.follow(ctx, kind, i == 0) })
	}
	loops.Go(func() { f.expire(ctx) })
	loops.Wait()
	f.broken()
}

func (f *Follower) expire(ctx context.Context) {
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

// follow lists a kind and watches it from there, again and again.
func (f *Follower) follow(ctx context.Context, kind Kind, probe bool) {
	failures := 0
	since := int64(unknownRevision)
	for ctx.Err() == nil {
		began := bootclock.Now()
		next, err := f.step(ctx, kind, since, probe, failures > 0)
		if err == nil {
			since, failures = next, 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if protocol.CodeOf(err) == protocol.CodeExpired {
			since = unknownRevision
			continue
		}
		if failures == 0 {
			f.log.WithError(err).WithField("kind", kind.Kind).Warn("store does not answer")
		}
		if probe {
			f.breakWatches(ctx)
			if bootclock.Since(began) < quickFailure {
				f.pause(ctx, failures)
			}
		} else {
			f.awaitProbe(ctx)
		}
		failures++
	}
}

// step makes one call and returns the revision to watch from.
func (f *Follower) step(ctx context.Context, kind Kind, since int64, probe, failing bool) (int64, error) {
	if since == unknownRevision || kind.RefreshInterval > 0 {
		return f.list(ctx, kind)
	}
	wait, parent := watchWait, f.watchContext()
	if probe {
		wait, parent = f.cfg.ProbeWait, ctx
	}
	if probe && failing {
		wait = retryWait
	}
	call, cancel := context.WithTimeout(parent, wait+callSlack)
	defer cancel()
	sent := bootclock.Now()
	batch, err := f.source.Watch(call, kind.Kind, since, wait)
	if err != nil {
		if parent.Err() != nil && ctx.Err() == nil {
			return since, nil
		}
		return since, err
	}
	if len(batch.Records) == 0 {
		f.take(kind.Kind, batch, false, false, waited(sent, wait))
		return batch.Revision, nil
	}
	f.take(kind.Kind, batch, false, false, sent)
	sleep(ctx, kind.CoalesceDelay)
	if kind.NewestOnly && f.inQuickSuccession(kind) {
		return unknownRevision, nil
	}
	return batch.Revision, nil
}

// waited returns the time up to which a watch without a change tells that there was none: the store answers it at the end of
// its wait, unless it was cut off before.
func waited(sent bootclock.Instant, wait time.Duration) bootclock.Instant {
	if bootclock.Since(sent) < wait {
		return sent
	}
	return sent + bootclock.Instant(wait)
}

// inQuickSuccession reports whether the last two changes of a kind were taken within a few pauses.
func (f *Follower) inQuickSuccession(kind Kind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := bootclock.Time()
	last := f.changedAt[kind.Kind]
	f.changedAt[kind.Kind] = now
	return !last.IsZero() && now.Sub(last) < successionPauses*kind.CoalesceDelay
}

func (f *Follower) list(ctx context.Context, kind Kind) (int64, error) {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	stale := kind.RefreshInterval > 0
	sent := bootclock.Now()
	batch, err := f.source.List(call, kind.Kind, stale)
	if err != nil {
		return unknownRevision, err
	}
	f.take(kind.Kind, batch, true, stale, sent)
	if stale {
		f.jitteredSleep(ctx, refreshAfter(kind, batch))
	}
	return batch.Revision, nil
}

// refreshAfter returns the mean time to the next stale list.
func refreshAfter(kind Kind, batch feed.Batch) time.Duration {
	if kind.PollWhileEmpty && len(batch.Records) == 0 {
		return min(kind.RefreshInterval, emptyRefresh)
	}
	return kind.RefreshInterval * time.Duration(max(len(batch.Records), shortList)) / shortList
}

// jitteredSleep waits for half to one and a half times the mean, so that processes do not act together.
func (f *Follower) jitteredSleep(ctx context.Context, mean time.Duration) {
	f.mu.Lock()
	wait := mean/2 + time.Duration(f.random.Int64N(int64(mean)+1))
	f.mu.Unlock()
	sleep(ctx, wait)
}

func (f *Follower) watchContext() context.Context {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watch
}

// breakWatches ends the waiting watches: their connections may be as dead as the one that failed.
func (f *Follower) breakWatches(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broken()
	f.watch, f.broken = context.WithCancel(ctx)
}

// awaitProbe waits until the probing watch has been answered again, so that an unavailable store gets few calls.
func (f *Follower) awaitProbe(ctx context.Context) {
	f.mu.Lock()
	answered := f.probed
	f.mu.Unlock()
	// The failure may concern one connection only, so the probe may go on without a pause.
	timer := time.NewTimer(followerPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-answered:
	}
}

// pause waits for a jittered time that doubles with each failure in a row.
func (f *Follower) pause(ctx context.Context, failures int) {
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
