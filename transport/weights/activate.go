package weights

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/coordination/activation"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// renewalsPerLease is the number of renewal attempts within one lease TTL.
	renewalsPerLease = 3
	// warmPollInterval is the time between two checks whether the back end is warm.
	warmPollInterval = 100 * time.Millisecond
	// minPermitPauseCap is the smallest upper bound of the random pause between two attempts to acquire a permit.
	minPermitPauseCap = 500 * time.Millisecond
	// permitPausePerHost raises that bound with the number of hosts in the failure domain, which limits these hosts to about
	// 27 attempts a second together.
	permitPausePerHost = 50 * time.Millisecond
	// drainPollInterval is the time between two checks for requests in flight before a load order.
	drainPollInterval = 20 * time.Millisecond
)

// activate loads a complete version into the engine. It holds an activation permit during the load, except for an
// initial load in a failure domain where no other host serves a version yet.
func (r *Rollout) activate(ctx context.Context, digest core.Digest) error {
	now := r.deps.Now()
	if r.deps.Gate.Snapshot().Leaving || now.Before(r.nextPermitAttempt) {
		return nil
	}
	if err := r.verify(digest); err != nil {
		return err
	}
	r.nextPermitAttempt = now.Add(r.permitPause())
	if r.mayLoadWithoutPermit(ctx) {
		return r.loadWithoutPermit(ctx, digest)
	}
	limit := activation.MaxConcurrentLoads(r.domainSize(), r.upstreamSettings().MinWarm)
	heldLease, ok, err := r.deps.Permits.Acquire(ctx, digest, limit)
	if err != nil {
		r.nextPermitAttempt = now.Add(max(r.permitPause(), retryAfterOf(err)))
		return eris.Wrap(err, "acquire activation permit")
	}
	if !ok {
		r.behindReason.Store(reasonPermit)
		return nil
	}
	return r.loadWithPermit(ctx, digest, heldLease)
}

// verify checks the digest of the whole content, once per version.
func (r *Rollout) verify(digest core.Digest) error {
	if r.verifiedDigest == digest {
		return nil
	}
	manifest, _, ok := r.deps.Chunks.Manifest(digest)
	if !ok {
		return ErrSuperseded
	}
	if err := verifyContent(r.deps.Chunks, digest, manifest); err != nil {
		// Each chunk matched its hash in the manifest, so the manifest contradicts its own content digest.
		return err
	}
	r.verifiedDigest = digest
	return nil
}

// loadWithPermit loads a version under a lease and keeps the lease until the back end is warm, so that other hosts
// load only after it. After an order without an answer the lease runs out by itself: the engine may still begin the load.
func (r *Rollout) loadWithPermit(ctx context.Context, digest core.Digest, heldLease activation.HeldLease) error {
	ctx, cancel := context.WithCancel(ctx)
	var loadErr error
	defer func() {
		if protocol.CodeOf(loadErr) != protocol.CodeOutcomeUnknown {
			_ = r.deps.Permits.Release(context.WithoutCancel(ctx), heldLease)
		}
	}()
	var renewals sync.WaitGroup
	defer renewals.Wait()
	defer cancel()
	renewals.Go(func() { r.keepRenewing(ctx, heldLease) })
	if !r.enoughHostsServe(ctx, heldLease) {
		r.behindReason.Store(reasonPermit)
		return nil
	}
	loadErr = r.load(ctx, digest, func(ctx context.Context) (uint64, error) { return r.confirmLease(ctx, heldLease) })
	if loadErr != nil {
		return loadErr
	}
	r.awaitWarm(ctx, digest)
	return nil
}

// permitPause returns a jittered pause that grows with the number of agents in the failure domain, so that the calls
// of all waiting hosts stay well below the rate that the object API sustains.
func (r *Rollout) permitPause() time.Duration {
	pauseCap := max(minPermitPauseCap, time.Duration(r.domainSize())*permitPausePerHost)
	return pauseCap/2 + time.Duration(r.deps.Random.Int64N(int64(pauseCap/2)+1))
}

// enoughHostsServe reports whether enough hosts without a lease serve a version for this host to load.
func (r *Rollout) enoughHostsServe(ctx context.Context, heldLease activation.HeldLease) bool {
	minWarm := r.upstreamSettings().MinWarm
	serving := 0
	for _, host := range r.domainPeers() {
		if activation.MayLoad(len(heldLease.OtherHolders), serving, minWarm) {
			return true
		}
		if slices.Contains(heldLease.OtherHolders, host.ID) {
			continue
		}
		if serves, err := r.deps.Peers.ServesVersion(ctx, host); err == nil && serves {
			serving++
		}
	}
	return activation.MayLoad(len(heldLease.OtherHolders), serving, minWarm)
}

