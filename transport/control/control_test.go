package control

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/guavatrestle/guavatrestle/internal/objecttest"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
	"github.com/guavatrestle/guavatrestle/state/table"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// hostList serves a fixed list, or fails.
type hostList struct {
	hosts []core.Host
	down  bool
	calls int
}

func (l *hostList) Hosts(context.Context) ([]core.Host, error) {
	l.calls++
	if l.down {
		return nil, protocol.Errorf(protocol.CodeUnavailable, "the host list is down")
	}
	return l.hosts, nil
}

// fleet is a set of nodes that reach each other over loopback, and whose loops the test steps itself.
type fleet struct {
	t     *testing.T
	store *objecttest.Store
	list  *hostList
	now   time.Time
	nodes []*Node
	pool  pond.Pool
	stop  []func()
}

func newFleet(t *testing.T, domains ...core.FailureDomain) *fleet {
	f := &fleet{t: t, store: objecttest.New(), list: &hostList{}, now: time.Unix(1000, 0), pool: pond.NewPool(4)}
	for i, domain := range domains {
		f.add(core.HostID("h"+strconv.Itoa(i)), domain)
	}
	client := f.nodes[0].Client
	t.Cleanup(func() {
		f.pool.StopAndWait()
		client.CloseIdleConnections()
		for _, stop := range f.stop {
			stop()
		}
	})
	return f
}

func (f *fleet) add(id core.HostID, domain core.FailureDomain) *Node {
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	self := core.Host{
		ID: id, Incarnation: core.Incarnation(id + "-1"), Role: core.RoleAgent, FailureDomain: domain,
		ControlAddr: strings.TrimPrefix(server.URL, "http://"), State: core.HostLive,
	}
	logger := logrus.New()
	logger.SetOutput(&bytes.Buffer{})
	n := New(Parts{
		Self: self, Config: config.Default().Spread, Settings: table.NewSettings(), Members: table.NewMembers(),
		Store: f.store, Hosts: f.list, HostListInterval: time.Second, Client: server.Client(),
		Random: rand.New(rand.NewPCG(1, uint64(len(f.nodes)))), Now: func() time.Time { return f.now },
		Log: logrus.NewEntry(logger),
	})
	mux.Handle(wire.SettingsPathPrefix, wire.NewSettingsServer(n))
	f.list.hosts = append(f.list.hosts, self)
	f.nodes = append(f.nodes, n)
	f.stop = append(f.stop, server.Close)
	return n
}

func (f *fleet) readLists() {
	for _, n := range f.nodes {
		require.NoError(f.t, n.readHosts(context.Background()))
	}
}

// drain pushes queued jobs until none is left.
func (f *fleet) drain() {
	for again := true; again; {
		again = false
		for _, n := range f.nodes {
			select {
			case j := <-n.jobs:
				again = true
				n.pushAll(context.Background(), f.pool, j, 0)
				f.pool.StopAndWait()
				f.pool = pond.NewPool(4)
			default:
			}
		}
	}
}

func (f *fleet) watchers(domain core.FailureDomain) []*Node {
	var found []*Node
	for _, n := range f.nodes {
		if n.Self.FailureDomain == domain && n.isWatcher() {
			found = append(found, n)
		}
	}
	return found
}

func doc(name string, version uint64) settings.Document {
	return settings.Document{Path: "/failure-domains/" + name, Version: version, Body: json.RawMessage(`{"region":"r","state":"out"}`)}
}

func (f *fleet) holders(path string, version uint64) int {
	count := 0
	for _, n := range f.nodes {
		for _, d := range n.Settings.Documents() {
			if d.Path == path && d.Version == version {
				count++
			}
		}
	}
	return count
}

func repeat(domain core.FailureDomain, n int) []core.FailureDomain {
	out := make([]core.FailureDomain, n)
	for i := range out {
		out[i] = domain
	}
	return out
}

// TestPushReachesWholeDomainAroundDeadHosts guards against a push tree that stops at a host that is gone.
func TestPushReachesWholeDomainAroundDeadHosts(t *testing.T) {
	f := newFleet(t, repeat("a", 30)...)
	f.readLists()
	for _, n := range f.nodes {
		n.Config.PushFanout = 2
	}
	f.drain()
	dead := f.nodes[3]
	f.stop[3]()
	watcher := f.watchers("a")[0]
	require.NotEqual(t, dead, watcher)
	watcher.PushDocuments(context.Background(), watcher.takeDocuments([]settings.Document{doc("x", 1)}))
	f.drain()
	require.Equal(t, 29, f.holders("/failure-domains/x", 1))
}

