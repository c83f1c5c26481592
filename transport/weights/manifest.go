package weights

import (
	"context"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

const (
	// manifestRetryDivisor divides RetryBase for the first retry of a manifest request. Waiting the full RetryBase at
	// each level of the distribution tree delayed the last of 30 hosts by seconds.
	manifestRetryDivisor = 4
	// maxManifestShift keeps the backoff shift within the range of a duration.
	maxManifestShift = 16
)

// obtainManifest returns the manifest of the wanted version from memory, from peers or from the weight source. It
// retries until it succeeds, ctx ends or the version is no longer wanted.
func (f *Fetcher) obtainManifest(ctx context.Context, model core.Model, ref settings.VersionRef, wanted func() bool) (core.Manifest, error) {
	if stored, body, ok := f.deps.Chunks.Manifest(ref.Digest); ok {
		return stored, f.deps.Chunks.AddManifest(ref.Digest, stored, body, "")
	}
	started := f.deps.Now()
	for attempt := 0; ; attempt++ {
		if !wanted() {
			return core.Manifest{}, ErrSuperseded
		}
		manifest, body, etag, err := f.requestManifest(ctx, model, ref, attempt, f.deps.Now().Sub(started))
		if err == nil {
			return manifest, f.deps.Chunks.AddManifest(ref.Digest, manifest, body, etag)
		}
		f.lastError.Store(err.Error())
		if err := f.backOff(ctx, attempt, retryAfterOf(err)); err != nil {
			return core.Manifest{}, err
		}
	}
}

// requestManifest asks peers first, and the weight source only when the strategy and the time waited allow it for
// this host.
func (f *Fetcher) requestManifest(ctx context.Context, model core.Model, ref settings.VersionRef, attempt int, waited time.Duration) (core.Manifest, []byte, string, error) {
	hosts := f.deps.Hosts()
	if f.deps.Config.Strategy != transfer.StrategyDirect {
		for _, peer := range transfer.ManifestPeers(f.deps.Config, f.deps.Self, hosts, ref.Digest, attempt) {
			response, err := f.deps.Peers.PollChunks(ctx, peer, ref.Digest, true)
			if err != nil || len(response.GetManifest()) == 0 {
				continue
			}
			if m, err := core.ParseManifest(response.GetManifest(), ref.Digest); err == nil {
				return m, response.GetManifest(), response.GetEtag(), nil
			}
		}
	}
	if !transfer.ManifestFromOrigin(f.deps.Config, f.deps.Self, hosts, ref.Digest, waited) {
		return core.Manifest{}, nil, "", protocol.Errorf(protocol.CodeUnavailable, "no polled peer has the manifest yet")
	}
	response, err := f.deps.Source.Manifest(ctx, model, ref.Version)
	if err != nil {
		return core.Manifest{}, nil, "", err
	}
	m, err := core.ParseManifest(response.Body, ref.Digest)
	if err != nil {
		return core.Manifest{}, nil, "", protocol.Wrap(protocol.CodeChanged, err, "check manifest")
	}
	return m, response.Body, response.ETag, nil
}

// backOff waits for a jittered time that doubles with each attempt, but no less than minWait.
func (f *Fetcher) backOff(ctx context.Context, attempt int, minWait time.Duration) error {
	cfg := f.deps.Config
	backoff := min(cfg.RetryBase/manifestRetryDivisor<<min(attempt, maxManifestShift), cfg.RetryCap)
	wait := max(backoff/2+time.Duration(f.deps.Random.Int64N(int64(backoff/2)+1)), minWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
