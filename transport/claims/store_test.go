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

// Faults of a call of the fake store.
const (
	none        = "none"
	unavailable = "unavailable"
	// lostDone is a write that took effect although its response was lost.
	lostDone = "lost after effect"
	// lostLater is a write without a response that takes effect later, or never.
	lostLater = "lost and delayed"
	// stale is a read of an older state.
	stale = "stale"
)

// fakeStore is an object API in memory with faults drawn by rapid. It is not safe for concurrent use.
type fakeStore struct {
	t       *rapid.T // draws the faults; nil means none
	down    bool
	version int
	objects map[string]platform.Object
	history []map[string]platform.Object
	delayed []platform.Object
	// beforeCreate runs once before the next create takes effect, as if its writer were paused.
	beforeCreate func()
}

const (
	historyLength = 6
	// faultOneIn makes one call in so many fail, so that most requests still reach a claim.
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

// snapshot returns the state that a read sees.
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

func (s *fakeStore) change(name string, object *platform.Object) {
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

// deliver lets a delayed write take effect unless its object exists.
func (s *fakeStore) deliver(i int) {
	object := s.delayed[i]
	s.delayed = slices.Delete(s.delayed, i, i+1)
	if _, exists := s.objects[object.Name]; !exists {
		s.change(object.Name, &object)
	}
}

// settleDown ends delayed writes and stale reads, as the passing of hours does.
func (s *fakeStore) settleDown() { s.delayed, s.history = nil, nil }

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
	if pause := s.beforeCreate; pause != nil {
		s.beforeCreate = nil
		pause()
	}
	fault := s.fault(unavailable, lostDone, lostLater)
	if fault == unavailable {
		return platform.Object{}, protocol.Errorf(protocol.CodeUnavailable, "store is down")
	}
	if fault == lostLater {
		s.delayed = append(s.delayed, object)
		return platform.Object{}, protocol.Errorf(protocol.CodeOutcomeUnknown, "response lost")
	}
	_, exists := s.objects[object.Name]
	if !exists {
		s.change(object.Name, &object)
	}
	if fault == lostDone {
		return platform.Object{}, protocol.Errorf(protocol.CodeOutcomeUnknown, "response lost")
	}
	if exists {
		return platform.Object{}, protocol.Errorf(protocol.CodeConflict, "object %s exists", object.Name)
	}
	return object, nil
}

func (s *fakeStore) Delete(_ context.Context, _ platform.Kind, name, version string) error {
	fault := s.fault(unavailable, lostDone)
	if fault == unavailable {
		return protocol.Errorf(protocol.CodeUnavailable, "store is down")
	}
	if held, ok := s.objects[name]; !ok || held.Version != version {
		return protocol.Errorf(protocol.CodeConflict, "object %s changed", name)
	}
	s.change(name, nil)
	if fault == lostDone {
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