// TestExchangeClosesGapsBothWays guards against a document or a leaving host that only a push would carry.
func TestExchangeClosesGapsBothWays(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.readLists()
	f.nodes[0].takeDocuments([]settings.Document{doc("x", 2), doc("y", 1)})
	f.nodes[1].takeDocuments([]settings.Document{doc("x", 1), doc("z", 1)})
	f.nodes[1].mu.Lock()
	f.nodes[1].view.Leave(f.now)
	f.nodes[1].mu.Unlock()
	require.NoError(t, f.nodes[0].exchangeWith(context.Background(), f.nodes[1].Self))
	require.Equal(t, f.nodes[0].Settings.Documents(), f.nodes[1].Settings.Documents())
	require.Len(t, f.nodes[0].Settings.Documents(), 3)
	for _, host := range f.nodes[0].Members.List() {
		require.Equal(t, host.ID == "h1", host.State == core.HostLeaving)
	}
}

// TestOnlyWatchersUseThePlatform guards against a fleet whose every process lists and watches.
func TestOnlyWatchersUseThePlatform(t *testing.T) {
	f := newFleet(t, append(repeat("a", 10), repeat("b", 10)...)...)
	for _, n := range f.nodes {
		require.False(t, n.isWatcher(), "a process that knows no hosts takes itself for a watcher")
	}
	f.readLists()
	require.Len(t, f.watchers("a"), 2)
	require.Len(t, f.watchers("b"), 2)
	for _, n := range f.nodes {
		require.Equal(t, n.isWatcher(), n.readsHosts())
	}
}

// TestDeadAndCutOffWatchersAreReplaced guards against a failure domain whose watchers are gone or cut off.
func TestDeadAndCutOffWatchersAreReplaced(t *testing.T) {
	f := newFleet(t, repeat("a", 8)...)
	f.readLists()
	first := f.watchers("a")
	for _, n := range f.nodes {
		n.Members.MarkUnreachable(first[0].Self.ID)
	}
	first[0].Members.MarkReachable(first[0].Self.ID, first[0].Self.Incarnation)
	second := f.watchers("a")
	require.Len(t, second, 3, "the suspect still counts itself")
	require.Contains(t, second, first[1])
	for _, n := range f.nodes {
		n.Members.MarkReachable(first[0].Self.ID, first[0].Self.Incarnation)
	}
	require.ElementsMatch(t, first, f.watchers("a"))
	first[0].noteFirstTry()
	f.now = f.now.Add(cutOffAfter + time.Second)
	for _, n := range f.nodes {
		for _, probed := range n.watchersToProbe(n.Members.List()) {
			require.NoError(t, n.exchangeWith(context.Background(), probed))
		}
	}
	require.Len(t, f.watchers("a"), 4, "no spare takes over for a watcher that is cut off")
}

// TestStartNeedsSeveralPeers guards against a process that turns ready with one peer's old settings, and
// against starting processes that wait for each other.
func TestStartNeedsSeveralPeers(t *testing.T) {
	f := newFleet(t, repeat("a", 4)...)
	f.readLists()
	fresh := f.nodes[3]
	f.nodes[0].takeDocuments([]settings.Document{doc("x", 1)})
	f.nodes[1].takeDocuments([]settings.Document{doc("x", 2)})
	f.nodes[0].Settings.MarkLoaded()
	f.nodes[1].Settings.MarkLoaded()
	ctx := context.Background()
	require.NoError(t, fresh.exchangeWith(ctx, f.nodes[2].Self))
	require.False(t, fresh.Settings.Loaded(), "a peer without a configuration counts")
	require.NoError(t, fresh.exchangeWith(ctx, f.nodes[0].Self))
	require.False(t, fresh.Settings.Loaded(), "one of two peers is enough")
	require.NoError(t, fresh.exchangeWith(ctx, f.nodes[0].Self))
	require.False(t, fresh.Settings.Loaded(), "one peer counts twice")
	require.NoError(t, fresh.exchangeWith(ctx, f.nodes[1].Self))
	require.True(t, fresh.Settings.Loaded())
	require.Equal(t, uint64(2), fresh.Settings.Documents()[0].Version)
}

