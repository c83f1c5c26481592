// Package claims stores claims of idempotency keys in append-only logs in the object API.
//
// The log of a shard is a sequence of objects claims-<shard>-<sequence>, its segments, each created once. The entry that
// owns a shard by rendezvous hashing batches the writes of all entries; an entry that cannot reach the owner writes
// directly. Safety does not depend on which entry writes: a segment is in the log only if its create succeeded.
//
// Old segments are deleted in ascending order; the newest is never deleted. A writer with an outdated view could create
// an object whose sequence has already been used and deleted. Two checks prevent that from granting a claim:
//
//   - A segment is deleted only after its claims have expired, so a writer reloads the log when its view is older than
//     maxViewAge.
//   - A process may be paused for a day between that check and the create. After each create the writer therefore reads
//     the preceding segment and compares its nonce. If that segment is gone or differs, the new object is outside the
//     log, and the writer reloads the log. Readers ignore such an object because the newest segment does not link to it.
package claims

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/claims"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
)

const (
	// maxCommitAttempts bounds the creates of one commit. Each conflict means that another writer has appended a segment.
	maxCommitAttempts = 8
	// maxSequentialReads is the number of segments that a refresh reads one by one before it lists the whole shard.
	maxSequentialReads = 32
	// maxViewAge is the age of a view above which the log is reloaded before a write. The sum of maxViewAge and the
	// staleness of a read must stay below the age at which segments are deleted.
	maxViewAge = 30 * time.Minute
	// shardLabel is the object label that holds the shard number of a segment.
	shardLabel = "shard"
)

// writer holds a view of one shard's log and appends segments to it. It is not safe for concurrent use.
type writer struct {
	store    platform.ObjectStore
	shard    int
	ttl      time.Duration
	now      func() time.Time
	newNonce func() string
	log      *claims.Log
	// confirmedAt is the last time at which the view was known to be up to date.
	confirmedAt time.Time
	// creates counts the create calls sent to the store.
	creates int
}

func newWriter(store platform.ObjectStore, shard int, ttl time.Duration, now func() time.Time, newNonce func() string) *writer {
	return &writer{store: store, shard: shard, ttl: ttl, now: now, newNonce: newNonce}
}

// ensureLoaded reloads the log if the writer has no view or one older than maxViewAge.
func (w *writer) ensureLoaded(ctx context.Context) error {
	age := w.now().Sub(w.confirmedAt)
	if w.log != nil && age >= 0 && age <= maxViewAge {
		return nil
	}
	return w.reload(ctx)
}

// reload replaces the view with a listing of the whole log.
func (w *writer) reload(ctx context.Context) error {
	requestedAt := w.now()
	segments, _, err := w.listSegments(ctx)
	if err != nil {
		return err
	}
	w.log, w.confirmedAt = claims.Rebuild(w.ttl, segments), requestedAt
	return nil
}

// refresh applies the segments that were appended after the view.
func (w *writer) refresh(ctx context.Context) error {
	if err := w.ensureLoaded(ctx); err != nil {
		return err
	}
	for range maxSequentialReads {
		requestedAt := w.now()
		sequence, _ := w.log.Next()
		segment, err := w.getSegment(ctx, sequence)
		if protocol.CodeOf(err) == protocol.CodeNotFound {
			w.confirmedAt = requestedAt
			return nil
		}
		if err != nil {
			return err
		}
		if w.log.Apply(segment) != nil {
			return w.reload(ctx)
		}
	}
	return w.reload(ctx)
}

// commit appends the records that would change the view; afterwards the view shows which claims were granted. After an
// error it is unknown whether the records were appended.
func (w *writer) commit(ctx context.Context, now time.Time, records []claims.Record) error {
	for range maxCommitAttempts {
		if err := w.ensureLoaded(ctx); err != nil {
			return err
		}
		effective := w.effectiveRecords(now, records)
		if len(effective) == 0 {
			return nil
		}
		sequence, previous := w.log.Next()
		segment := claims.Segment{Sequence: sequence, Nonce: claims.Nonce(w.newNonce()), Previous: previous, Records: effective}
		appended, err := w.createSegment(ctx, segment)
		if err != nil || appended {
			return err
		}
	}
	return protocol.Errorf(protocol.CodeUnavailable, "shard %d: other writers appended during each of %d attempts", w.shard, maxCommitAttempts)
}

// effectiveRecords returns the records that would change the view: claims of free keys, and settlements by the holder
// of a key.
func (w *writer) effectiveRecords(now time.Time, records []claims.Record) []claims.Record {
	var effective []claims.Record
	for _, r := range records {
		if r.Op == claims.OpClaim {
			if outcome, _ := w.log.Lookup(r, now); outcome != claims.Free {
				continue
			}
		} else if !w.log.Holds(r.Key, r.Nonce) {
			continue
		}
		effective = append(effective, r)
	}
	return effective
}

