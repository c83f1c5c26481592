// Package weights brings model versions to an agent and its engine.
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
	// planInterval is the longest time between two looks at the plan.
	planInterval = 100 * time.Millisecond
	// pollWorkers bounds the polls of peers that run at once.
	pollWorkers = 4
	// heardQueue bounds the bitmaps from peers that wait for the plan.
	heardQueue = 16
	// hostsInterval is the time between two looks at the host list.
	hostsInterval = time.Second
)

// ErrSuperseded says that a version is no longer wanted.
var ErrSuperseded = eris.New("the version is no longer the target")

// Fetcher brings all chunks of a version into the chunk table. It fetches one version at a time.
type Fetcher struct {
	parts  FetcherParts
	reason atomic.Value
	// current is the fetch under way, nil when there is none.
	current atomic.Pointer[run]
}

// FetcherParts are the parts that a Fetcher works with.
type FetcherParts struct {
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
func NewFetcher(parts FetcherParts) *Fetcher {
	f := &Fetcher{parts: parts}
	f.reason.Store("")
	return f
}

var _ upstream.PeerListener = (*Fetcher)(nil)

// PeerHolds takes the chunks that a peer says it holds. It never waits: an update that finds the
// fetch busy is dropped, and later ones replace it.
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

// LastError says what the fetch last waited for.
func (f *Fetcher) LastError() string { return f.reason.Load().(string) }

// Fetch brings in the version ref of model and returns once it is complete. It returns
// ErrSuperseded soon after wanted reports false.
func (f *Fetcher) Fetch(ctx context.Context, model core.Model, ref settings.VersionRef, wanted func() bool) error {
	f.reason.Store("")
	manifest, err := f.manifest(ctx, model, ref, wanted)
	if err != nil {
		return err
	}
	return f.fetchChunks(ctx, ref.Digest, manifest, wanted)
}

// run is the fetch of one version. Its plan is used only by the goroutine of Fetch; workers hand
// it their results as events.
type run struct {
	*Fetcher
	digest   core.Digest
	manifest core.Manifest
	plan     *transfer.Planner
	pool     pond.Pool
	polls    pond.Pool
	events   chan func(now time.Time)
}

func (f *Fetcher) fetchChunks(ctx context.Context, digest core.Digest, m core.Manifest, wanted func() bool) error {
	cfg := f.parts.Config
	ctx, cancel := context.WithCancel(ctx)
	r := &run{
		Fetcher:  f,
		digest:   digest,
		manifest: m,
		plan: transfer.New(cfg, f.parts.Self, transfer.Target{Digest: digest, Chunks: len(m.Chunks)},
			f.parts.Random, f.parts.Now()),
		pool:   pond.NewPool(cfg.DownloadSlots),
		polls:  pond.NewPool(pollWorkers),
		events: make(chan func(time.Time), cfg.DownloadSlots+pollWorkers+heardQueue),
	}
	f.current.Store(r)
	defer f.current.Store(nil)
	defer r.polls.StopAndWait()
	defer r.pool.StopAndWait()
	defer cancel()
	for index := range m.Chunks {
		if _, held := f.parts.Chunks.Get(digest, index); held {
			r.plan.MarkHeld(index)
		}
	}
	return r.loop(ctx, wanted)
}

func (r *run) loop(ctx context.Context, wanted func() bool) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	var listed time.Time
	for !r.plan.Complete() {
		if !wanted() {
			return ErrSuperseded
		}
		now := r.parts.Now()
		if now.Sub(listed) >= hostsInterval {
			r.plan.SetHosts(r.parts.Hosts())
			listed = now
		}
		r.act(ctx, r.plan.Step(now))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-r.events:
			event(r.parts.Now())
		case <-ticker.C:
		}
	}
	return nil
}

func (r *run) act(ctx context.Context, actions transfer.Actions) {
	for _, peer := range actions.Polls {
		r.polls.Submit(func() { r.poll(ctx, peer) })
	}
	for _, fetch := range actions.Fetches {
		peer, _ := r.host(fetch.Source.Peer)
		r.pool.Submit(func() { r.fetch(ctx, fetch, peer) })
	}
}

