package platform

import (
	"context"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// WeightSource serves manifests and weights. It is the origin or the weight store.
type WeightSource interface {
	// Manifest returns the encoded canonical manifest and the entity tag of the weights.
	Manifest(ctx context.Context, model core.Model, version string) (ManifestResponse, error)
	// Range returns bytes [Start, End) of the weights. It fails with CodeChanged if the entity tag no longer matches.
	Range(ctx context.Context, request RangeRequest) ([]byte, error)
}

// ManifestResponse is a manifest as its source serves it.
type ManifestResponse struct {
	Body []byte
	ETag string
}

// RangeRequest identifies a byte range of the weights of a version.
type RangeRequest struct {
	Model   core.Model
	Version string
	ETag    string
	Start   int64
	End     int64
}
