package e2e_test

import (
	"bytes"
	"cmp"
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/guavatrestle/guavatrestle/bench/caller"
	"github.com/guavatrestle/guavatrestle/bench/cluster"
	"github.com/guavatrestle/guavatrestle/bench/standin/engine"
	"github.com/guavatrestle/guavatrestle/bench/standin/service"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

const (
	team     = "ajiboye"
	token    = "ajiboye-token"
	model    = "heats"
	upstream = "results-writer"
	bookings = "hire-desk"

	tokens     = 5
	tokenDelay = 5 * time.Millisecond
	coldLimit  = 2
	warmLimit  = 8
	warmup     = 4

	defaultQueueLength = 1000

	modelBytes = 1 << 20
	chunkBytes = 256 << 10

	// maxParallelTests bounds the number of concurrent tests, each of which runs up to ten processes under load.
	maxParallelTests = "4"

	// waitTimeout bounds each wait for a condition.
	waitTimeout = 25 * time.Second
)

var (
	binary  string
	domains = []core.FailureDomain{"lagos-ikeja", "abuja-wuse", "ph-trans-amadi"}
)

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "gt-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "guavatrestled")
	build := exec.Command("go", "build", "-o", binary, "github.com/guavatrestle/guavatrestle/cmd/guavatrestled")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build guavatrestled: %v\n%s", err, output)
		return 1
	}
	return runWithoutLeaks(m)
}

// runWithoutLeaks runs the tests and fails if they leave goroutines behind.
func runWithoutLeaks(m *testing.M) int {
	flag.Parse()
	if err := flag.Set("test.parallel", maxParallelTests); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	status := m.Run()
	http.DefaultClient.CloseIdleConnections()
	if err := goleak.Find(); err != nil && status == 0 {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return status
}

// testCluster is a cluster with one model and one booking service.
type testCluster struct {
	*cluster.Cluster
	t        *testing.T
	ctx      context.Context
	caller   *caller.Caller
	entries  []*cluster.Process
	agents   []*cluster.Process
	services []*cluster.Process
	digest   core.Digest
	prompts  atomic.Int64
	minWarm  int
}

// clusterSpec describes a testCluster.
type clusterSpec struct {
	entries, agents, services int
	engine                    engine.Config
	service                   service.Config
	// minWarm is the number of warm hosts that a rollout keeps in each failure domain.
	minWarm int
	// unpinned omits the version digest from the team's settings.
	unpinned bool
	// queueLength is the number of requests of the team that may wait at an entry; 0 means defaultQueueLength.
	queueLength int
	// agentOptions apply to each agent of the model, and sharedOptions to every process.
	agentOptions, sharedOptions []cluster.Option
}

func defaultEngine() engine.Config {
	return engine.Config{
		Tokens: tokens, TokenDelay: tokenDelay,
		ColdLimit: coldLimit, WarmLimit: warmLimit, WarmupCompletions: warmup,
		KeepsWeights: true,
	}
}

func newTestCluster(t *testing.T, spec clusterSpec) *testCluster {
	t.Helper()
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 2*waitTimeout)
	c, err := cluster.New(binary)
	require.NoError(t, err)
	tc := &testCluster{Cluster: c, t: t, ctx: ctx, caller: caller.New(false), minWarm: spec.minWarm}
	t.Cleanup(func() {
		cancel()
		tc.caller.Close()
		c.Close()
	})
	tc.start(spec)
	return tc
}

func (tc *testCluster) start(spec clusterSpec) {
	for i := range spec.entries {
		p, err := tc.StartEntry(tc.ctx, core.HostID(fmt.Sprintf("entry-%d", i)), domains[i%len(domains)], spec.sharedOptions...)
		require.NoError(tc.t, err)
		tc.entries = append(tc.entries, p)
	}
	for i := range spec.agents {
		p, err := tc.StartAgent(tc.ctx, core.HostID(fmt.Sprintf("agent-%d", i)), domains[i%len(domains)], upstream, spec.engine, append(spec.agentOptions, spec.sharedOptions...)...)
		require.NoError(tc.t, err)
		tc.agents = append(tc.agents, p)
	}
	for i := range spec.services {
		p, err := tc.StartService(tc.ctx, core.HostID(fmt.Sprintf("service-%d", i)), domains[i%len(domains)], bookings, spec.service, spec.sharedOptions...)
		require.NoError(tc.t, err)
		tc.services = append(tc.services, p)
	}
	tc.configure(spec)
	for _, entry := range tc.entries {
		tc.eventually("all agents are ready at "+string(entry.Host.ID), func() bool { return tc.allAgentsReady(entry) })
	}
}

func (tc *testCluster) configure(spec clusterSpec) {
	body := bytes.Repeat([]byte("heat summary weights "), modelBytes/21+1)[:modelBytes]
	digest, err := tc.Origin.Add(model, "v1", body, chunkBytes)
	require.NoError(tc.t, err)
	tc.digest = digest
	for _, agent := range tc.agents {
		agent.Engine.ExpectContent(digest, core.DigestOf(body))
	}
	tc.apply(settings.UpstreamPath(upstream), 0, settings.UpstreamSettings{
		Kind: settings.KindModel, Model: model, Target: &settings.VersionRef{Version: "v1", Digest: digest},
		ColdLimit: coldLimit, WarmLimit: warmLimit, WarmupCompletions: warmup, MinWarm: tc.minWarm,
	})
	tc.apply(settings.UpstreamPath(bookings), 0, settings.UpstreamSettings{
		Kind: settings.KindService, ColdLimit: warmLimit, WarmLimit: warmLimit,
	})
	tc.apply(settings.TeamPath(team), 0, tc.teamSettings(spec))
}