func (r *run) host(id core.HostID) (core.Host, bool) {
	for _, host := range r.parts.Hosts() {
		if host.ID == id {
			return host, true
		}
	}
	return core.Host{}, false
}

// send hands an event to the goroutine of Fetch unless the fetch has ended.
func (r *run) send(ctx context.Context, event func(now time.Time)) {
	select {
	case r.events <- event:
	case <-ctx.Done():
	}
}

func (r *run) poll(ctx context.Context, peer core.Host) {
	varPolls.Add(1)
	response, err := r.parts.Peers.PollChunks(ctx, peer, r.digest, false)
	r.send(ctx, func(now time.Time) {
		if err != nil {
			r.plan.HandlePollFailure(now, peer.ID)
			return
		}
		r.plan.HandlePollResponse(now, peer.ID, response.GetBitmap())
	})
}

func (r *run) fetch(ctx context.Context, fetch transfer.Fetch, peer core.Host) {
	var held transfer.Bitmap
	var err error
	if fetch.Source.IsOrigin() {
		err = r.fromOrigin(ctx, fetch.Index)
	} else {
		held, err = r.fromPeer(ctx, fetch, peer)
	}
	result := transfer.Result{Fetch: fetch, Outcome: transport.FetchOutcome(err), RetryAfter: retryAfterOf(err)}
	countFetch(result.Outcome)
	if err == nil {
		r.reason.Store("")
	} else if ctx.Err() == nil {
		r.reason.Store(err.Error())
		r.parts.Log.WithError(err).WithField("chunk", fetch.Index).WithField("peer", fetch.Source.Peer).Info("fetch chunk")
	}
	r.send(ctx, func(now time.Time) {
		if held != nil {
			r.plan.HandlePollResponse(now, peer.ID, held)
		}
		r.plan.HandleResult(now, result)
	})
}

func (r *run) fromPeer(ctx context.Context, fetch transfer.Fetch, peer core.Host) (transfer.Bitmap, error) {
	start, end := r.manifest.ChunkRange(fetch.Index)
	if err := r.parts.Limits.WaitPeer(ctx, end-start, fetch.CrossRegion); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.parts.Config.ChunkTimeout)
	defer cancel()
	data, held, err := r.parts.Peers.FetchChunk(ctx, peer, r.digest, fetch.Index, end-start)
	if err != nil {
		return nil, err
	}
	r.parts.Counters.addPeer(len(data), fetch.CrossRegion)
	return held, r.store(fetch.Index, data)
}

func (r *run) fromOrigin(ctx context.Context, index int) error {
	start, end := r.manifest.ChunkRange(index)
	if err := r.parts.Limits.WaitOrigin(ctx, end-start); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, r.parts.Config.ChunkTimeout)
	defer cancel()
	data, err := r.parts.Source.Range(ctx, platform.RangeRequest{
		Model: r.manifest.Model, Version: r.manifest.Version, ETag: r.parts.Chunks.ETag(r.digest), Start: start, End: end,
	})
	if protocol.CodeOf(err) == protocol.CodeChanged {
		return r.refreshETag(ctx, err)
	}
	if err != nil {
		return err
	}
	r.parts.Counters.addOrigin(len(data))
	return r.store(index, data)
}

// refreshETag reads the entity tag again after the weight source refused the one known. The tag
// may have come from a peer; if the manifest still has the wanted digest, the next try uses the new tag.
func (r *run) refreshETag(ctx context.Context, cause error) error {
	response, err := r.parts.Source.Manifest(ctx, r.manifest.Model, r.manifest.Version)
	if err != nil {
		return err
	}
	if _, err := core.ParseManifest(response.Body, r.digest); err == nil {
		r.parts.Chunks.SetETag(r.digest, response.ETag)
	}
	return cause
}

// store keeps a chunk that matches its hash.
func (r *run) store(index int, data []byte) error {
	if r.parts.Chunks.Put(r.digest, index, data) {
		return nil
	}
	if _, _, ok := r.parts.Chunks.Manifest(r.digest); !ok {
		return ErrSuperseded
	}
	r.parts.Counters.addRejected()
	return protocol.Errorf(protocol.CodeMalformed, "chunk %d of version %s does not match its hash", index, r.digest)
}

func retryAfterOf(err error) time.Duration {
	var e *protocol.Error
	if eris.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}
