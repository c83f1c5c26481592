// Package staging transfers model versions to the worker on an agent's host: it fetches and checks the pieces, stages
// them at the worker, serves them to peers and orders the worker to load them.
package staging

import (
	"context"
	"slices"
	"sync"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/protocol/worker"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

const (
	bitsPerByte = 8
	// maxHeldVersions bounds the versions of a model whose pieces are held. Two let a host complete one version and fetch the next; each of the
	// versions in use has 2.4 MB, of the 152 MB that an agent may use.
	maxHeldVersions = 2
)

// target identifies a version of a model.
type target struct {
	model   core.Model
	version int64
}

// isLoaded reports whether loaded is this version or a newer one of the same model.
func (t target) isLoaded(loaded fleet.LoadedModel) bool {
	return loaded.Model == t.model && loaded.Version >= t.version
}

// heldVersion holds the manifest and the checked pieces of a version.
type heldVersion struct {
	target   target
	manifest worker.Manifest
	data     [][]byte
	// rejected is set when too many pieces did not match the manifest, which may be corrupt.
	rejected bool
}

// pieceCache holds the pieces of up to maxHeldVersions versions for peers and for staging.
type pieceCache struct {
	mu sync.Mutex
	// versions is ordered by the last call of open, the latest last.
	versions []*heldVersion
	// opened is closed and replaced when a manifest is added.
	opened chan struct{}
}

func newPieceCache() *pieceCache { return &pieceCache{opened: make(chan struct{})} }

// find returns a version, or nil if it is not held; the caller holds the lock.
func (p *pieceCache) find(t target) *heldVersion {
	for _, held := range p.versions {
		if held.target == t {
			return held
		}
	}
	return nil
}

// open adds a version or replaces its manifest. It keeps the pieces of the version that match the manifest, and makes room by removing
// the version of the model that was opened least recently among those that are not in use.
func (p *pieceCache) open(t target, manifest worker.Manifest, inUse func(target) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := &heldVersion{target: t, manifest: manifest, data: make([][]byte, len(manifest.Digests))}
	if old := p.find(t); old != nil {
		sameManifest := slices.Equal(old.manifest.Digests, manifest.Digests)
		for i := range min(len(old.data), len(next.data)) {
			if old.data[i] != nil && (sameManifest || manifest.Digests[i].Matches(old.data[i])) {
				next.data[i] = old.data[i]
			}
		}
		p.versions = slices.DeleteFunc(p.versions, func(h *heldVersion) bool { return h == old })
	}
	p.makeRoom(t.model, inUse)
	p.versions = append(p.versions, next)
	close(p.opened)
	p.opened = make(chan struct{})
}

// makeRoom removes versions of a model until one more fits; the caller holds the lock.
func (p *pieceCache) makeRoom(model core.Model, inUse func(target) bool) {
	for {
		count, remove := 0, -1
		for i, held := range p.versions {
			if held.target.model != model {
				continue
			}
			if count++; remove < 0 && !inUse(held.target) {
				remove = i
			}
		}
		if count < maxHeldVersions || remove < 0 {
			return
		}
		p.versions = slices.Delete(p.versions, remove, remove+1)
	}
}

// removeBefore removes the older versions of a model that are not in use.
func (p *pieceCache) removeBefore(t target, inUse func(target) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versions = slices.DeleteFunc(p.versions, func(held *heldVersion) bool {
		return held.target.model == t.model && held.target.version < t.version && !inUse(held.target)
	})
}

// isComplete reports whether all pieces of a version are held.
func (p *pieceCache) isComplete(t target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.find(t)
	return held != nil && !held.rejected && !slices.ContainsFunc(held.data, func(data []byte) bool { return data == nil })
}

// reject marks the manifest of a version as possibly corrupt. Its pieces are kept for the manifest that replaces it.
func (p *pieceCache) reject(t target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if held := p.find(t); held != nil {
		held.rejected = true
	}
}

// isRejectedVersion reports whether the manifest of a version was rejected.
func (p *pieceCache) isRejectedVersion(t target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.find(t)
	return held != nil && held.rejected
}

// isRejected reports whether a manifest equals one that was rejected.
func (p *pieceCache) isRejected(manifest worker.Manifest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.find(target{model: manifest.Model, version: manifest.Version})
	return held != nil && held.rejected && slices.Equal(held.manifest.Digests, manifest.Digests)
}

// put stores a piece if it matches its digest and reports whether it did.
func (p *pieceCache) put(t target, index int, data []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.find(t)
	if held == nil || index < 0 || index >= len(held.data) || !held.manifest.Digests[index].Matches(data) {
		return false
	}
	held.data[index] = data
	return true
}

// get returns a piece, and false if it is not held.
func (p *pieceCache) get(t target, index int) ([]byte, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.find(t)
	if held == nil || index < 0 || index >= len(held.data) || held.data[index] == nil {
		return nil, false
	}
	return held.data[index], true
}

// digests returns the piece digests of a version, and false if no manifest of it is held or the manifest was rejected.
func (p *pieceCache) digests(t target) ([]worker.Digest, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.find(t)
	if held == nil || held.rejected {
		return nil, false
	}
	return held.manifest.Digests, true
}

// awaitDigests is digests, except that it waits for a manifest until ctx ends.
func (p *pieceCache) awaitDigests(ctx context.Context, t target) ([]worker.Digest, bool) {
	for {
		p.mu.Lock()
		opened := p.opened
		p.mu.Unlock()
		if digests, ok := p.digests(t); ok {
			return digests, true
		}
		select {
		case <-ctx.Done():
			return nil, false
		case <-opened:
		}
	}
}

// held returns the bitmap of the pieces held of a version, nil for a version that is not held.
func (p *pieceCache) held(t target) transfer.Bitmap {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.find(t)
	if held == nil {
		return nil
	}
	bitmap := make(transfer.Bitmap, (len(held.data)+bitsPerByte-1)/bitsPerByte)
	for index, piece := range held.data {
		if piece != nil {
			bitmap[index/bitsPerByte] |= 1 << (index % bitsPerByte)
		}
	}
	return bitmap
}
