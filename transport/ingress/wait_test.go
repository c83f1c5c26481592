package ingress

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/coordination/quarantine"
	"github.com/guavatrestle/guavatrestle/coordination/waiting"
	"github.com/guavatrestle/guavatrestle/coordination/workload"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/protocol/headers"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// waitFixture is an entry without a network, with one replica of one slot and routes of three priorities.
type waitFixture struct {
	router *Router
	table  *fleet.Table
	now    time.Time
	view   *fleet.View
	age    time.Duration
	stops  time.Time
	h      *Handler
}

func newWaitFixture(priorities ...int) *waitFixture {
	f := &waitFixture{table: fleet.NewTable(), now: time.Unix(1000, 0)}
	cfg := DefaultConfig()
	cfg.Dispatch.Overcommit = 0
	cfg.MaxKeyAge, cfg.OldVersionGrace = 4*time.Second, 3*time.Second
	f.router = NewRouter(cfg, rand.New(rand.NewPCG(1, 1)), func() time.Time { return f.now })
	f.h = NewHandler(Dependencies{
		Config: cfg, Headers: headers.Names{Model: "Model"},
		Current: func() (*fleet.View, time.Duration) { return f.view, f.age },
		Leaving: func() bool { return false }, StopsAt: func() time.Time { return f.stops },
		Now: func() time.Time { return f.now }, Log: logrus.NewEntry(logrus.New()),
	}, f.router)
	f.table.SetReplica(f.now, 1, &fleet.Replica{
		ID: "r1", Upstream: simUpstream, Address: "r1", Slots: 1, Born: 1, Models: []fleet.LoadedModel{{Model: "m", Version: 1, Layers: 2}},
	})
	f.configure("key", priorities...)
	return f
}

// configure replaces the configuration by one with a route for each priority and a team with a key.
func (f *waitFixture) configure(key string, priorities ...int) {
	configuration := &fleet.Configuration{
		Version:   1,
		Upstreams: map[core.Upstream]fleet.UpstreamSpec{simUpstream: {Name: simUpstream, Engine: &fleet.EngineSpec{Layers: 2}}},
		Teams:     []fleet.Team{{Name: "blue", Keys: []string{key}}},
	}
	if f.view != nil {
		configuration.Version = f.view.Configuration.Version + 1
	}
	for _, priority := range priorities {
		configuration.Routes = append(configuration.Routes, fleet.Route{
			Name: strconv.Itoa(priority), Host: "a", PathPrefix: "/" + strconv.Itoa(priority), Kind: fleet.KindStreaming, Attempts: 2,
			Priority: priority, Objective: 400 * time.Millisecond, Targets: []fleet.Target{{Upstream: simUpstream, Weight: 1}},
		})
	}
	f.table.SetConfiguration(configuration)
	f.publish()
}

func (f *waitFixture) publish() {
	f.view = f.table.View()
	f.router.SetView(f.view)
}

// call returns a request of a priority that has arrived.
func (f *waitFixture) call(t *testing.T, priority int) *call {
	t.Helper()
	r := httptest.NewRequest("POST", "http://a/"+strconv.Itoa(priority), nil)
	r.Header.Set("Authorization", "Bearer key")
	r.Header.Set("Model", "m")
	c := &call{h: f.h, w: httptest.NewRecorder(), r: r, arrived: f.now, view: f.view, deadline: f.now.Add(6 * time.Second)}
	c.target = "/" + strconv.Itoa(priority)
	c.route = c.view.Route("a", c.target)
	require.NotNil(t, c.route)
	require.Nil(t, c.authorize())
	c.upstream = simUpstream
	return c
}

// wait queues a request of a priority and returns where its result is put.
func (f *waitFixture) wait(t *testing.T, priority int) *waitResult {
	t.Helper()
	result := &waitResult{}
	w := f.call(t, priority).newWaiter(f.now, quarantine.Decision{})
	w.deliver = func(r waitResult) { *result = r }
	f.router.await(w, true)
	return result
}

