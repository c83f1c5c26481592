package staging

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/worker"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport"
)

const (
	// planInterval is the longest time between two looks at the plan.
	planInterval = 50 * time.Millisecond
	// pollTimeout bounds one question to a peer.
	pollTimeout = time.Second
	// manifestTimeout bounds one read of a manifest.
	manifestTimeout = 2 * time.Second
	// stageTimeout bounds the staging of one piece at the worker.
	stageTimeout = 2 * time.Second
	// stageTries bounds the tries to stage one piece.
	stageTries = 3
	// badLimit is the number of pieces that do not match after which the manifest is read again.
	badLimit = 3
	// eventQueue bounds the results that wait for the plan.
	eventQueue = 32
)

// run is the fetch of one version. Its plan is used only by loop; the pool's workers hand it their results as events.
type run struct {
	*Agent
	target target
	plan   *transfer.Planner
	pool   pond.Pool
	events chan func(now time.Time)
	bad    int
}

// fetch brings all pieces of a version to the worker's staging area. It returns early when the version is not wanted any
// more.
func (a *Agent) fetch(ctx context.Context, t target) error {
	manifest, err := a.manifest(ctx, t)
	if err != nil {
		return err
	}
	a.pieces.reset(t, manifest)
	ctx, cancel := context.WithCancel(ctx)
	cfg := a.Config.Transfer
	r := &run{
		Agent:  a,
		target: t,
		plan: transfer.New(a.transferConfig(), a.self(), transfer.Target{Digest: digestOf(t), Chunks: len(manifest.Digests)},
			a.Random, a.Now()),
		pool:   pond.NewPool(cfg.DownloadSlots + cfg.Neighbours),
		events: make(chan func(time.Time), eventQueue),
	}
	defer r.pool.StopAndWait()
	defer cancel()
	if err := r.adopt(ctx, manifest); err != nil {
		return err
	}
	return r.loop(ctx)
}

// manifest reads the manifest of a version, unless it is held.
func (a *Agent) manifest(ctx context.Context, t target) (worker.Manifest, error) {
	if digests, ok := a.pieces.digests(t); ok {
		return worker.Manifest{Model: t.model, Version: t.version, Digests: digests}, nil
	}
	origin, ok := a.origin()
	if !ok {
		return worker.Manifest{}, protocol.Errorf(protocol.CodeUnavailable, "the configuration names no origin of weights")
	}
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	manifest, err := a.Origin.Manifest(ctx, origin.Address, t.model, t.version)
	if err != nil {
		return manifest, err
	}
	if manifest.Model != t.model || manifest.Version != t.version || len(manifest.Digests) == 0 {
		return manifest, protocol.Errorf(protocol.CodeMalformed, "manifest of %s version %d with %d pieces instead of %s version %d",
			manifest.Model, manifest.Version, len(manifest.Digests), t.model, t.version)
	}
	return manifest, nil
}

// adopt takes the pieces that the worker has staged already.
func (r *run) adopt(ctx context.Context, manifest worker.Manifest) error {
	for index := range manifest.Digests {
		if _, held := r.pieces.get(r.target, index); held {
			r.plan.MarkHeld(index)
			continue
		}
		data, err := r.staged(ctx, r.target.model, index)
		if protocol.CodeOf(err) == protocol.CodeNotFound {
			// Pieces are staged in any order, but a worker that lacks the first has most likely none.
			if index == 0 {
				return nil
			}
			continue
		}
		if err != nil {
			return err
		}
		if !manifest.Digests[index].Matches(data) {
			// The worker holds another version.
			if index == 0 {
				return nil
			}
			continue
		}
		if r.pieces.put(r.target, index, data) {
			r.plan.MarkHeld(index)
		}
	}
	return nil
}

func (r *run) loop(ctx context.Context) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for !r.plan.Complete() {
		if !r.wants(r.target) {
			return nil
		}
		if r.bad >= badLimit {
			r.pieces.reset(target{}, worker.Manifest{})
			return protocol.Errorf(protocol.CodeMalformed, "%d pieces do not match the manifest", r.bad)
		}
		r.plan.SetHosts(r.hosts())
		r.act(ctx, r.plan.Step(r.Now()))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-r.events:
			event(r.Now())
		case <-ticker.C:
		}
	}
	return nil
}

func (r *run) act(ctx context.Context, actions transfer.Actions) {
	for _, peer := range actions.Polls {
		r.pool.Submit(func() { r.poll(ctx, peer) })
	}
	for _, fetch := range actions.Fetches {
		r.pool.Submit(func() { r.fetchPiece(ctx, fetch) })
	}
}

