package weights

import (
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/blake3"

	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
	"github.com/guavatrestle/guavatrestle/state/table"
	"github.com/guavatrestle/guavatrestle/transport/upstream"
)

// Rollout keeps the engine on the target version of its upstream.
type Rollout struct {
	upstream core.Upstream
	settings *table.Settings
	chunks   *table.Chunks
	fetcher  *Fetcher
	engine   platform.Engine
	gate     *upstream.Gate
	monitor  *upstream.Monitor
	interval time.Duration
	log      *logrus.Entry
}

// RolloutParts are the parts that a Rollout works with.
type RolloutParts struct {
	Upstream core.Upstream
	Settings *table.Settings
	Chunks   *table.Chunks
	Fetcher  *Fetcher
	Engine   platform.Engine
	Gate     *upstream.Gate
	Monitor  *upstream.Monitor
	Interval time.Duration
	Log      *logrus.Entry
}

// NewRollout returns a Rollout.
func NewRollout(p RolloutParts) *Rollout {
	return &Rollout{
		upstream: p.Upstream,
		settings: p.Settings,
		chunks:   p.Chunks,
		fetcher:  p.Fetcher,
		engine:   p.Engine,
		gate:     p.Gate,
		monitor:  p.Monitor,
		interval: p.Interval,
		log:      p.Log,
	}
}

// Run moves the engine to the target version, again and again, until ctx ends.
func (r *Rollout) Run(ctx context.Context) {
	ticker := time.NewTicker(r.interval)
	defer ticker.Stop()
	for {
		if err := r.step(ctx); err != nil && ctx.Err() == nil {
			r.log.WithError(err).Warn("roll out model version")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *Rollout) step(ctx context.Context) error {
	spec, ok := r.settings.Tree().Upstreams[r.upstream]
	if !ok || spec.Target == nil || spec.IsWithdrawn(spec.Target.Digest) {
		return nil
	}
	snapshot := r.gate.Snapshot()
	if snapshot.Complete && snapshot.Digest == spec.Target.Digest {
		return nil
	}
	if err := r.fetcher.Fetch(ctx, spec.Model, *spec.Target); err != nil {
		return err
	}
	return r.activate(ctx, *spec.Target)
}

func (r *Rollout) activate(ctx context.Context, ref settings.VersionRef) error {
	manifest, _, ok := r.chunks.Manifest(ref.Digest)
	if !ok {
		return eris.Errorf("version %s is not held", ref.Digest)
	}
	if err := r.verify(ref.Digest, manifest); err != nil {
		return err
	}
	r.gate.SetLoading(true)
	defer r.gate.SetLoading(false)
	err := r.engine.Load(ctx, platform.LoadOrder{
		Model:   manifest.Model,
		Digest:  ref.Digest,
		Content: manifest.Content,
		Size:    manifest.Size,
		Weights: r.reader(ref.Digest, manifest),
	})
	r.monitor.Poll(ctx)
	return err
}

func (r *Rollout) verify(digest core.Digest, manifest core.Manifest) error {
	hash := blake3.New()
	if _, err := io.Copy(hash, r.reader(digest, manifest)); err != nil {
		return eris.Wrap(err, "read held chunks")
	}
	if got := core.DigestFromSum(hash.Sum(nil)); got != manifest.Content {
		return eris.Errorf("version %s has content %s, want %s", digest, got, manifest.Content)
	}
	return nil
}

func (r *Rollout) reader(digest core.Digest, manifest core.Manifest) io.Reader {
	return &chunkReader{chunks: r.chunks, digest: digest, total: len(manifest.Chunks)}
}

// chunkReader reads the chunks of a version in order.
type chunkReader struct {
	chunks *table.Chunks
	digest core.Digest
	total  int
	next   int
	rest   []byte
}

// Read implements io.Reader.
func (c *chunkReader) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		if c.next == c.total {
			return 0, io.EOF
		}
		chunk, ok := c.chunks.Get(c.digest, c.next)
		if !ok {
			return 0, eris.Errorf("chunk %d of version %s is not held", c.next, c.digest)
		}
		c.rest = chunk
		c.next++
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}