// TestSeedsServeWhileTheListIsDown guards against a process that cannot start while the platform is down.
func TestSeedsServeWhileTheListIsDown(t *testing.T) {
	f := newFleet(t, "a", "a")
	f.readLists()
	f.nodes[0].takeDocuments([]settings.Document{doc("x", 1)})
	f.nodes[0].Settings.MarkLoaded()
	f.nodes[1].Settings.MarkLoaded()
	f.list.down = true
	fresh := f.add("h2", "a")
	fresh.Config.Seeds = []string{f.nodes[0].Self.ControlAddr}
	for range 20 {
		for _, host := range fresh.choosePeers() {
			require.NoError(t, fresh.exchangeWith(context.Background(), host))
		}
	}
	require.True(t, fresh.Settings.Loaded())
	require.Len(t, fresh.Members.List(), 3)
}

// TestWatchSessionTakesListAndEvents guards against missed events and deleted objects that change what is in force.
func TestWatchSessionTakesListAndEvents(t *testing.T) {
	f := newFleet(t, "a")
	f.readLists()
	n := f.nodes[0]
	put := func(d settings.Document, name string) {
		spec, err := json.Marshal(settings.Stored{Document: d})
		require.NoError(t, err)
		_, err = f.store.Create(context.Background(), platform.Object{Kind: platform.KindSetting, Name: name, Spec: spec})
		require.NoError(t, err)
	}
	put(doc("x", 1), "failure-domains.x")
	put(doc("w", 1), "some.other.name")
	f.store.NextFault = func(operation string) objecttest.Fault {
		if operation == "watch" {
			// Another document is accepted between list and watch, then the watch breaks.
			f.store.NextFault = nil
			put(doc("y", 1), "failure-domains.y")
			return objecttest.Unavailable
		}
		return objecttest.NoFault
	}
	require.Error(t, n.watchSession(context.Background()))
	require.Len(t, n.Settings.Documents(), 1)
	require.True(t, n.Settings.Loaded())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, n.watchSession(ctx))
	require.Equal(t, 1, f.store.CallCount("list"), "a watch that can continue lists")
	f.store.NextFault = func(operation string) objecttest.Fault {
		if operation == "watch" {
			return objecttest.VersionExpired
		}
		return objecttest.NoFault
	}
	require.Error(t, n.watchSession(ctx))
	f.store.NextFault = nil
	require.NoError(t, n.watchSession(ctx))
	require.Len(t, n.Settings.Documents(), 2, "a watch that cannot continue does not list")
	f.now = f.now.Add(listLifetime + time.Second)
	require.NoError(t, n.watchSession(ctx))
	require.Equal(t, 3, f.store.CallCount("list"))
}

// TestLeaveReachesPeers guards against a leaving process that peers learn of only from the lagging list.
func TestLeaveReachesPeers(t *testing.T) {
	f := newFleet(t, "a", "a", "b")
	f.readLists()
	f.nodes[0].Leave(context.Background())
	f.readLists()
	for _, n := range f.nodes {
		require.Equal(t, core.HostLeaving, n.Members.List()[0].State, n.Self.ID)
	}
}

// TestBackoffGrowsAndHonoursRetryAfter guards against processes that come back too soon or all at once.
func TestBackoffGrowsAndHonoursRetryAfter(t *testing.T) {
	b := newBackoff(1)
	longest := time.Duration(0)
	for range 20 {
		wait := b.next(0)
		require.LessOrEqual(t, wait, backoffCap)
		longest = max(longest, wait)
	}
	require.Greater(t, longest, backoffCap/2)
	seen := make(map[time.Duration]bool)
	for range 10 {
		wait := b.next(time.Minute)
		require.GreaterOrEqual(t, wait, time.Minute)
		seen[wait] = true
	}
	require.Greater(t, len(seen), 5, "waits are not spread")
}

// TestStartOfFleetPushesNoRecords guards against a storm of pushes when many processes start at once.
func TestStartOfFleetPushesNoRecords(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.readLists()
	f.add("late", "d")
	for _, from := range f.nodes {
		for _, to := range f.nodes {
			if from != to {
				require.NoError(t, from.exchangeWith(context.Background(), to.Self))
			}
		}
	}
	for _, n := range f.nodes {
		require.Empty(t, n.jobs)
	}
	f.list.hosts = f.list.hosts[:2]
	f.readLists()
	require.NotEmpty(t, f.nodes[0].jobs, "a change of the list is not pushed")
}
