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

// hostList returns a fixed list, or an error while it is down.
type hostList struct {
	hosts []core.Host
	down  bool
	calls int
}

func (l *hostList) Hosts(context.Context) ([]core.Host, error) {
	l.calls++
	if l.down {
		return nil, protocol.Errorf(protocol.CodeUnavailable, "the host list is unavailable")
	}
	return l.hosts, nil
}

// testFleet is a set of nodes that reach each other over loopback. Their loops don't run; the test calls the steps itself.
type testFleet struct {
	t           *testing.T
	store       *objecttest.Store
	list        *hostList
	now         time.Time
	nodes       []*Node
	pool        pond.Pool
	stopServers []func()
}

func newTestFleet(t *testing.T, domains ...core.FailureDomain) *testFleet {
	f := &testFleet{t: t, store: objecttest.New(), list: &hostList{}, now: time.Unix(1000, 0), pool: pond.NewPool(4)}
	for i, domain := range domains {
		f.addNode(core.HostID("h"+strconv.Itoa(i)), domain)
	}
	client := f.nodes[0].Client
	t.Cleanup(func() {
		f.pool.StopAndWait()
		client.CloseIdleConnections()
		for _, stop := range f.stopServers {
			stop()
		}
	})
	return f
}

func (f *testFleet) addNode(id core.HostID, domain core.FailureDomain) *Node {
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	self := core.Host{
		ID: id, Incarnation: core.Incarnation(id + "-1"), Role: core.RoleAgent, FailureDomain: domain,
		ControlAddr: strings.TrimPrefix(server.URL, "http://"), State: core.HostLive,
	}
	logger := logrus.New()
	logger.SetOutput(&bytes.Buffer{})
	n := New(Dependencies{
		Self: self, Config: config.Default().Spread, Settings: table.NewSettings(), Members: table.NewMembers(),
		Store: f.store, Hosts: f.list, HostListInterval: time.Second, Client: server.Client(),
		Random: rand.New(rand.NewPCG(1, uint64(len(f.nodes)))), Now: func() time.Time { return f.now },
		Log: logrus.NewEntry(logger),
	})
	mux.Handle(wire.SettingsPathPrefix, wire.NewSettingsServer(n))
	f.list.hosts = append(f.list.hosts, self)
	f.nodes = append(f.nodes, n)
	f.stopServers = append(f.stopServers, server.Close)
	return n
}

func (f *testFleet) readLists() {
	for _, n := range f.nodes {
		require.NoError(f.t, n.readHosts(context.Background()))
	}
}

