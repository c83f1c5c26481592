package relay_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/feed"
	"github.com/guavatrestle/guavatrestle/transport/follow"
	"github.com/guavatrestle/guavatrestle/transport/relay"
)

// link carries transfers one after the other.
type link struct {
	mu             sync.Mutex
	bytesPerSecond float64
	freeAt         time.Time
}

// carry waits until a transfer has ended. One whose caller gives up has used the link until then.
func (l *link) carry(ctx context.Context, size int) error {
	l.mu.Lock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(size) / l.bytesPerSecond * float64(time.Second)))
	end := l.freeAt
	l.mu.Unlock()
	select {
	case <-ctx.Done():
		l.mu.Lock()
		l.freeAt = l.freeAt.Add(-time.Until(end))
		l.mu.Unlock()
		return ctx.Err()
	case <-time.After(time.Until(end)):
		return nil
	}
}

// versions is a store that holds versions of a large configuration, behind the link between two regions.
type versions struct {
	link
	mu      sync.Mutex
	newest  int64
	changed chan struct{}
}

// set makes a version the newest one.
func (v *versions) set(version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.newest = version
	close(v.changed)
	v.changed = make(chan struct{})
}

func (v *versions) read(ctx context.Context, since int64) (feed.Batch, <-chan struct{}, error) {
	v.mu.Lock()
	newest, changed := v.newest, v.changed
	v.mu.Unlock()
	batch := feed.Batch{Revision: newest}
	for version := since + 1; version <= newest; version++ {
		batch.Records = append(batch.Records, feed.Record{Name: "main", Revision: version, Value: relay.LargeConfiguration(version, 1500/scale)})
	}
	if err := v.carry(ctx, 400/scale+len(batch.Records)*largeBytes); err != nil {
		return feed.Batch{}, nil, protocol.Wrap(protocol.CodeUnavailable, err, "read")
	}
	return batch, changed, nil
}

func (v *versions) List(ctx context.Context, _ feed.Kind, _ bool) (feed.Batch, error) {
	v.mu.Lock()
	newest := v.newest
	v.mu.Unlock()
	batch, _, err := v.read(ctx, newest-1)
	return batch, err
}

func (v *versions) Watch(ctx context.Context, _ feed.Kind, since int64, wait time.Duration) (feed.Batch, error) {
	timer := time.After(wait)
	for {
		batch, changed, err := v.read(ctx, since)
		if err != nil || len(batch.Records) > 0 {
			return batch, err
		}
		select {
		case <-ctx.Done():
			return batch, protocol.Wrap(protocol.CodeUnavailable, ctx.Err(), "watch")
		case <-timer:
			return batch, nil
		case <-changed:
		}
	}
}

// scale is the factor by which the configuration and the links of the test are smaller than in the fleet, so that decoding in the test is
// fast. largeBytes is the size of the configuration in the store's encoding.
const (
	scale      = 10
	largeBytes = 400_000 / scale
)

// decodeTime is the time in which an entry with 0.2 of a core decodes the configuration: BenchmarkConfiguration measured 11 ms of a core.
const decodeTime = 57 * time.Millisecond

// wiredHost connects a host to the relay over the relay's link, without a network.
type wiredHost struct {
	handler http.Handler
	link    *link
	// plain leaves out that the host takes compressed responses, as earlier versions do.
	plain bool
}

func (h wiredHost) RoundTrip(r *http.Request) (*http.Response, error) {
	if h.plain {
		r.Header.Del("Accept-Encoding")
	}
	recorder := httptest.NewRecorder()
	h.handler.ServeHTTP(recorder, r)
	size := recorder.Body.Len()
	if err := h.link.carry(r.Context(), 400/scale+size); err != nil {
		return nil, err
	}
	if size > 10_000/scale {
		time.Sleep(decodeTime)
	}
	return recorder.Result(), nil
}

// hostsOfRelay is the number of entry hosts that rely on one relay in a fleet of 110 entries in 5 failure domains.
const hostsOfRelay = 21

// spread changes the configuration every 60 ms for a second and returns the time from the last change until it is in force at all hosts of a
// failure domain.
func spread(t *testing.T, plain bool, kind follow.Kind) time.Duration {
	t.Helper()
	var took time.Duration
	synctest.Test(t, func(t *testing.T) {
		const megabit = 1e6 / 8 / scale
		store := &versions{link: link{bytesPerSecond: 28 * megabit}, newest: 1, changed: make(chan struct{})}
		relayLink := &link{bytesPerSecond: 28 * megabit}
		now := func() bootclock.Instant { return bootclock.Instant(time.Now().UnixNano()) }
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		log := logrus.NewEntry(logger)
		cache := relay.NewCache()
		cache.SetNow(now)
		defer cache.Close()
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		first := netip.MustParseAddr("10.0.0.1")
		server := &relay.Server{Cache: cache, Log: log}
		var followers []*follow.Follower
		address := first
		for number := range hostsOfRelay + 1 {
			own := relay.NewCache()
			if number == 0 {
				own = cache
			}
			own.SetNow(now)
			defer own.Close()
			source := relay.NewSource(relay.Config{Store: store, Cache: own, Self: address, Port: 1, Now: now, Log: log})
			source.SetTransport(wiredHost{handler: server, link: relayLink, plain: plain})
			source.SetRelay(first)
			if number == 0 {
				server.Direct = source.Direct
			}
			follower := follow.New(source, follow.Config{Kinds: []follow.Kind{kind}, ProbeWait: 1600 * time.Millisecond, Now: now},
				rand.New(rand.NewPCG(1, uint64(number))), log)
			followers = append(followers, follower)
			running.Go(func() { follower.Run(ctx) })
			running.Go(func() {
				for ; ctx.Err() == nil; time.Sleep(time.Second) {
					source.SetRelay(first)
				}
			})
			address = address.Next()
		}
		time.Sleep(10 * time.Second)
		version := int64(1)
		for ; version < 18; time.Sleep(60 * time.Millisecond) {
			version++
			store.set(version)
		}
		changed := time.Now().Add(-60 * time.Millisecond)
		for _, follower := range followers {
			for view := follower.View(); !view.Ready() || view.Configuration.Version < version; view = follower.View() {
				time.Sleep(10 * time.Millisecond)
				if time.Since(changed) > time.Minute {
					break
				}
			}
		}
		took = time.Since(changed)
	})
	return took
}

// TestLargeConfigurationIsInForceInTime guards against a configuration that is late at 300 hosts. The relay's link carried 0.4 MB
// for each host, longer than the hosts wait, so they read the store over the link between regions, which then was too slow for all.
func TestLargeConfigurationIsInForceInTime(t *testing.T) {
	kind := follow.Kind{Kind: feed.KindConfiguration, CoalesceDelay: 700 * time.Millisecond, NewestOnly: true}
	plain, compressed := spread(t, true, kind), spread(t, false, kind)
	t.Logf("in force after %s uncompressed, %s compressed", plain, compressed)
	require.Greater(t, plain, 3*time.Second)
	require.Less(t, compressed, 3*time.Second)
}
