// Package rollout measures the distribution of a model version to many hosts over links of limited bandwidth.
package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/bench/cluster"
	"github.com/guavatrestle/guavatrestle/bench/standin/engine"
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

const (
	// OriginLinkCopies and HostLinkCopies are the numbers of copies of the model that the origin's link and each
	// direction of a host's link can carry within the target time.
	OriginLinkCopies = 4
	HostLinkCopies   = 2
	// DefaultMaxProcesses is the default of Config.MaxProcesses.
	DefaultMaxProcesses = 40

	model        = core.Model("guava")
	upstream     = core.Upstream("guava-llm")
	version      = "v1"
	originRegion = core.Region("centro")
	// Names of the product's metrics that the report uses.
	metricCrossRegion   = "weights_peer_bytes_cross_region"
	metricPolls         = "weights_polls"
	metricBusy          = "weights_busy_responses"
	metricFailedFetches = "weights_failed_fetches"

	targetChunks  = 64
	minChunkBytes = 64 << 10
	maxChunkBytes = 4 << 20
)

var reportedMetrics = []string{metricCrossRegion, metricPolls, metricBusy, metricFailedFetches}

var domains = []struct {
	name   core.FailureDomain
	region core.Region
}{{"centro-a", "centro"}, {"norte-a", "norte"}, {"sur-a", "sur"}}

// Config configures a run.
type Config struct {
	Binary     string
	Agents     int
	ModelBytes int64
	Strategy   string
	Seed       uint64
	// TargetTime is the time within which the links can carry OriginLinkCopies and HostLinkCopies; a longer time makes
	// the links slower.
	TargetTime time.Duration
	// RegionDelay is the one-way delay between regions.
	RegionDelay time.Duration
	// CorruptResponses is the number of responses of the origin that are corrupted.
	CorruptResponses int64
	// KilledAgents is the number of agents that are killed and replaced once the origin has sent half a copy.
	KilledAgents int
	// OriginOutage is the time for which the origin is down, from the same moment.
	OriginOutage time.Duration
	// MaxProcesses is the largest number of agents that run as separate processes. With more agents, all run in the
	// process of the experiment.
	MaxProcesses int
	// Timeout is the time after which a run ends although agents are incomplete.
	Timeout time.Duration
}

// Report holds the results of a run.
type Report struct {
	Strategy      string  `json:"strategy"`
	Agents        int     `json:"agents"`
	AgentMode     string  `json:"agents_run"`
	LinkLimits    string  `json:"links"`
	Seed          uint64  `json:"seed"`
	TargetSeconds float64 `json:"target_seconds"`
	ModelBytes    int64   `json:"model_bytes"`
	ChunkBytes    int64   `json:"chunk_bytes"`
	OriginBytes   int64   `json:"origin_bytes"`
	OriginCopies  float64 `json:"origin_copies"`
	// CrossRegionCopies is nil when neither the relays nor the product's metrics provide the value.
	CrossRegionCopies *float64 `json:"cross_region_copies"`
	// SecondsToHalf is the time until half of the agents were complete, and SecondsToAll until all were. RatioToBound
	// is SecondsToAll over BoundSeconds. A value is nil if the rollout did not get that far.
	SecondsToHalf    *float64 `json:"seconds_to_half"`
	SecondsToAll     *float64 `json:"seconds_to_all"`
	BoundSeconds     float64  `json:"bound_seconds"`
	RatioToBound     *float64 `json:"ratio_to_bound"`
	CorruptRejected  int64    `json:"corrupt_rejected"`
	MixedActivations int      `json:"mixed_activations"`
	AgentsComplete   int      `json:"agents_complete"`
	AgentsReplaced   int      `json:"agents_replaced"`
	OutageSeconds    float64  `json:"outage_seconds"`
	// Polls, BusyResponses and FailedFetches are sums of the product's metrics over the running agents.
	Polls         int64 `json:"polls"`
	BusyResponses int64 `json:"busy_responses"`
	FailedFetches int64 `json:"failed_fetches"`
}

// run is the state of one rollout.
type run struct {
	cfg     Config
	cluster *cluster.Cluster
	links   *links
	entry   *cluster.Process
	agents  []*cluster.Process
	weights []byte
	digest  core.Digest

	// mu guards killed, and agents once faults replace them.
	mu     sync.Mutex
	killed []*cluster.Process
}

