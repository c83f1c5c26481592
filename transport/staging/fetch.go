package staging

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/worker"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport"
)

const (
	// planInterval is the longest time between two steps of the transfer plan.
	planInterval = 50 * time.Millisecond
	// pollTimeout bounds one request to a peer for the pieces it holds.
	pollTimeout = time.Second
	// manifestTimeout bounds one read of a manifest.
	manifestTimeout = 2 * time.Second
	// stageTimeout bounds the staging of one piece at the worker.
	stageTimeout = 2 * time.Second
	// maxStageAttempts bounds the attempts to stage one piece.
	maxStageAttempts = 3
	// maxMismatchedPieces is the number of pieces that do not match their digest after which the manifest is read
	// again.
	maxMismatchedPieces = 3
	// eventQueueLength bounds the results that are queued for the plan.
	eventQueueLength = 32
)

// versionFetch is the fetch of one version. Only loop uses its plan; the pool's workers send it their results as
// events.
type versionFetch struct {
	*Agent
	target     target
	plan       *transfer.Planner
	pool       pond.Pool
	events     chan func(now time.Time)
	mismatched int
	// memoryOnly is set while the worker's staging area is in use by another version: pieces are only put into the cache.
	memoryOnly bool
	// wanted reports whether the fetch goes on.
	wanted func(target) bool
	// firstWrite logs the moment from which the staging area no longer holds only an earlier version.
	firstWrite sync.Once
}

// fetch fetches all pieces of a version and stages them at the worker, or only puts them into the cache. It returns early when the
// version is no longer wanted.
func (a *Agent) fetch(ctx context.Context, t target, memoryOnly bool) error {
	wanted := a.wants
	if memoryOnly {
		wanted = a.wantsAhead
	}
	manifest, err := a.obtainManifest(ctx, t, func() bool { return wanted(t) })
	if errors.Is(err, errSuperseded) {
		return nil
	}
	if err != nil {
		return err
	}
	a.setFetching(t, memoryOnly)
	if !memoryOnly {
		a.releaseLoaded(t)
	}
	a.pieces.open(t, manifest, a.inUse)
	ctx, cancel := context.WithCancel(ctx)
	cfg := a.Config.Transfer
	r := &versionFetch{
		Agent:      a,
		target:     t,
		memoryOnly: memoryOnly,
		wanted:     wanted,
		plan: transfer.New(a.fetchConfig(memoryOnly), a.self(), transfer.Target{Digest: versionKey(t), Chunks: len(manifest.Digests)},
			a.forkRandom(), a.Now()),
		pool:   pond.NewPool(cfg.DownloadSlots + cfg.Neighbors),
		events: make(chan func(time.Time), eventQueueLength),
	}
	defer r.pool.StopAndWait()
	defer cancel()
	defer a.trackFetch(r)()
	if err := r.adoptPieces(ctx, manifest); err != nil {
		return err
	}
	r.logTarget().WithField("missing", r.plan.Missing()).WithField("pieces", len(manifest.Digests)).Info("fetch started")
	return r.loop(ctx)
}

func (r *versionFetch) logTarget() *logrus.Entry {
	return r.Log.WithField("model", r.target.model).WithField("version", r.target.version)
}

// setFetching notes the version whose pieces are being staged, or fetched ahead into memory.
func (a *Agent) setFetching(t target, ahead bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ahead {
		a.ahead = t
	} else {
		a.fetching = t
	}
}

// fetchConfig returns the settings of a fetch. One into memory leaves download slots to the version that is staged meanwhile.
func (a *Agent) fetchConfig(memoryOnly bool) transfer.Config {
	cfg := a.transferConfig()
	if memoryOnly {
		cfg.DownloadSlots = max(cfg.DownloadSlots/2, 1)
	}
	return cfg
}

// readManifest returns the manifest of a version, from the piece cache if it is held there and otherwise from the origin.
func (a *Agent) readManifest(ctx context.Context, t target) (worker.Manifest, error) {
	if manifest, ok := a.cachedManifest(t); ok {
		return manifest, nil
	}
	origin, ok := a.origin()
	if !ok {
		return worker.Manifest{}, protocol.Errorf(protocol.CodeUnavailable, "the configuration names no weight origin")
	}
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	manifest, err := a.Origin.Manifest(ctx, origin.Address, t.model, t.version)
	if !errors.Is(ctx.Err(), context.Canceled) {
		a.noteOrigin(err)
	}
	if err != nil {
		return manifest, err
	}
	if manifest.Model != t.model || manifest.Version != t.version {
		return manifest, protocol.Errorf(protocol.CodeMalformed, "manifest is of %s version %d, want %s version %d",
			manifest.Model, manifest.Version, t.model, t.version)
	}
	return manifest, a.checkManifest(manifest, manifestOrigin)
}

