package staging

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/worker"
)

// verifyReaders bounds the concurrent reads of staged pieces.
const verifyReaders = 4

// verification records when each staged piece of a version was last known to be sound.
type verification struct {
	target  target
	digests []worker.Digest

	mu sync.Mutex
	// soundAt holds the start of the last read that returned a sound piece, since the response of a read may be older than its
	// arrival. It is zero for a piece that has not been read back or was corrupt.
	soundAt []time.Time
}

func (v *verification) setSoundAt(index int, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.soundAt[index] = at
}

// checkComplete returns an error unless the verification covers all pieces of a version. The worker would load others as they are.
func (v *verification) checkComplete(pieces int) error {
	if pieces <= 0 || len(v.soundAt) != pieces {
		return protocol.Errorf(protocol.CodeChanged, "%d pieces of version %d are staged, the configuration states %d", len(v.soundAt),
			v.target.version, pieces)
	}
	return nil
}

// oldest returns the time since which each piece has been read back; zero if one of them is not known to be sound.
func (v *verification) oldest() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.MinFunc(v.soundAt, time.Time.Compare)
}

// verifyStaged reads back every staged piece, because staged data may become corrupt, and stages again those that do
// not match their digest.
func (a *Agent) verifyStaged(ctx context.Context, t target) (*verification, error) {
	digests, ok := a.pieces.digests(t)
	if !ok {
		a.clearStaged(t.model)
		return nil, protocol.Errorf(protocol.CodeChanged, "pieces of version %d are not held", t.version)
	}
	v := &verification{target: t, digests: digests, soundAt: make([]time.Time, len(digests))}
	if err := v.checkComplete(a.configuredPieces()); err != nil {
		a.clearStaged(t.model)
		return nil, err
	}
	return v, a.verifyAgain(ctx, v)
}

// verifyAgain reads back every staged piece once more.
func (a *Agent) verifyAgain(ctx context.Context, v *verification) error {
	startedAt := a.Now()
	pool := pond.NewPool(verifyReaders)
	defer pool.StopAndWait()
	group := pool.NewGroupContext(ctx)
	for index := range v.digests {
		group.SubmitErr(func() error { return a.verifyPiece(ctx, v, index) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	varVerifications.Add(1)
	a.noteVerified(v)
	a.Log.WithFields(logrus.Fields{
		"model": v.target.model, "version": v.target.version, "took_ms": a.Now().Sub(startedAt).Milliseconds(),
	}).Info("staged pieces verified")
	return nil
}

// verifyPiece reads back a staged piece. One that does not match its digest is staged again and read once more.
func (a *Agent) verifyPiece(ctx context.Context, v *verification, index int) error {
	for range maxStageAttempts {
		startedAt := a.Now()
		data, err := a.readStaged(ctx, v.target.model, index)
		if err == nil && v.digests[index].Matches(data) {
			v.setSoundAt(index, startedAt)
			return nil
		}
		if err != nil && !isWrongPiece(err) {
			return err
		}
		v.setSoundAt(index, time.Time{})
		if err := a.restage(ctx, v.target, index); err != nil {
			return err
		}
	}
	return protocol.Errorf(protocol.CodeMalformed, "piece %d of version %d is corrupt after it was staged %d times", index,
		v.target.version, maxStageAttempts)
}

// isWrongPiece reports whether the read of a staged piece failed because the piece is missing, or larger than any piece of a version.
func isWrongPiece(err error) bool {
	code := protocol.CodeOf(err)
	return code == protocol.CodeNotFound || code == protocol.CodeMalformed
}

// restage stages a piece again.
func (a *Agent) restage(ctx context.Context, t target, index int) error {
	data, ok := a.pieces.get(t, index)
	if !ok {
		a.clearStaged(t.model)
		return protocol.Errorf(protocol.CodeChanged, "piece %d of version %d is not held", index, t.version)
	}
	varPiecesRestaged.Add(1)
	return a.stage(ctx, t, index, data)
}

// noteVerified notes that all staged pieces of a version were sound.
func (a *Agent) noteVerified(v *verification) {
	oldest := v.oldest()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.verifiedAt = oldest
}

// keepVerified verifies the staged pieces every VerificationInterval until the returned function is called, which waits for the end of
// the last verification.
func (a *Agent) keepVerified(ctx context.Context, v *verification) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var loop sync.WaitGroup
	loop.Go(func() {
		for pause(ctx, a.Config.VerificationInterval) == nil {
			if err := a.verifyAgain(ctx, v); err != nil && ctx.Err() == nil {
				a.Log.WithError(err).WithField("version", v.target.version).Warn("verification of staged pieces failed")
			}
		}
	})
	return func() {
		cancel()
		loop.Wait()
	}
}

// verifyOrdered verifies the staged pieces of a version if the worker may still carry out an order for it and they have not been
// verified for VerificationInterval.
func (a *Agent) verifyOrdered(ctx context.Context, t target) error {
	if !a.isVerificationDue(t) {
		return nil
	}
	_, err := a.verifyStaged(ctx, t)
	return err
}

func (a *Agent) isVerificationDue(t target) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unanswered.target == t && a.isStaged(t) && a.responding &&
		a.Now().Sub(a.verifiedAt) >= a.Config.VerificationInterval
}
