package weights

import (
	"io"

	"github.com/rotisserie/eris"
	"github.com/zeebo/blake3"

	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/table"
)

// verifyContent checks the concatenated chunks of a version against the content digest in its manifest.
func verifyContent(chunks *table.Chunks, digest core.Digest, manifest core.Manifest) error {
	hash := blake3.New()
	if _, err := io.Copy(hash, newChunkReader(chunks, digest, manifest, nil)); err != nil {
		return eris.Wrap(err, "read held chunks")
	}
	if got := core.DigestFromSum(hash.Sum(nil)); got != manifest.Content {
		return eris.Errorf("version %s has content %s, want %s", digest, got, manifest.Content)
	}
	return nil
}

// chunkReader reads the held chunks of a version in order.
type chunkReader struct {
	chunks *table.Chunks
	digest core.Digest
	total  int
	next   int
	unread []byte
	// stop makes Read return ErrSuperseded once it reports true; it may be nil.
	stop func() bool
}

func newChunkReader(chunks *table.Chunks, digest core.Digest, manifest core.Manifest, stop func() bool) *chunkReader {
	return &chunkReader{chunks: chunks, digest: digest, total: len(manifest.Chunks), stop: stop}
}

// Read implements io.Reader.
func (c *chunkReader) Read(p []byte) (int, error) {
	if len(c.unread) == 0 {
		if c.next == c.total {
			return 0, io.EOF
		}
		if c.stop != nil && c.stop() {
			return 0, ErrSuperseded
		}
		chunk, ok := c.chunks.Get(c.digest, c.next)
		if !ok {
			return 0, eris.Errorf("chunk %d of version %s is not held", c.next, c.digest)
		}
		c.unread = chunk
		c.next++
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}