// runJobs runs the queued push jobs of all nodes until none is left.
func (f *testFleet) runJobs() {
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

func (f *testFleet) watchers(domain core.FailureDomain) []*Node {
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

func (f *testFleet) countHolders(path string, version uint64) int {
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

func repeatDomain(domain core.FailureDomain, n int) []core.FailureDomain {
	out := make([]core.FailureDomain, n)
	for i := range out {
		out[i] = domain
	}
	return out
}

// TestPushReachesWholeDomainAroundDeadHosts checks that a push reaches the hosts below one that does not respond.
func TestPushReachesWholeDomainAroundDeadHosts(t *testing.T) {
	f := newTestFleet(t, repeatDomain("a", 30)...)
	f.readLists()
	for _, n := range f.nodes {
		n.Config.PushFanout = 2
	}
	f.runJobs()
	dead := f.nodes[3]
	f.stopServers[3]()
	watcher := f.watchers("a")[0]
	require.NotEqual(t, dead, watcher)
	watcher.PushDocuments(context.Background(), watcher.mergeDocuments([]settings.Document{doc("x", 1)}))
	f.runJobs()
	require.Equal(t, 29, f.countHolders("/failure-domains/x", 1))
}

// TestExchangeTransfersDifferencesBothWays checks that an exchange transfers documents and member records in both
// directions, so that a lost push has no lasting effect.
func TestExchangeTransfersDifferencesBothWays(t *testing.T) {
	f := newTestFleet(t, "a", "b")
	f.readLists()
	f.nodes[0].mergeDocuments([]settings.Document{doc("x", 2), doc("y", 1)})
	f.nodes[1].mergeDocuments([]settings.Document{doc("x", 1), doc("z", 1)})
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

// TestOnlyWatchersUseThePlatform checks that only two processes per failure domain watch and read the host list, also while
// the processes know no hosts yet.
func TestOnlyWatchersUseThePlatform(t *testing.T) {
	f := newTestFleet(t, append(repeatDomain("a", 10), repeatDomain("b", 10)...)...)
	for _, n := range f.nodes {
		require.False(t, n.isWatcher(), "a process that knows no hosts acts as a watcher")
	}
	f.readLists()
	require.Len(t, f.watchers("a"), 2)
	require.Len(t, f.watchers("b"), 2)
	for _, n := range f.nodes {
		require.Equal(t, n.isWatcher(), n.shouldReadHosts())
	}
}

// TestDeadAndCutOffWatchersAreReplaced checks that spares take over for watchers that are suspect or cut off from the platform.
func TestDeadAndCutOffWatchersAreReplaced(t *testing.T) {
	f := newTestFleet(t, repeatDomain("a", 8)...)
	f.readLists()
	first := f.watchers("a")
	for _, n := range f.nodes {
		n.Members.MarkUnreachable(first[0].Self.ID)
	}
	first[0].Members.MarkReachable(first[0].Self.ID, first[0].Self.Incarnation)
	second := f.watchers("a")
	require.Len(t, second, 3, "the suspect host still counts itself as a watcher")
	require.Contains(t, second, first[1])
	for _, n := range f.nodes {
		n.Members.MarkReachable(first[0].Self.ID, first[0].Self.Incarnation)
	}
	require.ElementsMatch(t, first, f.watchers("a"))
	first[0].initLastContact()
	f.now = f.now.Add(cutOffTimeout + time.Second)
	for _, n := range f.nodes {
		for _, probed := range n.watchersToProbe(n.Members.List()) {
			require.NoError(t, n.exchangeWith(context.Background(), probed))
		}
	}
	require.Len(t, f.watchers("a"), 4, "no spare takes over for a watcher that is cut off")
}

// TestStartNeedsSeveralPeers checks that a process does not become ready with the settings of a single peer, which may be
// old, and that it does not wait for peers that are starting themselves.
func TestStartNeedsSeveralPeers(t *testing.T) {
	f := newTestFleet(t, repeatDomain("a", 4)...)
	f.readLists()
	newNode := f.nodes[3]
	f.nodes[0].mergeDocuments([]settings.Document{doc("x", 1)})
	f.nodes[1].mergeDocuments([]settings.Document{doc("x", 2)})
	f.nodes[0].Settings.MarkLoaded()
	f.nodes[1].Settings.MarkLoaded()
	ctx := context.Background()
	require.NoError(t, newNode.exchangeWith(ctx, f.nodes[2].Self))
	require.False(t, newNode.Settings.Loaded(), "a peer without loaded settings counts")
	require.NoError(t, newNode.exchangeWith(ctx, f.nodes[0].Self))
	require.False(t, newNode.Settings.Loaded(), "one of two peers is enough")
	require.NoError(t, newNode.exchangeWith(ctx, f.nodes[0].Self))
	require.False(t, newNode.Settings.Loaded(), "one peer counts twice")
	require.NoError(t, newNode.exchangeWith(ctx, f.nodes[1].Self))
	require.True(t, newNode.Settings.Loaded())
	require.Equal(t, uint64(2), newNode.Settings.Documents()[0].Version)
}

// TestSeedsServeWhileTheListIsDown checks that a process can start from the configured seeds while the platform is down.
func TestSeedsServeWhileTheListIsDown(t *testing.T) {
	f := newTestFleet(t, "a", "a")
	f.readLists()
	f.nodes[0].mergeDocuments([]settings.Document{doc("x", 1)})
	f.nodes[0].Settings.MarkLoaded()
	f.nodes[1].Settings.MarkLoaded()
	f.list.down = true
	newNode := f.addNode("h2", "a")
	newNode.Config.Seeds = []string{f.nodes[0].Self.ControlAddr}
	for range 20 {
		for _, host := range newNode.choosePeers() {
			require.NoError(t, newNode.exchangeWith(context.Background(), host))
		}
	}
	require.True(t, newNode.Settings.Loaded())
	require.Len(t, newNode.Members.List(), 3)
}

// TestWatchSessionAppliesListAndEvents checks that no change is lost between a list and the next watch, that a watch
// continues from the last version, that an expired version or listLifetime causes a new list, and that an object whose
// name does not match its document is ignored.
func TestWatchSessionAppliesListAndEvents(t *testing.T) {
	f := newTestFleet(t, "a")
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
			// Another document is accepted between list and watch, and then the watch fails.
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
	require.Equal(t, 1, f.store.CallCount("list"), "a watch that can continue causes a list")
	f.store.NextFault = func(operation string) objecttest.Fault {
		if operation == "watch" {
			return objecttest.VersionExpired
		}
		return objecttest.NoFault
	}
	require.Error(t, n.watchSession(ctx))
	f.store.NextFault = nil
	require.NoError(t, n.watchSession(ctx))
	require.Len(t, n.Settings.Documents(), 2, "a watch that cannot continue causes no list")
	f.now = f.now.Add(listLifetime + time.Second)
	require.NoError(t, n.watchSession(ctx))
	require.Equal(t, 3, f.store.CallCount("list"))
}

// TestLeaveReachesPeers checks that peers learn from the process itself that it is leaving; the host list lags behind.
func TestLeaveReachesPeers(t *testing.T) {
	f := newTestFleet(t, "a", "a", "b")
	f.readLists()
	f.nodes[0].Leave(context.Background())
	f.readLists()
	for _, n := range f.nodes {
		require.Equal(t, core.HostLeaving, n.Members.List()[0].State, n.Self.ID)
	}
}

// TestBackoffGrowsAndHonoursRetryAfter checks that waits grow up to the cap, respect a Retry-After and have jitter.
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
	require.Greater(t, len(seen), 5, "waits have no jitter")
}

// TestStartOfFleetPushesNoRecords checks that neither exchanges nor the first read of the host list cause pushes, which would
// overload the processes when many of them start at once.
func TestStartOfFleetPushesNoRecords(t *testing.T) {
	f := newTestFleet(t, "a", "b", "c")
	f.readLists()
	f.addNode("late", "d")
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
