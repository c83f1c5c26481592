package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/limits"
	"github.com/guavatrestle/guavatrestle/coordination/routing"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
	"github.com/guavatrestle/guavatrestle/transport"
)

// dispatchInterval is the time after which the queues are checked without an event. These checks find agents that have
// become eligible because a grant expired, and requests that have waited too long.
const dispatchInterval = 50 * time.Millisecond

// dispatcher holds a token bucket per team and a fair queue per upstream.
type dispatcher struct {
	mu      sync.Mutex
	buckets map[core.Team]*limits.Bucket
	queues  map[core.Upstream]*upstreamQueue
	lastID  limits.ItemID
}

type upstreamQueue struct {
	fair    *limits.Queue
	waiters map[limits.ItemID]*waiter
}

// waiter is a queued request. The result channel is buffered, so that sending its only result never blocks.
type waiter struct {
	route  routing.Request
	class  string
	result chan reservation
}

// reservation is a slot at an agent, or the error that explains why there is none.
type reservation struct {
	agent core.AgentStatus
	err   error
}

func newDispatcher() *dispatcher {
	return &dispatcher{
		buckets: make(map[core.Team]*limits.Bucket),
		queues:  make(map[core.Upstream]*upstreamQueue),
	}
}

// takeRateToken takes a token from the team's bucket, or returns a refusal if there is none.
func (h *Handler) takeRateToken(team core.Team, limit settings.TeamLimits) error {
	d, now := h.dispatch, h.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	bucket, ok := d.buckets[team]
	if !ok {
		bucket = limits.NewBucket(now, limit.RequestsPerSecond, limit.Burst)
		d.buckets[team] = bucket
	}
	bucket.Configure(now, limit.RequestsPerSecond, limit.Burst)
	if wait, ok := bucket.Take(now); !ok {
		return transport.Errorf(http.StatusTooManyRequests, api.CodeTeamLimit, api.RunNotRun,
			"team %q exceeds its limit of %g requests per second", team, limit.RequestsPerSecond).WithRetryAfter(wait)
	}
	return nil
}

// acquireSlot waits in the fair queue for a slot at an agent. The slot is released by Finish of the upstreams table.
func (h *Handler) acquireSlot(ctx context.Context, c call) (core.AgentStatus, error) {
	if !h.anyEligible(c.route) {
		return core.AgentStatus{}, noCapacity("no agent of upstream %q can serve the request", c.route.Upstream)
	}
	id, waiting, err := h.enqueue(c)
	if err != nil {
		return core.AgentStatus{}, err
	}
	select {
	case result := <-waiting.result:
		return result.agent, result.err
	case <-ctx.Done():
		h.cancelWait(c.route.Upstream, id, waiting)
		return core.AgentStatus{}, waitError(ctx)
	}
}

func (h *Handler) anyEligible(request routing.Request) bool {
	snapshot := h.snapshot()
	return h.upstreams.Any(request.Upstream, func(agent *core.AgentStatus) bool {
		return routing.Eligible(&snapshot, &request, agent)
	})
}

// enqueue reserves a slot at once if the queue is empty and an agent has one, and otherwise queues the request.
func (h *Handler) enqueue(c call) (limits.ItemID, *waiter, error) {
	d := h.dispatch
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	queue := d.queue(c.route.Upstream, h.tuning)
	waiting := &waiter{route: c.route, class: routeClass(c.route), result: make(chan reservation, 1)}
	if queue.fair.Len() == 0 {
		if agent, ok := h.reserveAgent(c.route); ok {
			waiting.result <- reservation{agent: agent}
			return d.lastID, waiting, nil
		}
	}
	item := limits.Item{ID: d.lastID, Team: c.team, Weight: c.weight, TeamQueueLimit: c.queueLength, Deadline: c.deadline}
	if reason, retryAfter := queue.fair.Push(h.now(), item); reason != limits.ReasonNone {
		return 0, nil, queueError(c, reason, retryAfter)
	}
	queue.waiters[d.lastID] = waiting
	h.assignSlots(queue)
	return d.lastID, waiting, nil
}

// cancelWait removes a request from the queue and releases a slot that it was given at the same time.
func (h *Handler) cancelWait(upstream core.Upstream, id limits.ItemID, waiting *waiter) {
	d := h.dispatch
	d.mu.Lock()
	if queue := d.queues[upstream]; queue != nil {
		queue.fair.Cancel(id)
		delete(queue.waiters, id)
	}
	d.mu.Unlock()
	select {
	case result := <-waiting.result:
		if result.err == nil {
			h.upstreams.Finish(result.agent.Host.ID)
		}
	default:
	}
}

