package admin_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavatrestle/guavatrestle/internal/objecttest"
	"github.com/guavatrestle/guavatrestle/internal/proptest"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// written is a version as the oracle saw the store take it.
type written struct {
	Version   uint64          `json:"version"`
	Tombstone bool            `json:"tombstone"`
	Body      json.RawMessage `json:"body"`
}

// race is a state machine of two operators at two entries who edit one path through a store that loses
// calls and responses and answers with old states.
//
// The oracle is the sequence of versions that the store took, and what each operator was told.
type race struct {
	t       *testing.T
	entries []*rig
	store   *objecttest.Store
	taken   []written
	edits   int
	// told counts the edits by region that were reported as accepted.
	told map[string]int
	// denied are the edits that were reported as not accepted.
	denied map[string]bool
	inside bool
}

const racePath = "/failure-domains/a"

func newRace(t *testing.T) *race {
	r := &race{t: t, store: objecttest.New(), told: make(map[string]int), denied: make(map[string]bool)}
	for range 2 {
		entry := newRig(t)
		entry.useStore(r.store)
		r.entries = append(r.entries, entry)
	}
	r.store.OnWrite = func(object platform.Object) {
		var w written
		require.NoError(t, json.Unmarshal(object.Spec, &w))
		r.taken = append(r.taken, w)
	}
	return r
}

// Edit sends one edit with an arbitrary base; faults and another operator's edit may come in between.
func (r *race) Edit(t *rapid.T) { r.edit(t, rapid.IntRange(0, 1).Draw(t, "entry")) }

func (r *race) edit(t *rapid.T, at int) {
	entry := r.entries[at]
	r.edits++
	region := fmt.Sprintf("r%d", r.edits)
	base := rapid.IntRange(max(0, len(r.taken)-1), len(r.taken)).Draw(t, "base")
	retire := rapid.IntRange(0, 4).Draw(t, "retire") == 0 && base > 0
	outer := r.inside
	r.store.NextFault = func(string) objecttest.Fault { return r.fault(t, 1-at, outer) }
	r.store.ServeStaleList = func() bool { return rapid.IntRange(0, 4).Draw(t, "stale") == 0 }
	var status int
	if retire {
		status = entry.call(operator, http.MethodDelete, fmt.Sprintf("/settings%s?base_version=%d", racePath, base), "").Code
		region = ""
	} else {
		status = entry.put(operator, racePath, fmt.Sprint(base), `{"region":"`+region+`","state":"in"}`).Code
	}
	entry.now = entry.now.Add(1e9)
	if region == "" {
		return
	}
	switch status {
	case http.StatusOK:
		r.told[region]++
	case http.StatusBadGateway:
	case http.StatusConflict, http.StatusServiceUnavailable, http.StatusBadRequest, http.StatusNotFound:
		r.denied[region] = true
	default:
		t.Fatalf("status %d", status)
	}
}

// fault returns what happens to one call of the store; now and then another operator's whole edit comes first.
func (r *race) fault(t *rapid.T, other int, inside bool) objecttest.Fault {
	choice := rapid.IntRange(0, 9).Draw(t, "fault")
	switch {
	case choice == 0:
		return objecttest.Unavailable
	case choice == 1:
		return objecttest.RequestLost
	case choice <= 3:
		return objecttest.ResponseLost
	case choice == 4 && !inside:
		next, stale := r.store.NextFault, r.store.ServeStaleList
		r.inside = true
		r.edit(t, other)
		r.inside = false
		r.store.NextFault, r.store.ServeStaleList = next, stale
	}
	return objecttest.NoFault
}

// Check compares what the operators were told with what the store took.
func (r *race) Check(t *rapid.T) {
	count := make(map[string]int)
	for i, w := range r.taken {
		if w.Version != uint64(i+1) {
			t.Fatalf("write %d has version %d", i+1, w.Version)
		}
		var body struct{ Region string }
		if !w.Tombstone && json.Unmarshal(w.Body, &body) == nil {
			count[body.Region]++
		}
	}
	for region, n := range count {
		if n > 1 {
			t.Fatalf("edit %s was written %d times", region, n)
		}
		if r.denied[region] {
			t.Fatalf("edit %s was reported as not accepted but took effect", region)
		}
	}
	for region := range r.told {
		if count[region] != 1 {
			t.Fatalf("edit %s was reported as accepted but was written %d times", region, count[region])
		}
	}
}

// TestRacingOperatorsLoseNothing guards against an edit that is overwritten unseen, written twice, or
// reported wrongly while responses are lost, reads are stale and the store fails.
func TestRacingOperatorsLoseNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newRace(t)
		rt.Repeat(rapid.StateMachineActions(r))
	})
}
