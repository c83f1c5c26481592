package relay_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/feed"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/relay"
)

const kind = feed.KindReplicas

// store is an in-memory store that counts its calls.
type store struct {
	mu            sync.Mutex
	calls         atomic.Int64
	era, revision int64
	records       map[string]feed.Record
	changes       []feed.Record
	// waits makes watches without changes wait for as long as they ask for.
	waits bool
}

func newStore() *store { return &store{revision: 1, records: map[string]feed.Record{}} }

func (s *store) put(name string, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	record := feed.Record{Name: name, Revision: s.revision, Removed: removed}
	if removed {
		delete(s.records, name)
	} else {
		record.Value = &fleet.Replica{ID: fleet.ReplicaID(name)}
		s.records[name] = record
	}
	s.changes = append(s.changes, record)
}

// ofKind returns a record with a value of the kind that is read; the store holds the same names for every kind.
func ofKind(kind feed.Kind, record feed.Record) feed.Record {
	if _, ok := record.Value.(*fleet.Replica); ok && kind == feed.KindConfiguration {
		record.Value = &fleet.Configuration{}
	}
	return record
}

func (s *store) List(_ context.Context, kind feed.Kind, _ bool) (feed.Batch, error) {
	s.calls.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := feed.Batch{Revision: s.revision, Era: s.era}
	for _, record := range s.records {
		batch.Records = append(batch.Records, ofKind(kind, record))
	}
	return batch, nil
}

func (s *store) Watch(_ context.Context, kind feed.Kind, since int64, wait time.Duration) (feed.Batch, error) {
	s.calls.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waits && since == s.revision {
		time.Sleep(wait)
	}
	batch := feed.Batch{Revision: s.revision, Era: s.era}
	for _, record := range s.changes {
		if record.Revision > since {
			batch.Records = append(batch.Records, ofKind(kind, record))
		}
	}
	return batch, nil
}

// host is a host that may be a relay.
type host struct {
	*relay.Source
	cache  *relay.Cache
	addr   netip.Addr
	server *httptest.Server
	// hangs makes the host answer no more calls, as if it were suspended.
	hangs atomic.Bool
}

// readAll lists the configuration and the replicas, as a host does at its start.
func (h *host) readAll(t *testing.T) feed.Batch {
	t.Helper()
	_, err := h.List(t.Context(), feed.KindConfiguration, false)
	require.NoError(t, err)
	batch, err := h.List(t.Context(), kind, false)
	require.NoError(t, err)
	return batch
}

// hosts starts hosts that use the same port on different loopback addresses and read s.
func hosts(t *testing.T, s *store, addresses ...string) []*host {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	var list []*host
	port := 0
	for _, address := range addresses {
		h := &host{addr: netip.MustParseAddr(address), cache: relay.NewCache()}
		// The tests that need a short age set one; others must not depend on the speed of the machine.
		h.cache.SetMaxAge(time.Minute)
		handler := &relay.Server{Cache: h.cache, Direct: func() bool { return h.Direct() }, Log: log}
		h.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if h.hangs.Load() {
				<-r.Context().Done()
				return
			}
			handler.ServeHTTP(w, r)
		}))
		_ = h.server.Listener.Close()
		h.server.Listener = listen(t, address+":"+strconv.Itoa(port))
		h.server.Start()
		t.Cleanup(h.server.Close)
		port = int(netip.MustParseAddrPort(h.server.Listener.Addr().String()).Port())
		h.Source = relay.NewSource(relay.Config{Store: s, Cache: h.cache, Self: h.addr, Port: port, Log: log})
		h.SetMaxAge(time.Minute)
		h.SkipPatience()
		t.Cleanup(h.cache.Close)
		list = append(list, h)
	}
	return list
}

func names(batch feed.Batch) []string {
	var list []string
	for _, record := range batch.Records {
		name := record.Name
		if record.Removed {
			name = "-" + name
		}
		list = append(list, name)
	}
	return list
}

