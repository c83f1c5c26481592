package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/quarantine"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// maxLateSends is the number of requests with the guilty part that may reach replicas later than inTouchTime after the fifth crash.
const maxLateSends = 3

// firstSeed returns the first seed of a simulation: RAPID_SEED, as for the other property tests, or 1.
func firstSeed() uint64 {
	seed, err := strconv.ParseUint(os.Getenv("RAPID_SEED"), 10, 64)
	if err != nil {
		return 1
	}
	return seed
}

// fleets are simulated fleets in which replicas crash on a part.
var fleets = map[string]simConfig{
	"small":          {entries: 8, workers: 16, requestsPerS: 120, guiltyPerS: 2, newsDelay: 30 * time.Millisecond, innocents: 60, teams: 10},
	"large":          {entries: 40, workers: 60, requestsPerS: 500, guiltyPerS: 3, newsDelay: 50 * time.Millisecond, innocents: 200, teams: 30},
	"little traffic": {entries: 8, workers: 16, requestsPerS: 16, guiltyPerS: 2, newsDelay: 30 * time.Millisecond, innocents: 60, teams: 10},
	"one team":       {entries: 8, workers: 16, requestsPerS: 120, guiltyPerS: 2, newsDelay: 30 * time.Millisecond, innocents: 60, teams: 10, oneTeamGuilty: true},
	"news lost and late": {
		entries: 8, workers: 16, requestsPerS: 120, guiltyPerS: 2, newsDelay: 300 * time.Millisecond, newsLoss: .3, innocents: 60, teams: 10, restarts: 4,
	},
	"other crashes": {
		entries: 8, workers: 16, requestsPerS: 120, guiltyPerS: 2, newsDelay: 30 * time.Millisecond, innocents: 60, teams: 10, plainCrashesPerS: 16. / 6,
	},
}

// TestPartOnWhichReplicasCrashIsKeptFromThem guards against crashes that go on because each host has seen only some of them, or whose
// cause is not told from what stood beside it.
func TestPartOnWhichReplicasCrashIsKeptFromThem(t *testing.T) {
	for name, cfg := range fleets {
		for seed := firstSeed(); seed < firstSeed()+3; seed++ {
			cfg.seed, cfg.settings = seed, quarantine.DefaultConfig()
			t.Run(fmt.Sprint(name, " seed ", seed), func(t *testing.T) {
				t.Parallel()
				result := simulate(cfg)
				require.GreaterOrEqual(t, result.crashes, cfg.settings.MinProcesses)
				require.LessOrEqual(t, result.late, maxLateSends, "%+v", result)
				require.Empty(t, result.blamed, "%+v", result)
				require.NotZero(t, result.sound)
			})
		}
	}
}

// TestCrashesWithAnotherCauseBlameNoPart guards against sound requests that are refused on days on which many replicas crash.
func TestCrashesWithAnotherCauseBlameNoPart(t *testing.T) {
	usual := simConfig{entries: 8, workers: 16, requestsPerS: 120, newsDelay: 30 * time.Millisecond, innocents: 60, teams: 10}
	manySingle, some, all := usual, usual, usual
	manySingle.plainCrashesPerS = float64(usual.workers) / 6
	some.massCrashAt, some.massCrash = 12*time.Second, .4
	all.massCrashAt, all.massCrash = 12*time.Second, 1
	rare := manySingle
	rare.innocents = 2000
	for name, cfg := range map[string]simConfig{
		"a sixth each second": manySingle, "rarely used parts": rare, "many at once": some, "all at once": all,
	} {
		for seed := firstSeed(); seed < firstSeed()+3; seed++ {
			cfg.seed, cfg.settings = seed, quarantine.DefaultConfig()
			t.Run(fmt.Sprint(name, " seed ", seed), func(t *testing.T) {
				t.Parallel()
				result := simulate(cfg)
				require.Empty(t, result.blamed, "%+v", result)
			})
		}
	}
}

// bed is a detector with a clock.
type bed struct {
	*quarantine.Detector
	now  time.Time
	born int64
}

// beds counts the detectors, which draw different IDs.
var beds uint64

func newBed() *bed {
	now := time.Unix(1000, 0)
	beds++
	return &bed{Detector: quarantine.NewDetector(now, quarantine.DefaultConfig(), rand.New(rand.NewPCG(1, beds))), now: now}
}

// serve records served requests without the parts of interest.
func (b *bed) serve(count int) {
	for range count {
		b.now = b.now.Add(20 * time.Millisecond)
		b.Served(b.now, "llm", []quarantine.Part{"first", "other"})
	}
}

