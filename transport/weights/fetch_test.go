package weights

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/guavatrestle/guavatrestle/coordination/admission"
	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
	"github.com/guavatrestle/guavatrestle/state/table"
	"github.com/guavatrestle/guavatrestle/transport/platform"
	"github.com/guavatrestle/guavatrestle/transport/upstream"
)

const (
	testChunk    = 1000
	fetchTimeout = 15 * time.Second
)

// fixture is a fetcher with an origin and peers on loopback.
type fixture struct {
	t        *testing.T
	content  []byte
	manifest core.Manifest
	body     []byte
	digest   core.Digest
	hosts    []core.Host
	chunks   *table.Chunks
	counters *Counters
	cfg      transfer.Config
	origin   http.HandlerFunc
	now      func() time.Time
	// originRanges counts the range requests that reached the origin.
	originRanges atomic.Int64
}

func newFixture(t *testing.T) *fixture {
	content := make([]byte, 5*testChunk+1)
	for i := range content {
		content[i] = byte(i * i)
	}
	manifest, err := core.BuildManifest("m", "v", content, testChunk)
	require.NoError(t, err)
	body, err := manifest.Canonical()
	require.NoError(t, err)
	cfg := transfer.Config{Transfer: config.DefaultTransfer(), Strategy: transfer.StrategySwarm, OriginRegion: "r"}
	cfg.RetryBase, cfg.RetryCap, cfg.TakeOver = time.Millisecond, time.Millisecond, time.Hour
	cfg.PollInterval = time.Millisecond
	return &fixture{
		t: t, content: content, manifest: manifest, body: body, digest: core.DigestOf(body),
		chunks: table.NewChunks(), counters: &Counters{}, cfg: cfg, now: time.Now,
	}
}

// serveOrigin responds as an origin does. Tests replace it by origin, which may call it.
func (f *fixture) serveOrigin(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/manifest") {
		w.Header().Set("ETag", `"good"`)
		_, _ = w.Write(f.body)
		return
	}
	f.originRanges.Add(1)
	w.Header().Set("ETag", `"good"`)
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(f.content))
}

// startPeer starts an agent that holds the version and serves chunks through the handler that wrap returns.
func (f *fixture) startPeer(id core.HostID, wrap func(http.Handler) http.Handler) {
	chunks := table.NewChunks()
	require.NoError(f.t, chunks.AddManifest(f.digest, f.manifest, f.body, `"good"`))
	for i := range f.manifest.Chunks {
		start, end := f.manifest.ChunkRange(i)
		require.True(f.t, chunks.Put(f.digest, i, f.content[start:end]))
	}
	limits := NewLimits(config.Agent{Transfer: &f.cfg.Transfer}, func() bool { return false })
	handler := NewChunkHandler(chunks, limits, func(core.Digest) bool { return false }, 1, time.Minute)
	mux := http.NewServeMux()
	mux.Handle("GET /chunks/{digest}/{index}", wrap(handler))
	service := upstream.NewService(core.Host{ID: id}, table.NewSettings(), chunks, upstream.NewGate(admission.Config{}, time.Now))
	mux.Handle(wire.AgentPathPrefix, wire.NewAgentServer(service))
	server := httptest.NewServer(mux)
	f.t.Cleanup(server.Close)
	addr := strings.TrimPrefix(server.URL, "http://")
	f.hosts = append(f.hosts, core.Host{
		ID: id, Role: core.RoleAgent, Upstream: "u", Region: "r", FailureDomain: "d", ControlAddr: addr, DataAddr: addr,
	})
}

func (f *fixture) fetch(ctx context.Context, wanted func() bool) error {
	// The timeout only ends a fetch that would never finish.
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	origin := f.origin
	if origin == nil {
		origin = f.serveOrigin
	}
	server := httptest.NewServer(origin)
	defer server.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := core.Host{ID: "self", Role: core.RoleAgent, Upstream: "u", Region: "r", FailureDomain: "d"}
	peers := NewPeerClient(self, f.chunks)
	defer peers.Close()
	fetcher := NewFetcher(FetcherDependencies{
		Self: self, Config: f.cfg, Source: platform.NewWeightClient(server.URL), Chunks: f.chunks,
		Hosts: func() []core.Host { return f.hosts }, Peers: peers,
		Limits:   NewLimits(config.Agent{Transfer: &f.cfg.Transfer}, func() bool { return false }),
		Counters: f.counters, Random: rand.New(rand.NewPCG(1, 1)), Now: f.now, Log: logrus.NewEntry(log),
	})
	return fetcher.Fetch(ctx, "m", settings.VersionRef{Version: "v", Digest: f.digest}, wanted)
}

