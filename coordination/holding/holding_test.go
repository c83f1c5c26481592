package holding

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const megabyte = 1 << 20

var start = time.Unix(1000, 0)

func open(a *Account, i int) *Request {
	return a.Open(Caller{Connection: fmt.Sprint(i), Team: fmt.Sprint("team-", i%3)})
}

// TestLargeBodiesStayWithinTheLimit guards against large bodies that together exhaust the memory; without an account all are read.
func TestLargeBodiesStayWithinTheLimit(t *testing.T) {
	const bodies, bodyBytes = 57, 4 * megabyte
	held := func(memory int64) int64 {
		a := New(ConfigFor(memory))
		for i := range bodies {
			a.Admit(start, open(a, i), KindBody, bodyBytes)
		}
		return a.Used(KindBody)
	}
	for _, memory := range []int64{136 * megabyte, 206 * megabyte, 536 * megabyte} {
		require.LessOrEqual(t, held(memory), memory/2)
		require.GreaterOrEqual(t, held(memory), int64(2*bodyBytes), "some are admitted")
	}
	require.EqualValues(t, bodies*bodyBytes, held(0), "baseline: an unknown limit admits all")
}

// TestSmallRequestsAreAdmittedBesideLargeAndSlowOnes guards against large bodies and slow readers that take the memory which small requests
// of well-behaved callers need. The baseline has one part for all.
func TestSmallRequestsAreAdmittedBesideLargeAndSlowOnes(t *testing.T) {
	refused := func(change func(*Config)) int {
		cfg := ConfigFor(136 * megabyte)
		change(&cfg)
		a, random, now, count := New(cfg), rand.New(rand.NewPCG(1, 1)), start, 0
		for i := range 4000 {
			now = now.Add(time.Millisecond)
			if i%10 == 0 {
				large := open(a, i)
				a.Admit(now, large, KindBody, int64(random.IntN(4*megabyte)))
				a.BeginWrite(now, large)
			}
			small := open(a, -1-i)
			if ok, _ := a.Admit(now, small, KindBody, SocketBytes+int64(random.IntN(16<<10))); !ok {
				count++
			}
			a.Close(small)
		}
		return count
	}
	require.Zero(t, refused(func(*Config) {}))
	require.Positive(t, refused(func(c *Config) { c.SmallPart, c.ReaderTimeout = 0, time.Hour }), "baseline")
}

// TestSlowReadersAreEndedOnlyWhileMemoryIsShort guards against callers that read nothing and keep the memory that others need, and against
// ending them, or callers that read, without need.
func TestSlowReadersAreEndedOnlyWhileMemoryIsShort(t *testing.T) {
	a := New(ConfigFor(136 * megabyte))
	var slow []*Request
	for i := range 20 {
		r := open(a, i)
		a.Force(r, KindEvents, int64(100+i)<<10)
		a.BeginWrite(start, r)
		slow = append(slow, r)
	}
	reading := open(a, 100)
	a.Force(reading, KindResponse, 2*megabyte)
	later := start.Add(2 * readerTimeout)
	a.BeginWrite(later.Add(-unreadAfter/2), reading)
	_, ended := a.Admit(later, open(a, 101), KindBody, megabyte)
	require.Empty(t, ended, "memory is not short")
	require.Equal(t, 20, a.TakePaused())

	a.EndWrite(slow[0])
	a.BeginWrite(start, slow[0])
	require.EqualValues(t, 19*UnreadBytes, a.Used(KindSocket), "a caller that reads again holds no full socket buffers")
	full := open(a, 102)
	a.Force(full, KindResponse, a.cfg.Limit)
	_, ended = a.Admit(later.Add(sweepInterval), open(a, 103), KindBody, megabyte)
	require.NotEmpty(t, ended)
	require.Same(t, slow[19], ended[0], "the one that holds most is ended first")
	require.NotContains(t, ended, reading)
	require.NotContains(t, ended, full)
}

// TestOnlyAsManyAreEndedAsNeeded guards against ending all slow callers when ending one is enough.
func TestOnlyAsManyAreEndedAsNeeded(t *testing.T) {
	a := New(ConfigFor(136 * megabyte))
	shared := a.cfg.Limit - a.cfg.SmallPart
	for i := range 20 {
		r := open(a, i)
		a.Force(r, KindEvents, part(shared, shortShare)/20)
		a.BeginWrite(start.Add(-time.Hour), r)
	}
	a.paused = 0
	_, ended := a.Admit(start, open(a, 100), KindBody, 70<<10)
	require.NotEmpty(t, ended)
	require.Less(t, len(ended), 20)
	_, again := a.Admit(start.Add(sweepInterval), open(a, 101), KindSocket, SocketBytes)
	require.Empty(t, again, "what was ended counts as free")
}

// TestSlowCallersAreNotEndedInVain guards against ending slow callers although memory isn't short, for records, which have a limit of their
// own, or for a request that was ended itself.
func TestSlowCallersAreNotEndedInVain(t *testing.T) {
	a := New(ConfigFor(136 * megabyte))
	slow := open(a, 1)
	a.Force(slow, KindEvents, megabyte)
	a.BeginWrite(start.Add(-time.Hour), slow)
	ok, ended := a.Admit(start, open(a, 2), KindRecords, a.cfg.Records+1)
	require.False(t, ok)
	require.Empty(t, ended)
	other := open(a, 3)
	other.ended = true
	ok, ended = a.Admit(start.Add(sweepInterval), other, KindBody, megabyte)
	require.False(t, ok)
	require.Empty(t, ended)
}