// crash records a request that is lost with the process of its replica.
func (b *bed) crash(team core.Team, parts ...quarantine.Part) {
	b.born++
	process := quarantine.Process{Host: netip.MustParseAddr("10.0.0.1"), Born: b.born}
	b.now = b.now.Add(100 * time.Millisecond)
	b.Lost(b.now, b.now.Add(-50*time.Millisecond), quarantine.Loss{Process: process, Upstream: "llm", Team: team, Parts: parts})
	b.Ended(b.now, process)
}

func (b *bed) verdict(team core.Team, parts ...quarantine.Part) quarantine.Verdict {
	return b.Check(b.now, "llm", team, parts).Verdict
}

// blame makes a part end up in quarantine.
func (b *bed) blame(team core.Team, part quarantine.Part) {
	b.serve(50)
	for range quarantine.DefaultConfig().MinProcesses {
		b.crash(team, "first", part)
		b.serve(10)
	}
}

// TestQuarantineAppliesToTheTeamWhoseRequestsCrashed guards against a team that makes another team's requests be refused, and against
// a part that goes on to crash replicas under another team.
func TestQuarantineAppliesToTheTeamWhoseRequestsCrashed(t *testing.T) {
	b := newBed()
	b.blame("blue", "bad")
	require.Equal(t, quarantine.VerdictRefuse, b.verdict("blue", "first", "bad"))
	require.Equal(t, quarantine.VerdictSend, b.verdict("red", "first", "bad"))
	require.Equal(t, quarantine.VerdictSend, b.verdict("blue", "first", "other"))
	for range quarantine.DefaultConfig().WidenProcesses {
		b.crash("red", "first", "bad")
		b.serve(20)
	}
	require.Equal(t, quarantine.VerdictRefuse, b.verdict("red", "first", "bad"))
	require.Equal(t, quarantine.VerdictRefuse, b.verdict("green", "bad"))
}

// TestConnectionsThatEndBlameNoPart guards against a part that is blamed for connections that were reset while the processes went on.
func TestConnectionsThatEndBlameNoPart(t *testing.T) {
	b := newBed()
	b.serve(50)
	b.crash("", "y")
	for born := range int64(20) {
		b.now = b.now.Add(50 * time.Millisecond)
		b.Lost(b.now, b.now, quarantine.Loss{
			Process: quarantine.Process{Host: netip.MustParseAddr("10.0.0.1"), Born: born}, Upstream: "llm", Parts: []quarantine.Part{"x"},
		})
		b.serve(5)
	}
	require.Equal(t, quarantine.VerdictSend, b.verdict("", "x"))
}

// TestServedRequestClearsItsParts guards against a part that stays blamed although a request with it has been served.
func TestServedRequestClearsItsParts(t *testing.T) {
	b := newBed()
	b.serve(50)
	for range 2 {
		b.crash("blue", "bad")
		b.serve(10)
	}
	b.Served(b.now, "llm", []quarantine.Part{"bad"})
	for range 3 {
		b.crash("blue", "bad")
		b.serve(40)
	}
	require.Equal(t, quarantine.VerdictSend, b.verdict("blue", "bad"), "the first two crashes don't count")
	b.crash("blue", "bad")
	b.serve(10)
	require.Equal(t, quarantine.VerdictRefuse, b.verdict("blue", "bad"))
	// A request that was in flight.
	require.Equal(t, []quarantine.Key{{Upstream: "llm", Part: "bad"}}, b.Served(b.now.Add(time.Millisecond), "llm", []quarantine.Part{"bad"}))
	require.Equal(t, quarantine.VerdictSend, b.verdict("blue", "bad"))
}

// TestNewsOfASoundPartLiftsTheQuarantineElsewhere guards against a host that keeps refusing requests with a part that another host has
// served.
func TestNewsOfASoundPartLiftsTheQuarantineElsewhere(t *testing.T) {
	b, other := newBed(), newBed()
	b.blame("blue", "bad")
	other.serve(200)
	other.now = b.now
	other.Merge(other.now, b.TakeOutgoing())
	require.Equal(t, quarantine.VerdictRefuse, other.verdict("blue", "bad"))
	other.now = other.now.Add(time.Millisecond)
	other.Clear(other.now, quarantine.Key{Upstream: "llm", Part: "bad"})
	require.Equal(t, quarantine.VerdictSend, other.verdict("blue", "bad"))
	b.now = other.now
	b.Merge(b.now, other.TakeOutgoing())
	require.Equal(t, quarantine.VerdictSend, b.verdict("blue", "bad"))
}

