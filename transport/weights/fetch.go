// Package weights brings model versions to an agent and its engine.
package weights

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
	"github.com/guavatrestle/guavatrestle/state/table"
)

// Fetcher brings all chunks of a version into the chunk table.
type Fetcher struct {
	source platform.WeightSource
	chunks *table.Chunks
}

// NewFetcher returns a Fetcher that reads from source.
func NewFetcher(source platform.WeightSource, chunks *table.Chunks) *Fetcher {
	return &Fetcher{source: source, chunks: chunks}
}

// Fetch brings in the version ref of model and returns once it is complete.
func (f *Fetcher) Fetch(ctx context.Context, model core.Model, ref settings.VersionRef) error {
	response, err := f.source.Manifest(ctx, model, ref.Version)
	if err != nil {
		return err
	}
	manifest, err := core.ParseManifest(response.Body, ref.Digest)
	if err != nil {
		return protocol.Wrap(protocol.CodeChanged, err, "check manifest")
	}
	f.chunks.AddManifest(ref.Digest, manifest, response.Body)
	for index := range manifest.Chunks {
		if err := f.fetchChunk(ctx, ref, manifest, response.ETag, index); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fetcher) fetchChunk(ctx context.Context, ref settings.VersionRef, m core.Manifest, etag string, index int) error {
	if _, held := f.chunks.Get(ref.Digest, index); held {
		return nil
	}
	start, end := m.ChunkRange(index)
	data, err := f.source.Range(ctx, platform.RangeRequest{
		Model: m.Model, Version: m.Version, ETag: etag, Start: start, End: end,
	})
	if err != nil {
		return err
	}
	if !f.chunks.Put(ref.Digest, index, data) {
		return eris.Errorf("chunk %d of version %s does not match its hash", index, ref.Digest)
	}
	return nil
}