func (r *versionFetch) loop(ctx context.Context) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for !r.plan.Complete() {
		r.noteSupply(r.target, r.plan.Missing(), r.plan.Absent(), r.plan.IdleFor(r.Now()))
		if !r.wanted(r.target) {
			r.logTarget().WithField("missing", r.plan.Missing()).Info("fetch superseded")
			return nil
		}
		if r.mismatched >= maxMismatchedPieces {
			r.pieces.reject(r.target)
			return protocol.Errorf(protocol.CodeMalformed, "%d pieces do not match the manifest", r.mismatched)
		}
		r.plan.SetHosts(r.hosts())
		r.plan.AllowOrigin(!r.memoryOnly || r.aheadFromOrigin(r.target.model))
		r.startActions(ctx, r.plan.Step(r.Now()))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-r.events:
			event(r.Now())
		case <-ticker.C:
		}
	}
	r.noteSupply(r.target, 0, 0, 0)
	return nil
}

func (r *versionFetch) startActions(ctx context.Context, actions transfer.Actions) {
	for _, peer := range actions.Polls {
		r.pool.Submit(func() { r.pollPeer(ctx, peer) })
	}
	for _, fetch := range actions.Fetches {
		r.pool.Submit(func() { r.fetchPiece(ctx, fetch) })
	}
}

// postEvent sends an event to loop unless the fetch has ended.
func (r *versionFetch) postEvent(ctx context.Context, event func(now time.Time)) {
	select {
	case r.events <- event:
	case <-ctx.Done():
	}
}

func (r *versionFetch) pollPeer(ctx context.Context, peer core.Host) {
	callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	held, err := r.peers.heldPieces(callCtx, peer.DataAddr, r.target, r.pieces.held(r.target))
	r.postEvent(ctx, func(now time.Time) {
		if err != nil {
			r.plan.HandlePollFailure(now, peer.ID)
			return
		}
		r.plan.HandlePollResponse(now, peer.ID, held)
	})
}

func (r *versionFetch) fetchPiece(ctx context.Context, fetch transfer.Fetch) {
	data, held, err := r.requestPiece(ctx, fetch)
	if err == nil {
		err = r.checkAndStage(ctx, fetch.Index, data)
	}
	if err != nil && ctx.Err() == nil && protocol.CodeOf(err) != protocol.CodeRateLimited {
		r.Log.WithError(err).WithField("piece", fetch.Index).WithField("version", r.target.version).
			WithField("peer", fetch.Source.Peer).Info("fetch piece")
	}
	result := transfer.Result{Fetch: fetch, Outcome: transport.FetchOutcome(err), RetryAfter: protocol.RetryAfterOf(err)}
	countPiece(fetch, result.Outcome, len(data))
	r.postEvent(ctx, func(now time.Time) {
		if held != nil {
			r.plan.HandlePollResponse(now, fetch.Source.Peer, held)
		}
		if result.Outcome == transfer.OutcomeCorrupt {
			r.mismatched++
		}
		r.plan.HandleResult(now, result)
	})
}

// requestPiece requests a piece from its source. Fetches from the origin are not throttled: they share its link with those of other hosts,
// and while they waited for slots that fetches from peers had, a third of that link was unused.
func (r *versionFetch) requestPiece(ctx context.Context, fetch transfer.Fetch) ([]byte, transfer.Bitmap, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Config.Transfer.ChunkTimeout)
	defer cancel()
	if !fetch.Source.IsOrigin() {
		if err := r.throttle.acquire(ctx); err != nil {
			return nil, nil, err
		}
		started := r.Now()
		defer func() { r.throttle.release(r.Now().Sub(started), r.pieceTimeAlone()) }()
		return r.peers.fetchPiece(ctx, r.peerAddress(string(fetch.Source.Peer)), r.target, fetch, r.pieces.held(r.target), r.maxPieceBytes())
	}
	origin, ok := r.origin()
	if !ok {
		return nil, nil, protocol.Errorf(protocol.CodeUnavailable, "the configuration names no weight origin")
	}
	data, err := r.Origin.Piece(ctx, origin.Address, r.target.model, r.target.version, fetch.Index, r.maxPieceBytes())
	if !errors.Is(ctx.Err(), context.Canceled) {
		r.noteOrigin(err)
	}
	return data, nil, err
}

// pieceTimeAlone returns the time to fetch a piece with the whole link of this host, 0 if its bandwidth or the size is unknown.
func (a *Agent) pieceTimeAlone() time.Duration {
	size := a.maxPieceBytes()
	if a.LinkBytesPerSecond <= 0 || size == largestPieceBytes {
		return 0
	}
	return time.Duration(float64(size) / a.LinkBytesPerSecond * float64(time.Second))
}