// TestHostContradictsAQuarantineOfAPartThatItServes guards against a wrong decision of one host that all others follow.
func TestHostContradictsAQuarantineOfAPartThatItServes(t *testing.T) {
	b, other := newBed(), newBed()
	b.blame("blue", "bad")
	other.now = b.now.Add(-50 * time.Millisecond)
	other.Served(other.now, "llm", []quarantine.Part{"bad"})
	other.now = b.now
	other.Merge(other.now, b.TakeOutgoing())
	require.Equal(t, quarantine.VerdictSend, other.verdict("blue", "bad"))
	b.Merge(b.now, other.TakeOutgoing())
	require.Equal(t, quarantine.VerdictSend, b.verdict("blue", "bad"))
}

// TestLapsedQuarantineIsTriedAndExtended guards against a part that every host tries again at the same time, or that is never tried.
func TestLapsedQuarantineIsTriedAndExtended(t *testing.T) {
	cfg := quarantine.DefaultConfig()
	b := newBed()
	b.blame("blue", "bad")
	decision := b.Check(b.now, "llm", "blue", []quarantine.Part{"bad"})
	require.Equal(t, cfg.MinProcesses, decision.Processes)
	b.now = decision.Until.Add(-time.Second)
	require.Equal(t, quarantine.VerdictRefuse, b.verdict("blue", "bad"))
	b.now = decision.Until.Add(time.Second)
	require.Equal(t, quarantine.VerdictTrial, b.verdict("blue", "bad"))
	require.True(t, b.BeginTrial(b.now, decision.Key))
	require.False(t, b.BeginTrial(b.now, decision.Key))
	require.Equal(t, quarantine.VerdictRefuse, b.verdict("blue", "bad"), "one trial at a time")
	b.crash("blue", "bad")
	extended := b.Check(b.now, "llm", "blue", []quarantine.Part{"bad"})
	require.Equal(t, quarantine.VerdictRefuse, extended.Verdict)
	require.Equal(t, 2*cfg.Duration, extended.Until.Sub(b.now))
	require.Equal(t, quarantine.VerdictSend, b.verdict("red", "bad"), "no other team's request has failed")

	b.now = extended.Until.Add(time.Second)
	require.Equal(t, quarantine.VerdictTrial, b.verdict("blue", "bad"))
	b.Served(b.now, "llm", []quarantine.Part{"bad"})
	require.Equal(t, quarantine.VerdictSend, b.verdict("blue", "bad"))
}

// TestEndlessNewPartsAreForgotten guards against memory that grows with the parts that callers invent, and against a guilty part whose
// crashes are crowded out by them.
func TestEndlessNewPartsAreForgotten(t *testing.T) {
	b := newBed()
	for i := range 3 * quarantine.DefaultConfig().MaxParts {
		b.now = b.now.Add(time.Millisecond)
		b.Served(b.now, "llm", []quarantine.Part{quarantine.Part(fmt.Sprint("p", i))})
	}
	require.LessOrEqual(t, b.PartCount(), quarantine.DefaultConfig().MaxParts)
	for i := range 1000 {
		b.now = b.now.Add(time.Millisecond)
		b.Lost(b.now, b.now, quarantine.Loss{
			Process:  quarantine.Process{Host: netip.MustParseAddr("10.0.0.2"), Born: int64(i)},
			Upstream: "llm", Team: "blue", Parts: []quarantine.Part{quarantine.Part(fmt.Sprint("q", i))},
		})
	}
	require.LessOrEqual(t, len(b.Ledger().Notices()), 4*quarantine.DefaultConfig().MaxNotices)
}

// TestLedgersAgreeInAnyOrder guards against hosts that decide differently for good because they heard the same news in another order,
// twice, or through other hosts.
func TestLedgersAgreeInAnyOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(firstSeed(), 7))
	now := time.Unix(1000, 0)
	for range 200 {
		notices := drawNotices(random, now)
		a, b := quarantine.NewLedger(quarantine.DefaultConfig()), quarantine.NewLedger(quarantine.DefaultConfig())
		for _, n := range notices {
			a.Add(now, n)
		}
		again := append(slices.Clone(notices), notices...)
		random.Shuffle(len(again), func(i, j int) { again[i], again[j] = again[j], again[i] })
		for _, n := range again {
			b.Add(now, n)
		}
		require.Equal(t, a.Digest(), b.Digest())
		require.Equal(t, a.Notices(), b.Notices())
	}
}

