package weights

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/coordination/activation"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// renewalsPerLease is the number of renewals within one lease.
	renewalsPerLease = 3
	// warmPoll is the time between two looks at the gate while the back end warms up.
	warmPoll = 100 * time.Millisecond
	// minPermitPause is the least upper bound of the pause between two tries to get a permit.
	minPermitPause = 500 * time.Millisecond
	// permitPausePerHost keeps the tries of a failure domain to about 27 a second.
	permitPausePerHost = 50 * time.Millisecond
	// drainPoll is the time between two looks at the requests in flight before a load order.
	drainPoll = 20 * time.Millisecond
)

// activate loads a complete version into the engine under a permit.
func (r *Rollout) activate(ctx context.Context, digest core.Digest) error {
	now := r.parts.Now()
	if r.parts.Gate.Snapshot().Leaving || now.Before(r.permitAfter) {
		return nil
	}
	if err := r.verify(digest); err != nil {
		return err
	}
	r.permitAfter = now.Add(r.permitPause())
	if r.mayLoadFreely(ctx) {
		return r.loadFreely(ctx, digest)
	}
	limit := activation.MaxConcurrentLoads(r.groupSize(), r.spec().MinWarm)
	holding, ok, err := r.parts.Permits.Acquire(ctx, digest, limit)
	if err != nil {
		r.permitAfter = now.Add(max(r.permitPause(), retryAfterOf(err)))
		return eris.Wrap(err, "acquire activation permit")
	}
	if !ok {
		r.reason.Store(reasonPermit)
		return nil
	}
	return r.loadUnder(ctx, digest, holding)
}

// verify checks the whole content once per version.
func (r *Rollout) verify(digest core.Digest) error {
	if r.verified == digest {
		return nil
	}
	manifest, _, ok := r.parts.Chunks.Manifest(digest)
	if !ok {
		return ErrSuperseded
	}
	if err := verifyContent(r.parts.Chunks, digest, manifest); err != nil {
		// The chunks match the manifest one by one, so the manifest itself contradicts its content.
		return err
	}
	r.verified = digest
	return nil
}

// loadUnder loads under a lease, and keeps it until the back end is warm so that others wait.
func (r *Rollout) loadUnder(ctx context.Context, digest core.Digest, holding activation.HeldLease) error {
	ctx, cancel := context.WithCancel(ctx)
	defer func() { _ = r.parts.Permits.Release(context.WithoutCancel(ctx), holding) }()
	var renewals sync.WaitGroup
	defer renewals.Wait()
	defer cancel()
	renewals.Go(func() { r.renew(ctx, holding) })
	if !r.enoughServe(ctx, holding) {
		r.reason.Store(reasonPermit)
		return nil
	}
	err := r.load(ctx, digest, func(ctx context.Context) (uint64, error) { return r.confirm(ctx, holding) })
	if err != nil {
		return err
	}
	r.awaitWarm(ctx, digest)
	return nil
}

// permitPause returns a jittered pause that grows with the group, so that the calls of all waiting
// hosts stay well under what the object API bears.
func (r *Rollout) permitPause() time.Duration {
	longest := max(minPermitPause, time.Duration(r.groupSize())*permitPausePerHost)
	return longest/2 + time.Duration(r.parts.Random.Int64N(int64(longest/2)+1))
}

// enoughServe reports whether enough hosts without a lease serve for this host to load.
func (r *Rollout) enoughServe(ctx context.Context, holding activation.HeldLease) bool {
	minWarm := r.spec().MinWarm
	serving := 0
	for _, host := range r.group() {
		if activation.MayLoad(len(holding.OtherHolders), serving, minWarm) {
			return true
		}
		if slices.Contains(holding.OtherHolders, host.ID) {
			continue
		}
		if serves, err := r.parts.Peers.ServesVersion(ctx, host); err == nil && serves {
			serving++
		}
	}
	return activation.MayLoad(len(holding.OtherHolders), serving, minWarm)
}

// confirm returns the fencing token of a lease. The renewal proves that the lease was not taken as
// lapsed meanwhile.
func (r *Rollout) confirm(ctx context.Context, holding activation.HeldLease) (uint64, error) {
	renewed, err := r.parts.Permits.Renew(ctx, holding)
	if err != nil {
		return 0, eris.Wrap(err, "confirm activation permit")
	}
	if !renewed.Valid(r.parts.Now()) {
		return 0, eris.New("the activation permit lapsed before the load order")
	}
	return renewed.Lease.Token, nil
}

