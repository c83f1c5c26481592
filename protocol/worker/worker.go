// Package worker defines the interfaces of an agent to the model worker on its host and to the origin of weights.
package worker

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// Report is the state that a worker reports.
type Report struct {
	// Born is the worker's start time in Unix milliseconds.
	Born   int64
	Models []fleet.LoadedModel
	// Busy is true while a load order is in progress.
	Busy bool
	// Orders is the number of load orders that the worker has begun since its start.
	Orders  int64
	Running int
	Waiting int
	// CacheUsed and CacheTotal are sizes of the KV cache in tokens times layers.
	CacheUsed  int64
	CacheTotal int64
	// Pace is the factor by which the worker is slower than usual; 0 means unknown.
	Pace float64
	// Leaving is true if the worker is about to leave and wants no new requests.
	Leaving bool
	// RequestLimit is the request rate that the worker takes from all hosts together.
	RequestLimit fleet.RequestLimit
}

// LoadOrder instructs a worker to load the staged pieces of a version.
type LoadOrder struct {
	Model   core.Model
	Version int64
	// ExpectedOrders is the expected value of Report.Orders; the worker rejects the order if it differs.
	ExpectedOrders int64
	// FencingToken makes the worker reject the order if it has received one with a higher token.
	FencingToken int64
	// MaySend, if set, is called right before the first byte of the order is sent, after a connection has been opened. If it
	// returns an error, nothing is sent, and Load returns that error.
	MaySend func() error
}

// CheckSend calls MaySend if it is set.
func (o LoadOrder) CheckSend() error {
	if o.MaySend == nil {
		return nil
	}
	return o.MaySend()
}

// Worker is the model worker on the agent's host. Errors are of type *protocol.Error: CodeConflict means that the
// worker rejects an order in its present state, CodeRefused that it would reject the same order at any time, such as one with a
// low fencing token. After any other failure of Load since LoadOrder.MaySend allowed it, the worker may still carry out the order,
// even after seconds, if ExpectedOrders matches then.
type Worker interface {
	Report(ctx context.Context) (Report, error)
	// Stage stores a piece of a model's weights and replaces the piece staged under the same index.
	Stage(ctx context.Context, model core.Model, index int, data []byte) error
	// ReadStaged returns a staged piece, which may be corrupt. It fails with CodeMalformed if the piece has more than maxBytes.
	ReadStaged(ctx context.Context, model core.Model, index, maxBytes int) ([]byte, error)
	// Load starts a load and returns before it has finished. The worker loads the pieces that are staged when it accepts the
	// order.
	Load(ctx context.Context, order LoadOrder) error
}

// Manifest lists the digests of the pieces of a version.
type Manifest struct {
	Model   core.Model
	Version int64
	Digests []Digest
}

// CheckComplete returns an error unless the manifest lists a valid digest for each of the pieces of a version.
func (m Manifest) CheckComplete(pieces int) error {
	if len(m.Digests) != pieces {
		return protocol.Errorf(protocol.CodeMalformed, "manifest of %s version %d lists %d pieces, want %d", m.Model, m.Version, len(m.Digests), pieces)
	}
	for index, digest := range m.Digests {
		if !digest.IsValid() {
			return protocol.Errorf(protocol.CodeMalformed, "manifest of %s version %d has an invalid digest of piece %d, with %d characters",
				m.Model, m.Version, index, len(digest))
		}
	}
	return nil
}

// Digest is a SHA-256 hash in hexadecimal.
type Digest string

// IsValid reports whether the digest has the form of a hash.
func (d Digest) IsValid() bool {
	sum, err := hex.DecodeString(string(d))
	return err == nil && len(sum) == sha256.Size
}

// Matches reports whether data has the digest.
func (d Digest) Matches(data []byte) bool {
	sum := sha256.Sum256(data)
	return string(d) == hex.EncodeToString(sum[:])
}

// Origin is the origin of weights. Its responses may be corrupt.
type Origin interface {
	Manifest(ctx context.Context, address string, model core.Model, version int64) (Manifest, error)
	// Piece returns a piece. It fails with CodeMalformed if the piece has more than maxBytes.
	Piece(ctx context.Context, address string, model core.Model, version int64, index, maxBytes int) ([]byte, error)
}