// TestFreeSlotGoesToTheHighestRank guards against a slot that goes to the request that has waited longest, or that stays free until a
// timer runs out.
func TestFreeSlotGoesToTheHighestRank(t *testing.T) {
	f := newWaitFixture(0, 1, 2)
	first := f.wait(t, 2)
	require.Equal(t, dispatch.VerdictChosen, first.verdict)
	waiting2, waiting0 := f.wait(t, 2), f.wait(t, 0)
	require.Empty(t, waiting0.verdict)
	f.router.done(first.choice, dispatch.OutcomeServed, time.Millisecond)
	require.Equal(t, dispatch.VerdictChosen, waiting0.verdict)
	require.Empty(t, waiting2.verdict)
	f.router.done(waiting0.choice, dispatch.OutcomeServed, time.Millisecond)
	require.Equal(t, dispatch.VerdictChosen, waiting2.verdict)
}

// TestLoadReportWakesWaitingRequests guards against requests that don't notice the room that a load report shows.
func TestLoadReportWakesWaitingRequests(t *testing.T) {
	f := newWaitFixture(0, 2)
	full := dispatch.Report{Running: 9, Slots: 1}
	f.router.RecordLoad("r1", full)
	result := f.wait(t, 2)
	require.Empty(t, result.verdict)
	f.router.RecordLoad("r1", dispatch.Report{Slots: 1})
	require.Equal(t, dispatch.VerdictChosen, result.verdict)
}

// TestRequestThatMayRunOnceDoesNotBlockOthers guards against requests that wait behind one that is kept from all replicas only because
// it may run once and would exceed its deadline there.
func TestRequestThatMayRunOnceDoesNotBlockOthers(t *testing.T) {
	once := &waiter{request: dispatch.Request{Upstream: simUpstream, Once: true, DeadlineLeft: 200 * time.Millisecond}}
	for name, other := range map[string]struct {
		request dispatch.Request
		blocked bool
	}{
		"may be repeated": {dispatch.Request{Upstream: simUpstream, Priority: 1, DeadlineLeft: 100 * time.Millisecond}, false},
		"later deadline":  {dispatch.Request{Upstream: simUpstream, Priority: 1, Once: true, DeadlineLeft: time.Second}, false},
		"same deadline":   {dispatch.Request{Upstream: simUpstream, Priority: 1, Once: true, DeadlineLeft: 200 * time.Millisecond}, true},
	} {
		require.Equal(t, other.blocked, once.blocks(&waiter{request: other.request}), name)
	}
	repeatable := &waiter{request: dispatch.Request{Upstream: simUpstream}}
	require.True(t, repeatable.blocks(once))
}

// TestStreamsThatMayRunOnceBlockOthers guards against a choice for each of the streams that wait for full engines. Engines take a request
// that may run only once like any other.
func TestStreamsThatMayRunOnceBlockOthers(t *testing.T) {
	f := newWaitFixture(0, 2)
	first := f.call(t, 0)
	require.False(t, first.route.Repeatable())
	f.now = f.now.Add(time.Millisecond)
	second := f.call(t, 2)
	require.True(t, first.newWaiter(f.now, quarantine.Decision{}).blocks(second.newWaiter(f.now, quarantine.Decision{})))
}

// TestNewViewIsCheckedAgain guards against requests that wait under an old configuration.
func TestNewViewIsCheckedAgain(t *testing.T) {
	f := newWaitFixture(0, 2)
	f.wait(t, 0)
	result := f.wait(t, 2)
	f.configure("key", 0, 2)
	require.True(t, result.recheck)
}

// TestWaitUnderAnOldConfigurationEndsNoOther guards against a request that is forgotten in the queue, because one that waited in the line
// before the upstream had a single priority for a while leaves the new line.
func TestWaitUnderAnOldConfigurationEndsNoOther(t *testing.T) {
	f := newWaitFixture(0, 2)
	first := f.wait(t, 0)
	old := f.call(t, 2).newWaiter(f.now, quarantine.Decision{})
	old.deliver = func(waitResult) {}
	f.router.await(old, true)
	f.configure("key", 2)
	f.configure("key", 0, 2)
	results := []*waitResult{f.wait(t, 2), f.wait(t, 2)}
	f.router.leave(old)
	f.router.done(first.choice, dispatch.OutcomeServed, time.Millisecond)
	require.Equal(t, dispatch.VerdictChosen, results[0].verdict)
	f.router.done(results[0].choice, dispatch.OutcomeServed, time.Millisecond)
	require.Equal(t, dispatch.VerdictChosen, results[1].verdict)
}

