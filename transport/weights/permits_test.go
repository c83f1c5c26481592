package weights

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavatrestle/guavatrestle/coordination/activation"
	"github.com/guavatrestle/guavatrestle/internal/proptest"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/state/core"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// memoryStore is an object store for one object that can be unavailable, lose responses and delay writes.
type memoryStore struct {
	platform.ObjectStore
	mu      sync.Mutex
	object  *platform.Object
	version int
	down    bool
	// loseResponses makes that many writes take effect without a response; delayWrites delays that many until
	// applyDelayed.
	loseResponses, delayWrites int
	delayed                    []platform.Object
}

func (s *memoryStore) Get(context.Context, platform.Kind, string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.Object{}, protocol.Errorf(protocol.CodeUnavailable, "down")
	}
	if s.object == nil {
		return platform.Object{}, protocol.Errorf(protocol.CodeNotFound, "no object")
	}
	return *s.object, nil
}

func (s *memoryStore) Create(ctx context.Context, o platform.Object) (platform.Object, error) {
	return s.Update(ctx, o)
}

func (s *memoryStore) Update(_ context.Context, o platform.Object) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unknown := protocol.Errorf(protocol.CodeOutcomeUnknown, "response lost")
	switch {
	case s.down:
		return o, protocol.Errorf(protocol.CodeUnavailable, "down")
	case s.delayWrites > 0:
		s.delayWrites--
		s.delayed = append(s.delayed, o)
		return o, unknown
	case !s.apply(o):
		return o, protocol.Errorf(protocol.CodeConflict, "version is not current")
	case s.loseResponses > 0:
		s.loseResponses--
		return o, unknown
	}
	return *s.object, nil
}

func (s *memoryStore) apply(o platform.Object) bool {
	if s.object == nil && o.Version != "" || s.object != nil && o.Version != s.object.Version {
		return false
	}
	s.version++
	o.Version = strconv.Itoa(s.version)
	s.object = &o
	return true
}

func (s *memoryStore) applyDelayed() {
	for _, o := range s.delayed {
		s.apply(o)
	}
	s.delayed = nil
}

// contender is one process that acquires permits. It may act on its lease after pauses of any length.
type contender struct {
	permits *Permits
	lease   *activation.HeldLease
}

// TestPermitHoldersNeverExceedTheBound guards against more holders with valid leases than the limit when leases
// expire, holders pause, responses are lost and writes conflict or take effect late.
func TestPermitHoldersNeverExceedTheBound(t *testing.T) {
	const ttl = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		now := time.Unix(1000, 0)
		store := &memoryStore{}
		limit := rapid.IntRange(1, 2).Draw(t, "limit")
		var contenders []*contender
		nonces, highest := 0, uint64(0)
		for i := range 3 {
			host := core.Host{ID: core.HostID(fmt.Sprint("h", i)), Incarnation: "1", Upstream: "u", FailureDomain: "d"}
			contenders = append(contenders, &contender{permits: NewPermits(store, host, ttl, func() string {
				nonces++
				return fmt.Sprint(nonces)
			}, func() time.Time { return now })})
		}
		pick := func(t *rapid.T) *contender { return contenders[rapid.IntRange(0, 2).Draw(t, "contender")] }
		acquire := func(t *rapid.T) {
			c := pick(t)
			if c.lease != nil && c.lease.Valid(now) {
				return
			}
			lease, ok, _ := c.permits.Acquire(ctx, "digest", limit)
			c.lease = nil
			if ok {
				require.Greater(t, lease.Lease.Token, highest, "token does not increase")
				highest = lease.Lease.Token
				c.lease = &lease
			}
		}
		renew := func(t *rapid.T) {
			if c := pick(t); c.lease != nil {
				if next, err := c.permits.Renew(ctx, *c.lease); err == nil {
					c.lease = &next
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"acquire": acquire, "acquire again": acquire, "acquire once more": acquire,
			"renew": renew, "renew again": renew,
			"release": func(t *rapid.T) {
				if c := pick(t); c.lease != nil {
					_ = c.permits.Release(ctx, *c.lease)
					c.lease = nil
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 5, 8, 10}).Draw(t, "seconds")) * time.Second)
			},
			"lose": func(*rapid.T) { store.loseResponses++ },
			"hold": func(*rapid.T) { store.delayWrites++ },
			"land": func(*rapid.T) { store.applyDelayed() },
			"down": func(*rapid.T) { store.down = !store.down },
			"": func(t *rapid.T) {
				valid := 0
				for _, c := range contenders {
					if c.lease != nil && now.Before(c.lease.Deadline) {
						valid++
					}
				}
				require.LessOrEqual(t, valid, limit, "holders with valid leases")
			},
		})
	})
}

// TestPermitIsFreeAgainAfterItsHolderDied guards against a rollout that waits forever for the lease of a dead host.
func TestPermitIsFreeAgainAfterItsHolderDied(t *testing.T) {
	now := time.Unix(1000, 0)
	store := &memoryStore{}
	clock := func() time.Time { return now }
	host := func(id core.HostID) core.Host { return core.Host{ID: id, Incarnation: "1"} }
	dead := NewPermits(store, host("dead"), time.Second, func() string { return "a" }, clock)
	next := NewPermits(store, host("next"), time.Second, func() string { return "b" }, clock)
	_, ok, err := dead.Acquire(t.Context(), "d", activation.MaxConcurrentLoads(1, 3))
	require.NoError(t, err)
	require.True(t, ok)
	_, ok, err = next.Acquire(t.Context(), "d", 1)
	require.NoError(t, err)
	require.False(t, ok)
	now = now.Add(time.Second)
	_, ok, err = next.Acquire(t.Context(), "d", 1)
	require.NoError(t, err)
	require.True(t, ok)
}
