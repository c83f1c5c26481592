// Package objecttest provides an in-memory object store with injected faults, for tests.
package objecttest

import (
	"context"
	"strconv"
	"sync"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
)

// Fault is a fault that is injected into one call.
type Fault int

// Faults that a call can have.
const (
	// NoFault lets the call succeed.
	NoFault Fault = iota
	// Unavailable refuses the call without effect.
	Unavailable
	// RequestLost loses the request, so that the call takes no effect.
	RequestLost
	// ResponseLost loses the response after the call has taken effect.
	ResponseLost
	// VersionExpired refuses a watch because its version is too old.
	VersionExpired
)

// Store implements platform.ObjectStore in memory.
type Store struct {
	mu       sync.Mutex
	sequence uint64
	objects  map[string]platform.Object
	watchers map[chan platform.Event]bool
	calls    map[string]int

	// NextFault returns the fault of the next call of an operation, such as "create"; nil means no faults. It may call the
	// store.
	NextFault func(operation string) Fault
	// OnWrite is called with each write that takes effect, if not nil. The store is locked during the call.
	OnWrite func(object platform.Object)
	// ServeStaleList reports whether a list returns the state before the last write; nil means never.
	ServeStaleList func() bool
	// lastReplaced is what the last write replaced; nil means that there was no write.
	lastReplaced *replacedObject
}

// replacedObject is the state of a key before a write.
type replacedObject struct {
	key     string
	object  platform.Object
	existed bool
}

var _ platform.ObjectStore = (*Store)(nil)

// New returns an empty Store.
func New() *Store {
	return &Store{
		objects:  make(map[string]platform.Object),
		watchers: make(map[chan platform.Event]bool),
		calls:    make(map[string]int),
	}
}

// CallCount returns the number of calls of an operation, including failed ones.
func (s *Store) CallCount(operation string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[operation]
}

// Get implements platform.ObjectStore.
func (s *Store) Get(_ context.Context, kind platform.Kind, name string) (platform.Object, error) {
	if err := readError(s.recordCall("get")); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[objectKey(kind, name)]
	if !ok {
		return platform.Object{}, protocol.Errorf(protocol.CodeNotFound, "no object %s", name)
	}
	return object, nil
}

// List implements platform.ObjectStore; it ignores the selector.
func (s *Store) List(_ context.Context, kind platform.Kind, _ string) (platform.ObjectList, error) {
	if err := readError(s.recordCall("list")); err != nil {
		return platform.ObjectList{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := platform.ObjectList{Version: s.version()}
	stale := s.ServeStaleList != nil && s.lastReplaced != nil && s.ServeStaleList()
	for k, object := range s.objects {
		if stale && k == s.lastReplaced.key {
			if !s.lastReplaced.existed {
				continue
			}
			object = s.lastReplaced.object
		}
		if object.Kind == kind {
			list.Items = append(list.Items, object)
		}
	}
	return list, nil
}

// Create implements platform.ObjectStore.
func (s *Store) Create(_ context.Context, object platform.Object) (platform.Object, error) {
	return s.write(s.recordCall("create"), object, platform.EventAdded, func(_ platform.Object, exists bool) bool { return !exists })
}

// Update implements platform.ObjectStore.
func (s *Store) Update(_ context.Context, object platform.Object) (platform.Object, error) {
	return s.write(s.recordCall("update"), object, platform.EventModified, func(current platform.Object, exists bool) bool {
		return exists && current.Version == object.Version
	})
}

// Delete implements platform.ObjectStore.
func (s *Store) Delete(_ context.Context, kind platform.Kind, name, _ string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, objectKey(kind, name))
	return nil
}

// Watch implements platform.ObjectStore; it ignores the version and sends the changes made after the call.
func (s *Store) Watch(ctx context.Context, _ platform.Kind, _ string) (<-chan platform.Event, error) {
	if err := readError(s.recordCall("watch")); err != nil {
		return nil, err
	}
	const eventBuffer = 1000
	events := make(chan platform.Event, eventBuffer)
	s.mu.Lock()
	s.watchers[events] = true
	s.mu.Unlock()
	context.AfterFunc(ctx, func() { s.closeWatch(events) })
	return events, nil
}

// CloseWatches ends all watches.
func (s *Store) CloseWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for events := range s.watchers {
		delete(s.watchers, events)
		close(events)
	}
}

func (s *Store) closeWatch(events chan platform.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watchers[events] {
		delete(s.watchers, events)
		close(events)
	}
}

func (s *Store) write(fault Fault, object platform.Object, event platform.EventType, precondition func(platform.Object, bool) bool) (platform.Object, error) {
	switch fault {
	case Unavailable:
		return platform.Object{}, protocol.Errorf(protocol.CodeUnavailable, "the object API is down")
	case RequestLost:
		return platform.Object{}, protocol.Errorf(protocol.CodeOutcomeUnknown, "no response")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := objectKey(object.Kind, object.Name)
	current, exists := s.objects[k]
	if precondition(current, exists) {
		s.sequence++
		object.Version = s.version()
		s.lastReplaced = &replacedObject{key: k, object: current, existed: exists}
		s.objects[k] = object
		if s.OnWrite != nil {
			s.OnWrite(object)
		}
		s.sendToWatchers(platform.Event{Type: event, Object: object})
	} else if fault == NoFault {
		return platform.Object{}, protocol.Errorf(protocol.CodeConflict, "object %s has version %q", object.Name, current.Version)
	}
	if fault == ResponseLost {
		return platform.Object{}, protocol.Errorf(protocol.CodeOutcomeUnknown, "no response")
	}
	return object, nil
}

func (s *Store) sendToWatchers(event platform.Event) {
	for events := range s.watchers {
		select {
		case events <- event:
		default:
		}
	}
}

// recordCall counts a call of an operation and returns the fault injected into it.
func (s *Store) recordCall(operation string) Fault {
	s.mu.Lock()
	s.calls[operation]++
	s.mu.Unlock()
	if s.NextFault == nil {
		return NoFault
	}
	return s.NextFault(operation)
}

func (s *Store) version() string { return strconv.FormatUint(s.sequence, 10) }

func readError(fault Fault) error {
	switch fault {
	case NoFault:
		return nil
	case VersionExpired:
		return protocol.Errorf(protocol.CodeExpired, "the version is too old")
	}
	return protocol.Errorf(protocol.CodeUnavailable, "the object API is down")
}

func objectKey(kind platform.Kind, name string) string { return string(kind) + "/" + name }
