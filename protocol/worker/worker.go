// Package worker describes how an agent talks to the model worker on its host and to the origin of weights.
package worker

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// Report is what a worker says about itself.
type Report struct {
	// Born is the worker's start in Unix milliseconds.
	Born   int64
	Models []fleet.LoadedModel
	// Busy says that an order is in progress.
	Busy bool
	// Orders is the number of orders that the worker has begun since its start.
	Orders  int64
	Running int
	Waiting int
	// CacheUsed and CacheTotal are in tokens times layers.
	CacheUsed  int64
	CacheTotal int64
	// Pace is how many times slower than usual the worker works; 0 means not known.
	Pace float64
}

// LoadOrder orders a worker to load the staged pieces of a version.
type LoadOrder struct {
	Model   core.Model
	Version int64
	// ExpectedOrders makes the worker refuse the order unless it has begun as many before.
	ExpectedOrders int64
	// FencingToken makes the worker refuse the order after one with a higher token.
	FencingToken int64
}

// Worker is the model worker on the agent's host. Errors are of type *protocol.Error; CodeConflict says that an order does
// not fit the worker's state, CodeRefused that its fencing token is too low.
type Worker interface {
	Report(ctx context.Context) (Report, error)
	// Stage stores a piece of a model's weights; it replaces what was staged under the index.
	Stage(ctx context.Context, model core.Model, index int, data []byte) error
	// ReadStaged returns a staged piece, which may have turned bad.
	ReadStaged(ctx context.Context, model core.Model, index int) ([]byte, error)
	// Load starts loading; it returns before the end.
	Load(ctx context.Context, order LoadOrder) error
}

// Manifest lists the digests of the pieces of a version.
type Manifest struct {
	Model   core.Model
	Version int64
	Digests []Digest
}

// Digest is a SHA-256 hash in hexadecimal.
type Digest string

// Matches reports whether data has the digest.
func (d Digest) Matches(data []byte) bool {
	sum := sha256.Sum256(data)
	return string(d) == hex.EncodeToString(sum[:])
}

// Origin is the origin of weights. What it sends may be damaged.
type Origin interface {
	Manifest(ctx context.Context, address string, model core.Model, version int64) (Manifest, error)
	Piece(ctx context.Context, address string, model core.Model, version int64, index int) ([]byte, error)
}
