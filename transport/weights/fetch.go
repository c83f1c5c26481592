// Package weights transfers model versions to an agent and loads them into its engine.
package weights

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
	"github.com/guavatrestle/guavatrestle/state/table"
	"github.com/guavatrestle/guavatrestle/transport"
	"github.com/guavatrestle/guavatrestle/transport/upstream"
)

const (
	// planInterval is the longest time between two steps of the transfer plan.
	planInterval = 100 * time.Millisecond
	// pollWorkers bounds the concurrent polls of peers.
	pollWorkers = 4
	// bitmapQueueLength bounds the chunk bitmaps from peers that are queued for the plan.
	bitmapQueueLength = 16
	// hostListInterval is the time between two reads of the host list.
	hostListInterval = time.Second
)

// ErrSuperseded is returned when a version is no longer the target or has been withdrawn.
var ErrSuperseded = eris.New("version is no longer the target or is withdrawn")

// Fetcher fetches all chunks of a version into the chunk table, one version at a time.
type Fetcher struct {
	deps      FetcherDependencies
	lastError atomic.Value
	// current is the fetch in progress, nil if there is none.
	current atomic.Pointer[versionFetch]
}

// FetcherDependencies holds the settings and dependencies of a Fetcher.
type FetcherDependencies struct {
	Self     core.Host
	Config   transfer.Config
	Source   platform.WeightSource
	Chunks   *table.Chunks
	Hosts    func() []core.Host
	Peers    *PeerClient
	Limits   *Limits
	Counters *Counters
	// Random is used by one goroutine at a time and must not be shared.
	Random *rand.Rand
	Now    func() time.Time
	Log    *logrus.Entry
}

// NewFetcher returns a Fetcher.
func NewFetcher(deps FetcherDependencies) *Fetcher {
	f := &Fetcher{deps: deps}
	f.lastError.Store("")
	return f
}

var _ upstream.PeerListener = (*Fetcher)(nil)

// PeerHolds records the chunks that a peer reports to hold. It never blocks: an update is dropped when the event queue is
// full, since later updates replace it.
func (f *Fetcher) PeerHolds(host core.HostID, digest core.Digest, bitmap []byte) {
	r := f.current.Load()
	if r == nil || r.digest != digest {
		return
	}
	select {
	case r.events <- func(now time.Time) { r.plan.HandlePeerBitmap(now, host, bitmap) }:
	default:
	}
}

// LastError returns the error message of the last attempt to fetch a chunk or the manifest, empty if it succeeded.
func (f *Fetcher) LastError() string { return f.lastError.Load().(string) }

// Fetch fetches the version ref of model and returns once it is complete. It returns ErrSuperseded soon after wanted
// reports false.
func (f *Fetcher) Fetch(ctx context.Context, model core.Model, ref settings.VersionRef, wanted func() bool) error {
	f.lastError.Store("")
	manifest, err := f.obtainManifest(ctx, model, ref, wanted)
	if err != nil {
		return err
	}
	return f.fetchChunks(ctx, ref.Digest, manifest, wanted)
}

// versionFetch is the fetch of one version. Only the goroutine of Fetch uses its plan; workers send it their results
// as events.
type versionFetch struct {
	*Fetcher
	digest    core.Digest
	manifest  core.Manifest
	plan      *transfer.Planner
	fetchPool pond.Pool
	pollPool  pond.Pool
	events    chan func(now time.Time)
}

func (f *Fetcher) fetchChunks(ctx context.Context, digest core.Digest, m core.Manifest, wanted func() bool) error {
	cfg := f.deps.Config
	ctx, cancel := context.WithCancel(ctx)
	r := &versionFetch{
		Fetcher:  f,
		digest:   digest,
		manifest: m,
		plan: transfer.New(cfg, f.deps.Self, transfer.Target{Digest: digest, Chunks: len(m.Chunks)},
			f.deps.Random, f.deps.Now()),
		fetchPool: pond.NewPool(cfg.DownloadSlots),
		pollPool:  pond.NewPool(pollWorkers),
		events:    make(chan func(time.Time), cfg.DownloadSlots+pollWorkers+bitmapQueueLength),
	}
	f.current.Store(r)
	defer f.current.Store(nil)
	defer r.pollPool.StopAndWait()
	defer r.fetchPool.StopAndWait()
	defer cancel()
	for index := range m.Chunks {
		if _, held := f.deps.Chunks.Get(digest, index); held {
			r.plan.MarkHeld(index)
		}
	}
	return r.loop(ctx, wanted)
}

func (r *versionFetch) loop(ctx context.Context, wanted func() bool) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	var hostsReadAt time.Time
	for !r.plan.Complete() {
		if !wanted() {
			return ErrSuperseded
		}
		now := r.deps.Now()
		if now.Sub(hostsReadAt) >= hostListInterval {
			r.plan.SetHosts(r.deps.Hosts())
			hostsReadAt = now
		}
		r.startActions(ctx, r.plan.Step(now))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-r.events:
			event(r.deps.Now())
		case <-ticker.C:
		}
	}
	return nil
}

