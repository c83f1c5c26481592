// Package staging transfers model versions to the worker on an agent's host: it fetches and checks the pieces, stages
// them at the worker, serves them to peers and orders the worker to load them.
package staging

import (
	"sync"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/protocol/worker"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

const bitsPerByte = 8

// target identifies a version of a model.
type target struct {
	model   core.Model
	version int64
}

// isLoaded reports whether loaded is this version or a newer one of the same model.
func (t target) isLoaded(loaded fleet.LoadedModel) bool {
	return loaded.Model == t.model && loaded.Version >= t.version
}

// pieceCache holds the verified pieces of one version.
type pieceCache struct {
	mu       sync.Mutex
	target   target
	manifest worker.Manifest
	data     [][]byte
}

// reset switches the cache to a version. It keeps pieces of the same version that match the manifest.
func (p *pieceCache) reset(t target, manifest worker.Manifest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldPieces := p.data
	p.data = make([][]byte, len(manifest.Digests))
	if p.target == t {
		for i := range min(len(oldPieces), len(p.data)) {
			if oldPieces[i] != nil && manifest.Digests[i].Matches(oldPieces[i]) {
				p.data[i] = oldPieces[i]
			}
		}
	}
	p.target, p.manifest = t, manifest
}

// put stores a piece if it matches its digest and reports whether it did.
func (p *pieceCache) put(t target, index int, data []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.target != t || index < 0 || index >= len(p.data) || !p.manifest.Digests[index].Matches(data) {
		return false
	}
	p.data[index] = data
	return true
}

// get returns a piece, and false if it is not held.
func (p *pieceCache) get(t target, index int) ([]byte, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.target != t || index < 0 || index >= len(p.data) || p.data[index] == nil {
		return nil, false
	}
	return p.data[index], true
}

// digests returns the piece digests of a version, and false if its manifest is not held.
func (p *pieceCache) digests(t target) ([]worker.Digest, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.target != t {
		return nil, false
	}
	return p.manifest.Digests, true
}

// held returns the bitmap of the pieces held of a version, nil for another version.
func (p *pieceCache) held(t target) transfer.Bitmap {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.target != t {
		return nil
	}
	bitmap := make(transfer.Bitmap, (len(p.data)+bitsPerByte-1)/bitsPerByte)
	for index, piece := range p.data {
		if piece != nil {
			bitmap[index/bitsPerByte] |= 1 << (index % bitsPerByte)
		}
	}
	return bitmap
}