func (tc *testCluster) teamSettings(spec clusterSpec) settings.TeamSettings {
	pinnedDigest := tc.digest
	if spec.unpinned {
		pinnedDigest = ""
	}
	return settings.TeamSettings{
		TokenHashes: []core.Digest{core.DigestOf([]byte(token))},
		Limits:      settings.TeamLimits{RequestsPerSecond: 10000, Burst: 10000, QueueLength: cmp.Or(spec.queueLength, defaultQueueLength)},
		Weight:      1,
		Models:      []settings.ModelSettings{{Name: model, Upstream: upstream, VersionDigest: pinnedDigest}},
		Services:    []settings.ServiceSettings{{Upstream: bookings}},
	}
}

func (tc *testCluster) apply(path string, base uint64, body any) {
	tc.t.Helper()
	_, err := cluster.ApplyDocument(tc.ctx, tc.entries[0], path, base, body)
	require.NoError(tc.t, err)
}

// allAgentsReady reports whether an entry sees every agent of the model with the target version, and all services.
func (tc *testCluster) allAgentsReady(entry *cluster.Process) bool {
	seen, err := entry.ReadAgentStatuses(tc.ctx)
	if err != nil {
		return false
	}
	for _, agent := range tc.agents {
		if seen[agent.Host.ID].VersionDigest != tc.digest {
			return false
		}
	}
	for _, p := range tc.services {
		if seen[p.Host.ID].Limit != warmLimit {
			return false
		}
	}
	return true
}

// eventually waits until condition is true and fails the test with description after waitTimeout.
func (tc *testCluster) eventually(description string, condition func() bool) {
	tc.t.Helper()
	ctx, cancel := context.WithTimeout(tc.ctx, waitTimeout)
	defer cancel()
	require.NoError(tc.t, cluster.WaitFor(ctx, condition), description)
}

// prompt returns a text that is unique to a request of the test.
func (tc *testCluster) prompt() string { return fmt.Sprintf("heat %d", tc.prompts.Add(1)) }

func (tc *testCluster) stream(base string) caller.Request {
	return caller.StreamedCompletion(base, token, model, tc.prompt(), tokens)
}

func (tc *testCluster) completion(base string) caller.Request {
	return caller.Completion(base, token, model, tc.prompt())
}

func (tc *testCluster) booking(base string) caller.Request {
	return caller.Booking(base, token, bookings, tc.prompt())
}

// keyedBooking returns a booking with an idempotency key, which the entry claims before the call.
func (tc *testCluster) keyedBooking(base string) caller.Request {
	request := tc.booking(base)
	request.IdempotencyKey = tc.prompt()
	return request
}

// closedLoop is a closed-loop load: each caller sends its next request after it has received the response to the
// previous one.
type closedLoop struct {
	stopped   chan struct{}
	wg        sync.WaitGroup
	mu        sync.Mutex
	counts    map[caller.Kind]int
	details   []string
	succeeded atomic.Int64
}

// startLoad starts callers that send requests through a balancer over all entries until stop is called.
func (tc *testCluster) startLoad(callers int, builders ...func(base string) caller.Request) *closedLoop {
	load := &closedLoop{stopped: make(chan struct{}), counts: make(map[caller.Kind]int)}
	balancer := caller.NewBalancer(tc.ctx, tc.entries...)
	tc.t.Cleanup(balancer.Close)
	for i := range callers {
		build := builders[i%len(builders)]
		load.wg.Go(func() {
			for !load.isStopped() {
				load.record(balancer.Send(tc.ctx, tc.caller, build))
			}
		})
	}
	return load
}

func (l *closedLoop) isStopped() bool {
	select {
	case <-l.stopped:
		return true
	default:
		return false
	}
}

func (l *closedLoop) record(out caller.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[out.Kind]++
	if out.Kind == caller.Succeeded {
		l.succeeded.Add(1)
		return
	}
	const maxDetails = 5
	if out.Kind != caller.Refused && out.Kind != caller.Unsent && len(l.details) < maxDetails {
		l.details = append(l.details, string(out.Kind)+": "+out.Detail)
	}
}

// stop ends the load, waits for the requests in flight and returns the number of outcomes of each kind.
func (l *closedLoop) stop() map[caller.Kind]int {
	close(l.stopped)
	l.wg.Wait()
	return l.counts
}

// requireNoneLost stops the load and fails the test if a request failed, was cut off or got an invalid response.
func (l *closedLoop) requireNoneLost(t *testing.T) {
	t.Helper()
	counts := l.stop()
	t.Logf("outcomes: %v", counts)
	require.Positive(t, counts[caller.Succeeded])
	lost := counts[caller.Failed] + counts[caller.CutOff] + counts[caller.Invalid]
	require.Zero(t, lost, "outcomes %v: %v", counts, l.details)
}