// Run rolls out one version and measures it. Unless the setup fails, the report is valid for an incomplete rollout too.
func Run(ctx context.Context, cfg Config) (Report, error) {
	c, err := cluster.New(cfg.Binary)
	if err != nil {
		return Report{}, err
	}
	defer c.Close()
	c.InProcess = cfg.Agents > cfg.MaxProcesses
	r := &run{cfg: cfg, cluster: c, links: newLinks(cfg.hostBytesPerSecond(), cfg.RegionDelay)}
	c.OnClose(r.links.close)
	c.HostList.SetView(r.links.relayedHosts)
	if err := r.start(ctx); err != nil {
		return Report{}, err
	}
	return r.measure(ctx)
}

func (c Config) originBytesPerSecond() float64 {
	return OriginLinkCopies * float64(c.ModelBytes) / c.TargetTime.Seconds()
}

func (c Config) hostBytesPerSecond() float64 {
	return HostLinkCopies * float64(c.ModelBytes) / c.TargetTime.Seconds()
}

// minSeconds returns the time that one copy takes over the slower of the origin's link and a host's link, which is the
// lower bound of a rollout.
func (c Config) minSeconds() float64 {
	return max(float64(c.ModelBytes)/c.originBytesPerSecond(), float64(c.ModelBytes)/c.hostBytesPerSecond())
}

func (c Config) chunkBytes() int64 {
	return min(max(c.ModelBytes/targetChunks, minChunkBytes), maxChunkBytes)
}

func (r *run) start(ctx context.Context) error {
	entry, err := r.cluster.StartEntry(ctx, "entry-1", domains[0].name, inRegion(domains[0].region))
	if err != nil {
		return err
	}
	r.entry = entry
	r.weights = randomBytes(r.cfg.ModelBytes, r.cfg.Seed)
	if r.digest, err = r.cluster.Origin.Add(model, version, r.weights, r.cfg.chunkBytes()); err != nil {
		return err
	}
	r.agents = make([]*cluster.Process, r.cfg.Agents)
	return cluster.ForEachParallel(r.cfg.Agents, func(i int) error { return r.startAgent(ctx, i, fmt.Sprintf("agent-%d", i)) })
}

// startAgent starts agent number i, or its replacement, under a host ID.
func (r *run) startAgent(ctx context.Context, i int, name string) error {
	location := domains[i%len(domains)]
	id := core.HostID(name)
	source, err := r.links.originURL(id, location.region, originRegion, r.cluster.Platform().WeightSource)
	if err != nil {
		return err
	}
	agent, err := r.cluster.StartAgent(ctx, id, location.name, upstream, engine.Config{}, inRegion(location.region), func(cfg *config.Config) {
		cfg.Seed = r.cfg.Seed + uint64(i) + 1
		cfg.Platform.WeightSource = source
		cfg.Agent.Strategy = r.cfg.Strategy
		cfg.Agent.HostBytesPerSecond = int64(r.cfg.hostBytesPerSecond())
		cfg.Agent.OriginRegion = originRegion
		cfg.Agent.ChunkMemoryBytes = max(cfg.Agent.ChunkMemoryBytes, 2*r.cfg.ModelBytes)
	})
	if err != nil {
		return err
	}
	r.links.register(agent)
	agent.Engine.ExpectContent(r.digest, core.DigestOf(r.weights))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.agents[i] = agent
	return nil
}

func inRegion(region core.Region) cluster.Option {
	return func(cfg *config.Config) { cfg.Region = region }
}

// measure publishes the version and waits until every engine has loaded it.
func (r *run) measure(ctx context.Context) (Report, error) {
	r.cluster.Origin.SetRate(r.cfg.originBytesPerSecond())
	r.cluster.Origin.CorruptNext(r.cfg.CorruptResponses)
	spec := settings.UpstreamSettings{
		Kind: settings.KindModel, Model: model, Target: &settings.VersionRef{Version: version, Digest: r.digest},
		ColdLimit: 2, WarmLimit: 8, WarmupCompletions: 4,
	}
	stopFaults := r.startFaults(ctx)
	defer func() { _ = stopFaults() }()
	start := time.Now()
	if _, err := cluster.ApplyDocument(ctx, r.entry, settings.UpstreamPath(upstream), 0, spec); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timeout)
	defer cancel()
	var secondsToHalf, secondsToAll *float64
	err := cluster.WaitFor(ctx, func() bool {
		n := r.countComplete()
		elapsed := time.Since(start).Seconds()
		if secondsToHalf == nil && 2*n >= len(r.agents) {
			secondsToHalf = &elapsed
		}
		if n == len(r.agents) {
			secondsToAll = &elapsed
		}
		return secondsToAll != nil
	})
	err = errors.Join(err, stopFaults())
	report := r.report(context.WithoutCancel(ctx), secondsToHalf, secondsToAll)
	return report, eris.Wrapf(err, "%d of %d agents have the version after %s", report.AgentsComplete, r.cfg.Agents, r.cfg.Timeout)
}