func (r *versionFetch) startActions(ctx context.Context, actions transfer.Actions) {
	for _, peer := range actions.Polls {
		r.pollPool.Submit(func() { r.pollPeer(ctx, peer) })
	}
	for _, fetch := range actions.Fetches {
		peer, _ := r.findHost(fetch.Source.Peer)
		r.fetchPool.Submit(func() { r.fetchChunk(ctx, fetch, peer) })
	}
}

func (r *versionFetch) findHost(id core.HostID) (core.Host, bool) {
	for _, host := range r.deps.Hosts() {
		if host.ID == id {
			return host, true
		}
	}
	return core.Host{}, false
}

// postEvent sends an event to the goroutine of Fetch unless the fetch has ended.
func (r *versionFetch) postEvent(ctx context.Context, event func(now time.Time)) {
	select {
	case r.events <- event:
	case <-ctx.Done():
	}
}

func (r *versionFetch) pollPeer(ctx context.Context, peer core.Host) {
	varPolls.Add(1)
	response, err := r.deps.Peers.PollChunks(ctx, peer, r.digest, false)
	r.postEvent(ctx, func(now time.Time) {
		if err != nil {
			r.plan.HandlePollFailure(now, peer.ID)
			return
		}
		r.plan.HandlePollResponse(now, peer.ID, response.GetBitmap())
	})
}

func (r *versionFetch) fetchChunk(ctx context.Context, fetch transfer.Fetch, peer core.Host) {
	var bitmap transfer.Bitmap
	var err error
	if fetch.Source.IsOrigin() {
		err = r.fetchFromOrigin(ctx, fetch.Index)
	} else {
		bitmap, err = r.fetchFromPeer(ctx, fetch, peer)
	}
	result := transfer.Result{Fetch: fetch, Outcome: transport.FetchOutcome(err), RetryAfter: retryAfterOf(err)}
	countFetchOutcome(result.Outcome)
	if err == nil {
		r.lastError.Store("")
	} else if ctx.Err() == nil {
		r.lastError.Store(err.Error())
		r.deps.Log.WithError(err).WithField("chunk", fetch.Index).WithField("peer", fetch.Source.Peer).Info("fetch chunk")
	}
	r.postEvent(ctx, func(now time.Time) {
		if bitmap != nil {
			r.plan.HandlePollResponse(now, peer.ID, bitmap)
		}
		r.plan.HandleResult(now, result)
	})
}

func (r *versionFetch) fetchFromPeer(ctx context.Context, fetch transfer.Fetch, peer core.Host) (transfer.Bitmap, error) {
	start, end := r.manifest.ChunkRange(fetch.Index)
	if err := r.deps.Limits.WaitPeer(ctx, end-start, fetch.CrossRegion); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.deps.Config.ChunkTimeout)
	defer cancel()
	data, bitmap, err := r.deps.Peers.FetchChunk(ctx, peer, r.digest, fetch.Index, end-start)
	if err != nil {
		return nil, err
	}
	r.deps.Counters.addPeerBytes(len(data), fetch.CrossRegion)
	return bitmap, r.storeChunk(fetch.Index, data)
}

func (r *versionFetch) fetchFromOrigin(ctx context.Context, index int) error {
	start, end := r.manifest.ChunkRange(index)
	if err := r.deps.Limits.WaitOrigin(ctx, end-start); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, r.deps.Config.ChunkTimeout)
	defer cancel()
	data, err := r.deps.Source.Range(ctx, platform.RangeRequest{
		Model: r.manifest.Model, Version: r.manifest.Version, ETag: r.deps.Chunks.ETag(r.digest), Start: start, End: end,
	})
	if protocol.CodeOf(err) == protocol.CodeChanged {
		return r.refreshETag(ctx, err)
	}
	if err != nil {
		return err
	}
	r.deps.Counters.addOriginBytes(len(data))
	return r.storeChunk(index, data)
}

// refreshETag reads the entity tag again after the weight source rejected the present one, which may have come from a
// peer. If the manifest still has the wanted digest, the next attempt uses the new tag.
func (r *versionFetch) refreshETag(ctx context.Context, cause error) error {
	response, err := r.deps.Source.Manifest(ctx, r.manifest.Model, r.manifest.Version)
	if err != nil {
		return err
	}
	if _, err := core.ParseManifest(response.Body, r.digest); err == nil {
		r.deps.Chunks.SetETag(r.digest, response.ETag)
	}
	return cause
}

// storeChunk stores a chunk if it matches its hash.
func (r *versionFetch) storeChunk(index int, data []byte) error {
	if r.deps.Chunks.Put(r.digest, index, data) {
		return nil
	}
	if _, _, ok := r.deps.Chunks.Manifest(r.digest); !ok {
		return ErrSuperseded
	}
	r.deps.Counters.addRejectedChunk()
	return protocol.Errorf(protocol.CodeMalformed, "chunk %d of version %s does not match its hash", index, r.digest)
}

func retryAfterOf(err error) time.Duration {
	var e *protocol.Error
	if eris.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}
