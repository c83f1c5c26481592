// Package feed defines the interface to the platform's store: lists of the records of a kind, and the changes since a revision.
package feed

import (
	"context"
	"time"
)

// Kind is a kind of record.
type Kind string

// Kinds of records and the type of their values.
const (
	// KindConfiguration has values of type *fleet.Configuration.
	KindConfiguration Kind = "configuration"
	// KindReplicas has values of type *fleet.Replica.
	KindReplicas Kind = "replicas"
	// KindEvacuations has values of type fleet.Evacuation.
	KindEvacuations Kind = "evacuations"
	// KindWeightTargets has values of type fleet.WeightTarget.
	KindWeightTargets Kind = "weight_targets"
)

// PromptResponseLimit is an upper bound of the time in which even a slow store responds to a watch whose changes were made before the call.
// A watch that took longer was ended by a change made during its wait.
const PromptResponseLimit = 500 * time.Millisecond

// Record is a record or its removal.
type Record struct {
	Name     string
	Revision int64
	Removed  bool
	// Value is nil if the record was removed or can't be decoded.
	Value any
	// Err is the reason why the record can't be decoded, or nil.
	Err error
}

// Batch is the result of List or Watch.
type Batch struct {
	Records []Record
	// Revision is the revision after which the next Watch continues.
	Revision int64
	// Era numbers the histories of the store, 0 if it has only one. It rises when the store comes back from an older copy. The
	// store then gives out revisions again, so revisions of two eras must not be compared.
	Era int64
	// Relayed is true if another host read the batch from the store. HeldFor is then the time for which that host held the call.
	// CompleteAfter is the time after the call was sent up to which the store has confirmed that the batch is complete. It is mostly
	// negative if another host read it. A source that always waits for as long as the caller asks may leave it 0.
	Relayed       bool
	HeldFor       time.Duration
	CompleteAfter time.Duration
	// Dated is true if that host has told how old the changes can be. ChangedAfter is then the time after the call was sent before which
	// none of the records was changed, mostly negative.
	Dated        bool
	ChangedAfter time.Duration
}

// Source is read access to the platform's store. Errors are of type *protocol.Error: CodeExpired means that the store no
// longer has the changes since a revision, so that the kind must be listed again.
type Source interface {
	// List returns all records of a kind. A stale list may be seconds old and is cheaper for the store.
	List(ctx context.Context, kind Kind, stale bool) (Batch, error)
	// Watch returns the changes of a kind since a revision as soon as there is one, or an empty batch after wait.
	Watch(ctx context.Context, kind Kind, since int64, wait time.Duration) (Batch, error)
}
