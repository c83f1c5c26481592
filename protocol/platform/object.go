package platform

import (
	"context"
	"encoding/json"
)

// Kind names a kind of object in the object API.
type Kind string

// Kinds of the system's own objects; the value is the plural resource name in the REST path.
const (
	KindSetting      Kind = "settings"
	KindPermit       Kind = "permits"
	KindClaimSegment Kind = "claimsegments"
)

// Object is one versioned object of the object API.
type Object struct {
	Kind Kind
	Name string
	// Version is the opaque resource version; empty for an object that is not yet created.
	Version string
	Labels  map[string]string
	Spec    json.RawMessage
}

// ObjectList is a consistent list with the resource version from which to watch for changes.
type ObjectList struct {
	Version string
	Items   []Object
}

// EventType is the kind of a change to a watched object.
type EventType string

// Event types.
const (
	EventAdded    EventType = "ADDED"
	EventModified EventType = "MODIFIED"
	EventDeleted  EventType = "DELETED"
)

// Event is a change that a watch reports.
type Event struct {
	Type   EventType
	Object Object
}

// ObjectStore is the platform's object API.
//
// Errors are of type *protocol.Error. A write whose response was lost fails with CodeOutcomeUnknown. The caller
// finds out whether it took effect by reading the object and looking for the nonce that it wrote.
type ObjectStore interface {
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns the objects that match a label selector such as "shard=7"; an empty selector matches all.
	List(ctx context.Context, kind Kind, selector string) (ObjectList, error)
	// Create fails with CodeConflict when the object exists.
	Create(ctx context.Context, object Object) (Object, error)
	// Update fails with CodeConflict unless object.Version is current.
	Update(ctx context.Context, object Object) (Object, error)
	Delete(ctx context.Context, kind Kind, name, version string) error
	// Watch sends the changes after sinceVersion until ctx is done or the stream fails, then closes the channel.
	Watch(ctx context.Context, kind Kind, sinceVersion string) (<-chan Event, error)
}
