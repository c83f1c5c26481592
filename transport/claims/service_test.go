package claims

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/claims"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/table"
	"github.com/guavatrestle/guavatrestle/transport/server"
)

// lockedStore gives one entry access to a fakeStore that several entries share, and counts its creates.
type lockedStore struct {
	*fakeStore
	mu      *sync.Mutex
	creates int
}

func (s *lockedStore) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fakeStore.Get(ctx, kind, name)
}

func (s *lockedStore) List(ctx context.Context, kind platform.Kind, selector string) (platform.ObjectList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fakeStore.List(ctx, kind, selector)
}

func (s *lockedStore) Create(ctx context.Context, object platform.Object) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.creates++
	return s.fakeStore.Create(ctx, object)
}

// testEntry is an entry's claim service behind its control listener.
type testEntry struct {
	service *Service
	store   *lockedStore
	server  *httptest.Server
}

func startEntries(t *testing.T, n int) []testEntry { return startEntriesOver(t, n, nil) }

// startEntriesOver starts n entries that call each other through transport.
func startEntriesOver(t *testing.T, n int, transport http.RoundTripper) []testEntry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	shared, mu := newFakeStore(), &sync.Mutex{}
	members := table.NewMembers()
	var entries []testEntry
	var hosts []core.Host
	for i := range n {
		cfg := DefaultConfig()
		cfg.WritesPerSecond = 1000
		e := testEntry{store: &lockedStore{fakeStore: shared, mu: mu}}
		host := core.Host{ID: core.HostID(fmt.Sprintf("entry-%d", i)), Role: core.RoleEntry, State: core.HostLive}
		e.service = New(Dependencies{Config: cfg, Self: host, Store: e.store, Members: members, Transport: transport, Now: time.Now, Log: logrus.NewEntry(log)})
		e.server = httptest.NewUnstartedServer(wire.NewClaimsServer(NewServer(e.service)))
		e.server.Config.Protocols = server.Protocols()
		e.server.Start()
		host.ControlAddr = e.server.Listener.Addr().String()
		hosts = append(hosts, host)
		entries = append(entries, e)
		t.Cleanup(func() {
			e.service.Close()
			e.server.Close()
		})
	}
	members.Replace(hosts)
	return entries
}

// countingTransport counts the requests that it sends.
type countingTransport struct {
	http.Transport
	calls atomic.Int64
}

func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c.calls.Add(1)
	return c.Transport.RoundTrip(r)
}

// TestOwnerIsCalledThroughTheGivenTransport guards against calls to owners that bypass Dependencies.Transport, and with
// it the TLS configuration of the process.
func TestOwnerIsCalledThroughTheGivenTransport(t *testing.T) {
	transport := &countingTransport{}
	entries := startEntriesOver(t, 2, transport)
	key := keyOwnedBy(entries[0].service, "entry-1")
	first := entries[0].service.NewClaim(key, hash("a"), time.Now().Add(time.Minute))
	outcome, _, err := entries[0].service.Claim(t.Context(), first)
	require.NoError(t, err)
	require.Equal(t, claims.Granted, outcome)
	require.EqualValues(t, 1, transport.calls.Load())
}

func keyOwnedBy(s *Service, owner core.HostID) claims.Key {
	for i := 0; ; i++ {
		if key := KeyOf("litoral", "pedidos", fmt.Sprint(i)); s.owner(shardIndex(key)).ID == owner {
			return key
		}
	}
}

// TestOwnerBatchesWritesAndOthersWriteIfItIsUnreachable guards against an entry that writes although the owner of the
// shard is reachable, and against claims that fail when the owner is not.
func TestOwnerBatchesWritesAndOthersWriteIfItIsUnreachable(t *testing.T) {
	ctx := context.Background()
	entries := startEntries(t, 2)
	key := keyOwnedBy(entries[0].service, "entry-1")
	deadline := time.Now().Add(time.Minute)
	first := entries[0].service.NewClaim(key, hash("a"), deadline)
	outcome, _, err := entries[0].service.Claim(ctx, first)
	require.NoError(t, err)
	require.Equal(t, claims.Granted, outcome)
	require.NoError(t, entries[0].service.Settle(ctx, first, claims.OpDone, &claims.Result{Status: 201, Body: []byte("booked")}))
	require.Zero(t, entries[0].store.creates, "entry wrote although the owner is reachable")
	entries[1].server.Close()
	outcome, result, err := entries[0].service.Claim(ctx, entries[0].service.NewClaim(key, hash("a"), deadline))
	require.NoError(t, err)
	require.Equal(t, claims.Done, outcome)
	require.Equal(t, "booked", string(result.Body))
	outcome, _, err = entries[0].service.Claim(ctx, entries[0].service.NewClaim(key, hash("b"), deadline))
	require.NoError(t, err)
	require.Equal(t, claims.Mismatch, outcome)
}

// TestConcurrentClaimsOfOneKeyAreGrantedOnce guards against a key that is granted twice, within one batch or through two
// entries.
func TestConcurrentClaimsOfOneKeyAreGrantedOnce(t *testing.T) {
	entries := startEntries(t, 2)
	granted := make(chan claims.Outcome, 40)
	var callers sync.WaitGroup
	for i := range cap(granted) {
		callers.Go(func() {
			s := entries[i%2].service
			outcome, _, err := s.Claim(context.Background(), s.NewClaim(KeyOf("litoral", "pedidos", "k"), hash("a"), time.Now().Add(time.Minute)))
			if err == nil {
				granted <- outcome
			}
		})
	}
	callers.Wait()
	close(granted)
	count := make(map[claims.Outcome]int)
	for outcome := range granted {
		count[outcome]++
	}
	require.Equal(t, map[claims.Outcome]int{claims.Granted: 1, claims.InProgress: 39}, count)
	require.LessOrEqual(t, entries[0].store.creates+entries[1].store.creates, 2, "claims were not batched")
}
