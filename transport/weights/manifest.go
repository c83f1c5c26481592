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
	// manifestRetryShare is the part of RetryBase after which peers are asked again for the first time. A whole
	// RetryBase at each level of the tree delayed the last of 30 hosts by seconds.
	manifestRetryShare = 4
	// maxManifestShift keeps the backoff shift within the range of a duration.
	maxManifestShift = 16
)

// manifest returns the manifest of the wanted version, from memory, from peers or from the weight source.
func (f *Fetcher) manifest(ctx context.Context, model core.Model, ref settings.VersionRef, wanted func() bool) (core.Manifest, error) {
	if held, body, ok := f.parts.Chunks.Manifest(ref.Digest); ok {
		return held, f.parts.Chunks.AddManifest(ref.Digest, held, body, "")
	}
	started := f.parts.Now()
	for attempt := 0; ; attempt++ {
		if !wanted() {
			return core.Manifest{}, ErrSuperseded
		}
		found, body, etag, err := f.findManifest(ctx, model, ref, attempt, f.parts.Now().Sub(started))
		if err == nil {
			return found, f.parts.Chunks.AddManifest(ref.Digest, found, body, etag)
		}
		f.reason.Store(err.Error())
		if err := f.backOff(ctx, attempt, retryAfterOf(err)); err != nil {
			return core.Manifest{}, err
		}
	}
}

// findManifest asks peers first and then, when it is this host's turn, the weight source.
func (f *Fetcher) findManifest(ctx context.Context, model core.Model, ref settings.VersionRef, attempt int, waited time.Duration) (core.Manifest, []byte, string, error) {
	hosts := f.parts.Hosts()
	if f.parts.Config.Strategy != transfer.StrategyDirect {
		for _, peer := range transfer.ManifestPeers(f.parts.Config, f.parts.Self, hosts, ref.Digest, attempt) {
			response, err := f.parts.Peers.PollChunks(ctx, peer, ref.Digest, true)
			if err != nil || len(response.GetManifest()) == 0 {
				continue
			}
			if m, err := core.ParseManifest(response.GetManifest(), ref.Digest); err == nil {
				return m, response.GetManifest(), response.GetEtag(), nil
			}
		}
	}
	if !transfer.ManifestFromOrigin(f.parts.Config, f.parts.Self, hosts, ref.Digest, waited) {
		return core.Manifest{}, nil, "", protocol.Errorf(protocol.CodeUnavailable, "no peer asked has the manifest yet")
	}
	response, err := f.parts.Source.Manifest(ctx, model, ref.Version)
	if err != nil {
		return core.Manifest{}, nil, "", err
	}
	m, err := core.ParseManifest(response.Body, ref.Digest)
	if err != nil {
		return core.Manifest{}, nil, "", protocol.Wrap(protocol.CodeChanged, err, "check manifest")
	}
	return m, response.Body, response.ETag, nil
}

// backOff waits for a jittered time that doubles with each attempt, and at least for atLeast.
func (f *Fetcher) backOff(ctx context.Context, attempt int, atLeast time.Duration) error {
	cfg := f.parts.Config
	step := min(cfg.RetryBase/manifestRetryShare<<min(attempt, maxManifestShift), cfg.RetryCap)
	wait := max(step/2+time.Duration(f.parts.Random.Int64N(int64(step/2)+1)), atLeast)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