func (f *fixture) requireComplete() {
	got, err := io.ReadAll(newChunkReader(f.chunks, f.digest, f.manifest, nil))
	require.NoError(f.t, err)
	require.True(f.t, bytes.Equal(f.content, got), "content differs")
}

func always() bool { return true }

func unwrapped(h http.Handler) http.Handler { return h }

// TestFetchUsesPeersBeforeTheOrigin guards against a host that fetches chunks from the origin although peers hold
// them.
func TestFetchUsesPeersBeforeTheOrigin(t *testing.T) {
	f := newFixture(t)
	f.startPeer("a", unwrapped)
	f.startPeer("b", unwrapped)
	require.NoError(t, f.fetch(t.Context(), always))
	f.requireComplete()
	require.Zero(t, f.originRanges.Load())
	require.EqualValues(t, len(f.content), f.counters.PeerBytes())
}

// TestDirectStrategyUsesTheOriginAlone guards against a direct baseline that fetches chunks from peers.
func TestDirectStrategyUsesTheOriginAlone(t *testing.T) {
	f := newFixture(t)
	f.startPeer("a", unwrapped)
	f.cfg.Strategy = transfer.StrategyDirect
	require.NoError(t, f.fetch(t.Context(), always))
	f.requireComplete()
	require.EqualValues(t, len(f.manifest.Chunks), f.originRanges.Load())
	require.Zero(t, f.counters.PeerBytes())
}

// TestCorruptChunkIsRejectedAndFetchedElsewhere guards against storing corrupt bytes from a peer.
func TestCorruptChunkIsRejectedAndFetchedElsewhere(t *testing.T) {
	f := newFixture(t)
	var once sync.Once
	corruptSent := make(chan struct{})
	f.startPeer("bad", func(http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, testChunk))
			once.Do(func() { close(corruptSent) })
		})
	})
	// The good peer waits for the bad one, so that it cannot send all chunks before the bad one is asked for any.
	f.startPeer("good", func(chunks http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-corruptSent:
				chunks.ServeHTTP(w, r)
			case <-r.Context().Done():
			}
		})
	})
	require.NoError(t, f.fetch(t.Context(), always))
	f.requireComplete()
	require.Positive(t, f.counters.RejectedChunks())
}

// TestCorruptOriginRangeIsRejected guards against storing corrupt bytes from the origin.
func TestCorruptOriginRangeIsRejected(t *testing.T) {
	f := newFixture(t)
	var once sync.Once
	f.origin = func(w http.ResponseWriter, r *http.Request) {
		bad := false
		if strings.HasSuffix(r.URL.Path, "/weights") {
			once.Do(func() { bad = true })
		}
		if bad {
			w.WriteHeader(http.StatusPartialContent)
			_, _ = w.Write(make([]byte, testChunk))
			return
		}
		f.serveOrigin(w, r)
	}
	require.NoError(t, f.fetch(t.Context(), always))
	f.requireComplete()
	require.EqualValues(t, 1, f.counters.RejectedChunks())
}

// TestStalledPeerDoesNotHoldUpTheFetch guards against a fetch that waits forever for a peer that does not respond.
func TestStalledPeerDoesNotHoldUpTheFetch(t *testing.T) {
	f := newFixture(t)
	f.cfg.ChunkTimeout = 50 * time.Millisecond
	f.startPeer("stalled", func(http.Handler) http.Handler {
		return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	})
	f.startPeer("good", unwrapped)
	require.NoError(t, f.fetch(t.Context(), always))
	f.requireComplete()
}

