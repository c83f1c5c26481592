package staging

import (
	"context"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/worker"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// stagedPieces lists the pieces of a version that the worker's present process has accepted, as long as no piece of another version of
// the model has been sent to it since.
type stagedPieces struct {
	version int64
	indexes map[int]bool
}

// noteStaged notes that a piece is about to be staged, or with done that the worker has accepted it.
func (a *Agent) noteStaged(t target, index int, done bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	pieces := a.stagedPieces[t.model]
	if pieces.version != t.version || pieces.indexes == nil {
		pieces = stagedPieces{version: t.version, indexes: map[int]bool{}}
	}
	pieces.indexes[index] = done
	if a.stagedPieces == nil {
		a.stagedPieces = map[core.Model]stagedPieces{}
	}
	a.stagedPieces[t.model] = pieces
}

// isPieceStaged reports whether the worker has accepted a piece and nothing has replaced it.
func (a *Agent) isPieceStaged(t target, index int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	pieces := a.stagedPieces[t.model]
	return pieces.version == t.version && pieces.indexes[index]
}

// isReplaced reports whether this process has begun to stage pieces of another version of the model.
func (a *Agent) isReplaced(t target) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	pieces := a.stagedPieces[t.model]
	return pieces.version != 0 && pieces.version != t.version
}

// adoptPieces marks the pieces that are in the cache or staged at the worker as held, so that they are not fetched again, and stages
// those that are only in the cache.
func (r *versionFetch) adoptPieces(ctx context.Context, manifest worker.Manifest) error {
	if err := r.adoptStaged(ctx, manifest); err != nil {
		return err
	}
	group := r.pool.NewGroupContext(ctx)
	for index := range manifest.Digests {
		data, held := r.pieces.get(r.target, index)
		if !held {
			continue
		}
		r.plan.MarkHeld(index)
		if !r.memoryOnly && !r.isPieceStaged(r.target, index) {
			group.SubmitErr(func() error { return r.stageAndRetry(ctx, index, data) })
		}
	}
	return group.Wait()
}

// adoptStaged reads the pieces that the cache lacks back from the worker's staging area, unless that has pieces of another version.
func (r *versionFetch) adoptStaged(ctx context.Context, manifest worker.Manifest) error {
	if r.memoryOnly || r.isReplaced(r.target) {
		return nil
	}
	for index := range manifest.Digests {
		if _, held := r.pieces.get(r.target, index); held {
			continue
		}
		data, err := r.readStaged(ctx, r.target.model, index)
		if err != nil && !isWrongPiece(err) {
			return err
		}
		if err != nil || !r.pieces.put(r.target, index, data) {
			// Pieces are staged in any order, but a worker whose first piece is missing or another one most likely has none.
			if index == 0 {
				return nil
			}
			continue
		}
		r.noteStaged(r.target, index, true)
	}
	return nil
}

// stageAndRetry stages a piece unless the version is no longer the one to stage.
func (r *versionFetch) stageAndRetry(ctx context.Context, index int, data []byte) error {
	var err error
	for range maxStageAttempts {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !r.wants(r.target) {
			return protocol.Errorf(protocol.CodeChanged, "version %d is no longer being staged", r.target.version)
		}
		if err = r.stage(ctx, r.target, index, data); err == nil {
			return nil
		}
	}
	return err
}
