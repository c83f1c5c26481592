package claims

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/guavatrestle/guavatrestle/coordination/claims"
	"github.com/guavatrestle/guavatrestle/coordination/limits"
	"github.com/guavatrestle/guavatrestle/internal/proptest"
)

func TestMain(m *testing.M) {
	if err := proptest.Configure(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	// A second run of a key takes several steps to set up, so that rapid's usual 30 seldom reach one.
	if err := flag.Set("rapid.steps", "80"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	goleak.VerifyTestMain(m)
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const callTime = time.Minute

// fleet is a set of entries that write to one shard in virtual time.
type fleet struct {
	store  *fakeStore
	now    time.Time
	nonces int
	shards []*shard
}

func newFleet(entries int) *fleet {
	f := &fleet{store: newFakeStore(), now: start}
	for range entries {
		f.shards = append(f.shards, f.newShard())
	}
	return f
}

func (f *fleet) nonce() string {
	f.nonces++
	return fmt.Sprint(f.nonces)
}

func (f *fleet) newShard() *shard {
	cfg := DefaultConfig()
	return &shard{
		cfg: cfg, now: func() time.Time { return f.now }, writer: newWriter(f.store, 0, cfg.TTL, func() time.Time { return f.now }, f.nonce),
		pacer: limits.NewBucket(f.now, cfg.WritesPerSecond, cfg.WriteBurst),
	}
}

func (f *fleet) do(entry int, record claims.Record) reply {
	op := operation{record: record, done: make(chan reply, 1)}
	f.shards[entry].process(context.Background(), []operation{op})
	return <-op.done
}

func (f *fleet) newClaim(key, fingerprint string) claims.Record {
	return claims.Record{
		Op: claims.OpClaim, Key: claims.Key(key), Nonce: claims.Nonce(f.nonce()), Fingerprint: fingerprint,
		At: f.now.UnixMilli(), Deadline: f.now.Add(callTime).UnixMilli(),
	}
}

func (f *fleet) end(entry int, claim claims.Record, op claims.Op, result *claims.Result) reply {
	return f.do(entry, claims.Record{Op: op, Key: claim.Key, Nonce: claim.Nonce, At: f.now.UnixMilli(), Result: result})
}

// TestKeyThroughAnotherEntryLearnsWhatHappened guards against a second run and against a wrong statement about the first.
func TestKeyThroughAnotherEntryLearnsWhatHappened(t *testing.T) {
	f := newFleet(3)
	outcome := func(entry int, key, fingerprint string) claims.Outcome {
		got := f.do(entry, f.newClaim(key, fingerprint))
		require.NoError(t, got.err)
		return got.outcome
	}
	first := f.newClaim("order-1", "a")
	require.Equal(t, claims.Granted, f.do(0, first).outcome)
	require.Equal(t, claims.Granted, f.do(1, first).outcome, "same claim through another entry after a lost response")
	require.Equal(t, claims.InProgress, outcome(1, "order-1", "a"))
	require.Equal(t, claims.Mismatch, outcome(1, "order-1", "b"))
	require.NoError(t, f.end(0, first, claims.OpDone, &claims.Result{Status: 201, Body: []byte("booked")}).err)
	got := f.do(2, f.newClaim("order-1", "a"))
	require.Equal(t, claims.Done, got.outcome)
	require.Equal(t, "booked", string(got.result.Body))

	second := f.newClaim("order-2", "a")
	require.Equal(t, claims.Granted, f.do(0, second).outcome)
	f.now = f.now.Add(callTime + claims.UnsettledGrace + time.Second)
	require.Equal(t, claims.Unknown, outcome(1, "order-2", "a"), "holder died")

	third := f.newClaim("order-3", "a")
	require.Equal(t, claims.Granted, f.do(0, third).outcome)
	require.NoError(t, f.end(0, third, claims.OpRelease, nil).err)
	require.Equal(t, claims.Free, f.do(0, third).outcome, "copy of a released claim holds the key")
	require.Equal(t, claims.Granted, outcome(1, "order-3", "b"))

	f.now = f.now.Add(claims.DefaultTTL + time.Minute)
	require.Equal(t, claims.Granted, outcome(2, "order-1", "b"), "expired claim still holds its key")
}

// TestStoreOutageRefusesClaims guards against a call that is sent without a claim in the log.
func TestStoreOutageRefusesClaims(t *testing.T) {
	f := newFleet(2)
	f.store.down = true
	claim := f.newClaim("order-1", "a")
	require.Error(t, f.do(0, claim).err)
	f.shards[0].abandon(claim)
	f.store.down = false
	require.Equal(t, claims.Granted, f.do(1, f.newClaim("order-1", "a")).outcome)
}

// TestAbandonedClaimIsReleased guards against a key that stays held by a claim whose caller was told not_run.
func TestAbandonedClaimIsReleased(t *testing.T) {
	f := newFleet(2)
	claim := f.newClaim("order-1", "a")
	require.Equal(t, claims.Granted, f.do(0, claim).outcome)
	f.shards[0].abandon(claim)
	f.do(0, f.newClaim("order-2", "a"))
	require.Equal(t, claims.Granted, f.do(1, f.newClaim("order-1", "a")).outcome)
}

// deleteOld lets a day pass, claims a key through entry 1 and deletes the segments before that claim.
func (f *fleet) deleteOld(t *testing.T, key string) {
	f.now = f.now.Add(claims.DefaultTTL + 2*claims.DeleteSlack)
	require.Equal(t, claims.Granted, f.do(1, f.newClaim(key, "a")).outcome)
	require.NoError(t, f.shards[1].cleanUp(context.Background()))
	require.Len(t, f.store.objects, 1, "expired segments are kept")
}

// TestPausedWriterDoesNotUseADeletedSequence guards against a writer that was paused before its create, creates a deleted
// sequence again and takes a key that another writer claimed.
func TestPausedWriterDoesNotUseADeletedSequence(t *testing.T) {
	for _, seen := range []bool{true, false} {
		f := newFleet(3)
		if seen {
			require.Equal(t, claims.Granted, f.do(0, f.newClaim("order-1", "a")).outcome)
		} else {
			require.NoError(t, f.shards[0].writer.load(context.Background()))
		}
		f.store.beforeCreate = func() {
			for i := range 4 {
				require.Equal(t, claims.Granted, f.do(1, f.newClaim(fmt.Sprint("old", i), "a")).outcome)
			}
			f.deleteOld(t, "order-2")
		}
		require.Equal(t, claims.InProgress, f.do(0, f.newClaim("order-2", "a")).outcome)
		require.Equal(t, claims.InProgress, f.do(2, f.newClaim("order-2", "a")).outcome, "log is not readable for a new writer")
		require.NoError(t, f.shards[2].cleanUp(context.Background()))
		require.Len(t, f.store.objects, 1, "segment outside the log is kept")
	}
}

// TestOldViewIsReadAgainBeforeAWrite guards against a create from a view whose next sequence may be deleted, which a read
// that is a little old would not show.
func TestOldViewIsReadAgainBeforeAWrite(t *testing.T) {
	f := newFleet(2)
	require.Equal(t, claims.Granted, f.do(0, f.newClaim("order-1", "a")).outcome)
	for i := range 4 {
		require.Equal(t, claims.Granted, f.do(1, f.newClaim(fmt.Sprint("old", i), "a")).outcome)
	}
	f.deleteOld(t, "order-2")
	creates := f.shards[0].writer.creates
	require.Equal(t, claims.InProgress, f.do(0, f.newClaim("order-2", "a")).outcome)
	require.Equal(t, creates, f.shards[0].writer.creates, "segment was created from an old view")
}

// TestCleanUpKeepsWhatStillCounts guards against the deletion of claims in force, and of the newest segment, without which
// the sequence starts again.
func TestCleanUpKeepsWhatStillCounts(t *testing.T) {
	f := newFleet(2)
	require.Equal(t, claims.Granted, f.do(0, f.newClaim("order-1", "a")).outcome)
	f.now = f.now.Add(2 * time.Hour)
	require.Equal(t, claims.Granted, f.do(0, f.newClaim("order-2", "a")).outcome)
	f.now = f.now.Add(claims.DefaultTTL)
	require.NoError(t, f.shards[0].cleanUp(context.Background()))
	require.Len(t, f.store.objects, 1)
	require.Equal(t, claims.Unknown, f.do(1, f.newClaim("order-2", "a")).outcome, "claim in force was deleted")
	f.now = f.now.Add(claims.DefaultTTL + 2*claims.DeleteSlack)
	require.NoError(t, f.shards[0].cleanUp(context.Background()))
	require.Len(t, f.store.objects, 1, "newest segment was deleted")
}

// TestOnlyTheHolderSettles guards against a request that lost its key and settles the claim of another.
func TestOnlyTheHolderSettles(t *testing.T) {
	f := newFleet(2)
	holder, other := f.newClaim("order-1", "a"), f.newClaim("order-1", "a")
	require.Equal(t, claims.Granted, f.do(0, holder).outcome)
	require.Equal(t, claims.InProgress, f.do(1, other).outcome)
	require.NoError(t, f.end(1, other, claims.OpRelease, nil).err)
	log := claims.NewLog(claims.DefaultTTL)
	require.NoError(t, log.Apply(claims.Segment{Nonce: "1", Records: []claims.Record{holder, {Op: claims.OpRelease, Key: other.Key, Nonce: other.Nonce}}}))
	require.True(t, log.Holds(holder.Key, holder.Nonce))
	require.NoError(t, log.Apply(claims.Segment{Sequence: 1, Nonce: "1b", Previous: "1", Records: []claims.Record{other}}))
	require.True(t, log.Holds(holder.Key, holder.Nonce), "later claim took the key")
	require.Error(t, log.Apply(claims.Segment{Sequence: 3, Previous: "1b"}), "segment after a gap was applied")
	require.NoError(t, f.end(0, holder, claims.OpUnknown, nil).err)
	require.Equal(t, claims.Unknown, f.do(1, f.newClaim("order-1", "a")).outcome, "unknown outcome is told as another")
}

// TestUnlinkedSegmentIsNoPartOfTheLog guards against a segment that was created again right below the log.
func TestUnlinkedSegmentIsNoPartOfTheLog(t *testing.T) {
	segments := []claims.Segment{{Sequence: 6, Nonce: "c", Previous: "b"}, {Sequence: 4, Nonce: "x"}, {Sequence: 5, Nonce: "b", Previous: "a"}}
	chain := claims.Chain(segments)
	require.Len(t, chain, 2)
	require.EqualValues(t, 5, chain[0].Sequence)
}

// TestTwoPausedWritersDoNotConfirmEachOther guards against a paused writer that takes the segment of another such writer
// for the one that it had read.
func TestTwoPausedWritersDoNotConfirmEachOther(t *testing.T) {
	f := newFleet(3)
	claim := func(entry int, key string) claims.Outcome { return f.do(entry, f.newClaim(key, "a")).outcome }
	require.Equal(t, claims.Granted, claim(1, "old1"))
	require.NoError(t, f.shards[0].writer.load(context.Background()))
	require.Equal(t, claims.Granted, claim(1, "old2"))
	require.NoError(t, f.shards[2].writer.load(context.Background()))
	f.store.beforeCreate = func() { // entry 2 is paused
		f.store.beforeCreate = func() { // entry 0 is paused
			require.Equal(t, claims.Granted, claim(1, "old3"))
			f.deleteOld(t, "order-1")
		}
		require.Equal(t, claims.Granted, claim(0, "order-2"), "writer does not recover from its old view")
	}
	require.Equal(t, claims.InProgress, claim(2, "order-1"))
}

// TestWritesStayUnderTheirRate guards against more writes than the object API takes.
func TestWritesStayUnderTheirRate(t *testing.T) {
	f := newFleet(1)
	const writes = 100
	for i := range writes {
		require.Equal(t, claims.Granted, f.do(0, f.newClaim(fmt.Sprint(i), "a")).outcome)
		for wait := f.shards[0].debt(); wait > 0; wait = f.shards[0].debt() {
			f.now = f.now.Add(wait)
		}
	}
	cfg := DefaultConfig()
	passed := f.now.Sub(start).Seconds()
	require.LessOrEqual(t, float64(writes), float64(cfg.WriteBurst)+passed*cfg.WritesPerSecond+1e-6)
	require.LessOrEqual(t, claims.Shards*cfg.WritesPerSecond, 400.0)
}

// TestLargeResultIsRecordedWithoutItsBody guards against segments that the object API refuses.
func TestLargeResultIsRecordedWithoutItsBody(t *testing.T) {
	result := claims.Result{Status: 200, Body: make([]byte, claims.MaxResultBytes+1)}.Bounded()
	require.True(t, result.BodyOmitted)
	require.Empty(t, result.Body)
}

// request is one caller's request in the model.
type request struct {
	entry int
	claim claims.Record
	ran   bool
}

// claimModel is the oracle: it counts what really ran and knows nothing of the log.
type claimModel struct {
	*fleet
	open []request
	// ran holds, per key, the time of the claim of each run.
	ran     map[claims.Key][]int64
	results map[claims.Key]map[string]bool
}

func (m *claimModel) request(t *rapid.T) {
	m.store.t = t
	key := rapid.SampledFrom([]string{"order-1", "order-2"}).Draw(t, "key")
	entry := rapid.IntRange(0, len(m.shards)-1).Draw(t, "entry")
	claim := m.newClaim(key, "a")
	got := m.do(entry, claim)
	if got.err != nil {
		// The owner gave no answer, so the entry writes itself.
		entry = (entry + 1) % len(m.shards)
		got = m.do(entry, claim)
	}
	if got.err != nil {
		m.shards[entry].abandon(claim)
		return
	}
	switch got.outcome {
	case claims.Granted:
		m.open = append(m.open, request{entry: entry, claim: claim})
	case claims.Done:
		require.True(t, m.results[claim.Key][string(got.result.Body)], "result that no run of the key gave")
	case claims.Mismatch:
		t.Fatalf("same content was refused as another")
	}
}

func (m *claimModel) pick(t *rapid.T, ran bool) (int, bool) {
	var fitting []int
	for i, r := range m.open {
		if r.ran == ran {
			fitting = append(fitting, i)
		}
	}
	if len(fitting) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(fitting).Draw(t, "request"), true
}

func (m *claimModel) run(t *rapid.T) {
	i, ok := m.pick(t, false)
	if !ok {
		return
	}
	r := &m.open[i]
	for _, at := range m.ran[r.claim.Key] {
		require.Greater(t, r.claim.At-at, claims.DefaultTTL.Milliseconds(), "key %s ran twice", r.claim.Key)
	}
	r.ran = true
	m.ran[r.claim.Key] = append(m.ran[r.claim.Key], r.claim.At)
	if m.results[r.claim.Key] == nil {
		m.results[r.claim.Key] = make(map[string]bool)
	}
	m.results[r.claim.Key][string(r.claim.Nonce)] = true
}

func (m *claimModel) finish(t *rapid.T, ran bool, op claims.Op) {
	m.store.t = t
	i, ok := m.pick(t, ran)
	if !ok {
		return
	}
	r := m.open[i]
	m.open = append(m.open[:i:i], m.open[i+1:]...)
	m.end(r.entry, r.claim, op, &claims.Result{Status: 200, Body: []byte(r.claim.Nonce)})
}

func (m *claimModel) crash(t *rapid.T) {
	entry := rapid.IntRange(0, len(m.shards)-1).Draw(t, "entry")
	m.shards[entry] = m.newShard()
	var rest []request
	for _, r := range m.open {
		if r.entry != entry {
			rest = append(rest, r)
		}
	}
	m.open = rest
}

func (m *claimModel) deliver(t *rapid.T) {
	if n := len(m.store.delayed); n > 0 {
		m.store.deliver(rapid.IntRange(0, n-1).Draw(t, "write"))
	}
}

// outage takes the store down for one request.
func (m *claimModel) outage(t *rapid.T) {
	m.store.down = true
	m.request(t)
	m.store.down = false
}

// pass lets hours go by; no request is open and no write under way for that long.
func (m *claimModel) pass(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "now") > 0 {
		return
	}
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{5, 13, 26}).Draw(t, "hours")) * time.Hour)
	m.open = nil
	m.store.settleDown()
	m.store.t = t
	_ = m.shards[rapid.IntRange(0, len(m.shards)-1).Draw(t, "cleaner")].cleanUp(context.Background())
}

// TestNoKeyRunsTwice guards against a second run of a key under several writers, lost and late writes, stale reads,
// outages, crashes, expiry and deletion of old segments.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &claimModel{fleet: newFleet(3), ran: map[claims.Key][]int64{}, results: map[claims.Key]map[string]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"request": m.request, "request again": m.request, "run": m.run, "run now": m.run,
			"done":    func(t *rapid.T) { m.finish(t, true, claims.OpDone) },
			"unknown": func(t *rapid.T) { m.finish(t, true, claims.OpUnknown) },
			"release": func(t *rapid.T) { m.finish(t, false, claims.OpRelease) },
			"crash":   m.crash, "deliver": m.deliver, "pass": m.pass,
			"seconds": func(*rapid.T) { m.now = m.now.Add(20 * time.Second) },
			"outage":  m.outage,
		})
	})
}
