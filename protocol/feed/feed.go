// Package feed describes how a process learns of the fleet: lists of records of a kind and the changes since a revision.
package feed

import (
	"context"
	"time"
)

// Kind is a kind of records.
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

// Record is one record, or the notice of its removal.
type Record struct {
	Name     string
	Revision int64
	Removed  bool
	// Value is nil for a removed record and for one that does not decode.
	Value any
	// Err says why the record does not decode.
	Err error
}

// Batch is the response to List or Watch.
type Batch struct {
	Records []Record
	// Revision is the revision from which a Watch continues.
	Revision int64
}

// Source is the platform's store as a process reads it. Errors are of type *protocol.Error: CodeExpired says that the
// history since a revision is gone, so that the kind must be listed again.
type Source interface {
	// List returns all records of a kind. A stale list costs less and may be seconds old.
	List(ctx context.Context, kind Kind, stale bool) (Batch, error)
	// Watch returns the changes of a kind since a revision as soon as there is one, and an empty batch after wait.
	Watch(ctx context.Context, kind Kind, since int64, wait time.Duration) (Batch, error)
}