// checkAndStage checks a piece against its digest, stages it at the worker and caches it for peers.
func (r *versionFetch) checkAndStage(ctx context.Context, index int, data []byte) error {
	digests, ok := r.pieces.digests(r.target)
	if !ok {
		return protocol.Errorf(protocol.CodeChanged, "version %d is no longer being fetched", r.target.version)
	}
	if !digests[index].Matches(data) {
		return protocol.Errorf(protocol.CodeMalformed, "piece %d does not match its digest", index)
	}
	if r.memoryOnly {
		r.pieces.put(r.target, index, data)
		return nil
	}
	r.firstWrite.Do(func() { r.logTarget().WithField("piece", index).Info("first piece staged") })
	// A piece that can't be staged now is still useful to peers.
	r.pieces.put(r.target, index, data)
	return r.stageAndRetry(ctx, index, data)
}

// stage stages a piece. The call goes on when ctx ends, because a canceled one could take effect after pieces of the next
// version have been staged. The same holds for one that is not answered within stageTimeout, which is only counted.
func (a *Agent) stage(ctx context.Context, t target, index int, data []byte) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stageTimeout)
	defer cancel()
	a.noteStaged(t, index, false)
	err := a.Worker.Stage(ctx, t.model, index, data)
	if err == nil {
		a.noteStaged(t, index, true)
	}
	if ctx.Err() != nil {
		varWritesUnanswered.Add(1)
		a.Log.WithFields(logrus.Fields{"model": t.model, "version": t.version, "piece": index}).
			Warn("staging of a piece not answered")
	}
	return err
}

func (a *Agent) readStaged(ctx context.Context, model core.Model, index int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	return a.Worker.ReadStaged(ctx, model, index, a.maxPieceBytes())
}

// maxPieceBytes returns the size that the configuration states for pieces, or an upper bound if it states none. Sources of pieces may
// send bytes without end, several of them at a time.
func (a *Agent) maxPieceBytes() int {
	view := a.View()
	if !view.Ready() {
		return largestPieceBytes
	}
	spec := view.Configuration.Upstreams[a.Upstream].Engine
	if spec == nil || spec.ChunkBytes <= 0 {
		return largestPieceBytes
	}
	return min(spec.ChunkBytes, largestPieceBytes)
}

// versionKey returns the key from which all hosts of a rollout derive the same ranking of each other.
func versionKey(t target) core.Digest {
	return core.Digest(string(t.model) + "/" + strconv.FormatInt(t.version, 10))
}

// hosts returns the agents of the upstream's replicas. The IP address of a host serves as its ID.
func (a *Agent) hosts() []core.Host {
	view := a.View()
	if !view.Ready() {
		return nil
	}
	var hosts []core.Host
	for i := range view.Members {
		member := &view.Members[i]
		if member.Upstream == a.Upstream {
			hosts = append(hosts, a.hostFromMember(member))
		}
	}
	return hosts
}

func (a *Agent) hostFromMember(member *fleet.Member) core.Host {
	ip := ipOf(member.Address)
	state := core.HostLive
	if member.Draining {
		state = core.HostLeaving
	}
	return core.Host{
		ID:            core.HostID(ip),
		Incarnation:   core.Incarnation(strconv.FormatInt(member.Born, 10)),
		Role:          core.RoleAgent,
		Region:        a.Regions[member.FailureDomain],
		FailureDomain: member.FailureDomain,
		Upstream:      member.Upstream,
		DataAddr:      a.peerAddress(ip),
		State:         state,
	}
}

func (a *Agent) self() core.Host {
	return core.Host{
		ID:            core.HostID(a.HostIP),
		Role:          core.RoleAgent,
		Region:        a.Region,
		FailureDomain: a.FailureDomain,
		Upstream:      a.Upstream,
		State:         core.HostLive,
	}
}

func (a *Agent) peerAddress(ip string) string { return net.JoinHostPort(ip, strconv.Itoa(a.PeerPort)) }

func ipOf(address string) string {
	if parsed, err := netip.ParseAddrPort(address); err == nil {
		return parsed.Addr().String()
	}
	return address
}

// origin returns the weight origin that the configuration names.
func (a *Agent) origin() (fleet.OriginSpec, bool) {
	view := a.View()
	if !view.Ready() {
		return fleet.OriginSpec{}, false
	}
	for _, spec := range view.Configuration.Upstreams {
		if spec.Origin != nil {
			return *spec.Origin, true
		}
	}
	return fleet.OriginSpec{}, false
}

func (a *Agent) transferConfig() transfer.Config {
	cfg := transfer.Config{
		Transfer: a.Config.Transfer, Strategy: transfer.StrategySwarm, OriginReaders: a.Config.OriginReaders, GainPolls: a.Config.GainPolls,
	}
	if origin, ok := a.origin(); ok {
		cfg.OriginRegion = a.Regions[origin.FailureDomain]
	}
	return cfg
}