// renew extends a lease until ctx ends. A failed renewal does not stop a load under way: the gate
// admits nothing until the engine reports a complete version.
func (r *Rollout) renew(ctx context.Context, holding activation.HeldLease) {
	ticker := time.NewTicker(r.parts.Config.LeaseTTL / renewalsPerLease)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, err := r.parts.Permits.Renew(ctx, holding); err != nil && ctx.Err() == nil {
			r.parts.Log.WithError(err).Warn("renew activation permit")
		}
	}
}

// load finishes the requests in flight, orders the engine to load a version and checks what the
// engine reports after it. It asks for the fencing token right before the order.
func (r *Rollout) load(ctx context.Context, digest core.Digest, token func(context.Context) (uint64, error)) error {
	manifest, _, ok := r.parts.Chunks.Manifest(digest)
	if !ok {
		return ErrSuperseded
	}
	r.reason.Store(reasonActivating)
	ctx, cancel := context.WithTimeout(ctx, r.parts.Config.OrderTimeout)
	defer cancel()
	r.parts.Gate.SetLoading(true)
	defer r.parts.Gate.SetLoading(false)
	if err := r.drain(ctx); err != nil {
		return err
	}
	fencing, err := token(ctx)
	if err != nil {
		return err
	}
	if !r.wants(digest) {
		return ErrSuperseded
	}
	err = r.parts.Engine.Load(ctx, platform.LoadOrder{
		Model:        manifest.Model,
		Digest:       digest,
		Content:      manifest.Content,
		FencingToken: fencing,
		Size:         manifest.Size,
		Weights: newChunkReader(r.parts.Chunks, digest, manifest, func() bool {
			return r.spec().IsWithdrawn(digest)
		}),
	})
	r.parts.Monitor.Poll(context.WithoutCancel(ctx))
	if err != nil {
		return eris.Wrap(err, "order the engine to load")
	}
	if !r.serves(digest) {
		return eris.Errorf("the engine does not report version %s complete after the load order", digest)
	}
	r.reason.Store("")
	return nil
}

// drain waits until the requests in flight have ended; the gate admits no new ones while it is loading.
func (r *Rollout) drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for r.parts.Gate.Snapshot().InFlight > 0 {
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "finish the requests in flight before the load order")
		case <-ticker.C:
		}
	}
	return nil
}

// awaitWarm waits until the back end is warm, for at most WarmHold, or until the version is no longer wanted.
func (r *Rollout) awaitWarm(ctx context.Context, digest core.Digest) {
	end := r.parts.Now().Add(r.parts.Config.WarmHold)
	ticker := time.NewTicker(warmPoll)
	defer ticker.Stop()
	for r.wants(digest) && r.parts.Now().Before(end) && r.parts.Gate.Snapshot().State != core.UpstreamWarm {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// loadFreely loads without a permit, under the highest token that the engine has accepted.
func (r *Rollout) loadFreely(ctx context.Context, digest core.Digest) error {
	return r.load(ctx, digest, func(ctx context.Context) (uint64, error) {
		status, err := r.parts.Engine.Status(ctx)
		return status.FencingToken, err
	})
}

// mayLoadFreely reports whether this is an initial load in a failure domain where no host serves
// yet. A host that does not answer counts as serving.
func (r *Rollout) mayLoadFreely(ctx context.Context) bool {
	snapshot := r.parts.Gate.Snapshot()
	if snapshot.BootID == "" || snapshot.Digest != "" {
		return false
	}
	for _, host := range r.group() {
		if serves, err := r.parts.Peers.ServesVersion(ctx, host); err != nil || serves {
			return false
		}
	}
	return true
}

// group returns the other live agents of the upstream in the failure domain.
func (r *Rollout) group() []core.Host {
	var group []core.Host
	self := r.parts.Self
	for _, host := range r.parts.Hosts() {
		same := host.Upstream == self.Upstream && host.FailureDomain == self.FailureDomain
		if same && host.Role == core.RoleAgent && host.ID != self.ID && host.State != core.HostLeaving {
			group = append(group, host)
		}
	}
	return group
}

func (r *Rollout) groupSize() int { return len(r.group()) + 1 }