// countComplete returns the number of running agents whose engine holds the complete version.
func (r *run) countComplete() int {
	n := 0
	for _, agent := range r.runningAgents() {
		if status := agent.Engine.Status(); status.Complete && status.Digest == r.digest {
			n++
		}
	}
	return n
}

func (r *run) report(ctx context.Context, secondsToHalf, secondsToAll *float64) Report {
	out := Report{
		Strategy:       r.cfg.Strategy,
		Agents:         r.cfg.Agents,
		AgentMode:      "processes",
		LinkLimits:     "both sides",
		Seed:           r.cfg.Seed,
		TargetSeconds:  r.cfg.TargetTime.Seconds(),
		ModelBytes:     r.cfg.ModelBytes,
		ChunkBytes:     r.cfg.chunkBytes(),
		OriginBytes:    r.cluster.Origin.BytesSent(),
		SecondsToHalf:  secondsToHalf,
		SecondsToAll:   secondsToAll,
		BoundSeconds:   r.cfg.minSeconds(),
		AgentsComplete: r.countComplete(),
		AgentsReplaced: len(r.killed),
		OutageSeconds:  r.cfg.OriginOutage.Seconds(),
	}
	if r.cluster.InProcess {
		out.AgentMode = "in process"
	}
	out.LinkLimits = r.linkLimits()
	sums := r.metricSums(ctx)
	out.CrossRegionCopies = r.crossRegionCopies(sums)
	out.Polls, out.BusyResponses, out.FailedFetches = sums[metricPolls], sums[metricBusy], sums[metricFailedFetches]
	out.OriginCopies = float64(out.OriginBytes) / float64(r.cfg.ModelBytes)
	if secondsToAll != nil {
		ratio := *secondsToAll / out.BoundSeconds
		out.RatioToBound = &ratio
	}
	for _, agent := range append(r.runningAgents(), r.killed...) {
		out.MixedActivations += agent.Engine.Counts().Mixed
	}
	out.CorruptRejected = max(0, r.cluster.Origin.CorruptedResponses()-int64(out.MixedActivations))
	return out
}

// linkLimits describes what limited the transfers between hosts.
func (r *run) linkLimits() string {
	switch {
	case r.links.peerBytes.Load() == 0 && r.cfg.Strategy == "swarm":
		return "relays to the origin, product's own limits between hosts"
	case r.cluster.InProcess:
		return "relays, between hosts on the sending side"
	default:
		return "relays"
	}
}

// metricSums returns the sums of the product's metrics over the running agents. It is empty if no agent responds.
func (r *run) metricSums(ctx context.Context) map[string]int64 {
	agents := r.runningAgents()
	if r.cluster.InProcess {
		// All agents in this process share one set of metrics.
		agents = agents[:1]
	}
	sums := make(map[string]int64)
	for _, agent := range agents {
		vars, err := agent.ReadMetrics(ctx)
		if err != nil {
			continue
		}
		for _, name := range reportedMetrics {
			var n int64
			if json.Unmarshal(vars[name], &n) == nil {
				sums[name] += n
			}
		}
	}
	return sums
}

// crossRegionCopies returns the number of copies of the model that crossed region borders. It adds the bytes counted by
// the relays to the origin, and the larger of the bytes counted by the relays between hosts and by the product's
// metrics.
func (r *run) crossRegionCopies(sums map[string]int64) *float64 {
	reportedBytes, ok := sums[metricCrossRegion]
	if !ok && r.links.peerBytes.Load() == 0 && r.cfg.Strategy != "direct" {
		return nil
	}
	bytes := r.links.originCrossRegionBytes.Load() + max(r.links.peerCrossRegionBytes.Load(), reportedBytes)
	copies := float64(bytes) / float64(r.cfg.ModelBytes)
	return &copies
}

// randomBytes returns n bytes that depend only on seed.
func randomBytes(n int64, seed uint64) []byte {
	data := make([]byte, n)
	var key [32]byte
	key[0], key[1] = byte(seed), byte(seed>>8)
	_, _ = rand.NewChaCha8(key).Read(data)
	return data
}
