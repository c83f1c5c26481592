package claims

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"pgregory.net/rapid"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
)

// Faults that the fake store injects into a call.
const (
	none        = "none"
	unavailable = "unavailable"
	// lostAfterWrite applies a write and loses its response.
	lostAfterWrite = "lost after effect"
	// lostDelayed loses the response of a write and applies it later or never.
	lostDelayed = "lost and delayed"
	// stale makes a read return an earlier state.
	stale = "stale"
)

// fakeStore is an in-memory object API with faults drawn by rapid. It is not safe for concurrent use.
type fakeStore struct {
	t       *rapid.T // draws the faults; nil means none
	down    bool
	version int
	objects map[string]platform.Object
	history []map[string]platform.Object
	delayed []platform.Object
	// beforeCreate runs once before the next create takes effect. It simulates a paused writer.
	beforeCreate func()
}

const (
	historyLength = 6
	// faultOneIn is the inverse of the fault probability. It is high enough that most requests still make a claim.
	faultOneIn = 5
)

func newFakeStore() *fakeStore {
	return &fakeStore{objects: make(map[string]platform.Object)}
}

func (s *fakeStore) fault(kinds ...string) string {
	if s.down {
		return unavailable
	}
	if s.t == nil {
		return none
	}
	if rapid.IntRange(0, faultOneIn-1).Draw(s.t, "faulty") > 0 {
		return none
	}
	return rapid.SampledFrom(kinds).Draw(s.t, "fault")
}

// snapshot returns the state that a read observes: the current one, or an earlier one after a stale fault.
func (s *fakeStore) snapshot() (map[string]platform.Object, error) {
	switch s.fault(unavailable, stale, stale, stale) {
	case unavailable:
		return nil, protocol.Errorf(protocol.CodeUnavailable, "store is down")
	case stale:
		if len(s.history) > 0 {
			return s.history[rapid.IntRange(0, len(s.history)-1).Draw(s.t, "age")], nil
		}
	}
	return s.objects, nil
}

func (s *fakeStore) setObject(name string, object *platform.Object) {
	s.history = append(s.history, maps.Clone(s.objects))
	s.history = s.history[max(0, len(s.history)-historyLength):]
	if object == nil {
		delete(s.objects, name)
		return
	}
	s.version++
	object.Version = fmt.Sprint(s.version)
	s.objects[name] = *object
}

// applyDelayed applies a delayed write unless its object already exists.
func (s *fakeStore) applyDelayed(i int) {
	object := s.delayed[i]
	s.delayed = slices.Delete(s.delayed, i, i+1)
	if _, exists := s.objects[object.Name]; !exists {
		s.setObject(object.Name, &object)
	}
}

// clearDelays drops delayed writes and earlier states, which simulates a pause longer than any delay.
func (s *fakeStore) clearDelays() { s.delayed, s.history = nil, nil }

func (s *fakeStore) Get(_ context.Context, _ platform.Kind, name string) (platform.Object, error) {
	objects, err := s.snapshot()
	if err != nil {
		return platform.Object{}, err
	}
	object, ok := objects[name]
	if !ok {
		return platform.Object{}, protocol.Errorf(protocol.CodeNotFound, "no object %s", name)
	}
	return object, nil
}

func (s *fakeStore) List(_ context.Context, _ platform.Kind, selector string) (platform.ObjectList, error) {
	objects, err := s.snapshot()
	label, value, _ := strings.Cut(selector, "=")
	var list platform.ObjectList
	for _, object := range objects {
		if object.Labels[label] == value {
			list.Items = append(list.Items, object)
		}
	}
	return list, err
}

func (s *fakeStore) Create(_ context.Context, object platform.Object) (platform.Object, error) {
	if hook := s.beforeCreate; hook != nil {
		s.beforeCreate = nil
		hook()
	}
	fault := s.fault(unavailable, lostAfterWrite, lostDelayed)
	if fault == unavailable {
		return platform.Object{}, protocol.Errorf(protocol.CodeUnavailable, "store is down")
	}
	if fault == lostDelayed {
		s.delayed = append(s.delayed, object)
		return platform.Object{}, protocol.Errorf(protocol.CodeOutcomeUnknown, "response lost")
	}
	_, exists := s.objects[object.Name]
	if !exists {
		s.setObject(object.Name, &object)
	}
	if fault == lostAfterWrite {
		return platform.Object{}, protocol.Errorf(protocol.CodeOutcomeUnknown, "response lost")
	}
	if exists {
		return platform.Object{}, protocol.Errorf(protocol.CodeConflict, "object %s exists", object.Name)
	}
	return object, nil
}

func (s *fakeStore) Delete(_ context.Context, _ platform.Kind, name, version string) error {
	fault := s.fault(unavailable, lostAfterWrite)
	if fault == unavailable {
		return protocol.Errorf(protocol.CodeUnavailable, "store is down")
	}
	if stored, ok := s.objects[name]; !ok || stored.Version != version {
		return protocol.Errorf(protocol.CodeConflict, "object %s changed", name)
	}
	s.setObject(name, nil)
	if fault == lostAfterWrite {
		return protocol.Errorf(protocol.CodeOutcomeUnknown, "response lost")
	}
	return nil
}

func (s *fakeStore) Update(context.Context, platform.Object) (platform.Object, error) {
	return platform.Object{}, protocol.Errorf(protocol.CodeRefused, "segments are never changed")
}

func (s *fakeStore) Watch(context.Context, platform.Kind, string) (<-chan platform.Event, error) {
	return nil, protocol.Errorf(protocol.CodeRefused, "segments are not watched")
}
