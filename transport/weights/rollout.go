package weights

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
	"github.com/guavatrestle/guavatrestle/state/table"
	"github.com/guavatrestle/guavatrestle/transport/upstream"
)

// Reasons why the engine does not serve the target version.
const (
	reasonFetching   = "fetching chunks"
	reasonPermit     = "waiting for an activation permit"
	reasonActivating = "loading the version into the engine"
	reasonWithdrawn  = "the target version is withdrawn"
)

// Rollout fetches the target version of its upstream and loads it into the engine.
type Rollout struct {
	deps         RolloutDependencies
	behindReason atomic.Value
	// verifiedDigest is the version whose whole content was verified last.
	verifiedDigest core.Digest
	// nextPermitAttempt is the earliest time of the next attempt to acquire a permit.
	nextPermitAttempt time.Time
}

// RolloutDependencies holds the settings and dependencies of a Rollout.
type RolloutDependencies struct {
	Self         core.Host
	Config       config.Activation
	Settings     *table.Settings
	Chunks       *table.Chunks
	Fetcher      *Fetcher
	Permits      *Permits
	Peers        *PeerClient
	Hosts        func() []core.Host
	Counters     *Counters
	Engine       platform.Engine
	Gate         *upstream.Gate
	Monitor      *upstream.Monitor
	StepInterval time.Duration
	// Random is used only by the goroutine of Run and must not be shared.
	Random *rand.Rand
	Now    func() time.Time
	Log    *logrus.Entry
}

var _ upstream.TransferReporter = (*Rollout)(nil)

// NewRollout returns a Rollout.
func NewRollout(deps RolloutDependencies) *Rollout {
	r := &Rollout{deps: deps}
	r.behindReason.Store("")
	return r
}

// TransferReport implements upstream.TransferReporter.
func (r *Rollout) TransferReport() upstream.TransferReport {
	reason := r.behindReason.Load().(string)
	if detail := r.deps.Fetcher.LastError(); reason == reasonFetching && detail != "" {
		reason += ": " + detail
	}
	return upstream.TransferReport{
		OriginBytes:  r.deps.Counters.OriginBytes(),
		PeerBytes:    r.deps.Counters.PeerBytes(),
		BehindReason: reason,
	}
}

// Run takes a step toward the target version every StepInterval until ctx ends.
func (r *Rollout) Run(ctx context.Context) {
	ticker := time.NewTicker(r.deps.StepInterval)
	defer ticker.Stop()
	for {
		err := r.step(ctx)
		if err != nil && !errors.Is(err, ErrSuperseded) && ctx.Err() == nil {
			r.behindReason.Store(err.Error())
			r.deps.Log.WithError(err).Warn("rollout of the model version failed")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *Rollout) upstreamSettings() settings.UpstreamSettings {
	return r.deps.Settings.Tree().Upstreams[r.deps.Self.Upstream]
}

// wants reports whether a version is the target and not withdrawn by the settings in force.
func (r *Rollout) wants(digest core.Digest) bool {
	current := r.upstreamSettings()
	return current.Target != nil && current.Target.Digest == digest && !current.IsWithdrawn(digest)
}

func (r *Rollout) step(ctx context.Context) error {
	current := r.upstreamSettings()
	for _, digest := range current.Withdrawn {
		r.deps.Chunks.Remove(digest)
	}
	if current.Target == nil {
		return nil
	}
	target := *current.Target
	if !r.wants(target.Digest) {
		r.behindReason.Store(reasonWithdrawn)
		return nil
	}
	if r.engineServes(target.Digest) && r.holdsAllChunks(target.Digest) {
		r.behindReason.Store("")
		return nil
	}
	r.behindReason.Store(reasonFetching)
	wanted := func() bool { return r.wants(target.Digest) }
	if err := r.deps.Fetcher.Fetch(ctx, current.Model, target, wanted); err != nil {
		return err
	}
	if r.engineServes(target.Digest) {
		return nil
	}
	return r.activate(ctx, target.Digest)
}

// engineServes reports whether the engine reports a version as complete.
func (r *Rollout) engineServes(digest core.Digest) bool {
	snapshot := r.deps.Gate.Snapshot()
	return snapshot.Complete && snapshot.Digest == digest
}

// holdsAllChunks reports whether all chunks of a version are held and can be sent to peers.
func (r *Rollout) holdsAllChunks(digest core.Digest) bool {
	held, total := r.deps.Chunks.Progress(digest)
	return total > 0 && held == total
}
