// Package follow keeps a view of the fleet up to date with the platform's store, by watches and periodic lists.
package follow

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/protocol/feed"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

const (
	// defaultWatchWait is the long-poll wait of a kind that states none; the store allows 30 s.
	defaultWatchWait = 25 * time.Second
	// watchTimeoutSlack is the time after the wait of a watch within which the store must respond.
	watchTimeoutSlack = 800 * time.Millisecond
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
	// firstChangeDivisor shortens the pause after the first change of a kind with NewestOnly. The watch after it returns all versions
	// that the pause has collected: with changes 60 ms apart, 11 configurations of 0.4 MB after the whole pause, more than a link of 28
	// Mbit/s carries before the watch of a relay times out.
	firstChangeDivisor = 7
	// burstFailureTime is the time after a change of a kind with NewestOnly within which a failed watch is followed by a list.
	burstFailureTime = 5 * time.Second
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
	// neverConfirmed is the age of records that the store has never confirmed.
	neverConfirmed = time.Duration(math.MaxInt64)
)

// Kind is a kind of record to follow, with the way in which it is read.
type Kind struct {
	feed.Kind
	// CoalesceDelay is the pause after a change. A longer one reads more changes with one call and shows them later.
	CoalesceDelay time.Duration
	// WatchWait is the long-poll wait of the watches, unless the kind is the probing one. A watch may miss changes without an error:
	// its connection is silent, or the store has dropped the history while it waited. So the wait, watchTimeoutSlack and a list
	// must be shorter than the time in which a change must take effect. The default is defaultWatchWait.
	WatchWait time.Duration
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
	// Now returns the time since the host's boot; nil means bootclock.Now.
	Now func() bootclock.Instant
	// ArrivedAfter returns a time after which everything has arrived that the process reads now, as standstill.Monitor does; nil means Now.
	ArrivedAfter func() bootclock.Instant
}

// position is a point in the store's history from which a kind can be watched. The zero position means that the kind must be
// listed first.
type position struct {
	known    bool
	revision int64
	era      int64
}

// snapshot is a view with the time up to which the store has confirmed its configuration. They are replaced together, since a later
// confirmation does not hold for an earlier view.
type snapshot struct {
	view        *fleet.View
	confirmedAt bootclock.Instant
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
	// completeAt holds, by kind, the time up to which the store has confirmed that no change is missing; zero if it never did.
	completeAt   map[feed.Kind]bootclock.Instant
	lastAnswered time.Time
	// era is the latest era of the store; it is valid once lastAnswered is set.
	era int64
	// settledAt is the time from which the store confirms the configuration again after it came back from an older copy.
	settledAt time.Time
	random    *rand.Rand
	// lastChange holds the time of the last change by kind.
	lastChange map[feed.Kind]time.Time
	// skipped holds the records that have been logged as not decodable.
	skipped map[skippedRecord]bool
	// sharedOutage reports whether most other processes do not reach the store either.
	sharedOutage bool
	// probeAnswered is closed and replaced when a call for the first kind is answered.
	probeAnswered chan struct{}

	// confirmedAt is the time up to which the store has confirmed the table's configuration, zero if it never did.
	confirmedAt bootclock.Instant
	// current is stored after the table has been updated.
	current  atomic.Pointer[snapshot]
	onChange []func(*fleet.View)

	// cancelWatches cancels watchCtx. Both are replaced when the store stops answering, so that pending watches are sent again.
	cancelWatches context.CancelFunc
	watchCtx      context.Context
}

// New returns a Follower that follows source while Run runs.
func New(source feed.Source, cfg Config, random *rand.Rand, log *logrus.Entry) *Follower {
	if cfg.Now == nil {
		cfg.Now = bootclock.Now
	}
	if cfg.ArrivedAfter == nil {
		cfg.ArrivedAfter = cfg.Now
	}
	return &Follower{
		source:        source,
		cfg:           cfg,
		log:           log,
		table:         fleet.NewTable(),
		listed:        make(map[feed.Kind]bool),
		completeUntil: make(map[feed.Kind]time.Time),
		completeAt:    make(map[feed.Kind]bootclock.Instant),
		probeAnswered: make(chan struct{}),

		lastChange: make(map[feed.Kind]time.Time),
		skipped:    make(map[skippedRecord]bool),
		random:     random,
	}
}

func (f *Follower) now() bootclock.Instant { return f.cfg.Now() }