// TestReplicaThatJoinsIsUsedAtOnce guards against requests that don't notice a new replica, and against a new view without another
// configuration that makes all of them queue again.
func TestReplicaThatJoinsIsUsedAtOnce(t *testing.T) {
	f := newWaitFixture(0, 2)
	f.wait(t, 0)
	result := f.wait(t, 2)
	f.table.SetReplica(f.now, 2, &fleet.Replica{
		ID: "r2", Upstream: simUpstream, Address: "r2", Slots: 1, Born: 1, Models: []fleet.LoadedModel{{Model: "m", Version: 1, Layers: 2}},
	})
	f.publish()
	require.False(t, result.recheck)
	require.EqualValues(t, "r2", result.choice.ID)
}

// TestRequestsThatNoReplicaWantsAreRefusedAtOnce guards against requests that wait although all replicas have said how long they want none.
func TestRequestsThatNoReplicaWantsAreRefusedAtOnce(t *testing.T) {
	f := newWaitFixture(0, 2)
	f.router.holdOff("r1", 20*time.Second)
	result := f.wait(t, 0)
	require.Equal(t, waiting.ReasonHeldOff, result.refusal.Reason)
	require.Equal(t, f.now.Add(20*time.Second), result.choice.HeldUntil)
}

// TestOnePriorityIsServedAsBefore guards against a change for upstreams whose routes have the same priority.
func TestOnePriorityIsServedAsBefore(t *testing.T) {
	f := newWaitFixture(1)
	require.False(t, f.router.ranks(simUpstream))
	require.Nil(t, f.router.PriorityDemand(simUpstream))
	require.Equal(t, 1, f.call(t, 1).enginePriority())
}

// TestSuspendedRequestIsCheckedBeforeItIsSent guards against a request that is sent after its deadline, with a key that may be revoked, on
// an old version or configuration, or by a host that stops, because all of this changed while the process was suspended.
func TestSuspendedRequestIsCheckedBeforeItIsSent(t *testing.T) {
	for name, change := range map[string]func(f *waitFixture){
		"deadline":      func(f *waitFixture) { f.now = f.now.Add(7 * time.Second) },
		"key age":       func(f *waitFixture) { f.age = 5 * time.Second },
		"revoked key":   func(f *waitFixture) { f.configure("other", 0, 2) },
		"removed route": func(f *waitFixture) { f.configure("key", 0, 1) },
		"stop":          func(f *waitFixture) { f.stops = f.now.Add(time.Second) },
	} {
		f := newWaitFixture(0, 2)
		c := f.call(t, 2)
		result := f.wait(t, 2)
		require.Equal(t, dispatch.VerdictChosen, result.verdict)
		taken, err := c.takeChoice(context.Background(), quarantine.Decision{Verdict: quarantine.VerdictSend}, result.choice)
		require.True(t, taken, name)
		require.Nil(t, err, name)
		change(f)
		taken, err = c.takeChoice(context.Background(), quarantine.Decision{Verdict: quarantine.VerdictSend}, result.choice)
		require.False(t, taken, name)
		require.NotNil(t, err, name)
		require.Zero(t, f.router.State()[0].InFlight, "the slot is returned: %s", name)
	}
}