// send hands an event to loop unless the fetch has ended.
func (r *run) send(ctx context.Context, event func(now time.Time)) {
	select {
	case r.events <- event:
	case <-ctx.Done():
	}
}

func (r *run) poll(ctx context.Context, peer core.Host) {
	call, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	held, err := r.peers.held(call, peer.DataAddr, r.target)
	r.send(ctx, func(now time.Time) {
		if err != nil {
			r.plan.HandlePollFailure(now, peer.ID)
			return
		}
		r.plan.HandlePollResponse(now, peer.ID, held)
	})
}

func (r *run) fetchPiece(ctx context.Context, fetch transfer.Fetch) {
	data, held, err := r.read(ctx, fetch)
	if err == nil {
		err = r.keep(ctx, fetch.Index, data)
	}
	if err != nil && ctx.Err() == nil {
		r.Log.WithError(err).WithField("piece", fetch.Index).WithField("version", r.target.version).
			WithField("peer", fetch.Source.Peer).Info("fetch piece")
	}
	result := transfer.Result{Fetch: fetch, Outcome: transport.FetchOutcome(err)}
	countPiece(fetch, result.Outcome, len(data))
	r.send(ctx, func(now time.Time) {
		if held != nil {
			r.plan.HandlePollResponse(now, fetch.Source.Peer, held)
		}
		if result.Outcome == transfer.OutcomeCorrupt {
			r.bad++
		}
		r.plan.HandleResult(now, result)
	})
}

func (r *run) read(ctx context.Context, fetch transfer.Fetch) ([]byte, transfer.Bitmap, error) {
	if err := r.throttle.acquire(ctx); err != nil {
		return nil, nil, err
	}
	began := r.Now()
	defer func() { r.throttle.release(r.Now().Sub(began)) }()
	ctx, cancel := context.WithTimeout(ctx, r.Config.Transfer.ChunkTimeout)
	defer cancel()
	if !fetch.Source.IsOrigin() {
		return r.peers.piece(ctx, r.peerAddress(string(fetch.Source.Peer)), r.target, fetch)
	}
	origin, ok := r.origin()
	if !ok {
		return nil, nil, protocol.Errorf(protocol.CodeUnavailable, "the configuration names no origin of weights")
	}
	data, err := r.Origin.Piece(ctx, origin.Address, r.target.model, r.target.version, fetch.Index)
	return data, nil, err
}

// keep checks a piece, stages it at the worker and keeps it for peers.
func (r *run) keep(ctx context.Context, index int, data []byte) error {
	digests, ok := r.pieces.digests(r.target)
	if !ok {
		return protocol.Errorf(protocol.CodeChanged, "version %d is not fetched any more", r.target.version)
	}
	if !digests[index].Matches(data) {
		return protocol.Errorf(protocol.CodeMalformed, "piece %d does not match its digest", index)
	}
	var err error
	for range stageTries {
		if err = r.stage(ctx, r.target.model, index, data); err == nil {
			r.pieces.put(r.target, index, data)
			return nil
		}
	}
	return err
}

func (a *Agent) stage(ctx context.Context, model core.Model, index int, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	return a.Worker.Stage(ctx, model, index, data)
}

func (a *Agent) staged(ctx context.Context, model core.Model, index int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	return a.Worker.ReadStaged(ctx, model, index)
}

// digestOf makes the key by which the hosts of a rollout rank each other.
func digestOf(t target) core.Digest {
	return core.Digest(string(t.model) + "/" + strconv.FormatInt(t.version, 10))
}

// hosts lists the agents of the upstream's replicas; the IP number of a host is its id.
func (a *Agent) hosts() []core.Host {
	view := a.View()
	if !view.Ready() {
		return nil
	}
	var hosts []core.Host
	for i := range view.Members {
		member := &view.Members[i]
		if member.Upstream == a.Upstream {
			hosts = append(hosts, a.hostOf(member))
		}
	}
	return hosts
}

func (a *Agent) hostOf(member *fleet.Member) core.Host {
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

// origin returns the origin of weights that the configuration names.
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
	cfg := transfer.Config{Transfer: a.Config.Transfer, Strategy: transfer.StrategySwarm}
	if origin, ok := a.origin(); ok {
		cfg.OriginRegion = a.Regions[origin.FailureDomain]
	}
	return cfg
}