// time returns the time since the host's boot as a time.Time.
func (f *Follower) time() time.Time { return time.Unix(0, int64(f.now())) }

// OnChange registers a function that is called with every new view, in order. It must not block and must be registered
// before Run.
func (f *Follower) OnChange(fn func(*fleet.View)) { f.onChange = append(f.onChange, fn) }

// Current returns the current view, or nil before all kinds have been listed, and the time since the store last confirmed that its
// configuration is the newest, or the maximum duration if it never did.
func (f *Follower) Current() (*fleet.View, time.Duration) {
	current := f.current.Load()
	switch {
	case current == nil:
		return nil, neverConfirmed
	case current.confirmedAt == 0:
		return current.view, neverConfirmed
	}
	return current.view, time.Duration(f.now() - current.confirmedAt)
}

// View returns the view of Current.
func (f *Follower) View() *fleet.View {
	view, _ := f.Current()
	return view
}

// Age returns the age of Current.
func (f *Follower) Age() time.Duration {
	_, age := f.Current()
	return age
}

// KindAges returns, by kind, the time since the store confirmed that no change is missing, or the maximum duration if it never did.
// Kinds that are only read by stale lists are never confirmed.
func (f *Follower) KindAges() map[feed.Kind]time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	ages := make(map[feed.Kind]time.Duration, len(f.cfg.Kinds))
	for _, kind := range f.cfg.Kinds {
		ages[kind.Kind] = f.kindAge(kind.Kind)
	}
	return ages
}

// kindAge is KindAges for one kind and callers that hold the lock.
func (f *Follower) kindAge(kind feed.Kind) time.Duration {
	if f.completeAt[kind] == 0 {
		return neverConfirmed
	}
	return time.Duration(f.now() - f.completeAt[kind])
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
	return !f.lastAnswered.IsZero() && !f.storeUnresponsive(f.time())
}

// StoreUnresponsive reports whether the store has not responded to this process for longer than a watch takes. It is
// false before the first response.
func (f *Follower) StoreUnresponsive() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeUnresponsive(f.time())
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
	if hosts >= outageMinHosts && float64(unreachable) >= outageMinShare*float64(hosts) && f.storeUnresponsive(f.time()) {
		f.sharedOutage = true
	}
}

// ApplyPeerTarget records the time at which a version became a model's target, as a peer has told it. A version newer than the known
// ones becomes the target here too.
func (f *Follower) ApplyPeerTarget(from netip.Addr, model core.Model, told fleet.WantedVersion) {
	view := f.View()
	if !view.Ready() || told.Version <= view.Wanted[model].Newest() {
		f.LearnTargetTime(from, model, told)
		return
	}
	f.applyPeerVersion(model, told, f.timeFields(from, told))
}

// timeFields returns the fields of log lines about the time of a version that a peer has told.
func (f *Follower) timeFields(from netip.Addr, told fleet.WantedVersion) logrus.Fields {
	return logrus.Fields{
		"from": from, "age_ms": f.time().Sub(told.Since).Milliseconds(), "uncertain_ms": told.Until.Sub(told.Since).Milliseconds(),
	}
}

// ApplyPeerVersion records a peer's report that a version is a model's target, without the time since when.
func (f *Follower) ApplyPeerVersion(model core.Model, version int64) {
	if view := f.View(); view.Ready() && version > view.Wanted[model].Newest() {
		f.applyPeerVersion(model, fleet.WantedVersion{Version: version, Until: f.time()}, nil)
	}
}

// applyPeerVersion stores a version and logs it with the source of its time.
func (f *Follower) applyPeerVersion(model core.Model, wanted fleet.WantedVersion, source logrus.Fields) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table.SetWantedVersion(model, wanted) {
		f.log.WithFields(source).WithField("model", model).WithField("version", wanted.Version).Info("version wanted, as another host says")
		f.publish()
	}
}

// LearnTargetTime records the time at which a version became a model's target, as a peer has told it.
func (f *Follower) LearnTargetTime(from netip.Addr, model core.Model, told fleet.WantedVersion) {
	view := f.View()
	if !view.Ready() {
		return
	}
	if _, isNew := view.Wanted[model].WithTime(told); !isNew {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table.NarrowWanted(model, told) {
		f.log.WithFields(f.timeFields(from, told)).WithFields(logrus.Fields{"model": model, "version": told.Version}).
			Info("time of a wanted version learned from another host")
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
			if f.table.Expire(f.time()) {
				f.publish()
			}
			f.mu.Unlock()
		}
	}
}