// confirmLease renews a lease and returns its fencing token. The renewal proves that no other host has treated the
// lease as expired.
func (r *Rollout) confirmLease(ctx context.Context, heldLease activation.HeldLease) (uint64, error) {
	renewed, err := r.deps.Permits.Renew(ctx, heldLease)
	if err != nil {
		return 0, eris.Wrap(err, "confirm activation permit")
	}
	if !renewed.Valid(r.deps.Now()) {
		return 0, eris.New("activation permit expired before the load order")
	}
	return renewed.Lease.Token, nil
}

// keepRenewing renews a lease until ctx ends. A failed renewal does not stop a load in progress: the gate admits no
// requests until the engine reports a complete version.
func (r *Rollout) keepRenewing(ctx context.Context, heldLease activation.HeldLease) {
	ticker := time.NewTicker(r.deps.Config.LeaseTTL / renewalsPerLease)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, err := r.deps.Permits.Renew(ctx, heldLease); err != nil && ctx.Err() == nil {
			r.deps.Log.WithError(err).Warn("renewal of the activation permit failed")
		}
	}
}

// load waits for the requests in flight, orders the engine to load a version and checks the status that the engine
// reports afterwards. It calls fencingToken immediately before the order.
func (r *Rollout) load(ctx context.Context, digest core.Digest, fencingToken func(context.Context) (uint64, error)) error {
	manifest, _, ok := r.deps.Chunks.Manifest(digest)
	if !ok {
		return ErrSuperseded
	}
	r.behindReason.Store(reasonActivating)
	ctx, cancel := context.WithTimeout(ctx, r.deps.Config.OrderTimeout)
	defer cancel()
	r.deps.Gate.SetLoading(true)
	defer r.deps.Gate.SetLoading(false)
	if err := r.drain(ctx); err != nil {
		return err
	}
	token, err := fencingToken(ctx)
	if err != nil {
		return err
	}
	if !r.wants(digest) {
		return ErrSuperseded
	}
	err = r.deps.Engine.Load(ctx, platform.LoadOrder{
		Model:        manifest.Model,
		Digest:       digest,
		Content:      manifest.Content,
		FencingToken: token,
		Size:         manifest.Size,
		Weights: newChunkReader(r.deps.Chunks, digest, manifest, func() bool {
			return r.upstreamSettings().IsWithdrawn(digest)
		}),
	})
	r.deps.Monitor.Poll(context.WithoutCancel(ctx))
	if err != nil {
		return eris.Wrap(err, "order the engine to load")
	}
	if !r.engineServes(digest) {
		return eris.Errorf("the engine does not report version %s complete after the load order", digest)
	}
	r.behindReason.Store("")
	return nil
}

// drain waits until no requests are in flight; the gate admits no new ones while it is marked as loading.
func (r *Rollout) drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for r.deps.Gate.Snapshot().InFlight > 0 {
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "finish the requests in flight before the load order")
		case <-ticker.C:
		}
	}
	return nil
}

// awaitWarm waits until the back end is warm or the version is no longer wanted, for at most WarmHold.
func (r *Rollout) awaitWarm(ctx context.Context, digest core.Digest) {
	deadline := r.deps.Now().Add(r.deps.Config.WarmHold)
	ticker := time.NewTicker(warmPollInterval)
	defer ticker.Stop()
	for r.wants(digest) && r.deps.Now().Before(deadline) && r.deps.Gate.Snapshot().State != core.UpstreamWarm {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// loadWithoutPermit loads a version with the highest fencing token that the engine has accepted.
func (r *Rollout) loadWithoutPermit(ctx context.Context, digest core.Digest) error {
	return r.load(ctx, digest, func(ctx context.Context) (uint64, error) {
		status, err := r.deps.Engine.Status(ctx)
		return status.FencingToken, err
	})
}

// mayLoadWithoutPermit reports whether the engine responds, has no version yet, and no other host in the failure
// domain serves one. A host that does not respond counts as serving.
func (r *Rollout) mayLoadWithoutPermit(ctx context.Context) bool {
	snapshot := r.deps.Gate.Snapshot()
	if snapshot.BootID == "" || snapshot.Digest != "" {
		return false
	}
	for _, host := range r.domainPeers() {
		if serves, err := r.deps.Peers.ServesVersion(ctx, host); err != nil || serves {
			return false
		}
	}
	return true
}

// domainPeers returns the other agents of the upstream in the failure domain that are not leaving.
func (r *Rollout) domainPeers() []core.Host {
	var peers []core.Host
	self := r.deps.Self
	for _, host := range r.deps.Hosts() {
		inGroup := host.Upstream == self.Upstream && host.FailureDomain == self.FailureDomain
		if inGroup && host.Role == core.RoleAgent && host.ID != self.ID && host.State != core.HostLeaving {
			peers = append(peers, host)
		}
	}
	return peers
}

func (r *Rollout) domainSize() int { return len(r.domainPeers()) + 1 }
