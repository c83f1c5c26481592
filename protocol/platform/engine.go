package platform

import (
	"context"
	"io"
	"net/http"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// EngineStatus is the state that a back end reports.
type EngineStatus struct {
	BootID string      `json:"boot_id"`
	Model  core.Model  `json:"model,omitempty"`
	Digest core.Digest `json:"digest,omitempty"`
	// Complete is true if the engine has loaded all of the version with Digest.
	Complete bool `json:"complete"`
	InFlight int  `json:"in_flight"`
	// FencingToken is the highest token that the engine has accepted.
	FencingToken uint64 `json:"fencing_token"`
}

// LoadOrder instructs an engine to load a version.
type LoadOrder struct {
	Model        core.Model
	Digest       core.Digest
	Content      core.Digest
	FencingToken uint64
	Size         int64
	Weights      io.Reader
}

// Engine is the back end of an agent: a model engine or another service.
type Engine interface {
	Status(ctx context.Context) (EngineStatus, error)
	Load(ctx context.Context, order LoadOrder) error
	// Call forwards a caller's request and returns the response with its body unread.
	Call(ctx context.Context, request *http.Request) (*http.Response, error)
}