// createSegment creates the object of a segment and reports whether the segment is in the log.
func (w *writer) createSegment(ctx context.Context, segment claims.Segment) (bool, error) {
	object, err := w.encodeSegment(segment)
	if err != nil {
		return false, err
	}
	w.creates++
	_, err = w.store.Create(ctx, object)
	switch protocol.CodeOf(err) {
	case protocol.CodeConflict, protocol.CodeOutcomeUnknown:
		return w.resolveWrite(ctx, segment)
	}
	if err != nil {
		return false, err
	}
	return w.verifyLink(ctx, segment)
}

// resolveWrite determines whether a create took effect by reading the object back and comparing its nonce.
func (w *writer) resolveWrite(ctx context.Context, segment claims.Segment) (bool, error) {
	stored, err := w.getSegment(ctx, segment.Sequence)
	if protocol.CodeOf(err) == protocol.CodeNotFound {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if stored.Nonce == segment.Nonce {
		return w.verifyLink(ctx, segment)
	}
	return false, w.refresh(ctx)
}

// verifyLink reports whether a created segment links to the one that precedes it, and applies it to the view if it does.
func (w *writer) verifyLink(ctx context.Context, segment claims.Segment) (bool, error) {
	if segment.Sequence > 0 {
		preceding, err := w.getSegment(ctx, segment.Sequence-1)
		if err == nil && preceding.Nonce == segment.Previous {
			return true, w.log.Apply(segment)
		}
		if err != nil && protocol.CodeOf(err) != protocol.CodeNotFound {
			w.log = nil
			return false, err
		}
	}
	// The view was outdated, or it was empty and no preceding segment exists to compare with. The reloaded view shows
	// whether the segment is in the log; commit appends the records again if it is not.
	return false, w.reload(ctx)
}

func (w *writer) getSegment(ctx context.Context, sequence uint64) (claims.Segment, error) {
	object, err := w.store.Get(ctx, platform.KindClaimSegment, segmentName(w.shard, sequence))
	if err != nil {
		return claims.Segment{}, err
	}
	return decodeSegment(object)
}

func (w *writer) listSegments(ctx context.Context) ([]claims.Segment, map[uint64]platform.Object, error) {
	list, err := w.store.List(ctx, platform.KindClaimSegment, shardLabel+"="+strconv.Itoa(w.shard))
	if err != nil {
		return nil, nil, err
	}
	objects := make(map[uint64]platform.Object, len(list.Items))
	segments := make([]claims.Segment, 0, len(list.Items))
	for _, object := range list.Items {
		segment, err := decodeSegment(object)
		if err != nil {
			return nil, nil, err
		}
		objects[segment.Sequence] = object
		segments = append(segments, segment)
	}
	return segments, objects, nil
}

// cleanUp deletes the segments outside the log and those whose claims have all expired, oldest first. It keeps the newest
// segment, without which the sequence would start again at 0, and stops at the first error so that the log has no gaps.
// It does not access the view, so records can be appended concurrently.
func (w *writer) cleanUp(ctx context.Context, now time.Time) error {
	segments, objects, err := w.listSegments(ctx)
	if err != nil || len(segments) == 0 {
		return err
	}
	chain := claims.Chain(segments)
	for _, segment := range segments {
		if segment.Sequence < chain[0].Sequence {
			if err := w.deleteSegment(ctx, objects[segment.Sequence]); err != nil {
				return err
			}
		}
	}
	for _, segment := range chain[:len(chain)-1] {
		if !segment.Deletable(now, w.ttl) {
			break
		}
		if err := w.deleteSegment(ctx, objects[segment.Sequence]); err != nil {
			return err
		}
	}
	return nil
}

func (w *writer) deleteSegment(ctx context.Context, object platform.Object) error {
	err := w.store.Delete(ctx, platform.KindClaimSegment, object.Name, object.Version)
	if protocol.CodeOf(err) == protocol.CodeNotFound {
		return nil
	}
	return err
}

func (w *writer) encodeSegment(segment claims.Segment) (platform.Object, error) {
	spec, err := json.Marshal(segment)
	if err != nil {
		return platform.Object{}, protocol.Wrap(protocol.CodeMalformed, err, "encode claim segment")
	}
	return platform.Object{
		Kind:   platform.KindClaimSegment,
		Name:   segmentName(w.shard, segment.Sequence),
		Labels: map[string]string{shardLabel: strconv.Itoa(w.shard)},
		Spec:   spec,
	}, nil
}

func decodeSegment(object platform.Object) (claims.Segment, error) {
	var segment claims.Segment
	if err := json.Unmarshal(object.Spec, &segment); err != nil {
		return segment, protocol.Wrap(protocol.CodeMalformed, err, "decode claim segment "+object.Name)
	}
	return segment, nil
}

// segmentName returns the object name of a segment. The sequence is zero-padded so that names sort in log order.
func segmentName(shard int, sequence uint64) string {
	return fmt.Sprintf("claims-%d-%020d", shard, sequence)
}
