package table

import (
	"fmt"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// version is the content that an agent holds of one model version.
type version struct {
	manifest  core.Manifest
	body      []byte
	chunks    [][]byte
	heldCount int
	// etag is the entity tag of the version at the weight source.
	etag string
	// sequence is the value of lastSequence when the version was last added; the lowest is evicted first.
	sequence uint64
}

// Chunks holds manifests and verified chunks by version digest.
type Chunks struct {
	mu       mutex[rankChunks]
	versions map[core.Digest]*version
	// limit bounds the total size of all versions in bytes; 0 means no limit.
	limit        int64
	lastSequence uint64
}

// NewChunks returns an empty Chunks table.
func NewChunks() *Chunks {
	return &Chunks{versions: make(map[core.Digest]*version)}
}

// SetLimit bounds the memory for chunks in bytes; 0 means no limit. It evicts nothing until the next AddManifest.
func (c *Chunks) SetLimit(bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = bytes
}

// AddManifest adds a version, or marks a version that it holds as the newest. The caller must have checked that the
// canonical body matches digest.
//
// Memory is reserved for the whole version: other versions are evicted, oldest first, until it fits. A version that exceeds
// the limit by itself is an error.
func (c *Chunks) AddManifest(digest core.Digest, manifest core.Manifest, body []byte, etag string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastSequence++
	if existing := c.versions[digest]; existing != nil {
		existing.sequence = c.lastSequence
		return nil
	}
	if c.limit > 0 && manifest.Size > c.limit {
		return core.NewError(core.CodeInvalid, string(digest),
			fmt.Sprintf("version has %d bytes, more than the %d bytes of memory for chunks", manifest.Size, c.limit))
	}
	c.evictFor(manifest.Size)
	c.versions[digest] = &version{
		manifest: manifest, body: body, chunks: make([][]byte, len(manifest.Chunks)), etag: etag, sequence: c.lastSequence,
	}
	return nil
}

// evictFor removes the oldest versions until size more bytes fit; the caller holds the lock.
func (c *Chunks) evictFor(size int64) {
	for c.limit > 0 {
		var oldest core.Digest
		used := size
		for digest, v := range c.versions {
			used += v.manifest.Size
			if oldest == "" || v.sequence < c.versions[oldest].sequence {
				oldest = digest
			}
		}
		if used <= c.limit || oldest == "" {
			return
		}
		delete(c.versions, oldest)
	}
}

// ETag returns the entity tag of a version at the weight source, or "" if it is unknown.
func (c *Chunks) ETag(digest core.Digest) string {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if v := c.versions[digest]; v != nil {
		return v.etag
	}
	return ""
}

// SetETag sets the entity tag of a version at the weight source.
func (c *Chunks) SetETag(digest core.Digest, etag string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v := c.versions[digest]; v != nil {
		v.etag = etag
	}
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

// Put verifies and stores a chunk. It reports false if the version or index is unknown or the data does not match the
// manifest.
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
		v.heldCount++
	}
	return true
}

// Get returns a chunk if it is held.
func (c *Chunks) Get(digest core.Digest, index int) ([]byte, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	v := c.versions[digest]
	if v == nil || index < 0 || index >= len(v.chunks) || v.chunks[index] == nil {
		return nil, false
	}
	return v.chunks[index], true
}

// Progress returns the number of chunks held and the number of chunks of the version.
func (c *Chunks) Progress(digest core.Digest) (held, total int) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	v := c.versions[digest]
	if v == nil {
		return 0, 0
	}
	return v.heldCount, len(v.chunks)
}

// Bitmap returns a bitmap of the chunks held. Chunk i is bit i%8 of byte i/8, counted from the least significant bit.
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

// Remove deletes a version and its chunks.
func (c *Chunks) Remove(digest core.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.versions, digest)
}