// HasQueuedRequests reports whether any request waits for a slot.
func (h *Handler) HasQueuedRequests() bool {
	d := h.dispatch
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, queue := range d.queues {
		if queue.fair.Len() > 0 {
			return true
		}
	}
	return false
}

// Run assigns slots to queued requests as they become free, until ctx ends.
func (h *Handler) Run(ctx context.Context) {
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	for {
		changed := h.upstreams.Changed()
		h.updateQueues()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
			h.retireUnlistedTransports()
		}
	}
}

// retireUnlistedTransports retires the transports of agents that are no longer listed.
func (h *Handler) retireUnlistedTransports() {
	listed := make(map[string]bool)
	for _, agent := range h.upstreams.List() {
		listed[agent.Host.DataAddr] = true
	}
	h.pool.retireExcept(listed)
}

// updateQueues drops the buckets of removed teams, assigns free slots and refuses requests that waited too long.
func (h *Handler) updateQueues() {
	teams := h.settings.Tree().Teams
	d := h.dispatch
	d.mu.Lock()
	defer d.mu.Unlock()
	for team := range d.buckets {
		if _, ok := teams[team]; !ok {
			delete(d.buckets, team)
		}
	}
	for upstream, queue := range d.queues {
		h.assignSlots(queue)
		h.expireQueue(upstream, queue)
		if queue.fair.Len() == 0 {
			delete(d.queues, upstream)
		}
	}
}

// assignSlots assigns free slots to requests in fair order. Once a request gets no slot, the others of its class are
// skipped, so that requests for one version do not hold back those for another.
func (h *Handler) assignSlots(queue *upstreamQueue) {
	unserved := make(map[string]bool)
	for _, id := range queue.fair.Order() {
		waiting := queue.waiters[id]
		if unserved[waiting.class] {
			continue
		}
		agent, ok := h.reserveAgent(waiting.route)
		if !ok {
			unserved[waiting.class] = true
			continue
		}
		queue.fair.Dequeue(h.now(), id)
		delete(queue.waiters, id)
		waiting.result <- reservation{agent: agent}
	}
}

func (h *Handler) expireQueue(upstream core.Upstream, queue *upstreamQueue) {
	now := h.now()
	for _, id := range queue.fair.Expire(now) {
		waiting := queue.waiters[id]
		delete(queue.waiters, id)
		waiting.result <- reservation{err: transport.Errorf(http.StatusServiceUnavailable, api.CodeNoCapacity, api.RunNotRun,
			"no agent of upstream %q had a free slot within the queue wait", upstream).WithRetryAfter(queue.fair.RetryAfter(now))}
	}
}

func (d *dispatcher) queue(upstream core.Upstream, tuning Tuning) *upstreamQueue {
	queue, ok := d.queues[upstream]
	if !ok {
		cfg := limits.QueueConfig{MaxWait: tuning.MaxQueueWait, MinServiceTime: tuning.MinServiceTime}
		queue = &upstreamQueue{fair: limits.NewQueue(cfg), waiters: make(map[limits.ItemID]*waiter)}
		d.queues[upstream] = queue
	}
	return queue
}

// routeClass returns a key that is equal for requests that the same agents can serve.
func routeClass(route routing.Request) string {
	parts := []string{string(route.Digest)}
	for _, domain := range route.FailureDomains {
		parts = append(parts, string(domain))
	}
	parts = append(parts, "")
	for _, host := range route.Exclude {
		parts = append(parts, string(host))
	}
	return strings.Join(parts, "\x00")
}

func queueError(c call, reason limits.Reason, retryAfter time.Duration) error {
	if reason == limits.ReasonTeamQueueFull {
		return transport.Errorf(http.StatusTooManyRequests, api.CodeTeamLimit, api.RunNotRun,
			"team %q already has %d requests queued for upstream %q", c.team, c.queueLength, c.route.Upstream).WithRetryAfter(retryAfter)
	}
	return noCapacity("upstream %q is not expected to serve the request before its deadline", c.route.Upstream).WithRetryAfter(retryAfter)
}

func noCapacity(format string, args ...any) *transport.Error {
	return transport.Errorf(http.StatusServiceUnavailable, api.CodeNoCapacity, api.RunNotRun, format, args...).
		WithRetryAfter(capacityRetryAfter)
}

func waitError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return transport.Errorf(http.StatusGatewayTimeout, api.CodeDeadlineExceeded, api.RunNotRun, "the request deadline passed before the request was sent")
	}
	return transport.Errorf(http.StatusServiceUnavailable, api.CodeNoCapacity, api.RunNotRun, "the caller disconnected before the request was sent")
}
