package ingress

import (
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/coordination/waiting"
	"github.com/guavatrestle/guavatrestle/coordination/workload"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

const (
	// startTimeGain is the weight of the newest request in the averages of a startTime.
	startTimeGain = 0.1
	// maxStartShare bounds the usual time to the first event as a part of the objective. Beyond it all requests would count as late on
	// their arrival, and those that have waited longest would go first.
	maxStartShare = 0.8
	// waitCheckInterval bounds the time between two checks of a waiting request for what has no event: the age of the API keys, the
	// time to stop and the quarantine. It is a small part of the bounds of these.
	waitCheckInterval = 100 * time.Millisecond
	// lineCheckInterval is the least time between two checks of all requests of a line by the timers of single ones. Each takes some 40 us
	// with 200 waiting requests: with one for each timer they took 0.09 of a core, and entries have 0.2.
	lineCheckInterval = 10 * time.Millisecond
)

// waitQueue holds the waiting requests of an upstream whose routes have different priorities.
type waitQueue struct {
	queue   *waiting.Queue
	waiters map[waiting.ID]*waiter
	// checkedAt is the time at which all requests were checked last.
	checkedAt time.Time
}

// waiter is a request that waits for a replica.
type waiter struct {
	id      waiting.ID
	request dispatch.Request
	item    waiting.Item
	// deliver receives the result once. It is called with the lock of the Router held and must not block.
	deliver func(waitResult)
	// verdict and heldUntil are those of the last attempt to choose a replica.
	verdict   dispatch.Verdict
	heldUntil time.Time
	// queuedAt is the time since which the request waits, forecast the wait that was forecast then.
	queuedAt time.Time
	forecast time.Duration
	// timedAt is the time for which the request states the times left until its objective and its deadline.
	timedAt time.Time
}

// updateTimeLeft takes the time that has passed from the times left until the objective and the deadline.
func (w *waiter) updateTimeLeft(now time.Time) {
	passed := now.Sub(w.timedAt)
	w.timedAt = now
	w.request.ObjectiveLeft = max(w.request.ObjectiveLeft-passed, 0)
	w.request.DeadlineLeft = max(w.request.DeadlineLeft-passed, 0)
}

// waitResult is the end of a wait. recheck is set if the configuration has changed, so that the request must be checked and queued again.
type waitResult struct {
	choice  dispatch.Choice
	verdict dispatch.Verdict
	recheck bool
	// late is true if the objective was lost when the replica was chosen.
	late bool
	// refusal, retryAfter and reportAge, the age of the newest report of a replica, are set if the request may not wait any longer.
	refusal    waiting.Refusal
	retryAfter time.Duration
	reportAge  time.Duration
}

// startTime is the usual time from the choice of a replica to the response or its first event.
type startTime struct{ mean, deviation float64 }

// recordStart records the time to the response or first event of a request that could still meet its objective when it was sent. Others
// wait longer at the replica.
func (r *Router) recordStart(route string, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.startTimes[route]
	if t == nil {
		r.startTimes[route] = &startTime{mean: latency.Seconds()}
		return
	}
	difference := latency.Seconds() - t.mean
	t.mean += startTimeGain * difference
	t.deviation += startTimeGain * (max(difference, -difference) - t.deviation)
}

// usualStart returns the time within which most requests of a route get their first event, 0 if none was measured.
func (r *Router) usualStart(route *fleet.Route) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.startTimes[route.Name]
	if t == nil {
		return 0
	}
	usual := time.Duration((t.mean + t.deviation) * float64(time.Second))
	if route.Objective > 0 {
		usual = min(usual, time.Duration(maxStartShare*float64(route.Objective)))
	}
	return usual
}

// ranks reports whether the requests of an upstream wait in the order of their rank.
func (r *Router) ranks(upstream core.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ranked[upstream] != nil
}

func (r *Router) queueOf(upstream core.Upstream) *waitQueue {
	l := r.queues[upstream]
	if l == nil {
		l = &waitQueue{queue: waiting.NewQueue(r.cfg.Waiting), waiters: make(map[waiting.ID]*waiter)}
		r.queues[upstream] = l
	}
	return l
}

// await queues a request and delivers its result once there is one, perhaps at once.
func (r *Router) await(w *waiter, first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, l := r.now(), r.queueOf(w.request.Upstream)
	r.lastWaiter++
	w.id, w.item.ID = r.lastWaiter, r.lastWaiter
	if first {
		l.queue.Arrived(now, workload.RankAt(now, w.item.Request))
	}
	l.waiters[w.id] = w
	w.queuedAt, w.timedAt = now, now
	l.queue.Add(now, w.item)
	l.checkedAt = now
	r.advance(l)
	r.review(l, w)
	if state, waits := l.queue.State(w.id); waits {
		w.forecast = state.Forecast
	}
}

// leave removes a request that does not wait any longer. If it has a replica already, the caller gets it by deliver.
func (r *Router) leave(w *waiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.queueOf(w.request.Upstream)
	delete(l.waiters, w.id)
	l.queue.Remove(w.id)
}