// TestHostReadsThroughItsRelay guards against a fleet in which every host calls the store, and against changes and removals that a
// relay doesn't pass on.
func TestHostReadsThroughItsRelay(t *testing.T) {
	s := newStore()
	s.put("a", false)
	s.put("b", false)
	list := hosts(t, s, "127.0.21.1", "127.0.21.2")
	first, second := list[0], list[1]
	read := first.readAll(t)
	second.SetRelay(first.addr)

	before := s.calls.Load()
	relayed, err := second.List(t.Context(), kind, false)
	require.NoError(t, err)
	require.True(t, relayed.Relayed)
	require.LessOrEqual(t, relayed.CompleteAfter, time.Duration(0), "the relay read the store before it was called")
	require.ElementsMatch(t, []string{"a", "b"}, names(relayed))
	require.Equal(t, &fleet.Replica{ID: "a"}, find(relayed, "a").Value)
	require.Equal(t, before, s.calls.Load())

	pending := make(chan feed.Batch, 1)
	go func() {
		batch, _ := second.Watch(t.Context(), kind, relayed.Revision, time.Minute)
		pending <- batch
	}()
	s.put("c", false)
	s.put("a", true)
	_, err = first.Watch(t.Context(), kind, read.Revision, 0)
	require.NoError(t, err)
	require.ElementsMatch(t, []string{"c", "-a"}, names(<-pending))
}

func find(batch feed.Batch, name string) feed.Record {
	for _, record := range batch.Records {
		if record.Name == name {
			return record
		}
	}
	return feed.Record{}
}

// TestHostReadsTheStoreWhenItsRelayFails guards against a host that stays without news because its relay is gone, has lost the store
// or relies on another host.
func TestHostReadsTheStoreWhenItsRelayFails(t *testing.T) {
	for name, fail := range map[string]func(first, second *host){
		"gone":              func(first, _ *host) { first.server.Close() },
		"store lost":        func(first, _ *host) { first.cache.SetMaxAge(0) },
		"relies on another": func(first, _ *host) { first.SetRelay(netip.MustParseAddr("127.0.21.0")) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newStore()
			s.put("a", false)
			list := hosts(t, s, "127.0.21.1", "127.0.21.2")
			first, second := list[0], list[1]
			first.readAll(t)
			second.SetRelay(first.addr)
			batch, err := second.List(t.Context(), kind, false)
			require.NoError(t, err)
			require.True(t, batch.Relayed)

			fail(first, second)
			s.put("b", false)
			batch, err = second.Watch(t.Context(), kind, batch.Revision, 10*time.Millisecond)
			if protocol.CodeOf(err) == protocol.CodeExpired {
				batch, err = second.List(t.Context(), kind, false)
			}
			require.NoError(t, err)
			require.False(t, batch.Relayed)
			require.Contains(t, names(batch), "b")
		})
	}
}

// TestPendingReadsEndWhenTheRelayIsLost guards against a drain or an evacuation that comes late because the watch that would show it
// still waits at a relay which has lost the store or is suspended.
func TestPendingReadsEndWhenTheRelayIsLost(t *testing.T) {
	for name, fail := range map[string]func(first *host){
		"store lost": func(first *host) {
			first.cache.SetMaxAge(100 * time.Millisecond)
			_, _ = first.List(context.Background(), feed.KindConfiguration, false)
		},
		"suspended": func(first *host) { first.hangs.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newStore()
			list := hosts(t, s, "127.0.21.1", "127.0.21.2")
			first, second := list[0], list[1]
			first.readAll(t)
			second.SetRelay(first.addr)
			read := second.readAll(t)
			require.True(t, read.Relayed)
			pending := make(chan feed.Batch, 1)
			go func() {
				batch, _ := second.Watch(t.Context(), kind, read.Revision, time.Minute)
				pending <- batch
			}()
			fail(first)
			s.put("a", false)
			batch, err := second.Watch(t.Context(), feed.KindConfiguration, read.Revision, time.Minute)
			require.NoError(t, err)
			require.False(t, batch.Relayed)
			require.Positive(t, batch.CompleteAfter, "the store was read later than the watch was sent, with another wait")
			select {
			case batch := <-pending:
				require.False(t, batch.Relayed)
				require.Equal(t, []string{"a"}, names(batch))
			case <-time.After(3 * time.Second):
				require.Fail(t, "the watch still waits at the relay")
			}
		})
	}
}