// TestSizeIsCheckedAgainstANewConfiguration guards against a request that is sent to an engine on which it exceeds the memory, because a
// configuration with a smaller cache came while it waited.
func TestSizeIsCheckedAgainstANewConfiguration(t *testing.T) {
	f := newWaitFixture(0, 2)
	f.h.Headers.TokenCounts = "Tokens"
	c := f.call(t, 2)
	c.r.Header.Set("Tokens", "900,200")
	require.Nil(t, c.checkTokens())
	configuration := *f.view.Configuration
	configuration.Version++
	engine := &fleet.EngineSpec{Layers: 2, Performance: &fleet.EnginePerformance{CacheTokens: 1000}}
	configuration.Upstreams = map[core.Upstream]fleet.UpstreamSpec{simUpstream: {Name: simUpstream, Engine: engine}}
	f.table.SetConfiguration(&configuration)
	f.publish()
	_, err := c.awaitReplica(context.Background())
	require.NotNil(t, err)
	require.Equal(t, api.CodeTooManyTokens, err.Code)
}

// TestOutdatedReplicaIsNotUsedAfterAWait guards against a request that starts on a version that became outdated while it waited.
func TestOutdatedReplicaIsNotUsedAfterAWait(t *testing.T) {
	f := newWaitFixture(0, 2)
	c, result := f.call(t, 2), f.wait(t, 2)
	f.table.SetWanted(f.now, fleet.WeightTarget{Model: "m", Version: 2})
	f.publish()
	f.now = f.now.Add(3500 * time.Millisecond)
	taken, err := c.takeChoice(context.Background(), quarantine.Decision{Verdict: quarantine.VerdictSend}, result.choice)
	require.False(t, taken)
	require.Nil(t, err, "another replica may serve it")
}

// TestCallerThatDisconnectsHoldsNoSlot guards against a slot that stays taken for a caller that went away while it waited.
func TestCallerThatDisconnectsHoldsNoSlot(t *testing.T) {
	f := newWaitFixture(0, 2)
	first := f.wait(t, 0)
	c := f.call(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := c.awaitReplica(ctx)
	require.NotNil(t, err)
	f.router.done(first.choice, dispatch.OutcomeServed, time.Millisecond)
	require.Zero(t, f.router.State()[0].InFlight)
	require.Zero(t, f.router.queueOf(simUpstream).queue.Len())
}

// TestRequestIsNotRestrictedToATrialThatEnded guards against a request that waits for the replica of a trial although its prompt has been
// found sound, or that replica has left, and others have room.
func TestRequestIsNotRestrictedToATrialThatEnded(t *testing.T) {
	f := newWaitFixture(0, 2)
	first, c := f.wait(t, 0), f.call(t, 2)
	trial := quarantine.Decision{Verdict: quarantine.VerdictTrial, Key: quarantine.Key{Upstream: simUpstream, Part: "p"}}
	w := c.newWaiter(f.now, trial)
	require.EqualValues(t, "r1", w.request.Only)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	result, err := c.waitInQueue(ctx, w, trial)
	require.Nil(t, err)
	require.True(t, result.recheck, "the prompt has no part in quarantine now")
	require.Zero(t, f.router.queueOf(simUpstream).queue.Len())
	f.router.done(first.choice, dispatch.OutcomeServed, time.Millisecond)
	require.Zero(t, f.router.State()[0].InFlight)
}

// TestEnginePriorityFollowsTheRank guards against a replica's queue in which a request goes before one of a more urgent priority, or one
// that has lost its objective before one of its priority that can still meet it.
func TestEnginePriorityFollowsTheRank(t *testing.T) {
	f := newWaitFixture(0, 1, 2)
	last := -1
	for _, priority := range []int{0, 1, 2} {
		for _, elapsed := range []time.Duration{350 * time.Millisecond, 0, time.Second} {
			c := f.call(t, priority)
			c.elapsed = elapsed
			require.Greater(t, c.enginePriority(), last, "priority %d after %v", priority, elapsed)
			last = c.enginePriority()
		}
	}
	require.LessOrEqual(t, last, maxPriority)
}

// TestEnginePriorityIsValidWithManyPriorities guards against a priority that replicas don't accept if a configuration has more priorities
// than there are values.
func TestEnginePriorityIsValidWithManyPriorities(t *testing.T) {
	priorities := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 20}
	f := newWaitFixture(priorities...)
	last := 0
	for _, priority := range priorities {
		for _, elapsed := range []time.Duration{0, time.Second} {
			c := f.call(t, priority)
			c.elapsed = elapsed
			require.GreaterOrEqual(t, c.enginePriority(), last, "priority %d after %v", priority, elapsed)
			last = c.enginePriority()
		}
	}
	require.Equal(t, maxPriority, last)
}

