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

// Reasons why a back end does not have the target version.
const (
	reasonFetching   = "fetching chunks"
	reasonPermit     = "waiting for an activation permit"
	reasonActivating = "loading the version into the engine"
	reasonWithdrawn  = "the target version is withdrawn"
)

// Rollout keeps the engine on the target version of its upstream.
type Rollout struct {
	parts  RolloutParts
	reason atomic.Value
	// verified is the version whose whole content was checked last.
	verified core.Digest
	// permitAfter is the time before which no permit is asked for.
	permitAfter time.Time
}

// RolloutParts are the parts that a Rollout works with.
type RolloutParts struct {
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
	// Random is used by the goroutine of Run alone and must not be shared.
	Random *rand.Rand
	Now    func() time.Time
	Log    *logrus.Entry
}

var _ upstream.TransferReporter = (*Rollout)(nil)

// NewRollout returns a Rollout.
func NewRollout(parts RolloutParts) *Rollout {
	r := &Rollout{parts: parts}
	r.reason.Store("")
	return r
}

// TransferReport implements upstream.TransferReporter.
func (r *Rollout) TransferReport() upstream.TransferReport {
	reason := r.reason.Load().(string)
	if detail := r.parts.Fetcher.LastError(); reason == reasonFetching && detail != "" {
		reason += ": " + detail
	}
	return upstream.TransferReport{
		OriginBytes:  r.parts.Counters.OriginBytes(),
		PeerBytes:    r.parts.Counters.PeerBytes(),
		BehindReason: reason,
	}
}

// Run moves the engine to the target version, again and again, until ctx ends.
func (r *Rollout) Run(ctx context.Context) {
	ticker := time.NewTicker(r.parts.StepInterval)
	defer ticker.Stop()
	for {
		err := r.step(ctx)
		if err != nil && !errors.Is(err, ErrSuperseded) && ctx.Err() == nil {
			r.reason.Store(err.Error())
			r.parts.Log.WithError(err).Warn("roll out model version")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *Rollout) spec() settings.UpstreamSettings {
	return r.parts.Settings.Tree().Upstreams[r.parts.Self.Upstream]
}

// wants reports whether a version is the target and not withdrawn, by the settings in force.
func (r *Rollout) wants(digest core.Digest) bool {
	spec := r.spec()
	return spec.Target != nil && spec.Target.Digest == digest && !spec.IsWithdrawn(digest)
}

func (r *Rollout) step(ctx context.Context) error {
	spec := r.spec()
	for _, digest := range spec.Withdrawn {
		r.parts.Chunks.Remove(digest)
	}
	if spec.Target == nil {
		return nil
	}
	target := *spec.Target
	if !r.wants(target.Digest) {
		r.reason.Store(reasonWithdrawn)
		return nil
	}
	if r.serves(target.Digest) && r.complete(target.Digest) {
		r.reason.Store("")
		return nil
	}
	r.reason.Store(reasonFetching)
	wanted := func() bool { return r.wants(target.Digest) }
	if err := r.parts.Fetcher.Fetch(ctx, spec.Model, target, wanted); err != nil {
		return err
	}
	if r.serves(target.Digest) {
		return nil
	}
	return r.activate(ctx, target.Digest)
}

// serves reports whether the engine reports a version complete.
func (r *Rollout) serves(digest core.Digest) bool {
	snapshot := r.parts.Gate.Snapshot()
	return snapshot.Complete && snapshot.Digest == digest
}

// complete reports whether all chunks of a version are held for peers.
func (r *Rollout) complete(digest core.Digest) bool {
	held, total := r.parts.Chunks.Progress(digest)
	return total > 0 && held == total
}
