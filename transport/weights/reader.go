package weights

import (
	"io"

	"github.com/rotisserie/eris"
	"github.com/zeebo/blake3"

	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/table"
)

// verifyContent checks the held chunks of a version, taken together, against its manifest.
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

// chunkReader reads the chunks of a version in order.
type chunkReader struct {
	chunks *table.Chunks
	digest core.Digest
	total  int
	next   int
	rest   []byte
	// stop ends the reading with an error once it reports true; nil never does.
	stop func() bool
}

func newChunkReader(chunks *table.Chunks, digest core.Digest, manifest core.Manifest, stop func() bool) *chunkReader {
	return &chunkReader{chunks: chunks, digest: digest, total: len(manifest.Chunks), stop: stop}
}

// Read implements io.Reader.
func (c *chunkReader) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
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
		c.rest = chunk
		c.next++
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}
