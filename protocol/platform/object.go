package platform

import (
	"context"
	"encoding/json"
)

// Kind names a kind of object in the object API.
type Kind string

// Kinds of the system's own objects; the value is the plural in the REST path.
const (
	KindSetting      Kind = "settings"
	KindPermit       Kind = "permits"
	KindClaimSegment Kind = "claimsegments"
)

// Object is one versioned object of the object API.
type Object struct {
	Kind Kind
	Name string
	// Version is the opaque resource version; empty for an object not yet created.
	Version string
	Labels  map[string]string
	Spec    json.RawMessage
}

// ObjectList is a consistent list with the resource version to watch from.
type ObjectList struct {
	Version string
	Items   []Object
}

// EventType says what happened to a watched object.
type EventType string

// Event types.
const (
	EventAdded    EventType = "ADDED"
	EventModified EventType = "MODIFIED"
	EventDeleted  EventType = "DELETED"
)

// Event is one change seen by a watch.
type Event struct {
	Type   EventType
	Object Object
}

// ObjectStore is the platform's object API.
//
// Errors are *protocol.Error. A write whose response was lost fails with CodeOutcomeUnknown, and
// the caller settles it by reading back a nonce that it wrote.
type ObjectStore interface {
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns the objects that match a label selector such as "shard=7"; an empty selector matches all.
	List(ctx context.Context, kind Kind, selector string) (ObjectList, error)
	// Create fails with CodeConflict when the object exists.
	Create(ctx context.Context, object Object) (Object, error)
	// Update fails with CodeConflict unless object.Version is current.
	Update(ctx context.Context, object Object) (Object, error)
	Delete(ctx context.Context, kind Kind, name, version string) error
	// Watch sends changes after sinceVersion until ctx ends or the stream breaks, then closes the channel.
	Watch(ctx context.Context, kind Kind, sinceVersion string) (<-chan Event, error)
}
