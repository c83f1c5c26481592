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
	// A second run of a key needs several steps, so rapid's default of 30 steps rarely reaches one.
	if err := flag.Set("rapid.steps", "80"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	goleak.VerifyTestMain(m)
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const callTimeout = time.Minute

// shardFixture is a set of entries that write to one shard on a simulated clock.
type shardFixture struct {
	store  *fakeStore
	now    time.Time
	nonces int
	shards []*shard
}

func newShardFixture(entries int) *shardFixture {
	f := &shardFixture{store: newFakeStore(), now: start}
	for range entries {
		f.shards = append(f.shards, f.newShard())
	}
	return f
}

func (f *shardFixture) nonce() string {
	f.nonces++
	return fmt.Sprint(f.nonces)
}

func (f *shardFixture) newShard() *shard {
	cfg := DefaultConfig()
	return &shard{
		cfg: cfg, now: func() time.Time { return f.now }, writer: newWriter(f.store, 0, cfg.TTL, func() time.Time { return f.now }, f.nonce),
		writeLimiter: limits.NewBucket(f.now, cfg.WritesPerSecond, cfg.WriteBurst),
	}
}

func (f *shardFixture) submit(entry int, record claims.Record) appendResult {
	op := operation{record: record, done: make(chan appendResult, 1)}
	f.shards[entry].processBatch(context.Background(), []operation{op})
	return <-op.done
}

func (f *shardFixture) newClaim(key, fingerprint string) claims.Record {
	return claims.Record{
		Op: claims.OpClaim, Key: claims.Key(key), Nonce: claims.Nonce(f.nonce()), Fingerprint: fingerprint,
		At: f.now.UnixMilli(), Deadline: f.now.Add(callTimeout).UnixMilli(),
	}
}

func (f *shardFixture) settle(entry int, claim claims.Record, op claims.Op, result *claims.Result) appendResult {
	return f.submit(entry, claims.Record{Op: op, Key: claim.Key, Nonce: claim.Nonce, At: f.now.UnixMilli(), Result: result})
}

// TestRetryThroughAnotherEntryGetsTheClaimOutcome guards against a key that runs a second time, or a wrong outcome of its
// first run, when a caller retries through another entry.
func TestRetryThroughAnotherEntryGetsTheClaimOutcome(t *testing.T) {
	f := newShardFixture(3)
	outcome := func(entry int, key, fingerprint string) claims.Outcome {
		got := f.submit(entry, f.newClaim(key, fingerprint))
		require.NoError(t, got.err)
		return got.outcome
	}
	first := f.newClaim("order-1", "a")
	require.Equal(t, claims.Granted, f.submit(0, first).outcome)
	require.Equal(t, claims.Granted, f.submit(1, first).outcome, "same claim through another entry after a lost response")
	require.Equal(t, claims.InProgress, outcome(1, "order-1", "a"))
	require.Equal(t, claims.Mismatch, outcome(1, "order-1", "b"))
	require.NoError(t, f.settle(0, first, claims.OpDone, &claims.Result{Status: 201, Body: []byte("booked")}).err)
	got := f.submit(2, f.newClaim("order-1", "a"))
	require.Equal(t, claims.Done, got.outcome)
	require.Equal(t, "booked", string(got.result.Body))

	second := f.newClaim("order-2", "a")
	require.Equal(t, claims.Granted, f.submit(0, second).outcome)
	f.now = f.now.Add(callTimeout + claims.UnsettledGrace + time.Second)
	require.Equal(t, claims.Unknown, outcome(1, "order-2", "a"), "claim of a holder that died is not unknown")

	third := f.newClaim("order-3", "a")
	require.Equal(t, claims.Granted, f.submit(0, third).outcome)
	require.NoError(t, f.settle(0, third, claims.OpRelease, nil).err)
	require.Equal(t, claims.Free, f.submit(0, third).outcome, "duplicate of a released claim holds the key")
	require.Equal(t, claims.Granted, outcome(1, "order-3", "b"))

	f.now = f.now.Add(claims.DefaultTTL + time.Minute)
	require.Equal(t, claims.Granted, outcome(2, "order-1", "b"), "expired claim still holds its key")
}

// TestStoreOutageRefusesClaims guards against a claim that is granted during a store outage without being in the log.
func TestStoreOutageRefusesClaims(t *testing.T) {
	f := newShardFixture(2)
	f.store.down = true
	claim := f.newClaim("order-1", "a")
	require.Error(t, f.submit(0, claim).err)
	f.shards[0].addAbandoned(claim)
	f.store.down = false
	require.Equal(t, claims.Granted, f.submit(1, f.newClaim("order-1", "a")).outcome)
}

// TestAbandonedClaimIsReleased guards against a key that stays claimed after its caller got not_run, because the claim
// reached the log after all.
func TestAbandonedClaimIsReleased(t *testing.T) {
	f := newShardFixture(2)
	claim := f.newClaim("order-1", "a")
	require.Equal(t, claims.Granted, f.submit(0, claim).outcome)
	f.shards[0].addAbandoned(claim)
	f.submit(0, f.newClaim("order-2", "a"))
	require.Equal(t, claims.Granted, f.submit(1, f.newClaim("order-1", "a")).outcome)
}

// deleteExpiredSegments advances the clock by more than a day, claims a key through entry 1 and deletes the segments before
// that claim.
func (f *shardFixture) deleteExpiredSegments(t *testing.T, key string) {
	f.now = f.now.Add(claims.DefaultTTL + 2*claims.DeleteSlack)
	require.Equal(t, claims.Granted, f.submit(1, f.newClaim(key, "a")).outcome)
	require.NoError(t, f.shards[1].cleanUp(context.Background()))
	require.Len(t, f.store.objects, 1, "expired segments were not deleted")
}

// TestPausedWriterDoesNotUseADeletedSequence guards against a writer that is paused before its create, then creates a
// sequence again that was deleted meanwhile, and so is granted a key that another writer claimed.
func TestPausedWriterDoesNotUseADeletedSequence(t *testing.T) {
	for _, hasAppended := range []bool{true, false} {
		f := newShardFixture(3)
		if hasAppended {
			require.Equal(t, claims.Granted, f.submit(0, f.newClaim("order-1", "a")).outcome)
		} else {
			require.NoError(t, f.shards[0].writer.ensureLoaded(context.Background()))
		}
		f.store.beforeCreate = func() {
			for i := range 4 {
				require.Equal(t, claims.Granted, f.submit(1, f.newClaim(fmt.Sprint("old", i), "a")).outcome)
			}
			f.deleteExpiredSegments(t, "order-2")
		}
		require.Equal(t, claims.InProgress, f.submit(0, f.newClaim("order-2", "a")).outcome)
		require.Equal(t, claims.InProgress, f.submit(2, f.newClaim("order-2", "a")).outcome, "new writer does not see the log")
		require.NoError(t, f.shards[2].cleanUp(context.Background()))
		require.Len(t, f.store.objects, 1, "segment outside the log was not deleted")
	}
}

// TestOutdatedViewIsReloadedBeforeAWrite guards against a create from an outdated view. The next sequence of that view may
// have been deleted, and the check after the create would miss this if it got a stale read.
func TestOutdatedViewIsReloadedBeforeAWrite(t *testing.T) {
	f := newShardFixture(2)
	require.Equal(t, claims.Granted, f.submit(0, f.newClaim("order-1", "a")).outcome)
	for i := range 4 {
		require.Equal(t, claims.Granted, f.submit(1, f.newClaim(fmt.Sprint("old", i), "a")).outcome)
	}
	f.deleteExpiredSegments(t, "order-2")
	creates := f.shards[0].writer.creates
	require.Equal(t, claims.InProgress, f.submit(0, f.newClaim("order-2", "a")).outcome)
	require.Equal(t, creates, f.shards[0].writer.creates, "segment was created from an outdated view")
}

// TestCleanUpKeepsClaimsInForceAndNewestSegment guards against the deletion of claims that have not expired, and of the
// newest segment, without which the sequence would start again at 0.
func TestCleanUpKeepsClaimsInForceAndNewestSegment(t *testing.T) {
	f := newShardFixture(2)
	require.Equal(t, claims.Granted, f.submit(0, f.newClaim("order-1", "a")).outcome)
	f.now = f.now.Add(2 * time.Hour)
	require.Equal(t, claims.Granted, f.submit(0, f.newClaim("order-2", "a")).outcome)
	f.now = f.now.Add(claims.DefaultTTL)
	require.NoError(t, f.shards[0].cleanUp(context.Background()))
	require.Len(t, f.store.objects, 1)
	require.Equal(t, claims.Unknown, f.submit(1, f.newClaim("order-2", "a")).outcome, "claim in force was deleted")
	f.now = f.now.Add(claims.DefaultTTL + 2*claims.DeleteSlack)
	require.NoError(t, f.shards[0].cleanUp(context.Background()))
	require.Len(t, f.store.objects, 1, "newest segment was deleted")
}

// TestOnlyTheHolderSettles guards against a request that was not granted its key and settles the holder's claim.
func TestOnlyTheHolderSettles(t *testing.T) {
	f := newShardFixture(2)
	holder, other := f.newClaim("order-1", "a"), f.newClaim("order-1", "a")
	require.Equal(t, claims.Granted, f.submit(0, holder).outcome)
	require.Equal(t, claims.InProgress, f.submit(1, other).outcome)
	require.NoError(t, f.settle(1, other, claims.OpRelease, nil).err)
	log := claims.NewLog(claims.DefaultTTL)
	require.NoError(t, log.Apply(claims.Segment{Nonce: "1", Records: []claims.Record{holder, {Op: claims.OpRelease, Key: other.Key, Nonce: other.Nonce}}}))
	require.True(t, log.Holds(holder.Key, holder.Nonce))
	require.NoError(t, log.Apply(claims.Segment{Sequence: 1, Nonce: "1b", Previous: "1", Records: []claims.Record{other}}))
	require.True(t, log.Holds(holder.Key, holder.Nonce), "later claim replaced the holder")
	require.Error(t, log.Apply(claims.Segment{Sequence: 3, Previous: "1b"}), "segment after a gap was applied")
	require.NoError(t, f.settle(0, holder, claims.OpUnknown, nil).err)
	require.Equal(t, claims.Unknown, f.submit(1, f.newClaim("order-1", "a")).outcome, "unknown outcome is reported as another one")
}

// TestUnlinkedSegmentIsNoPartOfTheLog guards against reading a segment that was created again at the sequence right
// before the oldest segment of the log.
func TestUnlinkedSegmentIsNoPartOfTheLog(t *testing.T) {
	segments := []claims.Segment{{Sequence: 6, Nonce: "c", Previous: "b"}, {Sequence: 4, Nonce: "x"}, {Sequence: 5, Nonce: "b", Previous: "a"}}
	chain := claims.Chain(segments)
	require.Len(t, chain, 2)
	require.EqualValues(t, 5, chain[0].Sequence)
}

// TestTwoPausedWritersDoNotConfirmEachOther guards against a paused writer whose check after the create succeeds because
// another paused writer created the preceding sequence again.
func TestTwoPausedWritersDoNotConfirmEachOther(t *testing.T) {
	f := newShardFixture(3)
	claim := func(entry int, key string) claims.Outcome { return f.submit(entry, f.newClaim(key, "a")).outcome }
	require.Equal(t, claims.Granted, claim(1, "old1"))
	require.NoError(t, f.shards[0].writer.ensureLoaded(context.Background()))
	require.Equal(t, claims.Granted, claim(1, "old2"))
	require.NoError(t, f.shards[2].writer.ensureLoaded(context.Background()))
	f.store.beforeCreate = func() { // entry 2 is paused
		f.store.beforeCreate = func() { // entry 0 is paused
			require.Equal(t, claims.Granted, claim(1, "old3"))
			f.deleteExpiredSegments(t, "order-1")
		}
		require.Equal(t, claims.Granted, claim(0, "order-2"), "writer does not recover from an outdated view")
	}
	require.Equal(t, claims.InProgress, claim(2, "order-1"))
}

// TestWritesStayUnderTheirRate guards against a write rate that exceeds what the object API accepts.
func TestWritesStayUnderTheirRate(t *testing.T) {
	f := newShardFixture(1)
	const writes = 100
	for i := range writes {
		require.Equal(t, claims.Granted, f.submit(0, f.newClaim(fmt.Sprint(i), "a")).outcome)
		for wait := f.shards[0].chargeWrites(); wait > 0; wait = f.shards[0].chargeWrites() {
			f.now = f.now.Add(wait)
		}
	}
	cfg := DefaultConfig()
	elapsed := f.now.Sub(start).Seconds()
	require.LessOrEqual(t, float64(writes), float64(cfg.WriteBurst)+elapsed*cfg.WritesPerSecond+1e-6)
	require.LessOrEqual(t, claims.Shards*cfg.WritesPerSecond, 400.0)
}

// TestLargeResultIsRecordedWithoutItsBody guards against segments that the object API rejects as too large.
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

// claimModel is the test oracle: it records which requests ran, independently of the log.
type claimModel struct {
	*shardFixture
	openRequests []request
	// runClaimTimes holds the claim times of all runs of each key, in milliseconds.
	runClaimTimes map[claims.Key][]int64
	results       map[claims.Key]map[string]bool
}

func (m *claimModel) request(t *rapid.T) {
	m.store.t = t
	key := rapid.SampledFrom([]string{"order-1", "order-2"}).Draw(t, "key")
	entry := rapid.IntRange(0, len(m.shards)-1).Draw(t, "entry")
	claim := m.newClaim(key, "a")
	got := m.submit(entry, claim)
	if got.err != nil {
		// The owner did not respond, so another entry writes.
		entry = (entry + 1) % len(m.shards)
		got = m.submit(entry, claim)
	}
	if got.err != nil {
		m.shards[entry].addAbandoned(claim)
		return
	}
	switch got.outcome {
	case claims.Granted:
		m.openRequests = append(m.openRequests, request{entry: entry, claim: claim})
	case claims.Done:
		require.True(t, m.results[claim.Key][string(got.result.Body)], "result does not come from a run of the key")
	case claims.Mismatch:
		t.Fatalf("request with the same content was refused as a mismatch")
	}
}

func (m *claimModel) pickRequest(t *rapid.T, ran bool) (int, bool) {
	var candidates []int
	for i, r := range m.openRequests {
		if r.ran == ran {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(candidates).Draw(t, "request"), true
}

func (m *claimModel) run(t *rapid.T) {
	i, ok := m.pickRequest(t, false)
	if !ok {
		return
	}
	r := &m.openRequests[i]
	for _, at := range m.runClaimTimes[r.claim.Key] {
		require.Greater(t, r.claim.At-at, claims.DefaultTTL.Milliseconds(), "key %s ran twice", r.claim.Key)
	}
	r.ran = true
	m.runClaimTimes[r.claim.Key] = append(m.runClaimTimes[r.claim.Key], r.claim.At)
	if m.results[r.claim.Key] == nil {
		m.results[r.claim.Key] = make(map[string]bool)
	}
	m.results[r.claim.Key][string(r.claim.Nonce)] = true
}

func (m *claimModel) settleRequest(t *rapid.T, ran bool, op claims.Op) {
	m.store.t = t
	i, ok := m.pickRequest(t, ran)
	if !ok {
		return
	}
	r := m.openRequests[i]
	m.openRequests = append(m.openRequests[:i:i], m.openRequests[i+1:]...)
	m.settle(r.entry, r.claim, op, &claims.Result{Status: 200, Body: []byte(r.claim.Nonce)})
}

func (m *claimModel) crash(t *rapid.T) {
	entry := rapid.IntRange(0, len(m.shards)-1).Draw(t, "entry")
	m.shards[entry] = m.newShard()
	var remaining []request
	for _, r := range m.openRequests {
		if r.entry != entry {
			remaining = append(remaining, r)
		}
	}
	m.openRequests = remaining
}

func (m *claimModel) deliver(t *rapid.T) {
	if n := len(m.store.delayed); n > 0 {
		m.store.applyDelayed(rapid.IntRange(0, n-1).Draw(t, "write"))
	}
}

// outage makes the store unavailable for one request.
func (m *claimModel) outage(t *rapid.T) {
	m.store.down = true
	m.request(t)
	m.store.down = false
}

// advanceHours advances the clock by hours and cleans up. No request and no write lasts that long, so all of them are
// dropped.
func (m *claimModel) advanceHours(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "now") > 0 {
		return
	}
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{5, 13, 26}).Draw(t, "hours")) * time.Hour)
	m.openRequests = nil
	m.store.clearDelays()
	m.store.t = t
	_ = m.shards[rapid.IntRange(0, len(m.shards)-1).Draw(t, "cleaner")].cleanUp(context.Background())
}

// TestNoKeyRunsTwice guards against a key that runs twice within its TTL, with several writers, lost and delayed writes,
// stale reads, outages, crashes, expiry and deletion of old segments.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &claimModel{shardFixture: newShardFixture(3), runClaimTimes: map[claims.Key][]int64{}, results: map[claims.Key]map[string]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"request": m.request, "request again": m.request, "run": m.run, "run now": m.run,
			"done":    func(t *rapid.T) { m.settleRequest(t, true, claims.OpDone) },
			"unknown": func(t *rapid.T) { m.settleRequest(t, true, claims.OpUnknown) },
			"release": func(t *rapid.T) { m.settleRequest(t, false, claims.OpRelease) },
			"crash":   m.crash, "deliver": m.deliver, "pass": m.advanceHours,
			"seconds": func(*rapid.T) { m.now = m.now.Add(20 * time.Second) },
			"outage":  m.outage,
		})
	})
}
