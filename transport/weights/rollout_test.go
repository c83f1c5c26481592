package weights

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavatrestle/guavatrestle/coordination/admission"
	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
	"github.com/guavatrestle/guavatrestle/state/table"
	"github.com/guavatrestle/guavatrestle/transport/upstream"
)

// memoryEngine keeps the weights of its last complete load, and can interrupt a load.
type memoryEngine struct {
	platform.Engine
	status     platform.EngineStatus
	content    []byte
	interrupt  bool
	duringLoad func()
	loadCount  int
}

func (e *memoryEngine) Status(context.Context) (platform.EngineStatus, error) { return e.status, nil }

func (e *memoryEngine) Load(_ context.Context, order platform.LoadOrder) error {
	e.loadCount++
	e.status.Digest, e.status.Complete = order.Digest, false
	e.status.FencingToken = max(e.status.FencingToken, order.FencingToken)
	first := make([]byte, 1)
	_, _ = io.ReadFull(order.Weights, first)
	if e.duringLoad != nil {
		e.duringLoad()
	}
	rest, err := io.ReadAll(order.Weights)
	if err != nil || e.interrupt {
		return protocol.Errorf(protocol.CodeOutcomeUnknown, "load interrupted")
	}
	e.content = append(first, rest...)
	e.status.Complete = true
	return nil
}

// agentFixture is one agent with its engine, object store and weight source in memory.
type agentFixture struct {
	rollout  *Rollout
	store    *memoryStore
	engine   *memoryEngine
	settings *table.Settings
	chunks   *table.Chunks
	gate     *upstream.Gate
	source   *memorySource
	spec     settings.UpstreamSettings
	version  uint64
	bodies   map[core.Digest][]byte
	now      time.Time
	hosts    []core.Host
}

// memorySource serves the manifests and contents of versions.
type memorySource struct {
	manifests map[string][]byte
	bodies    map[string][]byte
}

func (s *memorySource) Manifest(_ context.Context, _ core.Model, version string) (platform.ManifestResponse, error) {
	return platform.ManifestResponse{Body: s.manifests[version], ETag: version}, nil
}

func (s *memorySource) Range(_ context.Context, r platform.RangeRequest) ([]byte, error) {
	return slices.Clone(s.bodies[r.Version][r.Start:r.End]), nil
}

func transferDefaults() *config.Transfer {
	cfg := config.DefaultTransfer()
	return &cfg
}

func newAgentFixture() *agentFixture {
	log := logrus.New()
	log.SetOutput(io.Discard)
	entry := logrus.NewEntry(log)
	s := &agentFixture{
		now: time.Unix(1000, 0), store: &memoryStore{}, engine: &memoryEngine{status: platform.EngineStatus{BootID: "b"}},
		settings: table.NewSettings(), chunks: table.NewChunks(), bodies: map[core.Digest][]byte{},
		source: &memorySource{manifests: map[string][]byte{}, bodies: map[string][]byte{}},
		spec:   settings.UpstreamSettings{Kind: settings.KindModel, Model: "m", ColdLimit: 1, WarmLimit: 1},
	}
	self := core.Host{ID: "self", Incarnation: "1", Role: core.RoleAgent, Upstream: "u", FailureDomain: "d", Region: "r"}
	s.gate = upstream.NewGate(admission.Config{ColdLimit: 1, WarmLimit: 1}, time.Now)
	monitor := upstream.NewMonitor(s.engine, s.gate, time.Second, entry)
	monitor.Poll(context.Background())
	cfg := config.Agent{Transfer: transferDefaults()}
	cfg.Transfer.RetryBase, cfg.Transfer.RetryCap = 2, 4
	counters := &Counters{}
	hosts := func() []core.Host { return s.hosts }
	nonce := 0
	s.rollout = NewRollout(RolloutDependencies{
		Self: self, Config: config.Activation{LeaseTTL: time.Hour, OrderTimeout: time.Minute},
		Settings: s.settings, Chunks: s.chunks, Counters: counters, Hosts: hosts,
		Fetcher: NewFetcher(FetcherDependencies{
			Self: self, Config: transfer.Config{Transfer: *cfg.Transfer, Strategy: transfer.StrategySwarm},
			Source: s.source, Chunks: s.chunks, Hosts: hosts, Peers: NewPeerClient(self, s.chunks),
			Limits: NewLimits(cfg, func() bool { return false }), Counters: counters,
			Random: rand.New(rand.NewPCG(1, 1)), Now: time.Now, Log: entry,
		}),
		Permits: NewPermits(s.store, self, time.Hour, func() string { nonce++; return string(rune('a' + nonce)) }, func() time.Time { return s.now }),
		Peers:   NewPeerClient(self, s.chunks), Engine: s.engine, Gate: s.gate, Monitor: monitor, StepInterval: time.Second,
		Random: rand.New(rand.NewPCG(2, 2)), Now: func() time.Time { return s.now }, Log: entry,
	})
	return s
}

func (s *agentFixture) publish(version string, body []byte) core.Digest {
	m, _ := core.BuildManifest("m", version, body, 4)
	canonical, _ := m.Canonical()
	s.source.manifests[version], s.source.bodies[version] = canonical, body
	digest := core.DigestOf(canonical)
	s.bodies[digest] = body
	return digest
}