// TestListDuringABurstDoesNotWaitForASuspendedRelay guards against a configuration that comes into force seconds late because it is
// listed from a relay that does not answer.
func TestListDuringABurstDoesNotWaitForASuspendedRelay(t *testing.T) {
	// configurationBound is the shortest time in which the platform requires a configuration to be in force.
	const configurationBound = 2 * time.Second
	s := newStore()
	list := hosts(t, s, "127.0.21.1", "127.0.21.2")
	first, second := list[0], list[1]
	s.put("a", false)
	first.readAll(t)
	second.SetRelay(first.addr)
	require.True(t, second.readAll(t).Relayed)
	first.hangs.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), configurationBound)
	defer cancel()
	batch, err := second.List(ctx, feed.KindConfiguration, false)
	require.NoError(t, err)
	require.False(t, batch.Relayed)
}

// TestRelayStatesTheWaitOfItsWatch guards against API keys that are accepted for longer because a watch of a relay, which waits at the
// store for less than it was asked to, counts as one that waited in full if the host was suspended meanwhile.
func TestRelayStatesTheWaitOfItsWatch(t *testing.T) {
	s := newStore()
	s.waits = true
	h := hosts(t, s, "127.0.21.1")[0]
	h.SetRelay(h.addr)
	read := h.readAll(t)
	sent := bootclock.Now()
	batch, err := h.Watch(t.Context(), feed.KindConfiguration, read.Revision, time.Minute)
	require.NoError(t, err)
	require.Positive(t, batch.CompleteAfter)
	require.LessOrEqual(t, batch.CompleteAfter, bootclock.Since(sent))
}

// TestWatchEndsWhenTheStoreIsLost guards against a watch that waits on at a relay which the store does not answer any more.
func TestWatchEndsWhenTheStoreIsLost(t *testing.T) {
	relayHost := hosts(t, newStore(), "127.0.21.1")[0]
	relayHost.cache.SetMaxAge(100 * time.Millisecond)
	read := relayHost.readAll(t)
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(relayHost.server.URL + "/relay/" + string(kind) +
		"?era=0&wait_ms=20000&since=" + strconv.FormatInt(read.Revision, 10))
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
}

// TestRelayThatHearsNothingOfAKindIsNotUsed guards against hosts that rely on a relay whose watch of one kind is silent, because it still
// hears of the configuration.
func TestRelayThatHearsNothingOfAKindIsNotUsed(t *testing.T) {
	s := newStore()
	list := hosts(t, s, "127.0.21.1", "127.0.21.2")
	list[0].cache.SetMaxAges(func(of feed.Kind) time.Duration {
		if of == kind {
			return 50 * time.Millisecond
		}
		return time.Minute
	})
	list[0].readAll(t)
	s.put("a", false)
	require.Eventually(t, func() bool {
		list[1].SetRelay(list[0].addr)
		batch, err := list[1].List(t.Context(), kind, false)
		require.NoError(t, err)
		return !batch.Relayed && len(names(batch)) == 1
	}, 10*time.Second, 10*time.Millisecond)
}

// TestHostsThatNameEachOtherReadTheStore guards against two hosts that each take the other for the relay and never see a change.
func TestHostsThatNameEachOtherReadTheStore(t *testing.T) {
	s := newStore()
	list := hosts(t, s, "127.0.21.1", "127.0.21.2")
	for _, h := range list {
		h.readAll(t)
	}
	list[0].SetRelay(list[1].addr)
	list[1].SetRelay(list[0].addr)
	s.put("a", false)
	for _, h := range list {
		batch, err := h.List(t.Context(), kind, false)
		require.NoError(t, err)
		require.Equal(t, []string{"a"}, names(batch), h.addr)
	}
}