// TestSlowStartsLeaveTimeToWait guards against new requests that count as late on their arrival, because earlier ones had waited long at
// the replicas: then those that have waited longest go first, and none is served in time.
func TestSlowStartsLeaveTimeToWait(t *testing.T) {
	f := newWaitFixture(0, 2)
	c := f.call(t, 0)
	require.Zero(t, f.router.usualStart(c.route))
	f.router.recordStart(c.route.Name, 10*time.Second)
	require.Less(t, f.router.usualStart(c.route), c.route.Objective)
	require.False(t, workload.RankAt(f.now, c.workload()).Lost)
}

// waitingRouter returns a router with 200 requests that wait for 34 full replicas. *now is its time.
func waitingRouter(now *time.Time) (*Router, []*waiter) {
	s := &simulation{ranked: true, began: *now}
	router := NewRouter(DefaultConfig(), rand.New(rand.NewPCG(1, 1)), func() time.Time { return *now })
	router.SetView(s.view())
	for _, r := range s.replicas {
		router.RecordLoad(r.id, dispatch.Report{Running: 40, Slots: simSlots, Models: []fleet.LoadedModel{}})
	}
	var waiters []*waiter
	for i := range 200 {
		w := &waiter{request: dispatch.Request{Upstream: simUpstream, Priority: i % 3}}
		w.item.Request.Priority, w.item.Request.Arrived, w.item.Request.Deadline = i%3, *now, now.Add(time.Hour)
		w.item.Request.Objective = time.Hour
		w.deliver = func(waitResult) {}
		router.await(w, true)
		waiters = append(waiters, w)
	}
	return router, waiters
}

// TestTimersShareTheChecksOfALine guards against a queue that is checked as a whole for each of its requests, which takes half of the
// processor time of an entry, and against a request whose time has passed that is not refused because of that.
func TestTimersShareTheChecksOfALine(t *testing.T) {
	now := time.Unix(1000, 0)
	router, waiters := waitingRouter(&now)
	l, checks := router.queueOf(simUpstream), 0
	for _, w := range waiters {
		now = now.Add(waitCheckInterval / time.Duration(len(waiters)))
		router.check(w, 0, 0)
		if l.checkedAt.Equal(now) {
			checks++
		}
	}
	require.Equal(t, int(waitCheckInterval/lineCheckInterval), checks)

	var refused waitResult
	last := &waiter{request: dispatch.Request{Upstream: simUpstream}}
	last.item.Request.Arrived, last.item.Request.Deadline = now, now.Add(2*time.Millisecond)
	last.deliver = func(result waitResult) { refused = result }
	router.await(last, true)
	now = router.check(last, 0, 0)
	require.Empty(t, refused.refusal.Reason)
	router.check(last, 0, 0)
	require.Equal(t, waiting.ReasonTimeout, refused.refusal.Reason)
}

// BenchmarkAwait measures a decision while 200 requests wait for 34 full replicas.
func BenchmarkAwait(b *testing.B) {
	now := time.Unix(1000, 0)
	router, _ := waitingRouter(&now)
	b.ResetTimer()
	for range b.N {
		router.RecordLoad("r1", dispatch.Report{Running: 40, Slots: simSlots, Models: []fleet.LoadedModel{}})
	}
}

// BenchmarkCheck measures a periodic check of one of 200 waiting requests, each of which is checked every 100 ms.
func BenchmarkCheck(b *testing.B) {
	now := time.Unix(1000, 0)
	router, waiters := waitingRouter(&now)
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(waitCheckInterval / time.Duration(len(waiters)))
		router.check(waiters[i%len(waiters)], 0, 0)
	}
}
