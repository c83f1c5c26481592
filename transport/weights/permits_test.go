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

// memoryStore is an object store for one object with faults: lost responses, writes that take
// effect late, and conflicting writes of others in the middle of a change.
type memoryStore struct {
	platform.ObjectStore
	mu      sync.Mutex
	object  *platform.Object
	version int
	down    bool
	// lose makes the next writes take effect without a response, hold delays their effect to the next release.
	lose, hold int
	held       []platform.Object
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
	case s.hold > 0:
		s.hold--
		s.held = append(s.held, o)
		return o, unknown
	case !s.apply(o):
		return o, protocol.Errorf(protocol.CodeConflict, "version is not current")
	case s.lose > 0:
		s.lose--
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

func (s *memoryStore) land() {
	for _, o := range s.held {
		s.apply(o)
	}
	s.held = nil
}

// contender is one process that asks for permits; it may be paused while it believes in its holding.
type contender struct {
	permits *Permits
	holding *activation.HeldLease
}

// TestPermitHoldersNeverExceedTheBound guards against two holders that act on valid leases when
// leases lapse, holders pause, responses are lost and writes race or land late.
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
			if c.holding != nil && c.holding.Valid(now) {
				return
			}
			holding, ok, _ := c.permits.Acquire(ctx, "digest", limit)
			c.holding = nil
			if ok {
				require.Greater(t, holding.Lease.Token, highest, "token does not increase")
				highest = holding.Lease.Token
				c.holding = &holding
			}
		}
		renew := func(t *rapid.T) {
			if c := pick(t); c.holding != nil {
				if next, err := c.permits.Renew(ctx, *c.holding); err == nil {
					c.holding = &next
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"acquire": acquire, "acquire again": acquire, "acquire once more": acquire,
			"renew": renew, "renew again": renew,
			"release": func(t *rapid.T) {
				if c := pick(t); c.holding != nil {
					_ = c.permits.Release(ctx, *c.holding)
					c.holding = nil
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 5, 8, 10}).Draw(t, "seconds")) * time.Second)
			},
			"lose": func(*rapid.T) { store.lose++ },
			"hold": func(*rapid.T) { store.hold++ },
			"land": func(*rapid.T) { store.land() },
			"down": func(*rapid.T) { store.down = !store.down },
			"": func(t *rapid.T) {
				valid := 0
				for _, c := range contenders {
					if c.holding != nil && now.Before(c.holding.Deadline) {
						valid++
					}
				}
				require.LessOrEqual(t, valid, limit, "holders with valid leases")
			},
		})
	})
}

// TestPermitIsFreeAgainAfterItsHolderDied guards against a rollout that waits for a dead holder for good.
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
