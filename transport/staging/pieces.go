// Package staging brings model versions to the worker on an agent's host: it fetches and checks the pieces, stages them at
// the worker, gives them to peers and orders the worker to load them.
package staging

import (
	"sync"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/protocol/worker"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

const bitsPerByte = 8

// target names a version of a model.
type target struct {
	model   core.Model
	version int64
}

// isLoaded reports whether a worker that has loaded the given version holds at least this one.
func (t target) isLoaded(loaded fleet.LoadedModel) bool {
	return loaded.Model == t.model && loaded.Version >= t.version
}

// pieces holds the checked pieces of one version.
type pieces struct {
	mu       sync.Mutex
	target   target
	manifest worker.Manifest
	data     [][]byte
}

// reset starts the collection of a version. Pieces that match the manifest are kept.
func (p *pieces) reset(t target, manifest worker.Manifest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.data
	p.data = make([][]byte, len(manifest.Digests))
	if p.target == t {
		for i := range min(len(old), len(p.data)) {
			if old[i] != nil && manifest.Digests[i].Matches(old[i]) {
				p.data[i] = old[i]
			}
		}
	}
	p.target, p.manifest = t, manifest
}

// put keeps a piece if it matches its digest and reports whether it does.
func (p *pieces) put(t target, index int, data []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.target != t || index < 0 || index >= len(p.data) || !p.manifest.Digests[index].Matches(data) {
		return false
	}
	p.data[index] = data
	return true
}

// get returns a held piece.
func (p *pieces) get(t target, index int) ([]byte, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.target != t || index < 0 || index >= len(p.data) || p.data[index] == nil {
		return nil, false
	}
	return p.data[index], true
}

// digests returns the digests of a version, if its manifest is held.
func (p *pieces) digests(t target) ([]worker.Digest, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.target != t {
		return nil, false
	}
	return p.manifest.Digests, true
}

// held returns which pieces of a version are held.
func (p *pieces) held(t target) transfer.Bitmap {
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
