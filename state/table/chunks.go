package table

import (
	"github.com/guavatrestle/guavatrestle/state/core"
)

// version is the content that an agent holds of one model version.
type version struct {
	manifest core.Manifest
	body     []byte
	chunks   [][]byte
	held     int
}

// Chunks holds manifests and verified chunks, keyed by version digest.
type Chunks struct {
	mu       mutex[rankChunks]
	versions map[core.Digest]*version
}

// NewChunks returns an empty table.
func NewChunks() *Chunks {
	return &Chunks{versions: make(map[core.Digest]*version)}
}

// AddManifest starts a version; its canonical body must already match digest.
func (c *Chunks) AddManifest(digest core.Digest, manifest core.Manifest, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.versions[digest] != nil {
		return
	}
	c.versions[digest] = &version{manifest: manifest, body: body, chunks: make([][]byte, len(manifest.Chunks))}
}

// Manifest returns a version's manifest and its canonical body.
func (c *Chunks) Manifest(digest core.Digest) (core.Manifest, []byte, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	v := c.versions[digest]
	if v == nil {
		return core.Manifest{}, nil, false
	}
	return v.manifest, v.body, true
}

// Put verifies and stores a chunk; it reports false when the data does not match the manifest.
func (c *Chunks) Put(digest core.Digest, index int, data []byte) bool {
	manifest, _, ok := c.Manifest(digest)
	if !ok || index < 0 || index >= len(manifest.Chunks) || core.DigestOf(data) != manifest.Chunks[index] {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.versions[digest]
	if v == nil {
		return false
	}
	if v.chunks[index] == nil {
		v.chunks[index] = data
		v.held++
	}
	return true
}

// Get returns a held chunk.
func (c *Chunks) Get(digest core.Digest, index int) ([]byte, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	v := c.versions[digest]
	if v == nil || index < 0 || index >= len(v.chunks) || v.chunks[index] == nil {
		return nil, false
	}
	return v.chunks[index], true
}

// Progress returns the number of chunks held and their total.
func (c *Chunks) Progress(digest core.Digest) (held, total int) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	v := c.versions[digest]
	if v == nil {
		return 0, 0
	}
	return v.held, len(v.chunks)
}

// Bitmap returns the held chunks as bits, least significant bit first.
func (c *Chunks) Bitmap(digest core.Digest) []byte {
	c.mu.RLock()
	defer c.mu.RUnlock()
	v := c.versions[digest]
	if v == nil {
		return nil
	}
	bitmap := make([]byte, (len(v.chunks)+7)/8)
	for i, chunk := range v.chunks {
		if chunk != nil {
			bitmap[i/8] |= 1 << (i % 8)
		}
	}
	return bitmap
}

// Remove drops a version.
func (c *Chunks) Remove(digest core.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.versions, digest)
}
