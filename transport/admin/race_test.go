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

// storedVersion is a version that the store accepted, as observed by the test.
type storedVersion struct {
	Version   uint64          `json:"version"`
	Tombstone bool            `json:"tombstone"`
	Body      json.RawMessage `json:"body"`
}

// race is a state machine of two operators who edit one path through two entries. The store loses calls and responses and
// returns stale reads.
//
// The oracle compares the sequence of versions that the store accepted with the responses to the operators.
type race struct {
	t       *testing.T
	entries []*testAPI
	store   *objecttest.Store
	stored  []storedVersion
	edits   int
	// reportedAccepted counts the edits by region that were reported as accepted.
	reportedAccepted map[string]int
	// reportedRejected holds the edits, by region, that were reported as not accepted.
	reportedRejected map[string]bool
	nested           bool
}

const racePath = "/failure-domains/a"

func newRace(t *testing.T) *race {
	r := &race{t: t, store: objecttest.New(), reportedAccepted: make(map[string]int), reportedRejected: make(map[string]bool)}
	for range 2 {
		entry := newTestAPI(t)
		entry.useStore(r.store)
		r.entries = append(r.entries, entry)
	}
	r.store.OnWrite = func(object platform.Object) {
		var w storedVersion
		require.NoError(t, json.Unmarshal(object.Spec, &w))
		r.stored = append(r.stored, w)
	}
	return r
}

// Edit sends one edit with an arbitrary base version. Store faults and an edit of the other operator may interfere.
func (r *race) Edit(t *rapid.T) { r.edit(t, rapid.IntRange(0, 1).Draw(t, "entry")) }

func (r *race) edit(t *rapid.T, index int) {
	entry := r.entries[index]
	r.edits++
	region := fmt.Sprintf("r%d", r.edits)
	base := rapid.IntRange(max(0, len(r.stored)-1), len(r.stored)).Draw(t, "base")
	retire := rapid.IntRange(0, 4).Draw(t, "retire") == 0 && base > 0
	nested := r.nested
	r.store.NextFault = func(string) objecttest.Fault { return r.fault(t, 1-index, nested) }
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
		r.reportedAccepted[region]++
	case http.StatusBadGateway:
	case http.StatusConflict, http.StatusServiceUnavailable, http.StatusBadRequest, http.StatusNotFound:
		r.reportedRejected[region] = true
	default:
		t.Fatalf("status %d", status)
	}
}

// fault returns the fault of one store call. It sometimes runs a complete edit of the other operator before the call.
func (r *race) fault(t *rapid.T, other int, nested bool) objecttest.Fault {
	choice := rapid.IntRange(0, 9).Draw(t, "fault")
	switch {
	case choice == 0:
		return objecttest.Unavailable
	case choice == 1:
		return objecttest.RequestLost
	case choice <= 3:
		return objecttest.ResponseLost
	case choice == 4 && !nested:
		next, stale := r.store.NextFault, r.store.ServeStaleList
		r.nested = true
		r.edit(t, other)
		r.nested = false
		r.store.NextFault, r.store.ServeStaleList = next, stale
	}
	return objecttest.NoFault
}

// Check compares the responses to the operators with the versions that the store accepted.
func (r *race) Check(t *rapid.T) {
	count := make(map[string]int)
	for i, w := range r.stored {
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
		if r.reportedRejected[region] {
			t.Fatalf("edit %s was reported as not accepted but took effect", region)
		}
	}
	for region := range r.reportedAccepted {
		if count[region] != 1 {
			t.Fatalf("edit %s was reported as accepted but was written %d times", region, count[region])
		}
	}
}

// TestRacingOperatorsLoseNothing guards against an edit that is overwritten without a conflict, written twice or reported
// with the wrong outcome, while responses are lost, reads are stale and the store fails.
func TestRacingOperatorsLoseNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newRace(t)
		rt.Repeat(rapid.StateMachineActions(r))
	})
}