// TestTricklingBodyIsEndedWhileMemoryIsShort guards against bodies that arrive a few bytes at a time and keep the memory of their announced
// length, and against ending one that arrives steadily.
func TestTricklingBodyIsEndedWhileMemoryIsShort(t *testing.T) {
	a := New(ConfigFor(136 * megabyte))
	trickling, steady := open(a, 1), open(a, 2)
	for _, r := range []*Request{trickling, steady} {
		ok, _ := a.Admit(start, r, KindBody, 2*megabyte)
		require.True(t, ok)
		a.BeginBody(start, r)
	}
	later := start.Add(2 * slowBodyAfter)
	a.ReceiveBody(trickling, 200)
	a.ReceiveBody(steady, megabyte)
	_, ended := a.Admit(later, open(a, 3), KindBody, megabyte)
	require.Empty(t, ended)
	a.Force(open(a, 4), KindResponse, a.cfg.Limit)
	_, ended = a.Admit(later.Add(sweepInterval), open(a, 5), KindBody, megabyte)
	require.Equal(t, []*Request{trickling}, ended)
	ok, _ := a.Admit(later, trickling, KindBody, 1)
	require.False(t, ok, "an ended request gets nothing more")
	_, ended = a.Admit(later.Add(slowBodyAfter), open(a, 6), KindBody, megabyte)
	require.Equal(t, []*Request{steady}, ended, "its beginning arrived quickly, and nothing since")
}

// TestBodiesLeaveRoomForResponses guards against bodies that take the memory for the responses of requests which have run.
func TestBodiesLeaveRoomForResponses(t *testing.T) {
	admitted := func(change func(*Config)) bool {
		cfg := ConfigFor(136 * megabyte)
		change(&cfg)
		a := New(cfg)
		for i := range 1000 {
			a.Admit(start, open(a, i), KindBody, 100<<10)
		}
		ok, _ := a.Admit(start, open(a, 1001), KindResponse, 4*megabyte)
		return ok
	}
	require.True(t, admitted(func(*Config) {}))
	require.False(t, admitted(func(c *Config) { c.Bodies = c.Limit }), "baseline")
}

// TestSlowBodiesMakeRoomForOneThatIsRefused guards against bodies that trickle in and keep others out although the memory isn't short as a
// whole, and against ending those of other teams for one that has used up its share.
func TestSlowBodiesMakeRoomForOneThatIsRefused(t *testing.T) {
	a, now := New(ConfigFor(136*megabyte)), start
	var trickling []*Request
	for i := range 3 {
		r := a.Open(Caller{Connection: fmt.Sprint(i), Team: fmt.Sprint("slow-", i%2)})
		ok, _ := a.Admit(now, r, KindBody, 4*megabyte)
		require.True(t, ok)
		a.BeginBody(now, r)
		trickling = append(trickling, r)
	}
	require.Zero(t, a.excess(), "memory isn't short")
	now = now.Add(2 * slowBodyAfter)
	_, ended := a.Admit(now, a.Open(Caller{Connection: "s", Team: "slow-0"}), KindBody, 29*megabyte/10)
	require.Subset(t, []*Request{trickling[0], trickling[2]}, ended)
	require.NotEmpty(t, ended, "a team's own requests are ended for its share")
	now = now.Add(sweepInterval)
	sound := a.Open(Caller{Connection: "sound", Team: "sound"})
	ok, more := a.Admit(now, sound, KindBody, 4*megabyte)
	require.False(t, ok)
	for _, r := range append(ended, more...) {
		a.Close(r)
	}
	ok, _ = a.Admit(now, sound, KindBody, 4*megabyte)
	require.True(t, ok, "its next attempt is admitted")
}

// TestOneTeamLeavesMemoryToOthers guards against a team whose requests take all memory.
func TestOneTeamLeavesMemoryToOthers(t *testing.T) {
	a := New(ConfigFor(136 * megabyte))
	for i := range 100 {
		a.Admit(start, a.Open(Caller{Connection: fmt.Sprint(i), Team: "greedy"}), KindBody, megabyte)
	}
	ok, _ := a.Admit(start, a.Open(Caller{Connection: "other", Team: "modest"}), KindBody, megabyte)
	require.True(t, ok)
}

// TestEachAllowedBodyIsAdmittedAlone guards against a body that the configuration allows and that is refused for ever.
func TestEachAllowedBodyIsAdmittedAlone(t *testing.T) {
	a := New(ConfigFor(136 * megabyte))
	ok, _ := a.Admit(start, open(a, 1), KindBody, 16*megabyte)
	require.True(t, ok)
}

// TestCountsReturnToZero guards against bytes that stay counted, in any order of events.
func TestCountsReturnToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, now := New(ConfigFor(rapid.SampledFrom([]int64{0, 136 * megabyte}).Draw(t, "memory"))), start
		var all []*Request
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			if len(all) == 0 || rapid.Bool().Draw(t, "open") {
				all = append(all, open(a, len(all)))
			}
			r := all[rapid.IntRange(0, len(all)-1).Draw(t, "request")]
			if _, isOpen := a.requests[r]; !isOpen {
				continue
			}
			kind := Kinds()[rapid.IntRange(0, int(kindCount)-1).Draw(t, "kind")]
			bytes := int64(rapid.IntRange(0, 8*megabyte).Draw(t, "bytes"))
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				a.Force(r, kind, bytes)
			case 1:
				a.BeginWrite(now, r)
			case 2:
				a.EndWrite(r)
			case 3:
				a.SetTeam(r, "other")
			case 4:
				a.Close(r)
			default:
				a.Admit(now, r, kind, bytes)
			}
		}
		for _, r := range all {
			a.Close(r)
		}
		require.Zero(t, a.small+a.shared+a.bodies)
		require.Zero(t, a.kinds)
		require.Empty(t, a.teams)
		require.Empty(t, a.teamBodies)
		require.Empty(t, a.connections)
	})
}