func (s *agentFixture) applySpec() {
	s.version++
	body, _ := json.Marshal(s.spec)
	_, _ = s.settings.Merge([]settings.Document{{Path: settings.UpstreamPath("u"), Version: s.version, Body: body}})
}

// TestEngineNeverCompletesAWrongOrWithdrawnVersion guards against mixed, partial or withdrawn weights in an engine
// when targets change, loads are interrupted, the platform fails and versions are withdrawn before or during a load.
func TestEngineNeverCompletesAWrongOrWithdrawnVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newAgentFixture()
		names := []string{"v1", "v2", "v3"}
		digests := map[string]core.Digest{}
		for _, name := range names {
			digests[name] = s.publish(name, rapid.SliceOfN(rapid.Byte(), 5, 20).Draw(t, "body"))
		}
		completed := core.Digest("")
		name := func(t *rapid.T) string { return rapid.SampledFrom(names).Draw(t, "version") }
		withdraw := func(t *rapid.T) { s.spec.Withdrawn = append(s.spec.Withdrawn, digests[name(t)]); s.applySpec() }
		t.Repeat(map[string]func(*rapid.T){
			"target": func(t *rapid.T) {
				v := name(t)
				s.spec.Target = &settings.VersionRef{Version: v, Digest: digests[v]}
				s.applySpec()
			},
			"withdraw": withdraw,
			"platform": func(*rapid.T) { s.store.down = !s.store.down },
			"restart": func(*rapid.T) {
				s.engine.status.Complete, s.engine.status.Digest, s.engine.content, completed = false, "", nil, ""
				s.rollout.deps.Monitor.Poll(context.Background())
			},
			"step": func(t *rapid.T) {
				s.engine.interrupt = rapid.Bool().Draw(t, "break off")
				withdrawDuringLoad := rapid.IntRange(0, 3).Draw(t, "withdraw during load") == 0
				s.engine.duringLoad = func() {
					if withdrawDuringLoad {
						withdraw(t)
					}
				}
				loads, down := s.engine.loadCount, s.store.down
				before, withdrawn := s.engine.status, slices.Clone(s.spec.Withdrawn)
				s.now = s.now.Add(time.Second)
				_ = s.rollout.step(context.Background())
				if down && before.Digest != "" {
					require.Equal(t, loads, s.engine.loadCount, "load without a permit while the platform is down")
				}
				if s.engine.loadCount > loads {
					require.NotContains(t, withdrawn, s.engine.status.Digest, "load order for a withdrawn version")
				}
				if s.engine.status.Complete && s.engine.loadCount > loads {
					completed = s.engine.status.Digest
					require.NotContains(t, s.spec.Withdrawn, completed, "activated a withdrawn version")
				}
			},
			"": func(t *rapid.T) {
				snapshot := s.gate.Snapshot()
				if snapshot.Complete {
					require.Equal(t, s.bodies[snapshot.Digest], s.engine.content, "content of the version served")
				}
			},
		})
	})
}

// TestChangedManifestContentIsNotLoaded guards against loading chunks that match the manifest one by one but not its
// content digest.
func TestChangedManifestContentIsNotLoaded(t *testing.T) {
	s := newAgentFixture()
	m, err := core.BuildManifest("m", "v1", []byte("contents"), 4)
	require.NoError(t, err)
	m.Content = core.DigestOf([]byte("other"))
	canonical, err := m.Canonical()
	require.NoError(t, err)
	s.source.manifests["v1"], s.source.bodies["v1"] = canonical, []byte("contents")
	s.spec.Target = &settings.VersionRef{Version: "v1", Digest: core.DigestOf(canonical)}
	s.applySpec()
	require.ErrorContains(t, s.rollout.step(t.Context()), "has content")
	require.Zero(t, s.engine.loadCount)
}

// TestSecondHolderWaitsForServingHosts guards against a second concurrent load while too few other hosts serve.
func TestSecondHolderWaitsForServingHosts(t *testing.T) {
	s := newAgentFixture()
	s.engine.status.Digest = "old"
	s.rollout.deps.Monitor.Poll(t.Context())
	for _, id := range []core.HostID{"dead", "other"} {
		s.hosts = append(s.hosts, core.Host{
			ID: id, Role: core.RoleAgent, Upstream: "u", FailureDomain: "d", Region: "r", ControlAddr: "127.0.0.1:1",
		})
	}
	other := s.hosts[1]
	other.Incarnation = "2"
	permits := NewPermits(s.store, other, time.Hour, func() string { return "other" }, time.Now)
	heldLease, ok, err := permits.Acquire(t.Context(), "d", 1)
	require.NoError(t, err)
	require.True(t, ok)
	digest := s.publish("v1", []byte("contents"))
	s.spec.MinWarm = 1
	s.spec.Target = &settings.VersionRef{Version: "v1", Digest: digest}
	s.applySpec()
	s.now = s.now.Add(time.Second)
	s.rollout.deps.Fetcher.deps.Config.Strategy = transfer.StrategyDirect
	require.NoError(t, s.rollout.step(t.Context()))
	require.Zero(t, s.engine.loadCount)
	require.NoError(t, permits.Release(t.Context(), heldLease))
	s.now = s.now.Add(time.Second)
	require.NoError(t, s.rollout.step(t.Context()))
	require.Equal(t, 1, s.engine.loadCount)
}