// TestRelayThatIsBehindIsNotUsed guards against a view that goes back to older records, also to those of an earlier era.
func TestRelayThatIsBehindIsNotUsed(t *testing.T) {
	for name, advance := range map[string]func(*store){
		"later change": func(s *store) { s.put("b", false) },
		"later era":    func(s *store) { s.era++ },
	} {
		t.Run(name, func(t *testing.T) {
			s := newStore()
			s.put("a", false)
			list := hosts(t, s, "127.0.21.1", "127.0.21.2")
			list[0].readAll(t)
			advance(s)
			want, err := list[1].List(t.Context(), kind, false)
			require.NoError(t, err)
			list[1].SetRelay(list[0].addr)
			got, err := list[1].List(t.Context(), kind, false)
			require.NoError(t, err)
			require.False(t, got.Relayed)
			require.ElementsMatch(t, names(want), names(got))
		})
	}
}

// TestListOfTheRelayShowsRemovals guards against a watch at a relay that misses a removal which the relay itself found by a list.
func TestListOfTheRelayShowsRemovals(t *testing.T) {
	s := newStore()
	s.put("a", false)
	s.put("b", false)
	list := hosts(t, s, "127.0.21.1", "127.0.21.2")
	list[0].readAll(t)
	list[1].SetRelay(list[0].addr)
	batch, err := list[1].List(t.Context(), kind, false)
	require.NoError(t, err)
	s.put("a", true)
	_, err = list[0].List(t.Context(), kind, false)
	require.NoError(t, err)
	changes, err := list[1].Watch(t.Context(), kind, batch.Revision, 0)
	require.NoError(t, err)
	require.Equal(t, []string{"-a"}, names(changes))
}

// TestNewConfirmationEndsAWatchOfTheConfiguration guards against API keys that run out at a host although its relay has heard from
// the store meanwhile.
func TestNewConfirmationEndsAWatchOfTheConfiguration(t *testing.T) {
	relayHost := hosts(t, newStore(), "127.0.21.1")[0]
	read, err := relayHost.List(t.Context(), feed.KindConfiguration, false)
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() {
		response, err := http.Get(relayHost.server.URL + "/relay/" + string(feed.KindConfiguration) +
			"?era=0&wait_ms=20000&since=" + strconv.FormatInt(read.Revision, 10))
		if err == nil {
			_ = response.Body.Close()
		}
		ended <- err
	}()
	deadline := time.After(10 * time.Second)
	for {
		_, err = relayHost.Watch(t.Context(), feed.KindConfiguration, read.Revision, 0)
		require.NoError(t, err)
		select {
		case err := <-ended:
			require.NoError(t, err)
			return
		case <-deadline:
			require.Fail(t, "the watch did not end")
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// TestAgentsGetShortConfigurations guards against agents that load the links with routes and keys which they don't need.
func TestAgentsGetShortConfigurations(t *testing.T) {
	s := newStore()
	s.records["main"] = feed.Record{Name: "main", Revision: 1, Value: &fleet.Configuration{
		Version: 3, Routes: make([]fleet.Route, 2000), Teams: []fleet.Team{{Keys: []string{"secret"}}},
	}}
	relayHost := hosts(t, s, "127.0.21.1")[0]
	_, err := relayHost.List(t.Context(), feed.KindConfiguration, false)
	require.NoError(t, err)
	response, err := http.Get(relayHost.server.URL + "/relay/" + string(feed.KindConfiguration) + "?brief=1")
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Contains(t, string(body), `"Version":3`)
	require.NotContains(t, string(body), "secret")
	require.Less(t, len(body), 1000)
}
