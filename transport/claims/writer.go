// Package claims writes claims for idempotency keys to the object API.
//
// Each shard's log is a row of objects claims-<shard>-<sequence>, each created once. The entry that owns a shard by
// rendezvous hash batches the writes of all; an entry that cannot reach the owner writes itself. Safety does not depend
// on who writes: only the writer whose create succeeds has a place in the log.
//
// Old segments are deleted in ascending order, and never the newest. A writer whose view is so old that its next
// sequence was already deleted could create that object again. A segment is deleted at the earliest after the claims in
// it have expired, so a writer reads the log again when its view is older than maxViewAge. That leaves a process that
// was paused for a day between the check and the create. After each create the writer therefore reads the segment before
// it and compares its nonce; when that is gone or another, the new object is outside the log, and the writer reads the
// log again. Readers leave such an object out as well, because it is not linked to the newest segment.
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
	// maxTries bounds the creates of one commit; each conflict means that another writer made progress.
	maxTries = 8
	// maxSteps bounds the segments read one by one before the whole shard is listed.
	maxSteps = 32
	// maxViewAge is the age of a view after which the log is read again before a write. Together with the age of what a
	// read returns it must stay under the time after which segments are deleted.
	maxViewAge = 30 * time.Minute
	// shardLabel selects the segments of one shard.
	shardLabel = "shard"
)

// writer keeps the view of one shard's log and appends to it. It is not safe for concurrent use.
type writer struct {
	store    platform.ObjectStore
	shard    int
	ttl      time.Duration
	now      func() time.Time
	newNonce func() string
	log      *claims.Log
	// confirmed is when the view was last known to be the newest.
	confirmed time.Time
	// creates counts the creates sent.
	creates int
}

func newWriter(store platform.ObjectStore, shard int, ttl time.Duration, now func() time.Time, newNonce func() string) *writer {
	return &writer{store: store, shard: shard, ttl: ttl, now: now, newNonce: newNonce}
}

// load reads the log unless the writer has a view of it that is not too old.
func (w *writer) load(ctx context.Context) error {
	age := w.now().Sub(w.confirmed)
	if w.log != nil && age >= 0 && age <= maxViewAge {
		return nil
	}
	return w.reload(ctx)
}

// reload reads the whole log.
func (w *writer) reload(ctx context.Context) error {
	asked := w.now()
	segments, _, err := w.list(ctx)
	if err != nil {
		return err
	}
	w.log, w.confirmed = claims.Rebuild(w.ttl, segments), asked
	return nil
}

// refresh reads the segments that follow the view.
func (w *writer) refresh(ctx context.Context) error {
	if err := w.load(ctx); err != nil {
		return err
	}
	for range maxSteps {
		asked := w.now()
		sequence, _ := w.log.Next()
		segment, err := w.get(ctx, sequence)
		if protocol.CodeOf(err) == protocol.CodeNotFound {
			w.confirmed = asked
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

// commit appends the records that still matter; afterwards the view says which claims were granted. After an error it
// is not known whether they were appended.
func (w *writer) commit(ctx context.Context, now time.Time, records []claims.Record) error {
	for range maxTries {
		if err := w.load(ctx); err != nil {
			return err
		}
		due := w.due(now, records)
		if len(due) == 0 {
			return nil
		}
		sequence, previous := w.log.Next()
		segment := claims.Segment{Sequence: sequence, Nonce: claims.Nonce(w.newNonce()), Previous: previous, Records: due}
		appended, err := w.create(ctx, segment)
		if err != nil || appended {
			return err
		}
	}
	return protocol.Errorf(protocol.CodeUnavailable, "shard %d changed during %d attempts to append", w.shard, maxTries)
}

// due returns the records that would change the view.
func (w *writer) due(now time.Time, records []claims.Record) []claims.Record {
	var due []claims.Record
	for _, r := range records {
		if r.Op == claims.OpClaim {
			if outcome, _ := w.log.Lookup(r, now); outcome != claims.Free {
				continue
			}
		} else if !w.log.Holds(r.Key, r.Nonce) {
			continue
		}
		due = append(due, r)
	}
	return due
}

// create writes a segment and reports whether it is in the log.
func (w *writer) create(ctx context.Context, segment claims.Segment) (bool, error) {
	object, err := w.object(segment)
	if err != nil {
		return false, err
	}
	w.creates++
	_, err = w.store.Create(ctx, object)
	switch protocol.CodeOf(err) {
	case protocol.CodeConflict, protocol.CodeOutcomeUnknown:
		return w.settleWrite(ctx, segment)
	}
	if err != nil {
		return false, err
	}
	return w.verify(ctx, segment)
}

// settleWrite finds out whether a write took effect by reading the object back and comparing its nonce.
func (w *writer) settleWrite(ctx context.Context, segment claims.Segment) (bool, error) {
	stored, err := w.get(ctx, segment.Sequence)
	if protocol.CodeOf(err) == protocol.CodeNotFound {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if stored.Nonce == segment.Nonce {
		return w.verify(ctx, segment)
	}
	return false, w.refresh(ctx)
}

// verify checks that a created segment is linked to the one before it, and brings the view up to it.
func (w *writer) verify(ctx context.Context, segment claims.Segment) (bool, error) {
	if segment.Sequence > 0 {
		before, err := w.get(ctx, segment.Sequence-1)
		if err == nil && before.Nonce == segment.Previous {
			return true, w.log.Apply(segment)
		}
		if err != nil && protocol.CodeOf(err) != protocol.CodeNotFound {
			w.log = nil
			return false, err
		}
	}
	// The view was outdated, or this is the first segment that the writer knows of. The listing tells whether the
	// segment is in the log; the caller appends again when it is not.
	return false, w.reload(ctx)
}

func (w *writer) get(ctx context.Context, sequence uint64) (claims.Segment, error) {
	object, err := w.store.Get(ctx, platform.KindClaimSegment, segmentName(w.shard, sequence))
	if err != nil {
		return claims.Segment{}, err
	}
	return decodeSegment(object)
}

func (w *writer) list(ctx context.Context) ([]claims.Segment, map[uint64]platform.Object, error) {
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

// cleanUp deletes the segments whose claims have all expired, oldest first, and those outside the log. It never deletes
// the newest, which keeps the sequence from starting again, and stops at the first error so that no gap arises. It does
// not touch the view, so that records can be appended meanwhile.
func (w *writer) cleanUp(ctx context.Context, now time.Time) error {
	segments, objects, err := w.list(ctx)
	if err != nil || len(segments) == 0 {
		return err
	}
	chain := claims.Chain(segments)
	for _, segment := range segments {
		if segment.Sequence < chain[0].Sequence {
			if err := w.remove(ctx, objects[segment.Sequence]); err != nil {
				return err
			}
		}
	}
	for _, segment := range chain[:len(chain)-1] {
		if !segment.Deletable(now, w.ttl) {
			break
		}
		if err := w.remove(ctx, objects[segment.Sequence]); err != nil {
			return err
		}
	}
	return nil
}

func (w *writer) remove(ctx context.Context, object platform.Object) error {
	err := w.store.Delete(ctx, platform.KindClaimSegment, object.Name, object.Version)
	if protocol.CodeOf(err) == protocol.CodeNotFound {
		return nil
	}
	return err
}

func (w *writer) object(segment claims.Segment) (platform.Object, error) {
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

// segmentName pads the sequence to the length of the largest one, so that names sort by it.
func segmentName(shard int, sequence uint64) string {
	return fmt.Sprintf("claims-%d-%020d", shard, sequence)
}
