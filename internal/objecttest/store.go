// Package objecttest holds an object store in memory, with faults, for tests.
package objecttest

import (
	"context"
	"strconv"
	"sync"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
)

// Fault is what happens to one call.
type Fault int

// Faults of a call.
const (
	// NoFault lets the call pass.
	NoFault Fault = iota
	// Unavailable refuses the call without effect.
	Unavailable
	// RequestLost loses the call before it takes effect.
	RequestLost
	// ResponseLost loses the response after the call took effect.
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

	// NextFault returns the fault of a call by its operation, such as "create"; nil means none. It may call the store.
	NextFault func(operation string) Fault
	// OnWrite is told of each write that takes effect; nil means that nobody is.
	OnWrite func(object platform.Object)
	// ServeStaleList reports whether a list answers with the state before the last write; nil means never.
	ServeStaleList func() bool
	// previous is the object that the last write replaced.
	previous *replaced
}

// replaced is what the last write replaced.
type replaced struct {
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

// CallCount returns the number of calls of an operation.
func (s *Store) CallCount(operation string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[operation]
}

// Get implements platform.ObjectStore.
func (s *Store) Get(_ context.Context, kind platform.Kind, name string) (platform.Object, error) {
	if err := readFault(s.begin("get")); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key(kind, name)]
	if !ok {
		return platform.Object{}, protocol.Errorf(protocol.CodeNotFound, "no object %s", name)
	}
	return object, nil
}

// List implements platform.ObjectStore; it ignores the selector.
func (s *Store) List(_ context.Context, kind platform.Kind, _ string) (platform.ObjectList, error) {
	if err := readFault(s.begin("list")); err != nil {
		return platform.ObjectList{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := platform.ObjectList{Version: s.version()}
	stale := s.ServeStaleList != nil && s.previous != nil && s.ServeStaleList()
	for k, object := range s.objects {
		if stale && k == s.previous.key {
			if !s.previous.existed {
				continue
			}
			object = s.previous.object
		}
		if object.Kind == kind {
			list.Items = append(list.Items, object)
		}
	}
	return list, nil
}

// Create implements platform.ObjectStore.
func (s *Store) Create(_ context.Context, object platform.Object) (platform.Object, error) {
	return s.write(s.begin("create"), object, platform.EventAdded, func(_ platform.Object, exists bool) bool { return !exists })
}

// Update implements platform.ObjectStore.
func (s *Store) Update(_ context.Context, object platform.Object) (platform.Object, error) {
	return s.write(s.begin("update"), object, platform.EventModified, func(current platform.Object, exists bool) bool {
		return exists && current.Version == object.Version
	})
}

// Delete implements platform.ObjectStore.
func (s *Store) Delete(_ context.Context, kind platform.Kind, name, _ string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, key(kind, name))
	return nil
}

// Watch implements platform.ObjectStore; it sends changes from now on, whatever the version.
func (s *Store) Watch(ctx context.Context, _ platform.Kind, _ string) (<-chan platform.Event, error) {
	if err := readFault(s.begin("watch")); err != nil {
		return nil, err
	}
	const buffer = 1000
	events := make(chan platform.Event, buffer)
	s.mu.Lock()
	s.watchers[events] = true
	s.mu.Unlock()
	context.AfterFunc(ctx, func() { s.drop(events) })
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

func (s *Store) drop(events chan platform.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watchers[events] {
		delete(s.watchers, events)
		close(events)
	}
}

func (s *Store) write(fault Fault, object platform.Object, event platform.EventType, allowed func(platform.Object, bool) bool) (platform.Object, error) {
	switch fault {
	case Unavailable:
		return platform.Object{}, protocol.Errorf(protocol.CodeUnavailable, "the object API is down")
	case RequestLost:
		return platform.Object{}, protocol.Errorf(protocol.CodeOutcomeUnknown, "no response")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key(object.Kind, object.Name)
	current, exists := s.objects[k]
	if allowed(current, exists) {
		s.sequence++
		object.Version = s.version()
		s.previous = &replaced{key: k, object: current, existed: exists}
		s.objects[k] = object
		if s.OnWrite != nil {
			s.OnWrite(object)
		}
		s.notify(platform.Event{Type: event, Object: object})
	} else if fault == NoFault {
		return platform.Object{}, protocol.Errorf(protocol.CodeConflict, "object %s has version %q", object.Name, current.Version)
	}
	if fault == ResponseLost {
		return platform.Object{}, protocol.Errorf(protocol.CodeOutcomeUnknown, "no response")
	}
	return object, nil
}

func (s *Store) notify(event platform.Event) {
	for events := range s.watchers {
		select {
		case events <- event:
		default:
		}
	}
}

func (s *Store) begin(operation string) Fault {
	s.mu.Lock()
	s.calls[operation]++
	s.mu.Unlock()
	if s.NextFault == nil {
		return NoFault
	}
	return s.NextFault(operation)
}

func (s *Store) version() string { return strconv.FormatUint(s.sequence, 10) }

func readFault(fault Fault) error {
	switch fault {
	case NoFault:
		return nil
	case VersionExpired:
		return protocol.Errorf(protocol.CodeExpired, "the version is too old")
	}
	return protocol.Errorf(protocol.CodeUnavailable, "the object API is down")
}

func key(kind platform.Kind, name string) string { return string(kind) + "/" + name }