// check refuses the waiting requests whose time has passed, starts what can be started, and returns the time of the next check. minVersion
// and nextMinVersion are the versions that are required of a replica by now.
func (r *Router) check(w *waiter, minVersion, nextMinVersion int64) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, l := r.now(), r.queueOf(w.request.Upstream)
	w.request.MinVersion, w.request.NextMinVersion = minVersion, nextMinVersion
	if l.mustCheck(w, now) {
		l.checkedAt = now
		r.advance(l)
		r.review(l, w)
	}
	next := now.Add(waitCheckInterval)
	if state, waits := l.queue.State(w.id); waits && state.Until.Before(next) {
		next = state.Until
	}
	if w.heldUntil.After(now) && w.heldUntil.Before(next) {
		next = w.heldUntil
	}
	return next
}

// mustCheck reports whether the requests of the line must be checked when the timer of w fires: some time after the last check, or if
// since then the time up to which w may wait, or that from which a replica takes requests, has come.
func (l *waitQueue) mustCheck(w *waiter, now time.Time) bool {
	if now.Sub(l.checkedAt) >= lineCheckInterval || w.heldUntil.After(l.checkedAt) && !w.heldUntil.After(now) {
		return true
	}
	state, waits := l.queue.State(w.id)
	return waits && !now.Before(state.Until)
}

// startWaiting starts the waiting requests for which there is a replica now; the caller must hold the lock.
func (r *Router) startWaiting() {
	for _, l := range r.queues {
		if l.queue.Len() > 0 {
			r.advance(l)
		}
	}
}

// resetQueues makes all waiting requests be checked against the new configuration; the caller must hold the lock.
func (r *Router) resetQueues() {
	for upstream, l := range r.queues {
		for id, w := range l.waiters {
			delete(l.waiters, id)
			l.queue.Remove(id)
			w.deliver(waitResult{recheck: true})
		}
		if r.ranked[upstream] == nil {
			delete(r.queues, upstream)
		}
	}
}

// advance chooses replicas for the waiting requests in their order; the caller must hold the lock.
func (r *Router) advance(l *waitQueue) {
	now := r.now()
	var full []*waiter
	for _, next := range l.queue.Order(now) {
		w := l.waiters[next.ID]
		w.request.Late, w.request.Guaranteed = next.Rank.Lost, next.Guaranteed
		if i := slices.IndexFunc(full, func(other *waiter) bool { return other.blocks(w) }); i >= 0 {
			w.verdict, w.heldUntil = full[i].verdict, full[i].heldUntil
			continue
		}
		w.updateTimeLeft(now)
		choice, verdict := r.balancer.Pick(now, w.request)
		if verdict != dispatch.VerdictChosen {
			w.verdict, w.heldUntil = verdict, choice.HeldUntil
			full = append(full, w)
			continue
		}
		delete(l.waiters, w.id)
		l.queue.Started(now, w.id, next.Rank.Level)
		w.deliver(waitResult{choice: choice, verdict: verdict, late: next.Rank.Lost})
	}
}

// blocks reports whether no replica takes another request either, since it takes none of w: nothing but the size differs. A request that
// may run only once is also kept from replicas at which it would exceed its deadline, so it blocks only such requests with less time.
func (w *waiter) blocks(other *waiter) bool {
	a, b := &w.request, &other.request
	return a.Priority <= b.Priority && (b.Late || !a.Late) && (a.Guaranteed || !b.Guaranteed) &&
		(!a.Once || b.Once && b.DeadlineLeft <= a.DeadlineLeft) &&
		a.Model == b.Model && a.MinVersion == b.MinVersion && a.NextMinVersion == b.NextMinVersion && a.Only == b.Only &&
		slices.Equal(a.RouteRegions, b.RouteRegions) && slices.Equal(a.TeamRegions, b.TeamRegions) && isSubset(a.Exclude, b.Exclude)
}

func isSubset(part, whole []fleet.ReplicaID) bool {
	for _, id := range part {
		if !slices.Contains(whole, id) {
			return false
		}
	}
	return true
}

// review refuses the requests that may not wait any longer, and w if no replica takes one of this host within its time; the caller must
// hold the lock.
func (r *Router) review(l *waitQueue, w *waiter) {
	now := r.now()
	for _, refusal := range l.queue.Review(now) {
		r.refuse(l, refusal)
	}
	state, waits := l.queue.State(w.id)
	held := w.verdict == dispatch.VerdictHeldOff || w.verdict == dispatch.VerdictLimited
	if waits && held && w.heldUntil.After(state.Until) {
		l.queue.Remove(w.id)
		r.refuse(l, waiting.Refusal{ID: w.id, Reason: waiting.ReasonHeldOff, Rank: state.Rank, Forecast: w.heldUntil.Sub(now)})
	}
}

// refuse ends the wait of a request that was removed from the queue; the caller must hold the lock.
func (r *Router) refuse(l *waitQueue, refusal waiting.Refusal) {
	now, w := r.now(), l.waiters[refusal.ID]
	delete(l.waiters, refusal.ID)
	w.deliver(waitResult{
		choice: dispatch.Choice{HeldUntil: w.heldUntil}, verdict: w.verdict, refusal: refusal,
		retryAfter: l.queue.RetryAfter(now, w.item.Request, r.random.Float64()),
		reportAge:  r.balancer.ReportAge(now, w.request.Upstream),
	})
}
