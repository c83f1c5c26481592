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
	// options apply to each agent of the model, and shared applies to every process.
	options, shared []cluster.Option
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
	w := &testCluster{Cluster: c, t: t, ctx: ctx, caller: caller.New(false), minWarm: spec.minWarm}
	t.Cleanup(func() {
		cancel()
		w.caller.Close()
		c.Close()
	})
	w.start(spec)
	return w
}

func (w *testCluster) start(spec clusterSpec) {
	for i := range spec.entries {
		p, err := w.StartEntry(w.ctx, core.HostID(fmt.Sprintf("entry-%d", i)), domains[i%len(domains)], spec.shared...)
		require.NoError(w.t, err)
		w.entries = append(w.entries, p)
	}
	for i := range spec.agents {
		p, err := w.StartAgent(w.ctx, core.HostID(fmt.Sprintf("agent-%d", i)), domains[i%len(domains)], upstream, spec.engine, append(spec.options, spec.shared...)...)
		require.NoError(w.t, err)
		w.agents = append(w.agents, p)
	}
	for i := range spec.services {
		p, err := w.StartService(w.ctx, core.HostID(fmt.Sprintf("service-%d", i)), domains[i%len(domains)], bookings, spec.service, spec.shared...)
		require.NoError(w.t, err)
		w.services = append(w.services, p)
	}
	w.configure(spec)
	for _, entry := range w.entries {
		w.eventually("all agents are ready at "+string(entry.Host.ID), func() bool { return w.allAgentsReady(entry) })
	}
}

func (w *testCluster) configure(spec clusterSpec) {
	body := bytes.Repeat([]byte("heat summary weights "), modelBytes/21+1)[:modelBytes]
	digest, err := w.Origin.Add(model, "v1", body, chunkBytes)
	require.NoError(w.t, err)
	w.digest = digest
	for _, agent := range w.agents {
		agent.Engine.ExpectContent(digest, core.DigestOf(body))
	}
	w.apply(settings.UpstreamPath(upstream), 0, settings.UpstreamSettings{
		Kind: settings.KindModel, Model: model, Target: &settings.VersionRef{Version: "v1", Digest: digest},
		ColdLimit: coldLimit, WarmLimit: warmLimit, WarmupCompletions: warmup, MinWarm: w.minWarm,
	})
	w.apply(settings.UpstreamPath(bookings), 0, settings.UpstreamSettings{
		Kind: settings.KindService, ColdLimit: warmLimit, WarmLimit: warmLimit,
	})
	w.apply(settings.TeamPath(team), 0, w.teamSettings(spec))
}

func (w *testCluster) teamSettings(spec clusterSpec) settings.TeamSettings {
	pinnedDigest := w.digest
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

func (w *testCluster) apply(path string, base uint64, body any) {
	w.t.Helper()
	_, err := cluster.ApplyDocument(w.ctx, w.entries[0], path, base, body)
	require.NoError(w.t, err)
}

// allAgentsReady reports whether an entry sees every agent of the model with the target version, and all services.
func (w *testCluster) allAgentsReady(entry *cluster.Process) bool {
	seen, err := entry.ReadAgentStatuses(w.ctx)
	if err != nil {
		return false
	}
	for _, agent := range w.agents {
		if seen[agent.Host.ID].VersionDigest != w.digest {
			return false
		}
	}
	for _, agent := range w.services {
		if seen[agent.Host.ID].Limit != warmLimit {
			return false
		}
	}
	return true
}

// eventually waits until condition is true and fails the test after waitTimeout; what describes the condition.
func (w *testCluster) eventually(what string, condition func() bool) {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(w.ctx, waitTimeout)
	defer cancel()
	require.NoError(w.t, cluster.WaitFor(ctx, condition), what)
}

// prompt returns a text that is unique to a request of the test.
func (w *testCluster) prompt() string { return fmt.Sprintf("heat %d", w.prompts.Add(1)) }

func (w *testCluster) stream(base string) caller.Request {
	return caller.StreamedCompletion(base, token, model, w.prompt(), tokens)
}

func (w *testCluster) completion(base string) caller.Request {
	return caller.Completion(base, token, model, w.prompt())
}

func (w *testCluster) booking(base string) caller.Request {
	return caller.Booking(base, token, bookings, w.prompt())
}

// keyedBooking returns a booking with an idempotency key, which the entry claims before the call.
func (w *testCluster) keyedBooking(base string) caller.Request {
	request := w.booking(base)
	request.IdempotencyKey = w.prompt()
	return request
}

// closedLoop is a load of callers, each of which sends its next request after the response to its last.
type closedLoop struct {
	stopped   chan struct{}
	wg        sync.WaitGroup
	mu        sync.Mutex
	counts    map[caller.Kind]int
	details   []string
	succeeded atomic.Int64
}

// startLoad starts callers that send requests through a balancer over all entries until stop is called.
func (w *testCluster) startLoad(callers int, builders ...func(base string) caller.Request) *closedLoop {
	s := &closedLoop{stopped: make(chan struct{}), counts: make(map[caller.Kind]int)}
	balancer := caller.NewBalancer(w.ctx, w.entries...)
	w.t.Cleanup(balancer.Close)
	for i := range callers {
		build := builders[i%len(builders)]
		s.wg.Go(func() {
			for !s.isStopped() {
				s.record(balancer.Send(w.ctx, w.caller, build))
			}
		})
	}
	return s
}

func (s *closedLoop) isStopped() bool {
	select {
	case <-s.stopped:
		return true
	default:
		return false
	}
}

func (s *closedLoop) record(out caller.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[out.Kind]++
	if out.Kind == caller.Succeeded {
		s.succeeded.Add(1)
		return
	}
	const maxDetails = 5
	if out.Kind != caller.Refused && out.Kind != caller.Unsent && len(s.details) < maxDetails {
		s.details = append(s.details, string(out.Kind)+": "+out.Detail)
	}
}

// stop ends the load, waits for the requests in flight and returns the number of outcomes of each kind.
func (s *closedLoop) stop() map[caller.Kind]int {
	close(s.stopped)
	s.wg.Wait()
	return s.counts
}

// requireNoneLost stops the load and fails the test if a request failed, was cut off or got an invalid response.
func (s *closedLoop) requireNoneLost(t *testing.T) {
	t.Helper()
	counts := s.stop()
	t.Logf("outcomes: %v", counts)
	require.Positive(t, counts[caller.Succeeded])
	lost := counts[caller.Failed] + counts[caller.CutOff] + counts[caller.Invalid]
	require.Zero(t, lost, "outcomes %v: %v", counts, s.details)
}
