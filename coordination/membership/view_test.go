package membership_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavatrestle/guavatrestle/coordination/membership"
	"github.com/guavatrestle/guavatrestle/coordination/merge"
	"github.com/guavatrestle/guavatrestle/internal/proptest"
	"github.com/guavatrestle/guavatrestle/state/core"
)

func TestMain(m *testing.M) { proptest.Main(m) }

var ids = []core.HostID{"h0", "h1", "h2", "h3"}

// cluster is a state machine of processes that start, leave and die, read a host list that lags, and exchange records over a
// network that loses, duplicates and reorders messages, in virtual time.
//
// The oracle is the actual state of the processes.
type cluster struct {
	now    time.Time
	views  map[core.HostID]*membership.View
	actual map[core.HostID]core.Host
	// listStates are all states of the host list, oldest first.
	listStates []listState
	starts     int
	// network holds messages in transit.
	network []message
	// leavingSeen holds the incarnations that each view has shown as leaving.
	leavingSeen map[*membership.View]map[core.Incarnation]bool
}

// listState is one state of the host list and the time at which it began.
type listState struct {
	since time.Time
	hosts []core.Host
}

// maxDelay bounds the age of a host list that is read and of a message that is delivered.
const maxDelay = time.Minute

type message struct {
	sent    time.Time
	to      core.HostID
	records []membership.Record
}

func newCluster() *cluster {
	c := &cluster{
		now: time.Unix(1e6, 0), views: make(map[core.HostID]*membership.View), actual: make(map[core.HostID]core.Host),
		leavingSeen: make(map[*membership.View]map[core.Incarnation]bool),
	}
	for _, id := range ids {
		c.start(id)
	}
	return c
}

func (c *cluster) start(id core.HostID) {
	c.starts++
	host := core.Host{ID: id, Incarnation: core.Incarnation(fmt.Sprint("run", c.starts)), FailureDomain: "a", ControlAddr: string(id), State: core.HostLive}
	c.actual[id] = host
	c.views[id] = membership.NewView(host, c.now)
	c.leavingSeen[c.views[id]] = make(map[core.Incarnation]bool)
	c.appendListState()
}

func (c *cluster) appendListState() {
	c.listStates = append(c.listStates, listState{since: c.now, hosts: slices.Collect(maps.Values(c.actual))})
}

func (c *cluster) running() []core.HostID { return slices.Sorted(maps.Keys(c.actual)) }

func (c *cluster) anyRunning(t *rapid.T, label string) core.HostID {
	return rapid.SampledFrom(c.running()).Draw(t, label)
}

// Restart replaces a process by a new one at its address, without notice.
func (c *cluster) Restart(t *rapid.T) { c.start(rapid.SampledFrom(ids).Draw(t, "host")) }

// Die ends a process without notice.
func (c *cluster) Die(t *rapid.T) {
	if len(c.actual) < 2 {
		return
	}
	id := c.anyRunning(t, "host")
	delete(c.actual, id)
	delete(c.views, id)
	c.appendListState()
}

// Leave makes a process announce that it is leaving.
func (c *cluster) Leave(t *rapid.T) {
	id := c.anyRunning(t, "host")
	record := c.views[id].Leave(c.now)
	host := c.actual[id]
	host.State = core.HostLeaving
	c.actual[id] = host
	c.appendListState()
	c.network = append(c.network, message{sent: c.now, to: c.anyRunning(t, "to"), records: []membership.Record{record}})
}

// Read makes a process read a host list that may be outdated.
func (c *cluster) Read(t *rapid.T) {
	oldest := len(c.listStates) - 1
	for oldest > 0 && c.now.Sub(c.listStates[oldest].since) < maxDelay {
		oldest--
	}
	state := rapid.IntRange(oldest, len(c.listStates)-1).Draw(t, "list")
	c.views[c.anyRunning(t, "host")].ApplyHostList(c.listStates[state].hosts, c.now)
}

// Send sends all records of one process to another.
func (c *cluster) Send(t *rapid.T) {
	from, to := c.anyRunning(t, "from"), c.anyRunning(t, "to")
	c.network = append(c.network, message{sent: c.now, to: to, records: c.views[from].RecordsFor(keys(c.views[from].Items(c.now)), len(ids))})
}

// Deliver delivers any message and may leave it on the network to be delivered again.
func (c *cluster) Deliver(t *rapid.T) {
	c.network = slices.DeleteFunc(c.network, func(m message) bool { return c.now.Sub(m.sent) > maxDelay })
	if len(c.network) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.network)-1).Draw(t, "message")
	m := c.network[i]
	if !rapid.Bool().Draw(t, "repeat") {
		c.network = slices.Delete(c.network, i, i+1)
	}
	if view, ok := c.views[m.to]; ok {
		view.Merge(m.records, c.now)
	}
}

// Wait advances the clock.
func (c *cluster) Wait(t *rapid.T) {
	c.now = c.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
}

// Check verifies that each view shows its own process as it is and shows no process as live that it has shown as leaving.
func (c *cluster) Check(t *rapid.T) {
	for id, view := range c.views {
		for _, host := range view.Hosts() {
			if host.ID == id && host != c.actual[id] {
				t.Fatalf("%s shows itself as %+v, is %+v", id, host, c.actual[id])
			}
			if host.State == core.HostLeaving {
				c.leavingSeen[view][host.Incarnation] = true
			}
			if host.State == core.HostLive && c.leavingSeen[view][host.Incarnation] {
				t.Fatalf("%s shows %s as live after it was leaving", id, host.Incarnation)
			}
		}
	}
}

