package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// binary is the path of the guavatrestled program under test.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "guavatrestled")
	build := exec.Command("go", "build", "-o", binary, "github.com/guavatrestle/guavatrestle/cmd/guavatrestled")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// nets holds the second octets of the loopback networks that no run uses. Two runs at a time keep the tests within two minutes; more of
// them slow each other down on machines with few cores.
var nets = make(chan int, 2)

func init() {
	for i := range cap(nets) {
		nets <- DefaultConfig().LoopbackNet + i
	}
}

// run runs the soak with a configuration and requires that no guarantee is violated.
func run(t *testing.T, cfg Config) Result {
	t.Helper()
	cfg.Binary, cfg.Dir, cfg.LoopbackNet = binary, t.TempDir(), <-nets
	defer func() { nets <- cfg.LoopbackNet }()
	result, err := Run(context.Background(), cfg)
	require.NoError(t, err)
	require.Empty(t, result.Broken, "seed %d, faults: %v, peaks in MB: %v", cfg.Seed, result.Faults, result.PeakMemory)
	require.NotZero(t, result.Requests)
	return result
}

// Each test runs few seeds, so that CI ends soon; `make soak` runs more. A seed that has failed stays here, with a comment on the cause.

// TestGuaranteesHoldWhileFaultsOverlap guards against guarantees that hold under each fault alone but not when several
// faults overlap.
func TestGuaranteesHoldWhileFaultsOverlap(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{
		1,   // failed once, not traced, KNOWN-RED.txt: soak-1-load
		605, // a load order that was carried out late loaded pieces of the next version
	} {
		cfg := DefaultConfig()
		cfg.Seed = seed
		run(t, cfg)
	}
}

// TestCrashingPromptsAreKeptFromWorkers guards against prompts on which workers crash that are sent to one worker after the other by
// entries of which each has seen only a few of the crashes, also while processes restart and links fail; and against sound prompts that
// are refused with them.
func TestCrashingPromptsAreKeptFromWorkers(t *testing.T) {
	t.Parallel()
	cfg := DefaultConfig()
	cfg.Seed, cfg.CrashingPrompts = 6, true
	run(t, cfg)
}

// TestEvacuationsHoldAndServiceReturnsAfterALossOfAllHosts guards against requests to a failure domain that is out of service because the
// store has not told all entries, and against a fleet that does not serve soon after all processes and workers have ended during a rollout.
func TestEvacuationsHoldAndServiceReturnsAfterALossOfAllHosts(t *testing.T) {
	t.Parallel()
	cfg := DefaultConfig()
	cfg.Seed = 4 // agents waited because two versions were named at once and the staged one had no manifest any more
	cfg.Faults, cfg.Evacuations, cfg.LoseAll = 2, true, true
	run(t, cfg)
}

// TestRequestLimitsOfWorkersAreKept guards against entries that together send a worker more than the request limit that it states, also
// while processes restart and links fail.
func TestRequestLimitsOfWorkersAreKept(t *testing.T) {
	t.Parallel()
	cfg := DefaultConfig()
	cfg.Seed, cfg.Faults, cfg.RequestLimits = 1, 3, true
	run(t, cfg)
}

// TestSuspendedAgentsLoadNoCorruptPieces guards against an agent that is suspended between the first read of a staged piece and its load
// order, and has a piece loaded that has become corrupt meanwhile.
func TestSuspendedAgentsLoadNoCorruptPieces(t *testing.T) {
	t.Parallel()
	cfg := DefaultConfig()
	cfg.Seed = 1 // the age of a verification was counted from its end
	cfg.Faults, cfg.SuspendVerifications = 0, true
	require.NotZero(t, run(t, cfg).Suspensions)
}

// TestVersionsAreServedInTimeWhateverStandsStill guards against requests that begin on an old version too late at entries that start after
// agents and entries stood still: these read the age of the new version late and told it on.
func TestVersionsAreServedInTimeWhateverStandsStill(t *testing.T) {
	t.Parallel()
	cfg := DefaultConfig()
	cfg.Seed = 3 // ages of versions were counted from their reading
	cfg.Faults, cfg.StandstillsAtVersions = 0, true
	require.NotZero(t, run(t, cfg).Suspensions)
}

// TestResponsesWithoutEndLeaveMemoryAndService guards against workers that send bytes without end until the processes that call them have
// used up the memory of their hosts, or serve no other requests any more.
func TestResponsesWithoutEndLeaveMemoryAndService(t *testing.T) {
	t.Parallel()
	cfg := DefaultConfig()
	cfg.Seed, cfg.Faults, cfg.EndlessResponses = 1, 0, true
	run(t, cfg)
}

// TestMalformedResponsesAreNeverBelieved guards against callers that get a malformed response, and against requests that run twice, or count
// as not run, because of what one says.
func TestMalformedResponsesAreNeverBelieved(t *testing.T) {
	t.Parallel()
	cfg := DefaultConfig()
	cfg.Seed, cfg.Faults, cfg.MalformedResponses = 3, 0, true
	run(t, cfg)
}

// TestSlowCallersTakeNoMemoryFromOthers guards against an entry that takes more memory than its host has because callers send large bodies a
// byte at a time or read nothing of large responses, and against refusing other callers beside them.
func TestSlowCallersTakeNoMemoryFromOthers(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Binary, cfg.Dir, cfg.Seed = binary, t.TempDir(), 1
	cfg.Entries, cfg.SlowCallers, cfg.Faults = 2, 60, 0
	result, err := Run(context.Background(), cfg)
	require.NoError(t, err)
	require.Empty(t, result.Broken)
	require.NotZero(t, result.Requests)
}