// TestOldETagIsRefreshed guards against a fetch that fails with 412 for good because a peer gave it an outdated
// entity tag.
func TestOldETagIsRefreshed(t *testing.T) {
	f := newFixture(t)
	require.NoError(t, f.chunks.AddManifest(f.digest, f.manifest, f.body, `"stale"`))
	require.NoError(t, f.fetch(t.Context(), always))
	f.requireComplete()
	require.Equal(t, `"good"`, f.chunks.ETag(f.digest))
}

// TestChangedVersionIsNotMixed guards against mixing chunks of two contents when a version changes at the origin
// during a fetch.
func TestChangedVersionIsNotMixed(t *testing.T) {
	f := newFixture(t)
	var refused atomic.Int64
	f.origin = func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/manifest") && refused.Load() > 0 {
			_, _ = w.Write([]byte(`{"model":"m","version":"changed"}`))
			return
		}
		if strings.HasSuffix(r.URL.Path, "/weights") && f.originRanges.Load() >= 2 {
			refused.Add(1)
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
		f.serveOrigin(w, r)
	}
	err := f.fetch(t.Context(), func() bool { return refused.Load() < 3 })
	require.ErrorIs(t, err, ErrSuperseded)
	held, total := f.chunks.Progress(f.digest)
	require.Less(t, held, total)
}

// TestRetryAfterOfTheOriginIsHonoured guards against requests to the origin before its Retry-After has passed.
func TestRetryAfterOfTheOriginIsHonoured(t *testing.T) {
	f := newFixture(t)
	f.cfg.OriginSlots = 1
	start := time.Now()
	var requests, seconds atomic.Int64
	f.now = func() time.Time { return start.Add(time.Duration(seconds.Load()) * time.Second) }
	f.origin = func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/weights") && requests.Add(1) == 1 {
			w.Header().Set("Retry-After", "7")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		f.serveOrigin(w, r)
	}
	// The clock stays at 6 s for some steps of the plan and then reaches the 7 s of Retry-After.
	rounds := 0
	wanted := func() bool {
		if requests.Load() > 0 {
			rounds++
		}
		switch rounds {
		case 3:
			seconds.Store(6)
		case 8:
			require.EqualValues(t, 1, requests.Load(), "requests before Retry-After has passed")
			seconds.Store(7)
		}
		return true
	}
	require.NoError(t, f.fetch(t.Context(), wanted))
	f.requireComplete()
}

// TestSupersededFetchEndsItsWorkers guards against goroutines that outlive a superseded fetch.
func TestSupersededFetchEndsItsWorkers(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	f := newFixture(t)
	started := make(chan struct{})
	var once sync.Once
	f.origin = func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/weights") {
			once.Do(func() { close(started) })
			<-r.Context().Done()
			return
		}
		f.serveOrigin(w, r)
	}
	err := f.fetch(t.Context(), func() bool {
		select {
		case <-started:
			return false
		default:
			return true
		}
	})
	require.ErrorIs(t, err, ErrSuperseded)
}

// TestUploadSlotsAndWithdrawalBoundServing guards against more concurrent uploads than slots and against serving a
// withdrawn version.
func TestUploadSlotsAndWithdrawalBoundServing(t *testing.T) {
	f := newFixture(t)
	require.NoError(t, f.chunks.AddManifest(f.digest, f.manifest, f.body, ""))
	require.True(t, f.chunks.Put(f.digest, 0, f.content[:testChunk]))
	withdrawn := false
	limits := NewLimits(config.Agent{Transfer: &f.cfg.Transfer}, func() bool { return false })
	h := NewChunkHandler(f.chunks, limits, func(core.Digest) bool { return withdrawn }, 1, time.Minute)
	get := func() *httptest.ResponseRecorder {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.SetPathValue("digest", string(f.digest))
		r.SetPathValue("index", "0")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w
	}
	require.Equal(t, http.StatusOK, get().Code)
	h.slots <- struct{}{}
	busy := get()
	require.Equal(t, http.StatusTooManyRequests, busy.Code)
	require.Equal(t, "1", busy.Header().Get("Retry-After"))
	<-h.slots
	withdrawn = true
	require.Equal(t, http.StatusNotFound, get().Code)
}