// converge lets every process read the newest list over several grace periods and exchange records, and checks the views.
func (c *cluster) converge(t *rapid.T) {
	for range 3 {
		c.now = c.now.Add(membership.ListGracePeriod)
		for _, id := range c.running() {
			c.views[id].ApplyHostList(c.listStates[len(c.listStates)-1].hosts, c.now)
		}
		for range 2 {
			for _, from := range c.running() {
				for _, to := range c.running() {
					c.exchange(from, to)
				}
			}
		}
	}
	want := slices.Collect(maps.Values(c.actual))
	slices.SortFunc(want, func(a, b core.Host) int { return int(a.ID[1]) - int(b.ID[1]) })
	for id, view := range c.views {
		if got := view.Hosts(); !slices.Equal(got, want) {
			t.Fatalf("%s shows %+v after all exchanges, want %+v", id, got, want)
		}
	}
}

func (c *cluster) exchange(from, to core.HostID) {
	send, want := merge.Compare(c.views[from].Items(c.now), c.views[to].Items(c.now))
	c.views[to].Merge(c.views[from].RecordsFor(send, len(ids)), c.now)
	c.views[from].Merge(c.views[to].RecordsFor(want, len(ids)), c.now)
}

func keys(items []merge.Item) []string {
	var out []string
	for _, item := range items {
		out = append(out, item.Key)
	}
	return out
}

// TestViewsConvergeOnRunningProcesses guards against a dead host that is never removed, a leaving process that becomes live
// again, and an old process that is mistaken for the new one at its address.
func TestViewsConvergeOnRunningProcesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster()
		t.Repeat(rapid.StateMachineActions(c))
		c.converge(t)
		c.Check(t)
	})
}

// TestStaleHostListRemovesNoNewHost guards against a host that has just started and is removed because a lagging host list
// does not show it yet.
func TestStaleHostListRemovesNoNewHost(t *testing.T) {
	now := time.Unix(1000, 0)
	old := core.Host{ID: "old", State: core.HostLive}
	newHost := membership.NewView(core.Host{ID: "fresh", State: core.HostLive}, now)
	reader := membership.NewView(core.Host{ID: "reader", State: core.HostLive}, now)
	reader.Merge(newHost.RecordsFor([]string{"fresh"}, 1), now)
	require.Len(t, reader.ApplyHostList([]core.Host{old}, now), 1)
	for range 10 {
		require.Empty(t, reader.ApplyHostList([]core.Host{old}, now))
		now = now.Add(time.Second)
	}
	require.Len(t, reader.Hosts(), 3)
}

// TestOutdatedListRevivesNoProcess guards against lists read out of order that show a process as live again after it left
// and another one was listed at its address.
func TestOutdatedListRevivesNoProcess(t *testing.T) {
	now := time.Unix(1000, 0)
	v := membership.NewView(core.Host{ID: "self", State: core.HostLive}, now)
	first := core.Host{ID: "x", Incarnation: "run1", State: core.HostLive}
	second := core.Host{ID: "x", Incarnation: "run2", State: core.HostLive}
	leaving := second
	leaving.State = core.HostLeaving
	for _, host := range []core.Host{second, leaving, first, second} {
		v.ApplyHostList([]core.Host{host}, now)
		now = now.Add(time.Second)
	}
	require.NotContains(t, v.Hosts(), second)
}

// TestGoneHostIsForgotten guards against records of gone hosts that accumulate or are restored from an old copy.
func TestGoneHostIsForgotten(t *testing.T) {
	now := time.Unix(1e6, 0)
	v := membership.NewView(core.Host{ID: "self", State: core.HostLive}, now)
	v.ApplyHostList([]core.Host{{ID: "x", State: core.HostLive}}, now)
	old := v.RecordsFor([]string{"x"}, 1)
	gone := v.ApplyHostList(nil, now.Add(time.Second))
	require.Len(t, gone, 1)
	require.True(t, gone[0].Gone)
	require.Empty(t, v.Merge(old, now.Add(2*time.Second)))
	later := now.Add(membership.GoneRecordRetention + time.Minute)
	require.Empty(t, v.Merge(gone, later))
	require.Len(t, v.Items(later), 1)
}

// TestRankIsStableAndPushReachesEachHostOnce guards against an order of the remaining hosts that changes when a host leaves, and
// against push trees that miss or repeat a host.
func TestRankIsStableAndPushReachesEachHostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []core.Host
		for i := range rapid.IntRange(1, 60).Draw(t, "hosts") {
			hosts = append(hosts, core.Host{ID: core.HostID(fmt.Sprint("h", i)), FailureDomain: "a", State: core.HostLive})
		}
		fanout := rapid.IntRange(1, 8).Draw(t, "fanout")
		order := membership.Rank(hosts, "a", "salt")
		remaining := slices.DeleteFunc(slices.Clone(order), func(h core.Host) bool { return h.ID == "h0" })
		if !slices.Equal(remaining, membership.Rank(hosts[1:], "a", "salt")) {
			t.Fatal("the order of the remaining hosts changed when a host left")
		}
		reached := make(map[core.HostID]int)
		for _, h := range membership.Roots(order, fanout) {
			reached[h.ID]++
		}
		for i := range order {
			for _, h := range membership.Children(order, i, fanout) {
				reached[h.ID]++
			}
		}
		for _, h := range hosts {
			if reached[h.ID] != 1 {
				t.Fatalf("%s is reached %d times", h.ID, reached[h.ID])
			}
		}
	})
}

// TestSampleIsDistinctAndFiltered guards against a host that is chosen twice or that the filter excludes.
func TestSampleIsDistinctAndFiltered(t *testing.T) {
	hosts := []core.Host{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	got := membership.Sample(hosts, 5, rand.New(rand.NewPCG(1, 1)), func(h core.Host) bool { return h.ID != "b" })
	require.Len(t, got, 2)
	require.NotEqual(t, got[0].ID, got[1].ID)
}