func drawNotices(random *rand.Rand, now time.Time) []quarantine.Notice {
	var notices []quarantine.Notice
	for range random.IntN(200) {
		at := now.Add(-time.Duration(random.Int64N(int64(3 * time.Minute))))
		process := quarantine.Process{Host: netip.MustParseAddr("10.0.0.1"), Born: random.Int64N(20)}
		key := quarantine.Key{Upstream: "llm", Part: quarantine.Part(fmt.Sprint("p", random.IntN(5)))}
		n := quarantine.Notice{ID: random.Uint64(), At: at}
		switch random.IntN(4) {
		case 0:
			n.Loss = &quarantine.Loss{Process: process, Upstream: "llm", Parts: []quarantine.Part{key.Part}}
		case 1:
			n.Sound = &key
		case 2:
			n.Quarantine = &quarantine.Quarantine{Key: key, Since: at}
		case 3:
			n = quarantine.EndedNotice(now.Add(-time.Duration(process.Born)*time.Second), process)
		}
		notices = append(notices, n)
	}
	return notices
}

// losses records requests with a part that are lost with the processes of their replicas all at once.
func (b *bed) losses(count int, part quarantine.Part) {
	for range count {
		b.crash("blue", "first", part)
		b.now = b.now.Add(-100 * time.Millisecond)
	}
}

// TestPartIsNotBlamedWhileOthersAreLostAsOften guards against a rarely used part that is blamed because it was in several crashes of a
// time in which every request is likely to be lost.
func TestPartIsNotBlamedWhileOthersAreLostAsOften(t *testing.T) {
	b := newBed()
	b.serve(50)
	for i := range 6 {
		b.crash("blue", "first", "rare")
		b.crash("blue", "first", quarantine.Part(fmt.Sprint("q", i)))
		b.serve(1)
	}
	require.Equal(t, quarantine.VerdictSend, b.verdict("blue", "rare"))
}

// TestPartThatIsUsedOftenIsNotBlamedAtOnce guards against a part that is blamed because many replicas ended at once, before a request
// with it could be served again.
func TestPartThatIsUsedOftenIsNotBlamedAtOnce(t *testing.T) {
	b := newBed()
	for range 20 {
		b.serve(3)
		b.Served(b.now, "llm", []quarantine.Part{"often"})
	}
	b.losses(8, "often")
	b.serve(8)
	require.Equal(t, quarantine.VerdictSend, b.verdict("blue", "often"))
	b.serve(100)
	require.Equal(t, quarantine.VerdictRefuse, b.verdict("blue", "often"), "it would have been served again by now")
}

// TestNewPartIsBlamedBeforeAKnownOne guards against the blame for a sound part that stood in more crashes than the cause, because news
// of some requests with the cause was lost.
func TestNewPartIsBlamedBeforeAKnownOne(t *testing.T) {
	b, other := newBed(), newBed()
	for i := range 6 {
		parts := []quarantine.Part{"known", "bad"}
		if i < 2 {
			parts = parts[:1]
		}
		b.crash("blue", parts...)
	}
	other.Served(other.now, "llm", []quarantine.Part{"known"})
	other.now = b.now
	other.serve(110)
	other.Merge(other.now, b.TakeOutgoing())
	require.Equal(t, quarantine.VerdictSend, other.verdict("blue", "known"))
	require.Equal(t, quarantine.VerdictRefuse, other.verdict("blue", "bad"))
}

// soundNotices returns the number of notices about sound parts that other hosts are told.
func (b *bed) soundNotices() int {
	count := 0
	for _, n := range b.TakeOutgoing() {
		if n.Sound != nil {
			count++
		}
	}
	return count
}

// TestServedPartsAreToldOnlyWhereTheyMatter guards against news about every part that was ever in a crash, which on a day with many
// crashes and parts costs each host a share of its processor.
func TestServedPartsAreToldOnlyWhereTheyMatter(t *testing.T) {
	b := newBed()
	b.crash("blue", "p")
	b.Served(b.now, "llm", []quarantine.Part{"p"})
	require.Zero(t, b.soundNotices(), "one crash is far from a quarantine")
	for range 2 {
		b.crash("blue", "p")
	}
	b.Served(b.now, "llm", []quarantine.Part{"p"})
	require.Equal(t, 1, b.soundNotices())
	b.Served(b.now, "llm", []quarantine.Part{"p"})
	require.Zero(t, b.soundNotices(), "it is known")

	for i := range 60 {
		part := quarantine.Part(fmt.Sprint("p", i))
		for range 2 {
			b.crash("blue", part)
		}
		b.now = b.now.Add(-200 * time.Millisecond)
		b.Served(b.now.Add(200*time.Millisecond), "llm", []quarantine.Part{part})
	}
	require.LessOrEqual(t, b.soundNotices(), 12)
}
