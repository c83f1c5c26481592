// Package rollout measures how one model version reaches many hosts over narrow links.
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
	// OriginLinkCopies and HostCopies are the copies that the links carry within the target time.
	OriginLinkCopies = 4
	HostLinkCopies   = 2
	// DefaultMaxProcesses is the largest number of agents that run as processes of their own unless a run says otherwise.
	DefaultMaxProcesses = 40

	model        = core.Model("guava")
	upstream     = core.Upstream("guava-llm")
	version      = "v1"
	originRegion = core.Region("centro")
	// Names of the product's metrics that the report uses.
	metricCrossRegion = "weights_peer_bytes_cross_region"
	metricPolls       = "weights_polls"
	metricBusy        = "weights_busy_responses"
	metricFailed      = "weights_failed_fetches"

	chunksWanted = 64
	minChunk     = 64 << 10
	maxChunk     = 4 << 20
)

var metrics = []string{metricCrossRegion, metricPolls, metricBusy, metricFailed}

var domains = []struct {
	name   core.FailureDomain
	region core.Region
}{{"centro-a", "centro"}, {"norte-a", "norte"}, {"sur-a", "sur"}}

// Config sets up a run.
type Config struct {
	Binary     string
	Agents     int
	ModelBytes int64
	Strategy   string
	Seed       uint64
	// TargetTime is the target time T; the links' rates follow from it.
	TargetTime time.Duration
	// RegionDelay is the one-way delay between regions.
	RegionDelay time.Duration
	// CorruptResponses is the number of responses of the origin that are corrupted.
	CorruptResponses int64
	// KilledAgents is the number of agents that are killed and replaced once the origin has sent half a copy.
	KilledAgents int
	// OriginOutage is the time for which the origin is away from then on.
	OriginOutage time.Duration
	// MaxProcesses is the largest number of agents that run as processes of their own; more run inside gtbench.
	MaxProcesses int
	// Timeout ends a run that does not complete.
	Timeout time.Duration
}

// Report is what a run measured.
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
	// CrossRegionCopies is nil when neither relays nor the product's metrics tell it.
	CrossRegionCopies *float64 `json:"cross_region_copies"`
	// SecondsToHalf, SecondsToAll and RatioToBound are nil when the rollout did not get so far.
	SecondsToHalf    *float64 `json:"seconds_to_half"`
	SecondsToAll     *float64 `json:"seconds_to_all"`
	BoundSeconds     float64  `json:"bound_seconds"`
	RatioToBound     *float64 `json:"ratio_to_bound"`
	CorruptRejected  int64    `json:"corrupt_rejected"`
	MixedActivations int      `json:"mixed_activations"`
	AgentsComplete   int      `json:"agents_complete"`
	AgentsReplaced   int      `json:"agents_replaced"`
	OutageSeconds    float64  `json:"outage_seconds"`
	// Polls, BusyResponses and FailedFetches are the product's metrics, summed over agents.
	Polls         int64 `json:"polls"`
	BusyResponses int64 `json:"busy_responses"`
	FailedFetches int64 `json:"failed_fetches"`
}

// run is one rollout.
type run struct {
	cfg     Config
	cluster *cluster.Cluster
	links   *links
	entry   *cluster.Process
	agents  []*cluster.Process
	body    []byte
	digest  core.Digest

	// mu guards agents once faults replace them.
	mu     sync.Mutex
	killed []*cluster.Process
}

// Run rolls one version out and measures it. The report is valid for an incomplete rollout too.
func Run(ctx context.Context, cfg Config) (Report, error) {
	c, err := cluster.New(cfg.Binary)
	if err != nil {
		return Report{}, err
	}
	defer c.Close()
	c.InProcess = cfg.Agents > cfg.MaxProcesses
	r := &run{cfg: cfg, cluster: c, links: newLinks(cfg.hostRate(), cfg.RegionDelay)}
	c.OnClose(r.links.close)
	c.HostList.SetView(r.links.view)
	if err := r.start(ctx); err != nil {
		return Report{}, err
	}
	return r.measure(ctx)
}

func (c Config) originRate() float64 {
	return OriginLinkCopies * float64(c.ModelBytes) / c.TargetTime.Seconds()
}

func (c Config) hostRate() float64 {
	return HostLinkCopies * float64(c.ModelBytes) / c.TargetTime.Seconds()
}

// bound returns the time of one copy over the slower of the origin's and a host's link.
func (c Config) bound() float64 {
	return max(float64(c.ModelBytes)/c.originRate(), float64(c.ModelBytes)/c.hostRate())
}

func (c Config) chunkBytes() int64 { return min(max(c.ModelBytes/chunksWanted, minChunk), maxChunk) }

func (r *run) start(ctx context.Context) error {
	entry, err := r.cluster.StartEntry(ctx, "entry-1", domains[0].name, inRegion(domains[0].region))
	if err != nil {
		return err
	}
	r.entry = entry
	r.body = randomBytes(r.cfg.ModelBytes, r.cfg.Seed)
	if r.digest, err = r.cluster.Origin.Add(model, version, r.body, r.cfg.chunkBytes()); err != nil {
		return err
	}
	r.agents = make([]*cluster.Process, r.cfg.Agents)
	return cluster.ForEachParallel(r.cfg.Agents, func(i int) error { return r.startAgent(ctx, i, fmt.Sprintf("agent-%d", i)) })
}

// startAgent starts an agent at place i of the fleet.
func (r *run) startAgent(ctx context.Context, i int, name string) error {
	place := domains[i%len(domains)]
	id := core.HostID(name)
	source, err := r.links.origin(id, place.region, originRegion, r.cluster.Platform().WeightSource)
	if err != nil {
		return err
	}
	agent, err := r.cluster.StartAgent(ctx, id, place.name, upstream, engine.Config{}, inRegion(place.region), func(cfg *config.Config) {
		cfg.Seed = r.cfg.Seed + uint64(i) + 1
		cfg.Platform.WeightSource = source
		cfg.Agent.Strategy = r.cfg.Strategy
		cfg.Agent.HostBytesPerSecond = int64(r.cfg.hostRate())
		cfg.Agent.OriginRegion = originRegion
		cfg.Agent.ChunkMemoryBytes = max(cfg.Agent.ChunkMemoryBytes, 2*r.cfg.ModelBytes)
	})
	if err != nil {
		return err
	}
	r.links.add(agent)
	agent.Engine.ExpectContent(r.digest, core.DigestOf(r.body))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.agents[i] = agent
	return nil
}

func inRegion(region core.Region) cluster.Option {
	return func(cfg *config.Config) { cfg.Region = region }
}

// measure publishes the version and waits until every engine holds it.
func (r *run) measure(ctx context.Context) (Report, error) {
	r.cluster.Origin.SetRate(r.cfg.originRate())
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
	var half, all *float64
	err := cluster.WaitFor(ctx, func() bool {
		n := r.complete()
		elapsed := time.Since(start).Seconds()
		if half == nil && 2*n >= len(r.agents) {
			half = &elapsed
		}
		if n == len(r.agents) {
			all = &elapsed
		}
		return all != nil
	})
	err = errors.Join(err, stopFaults())
	report := r.report(context.WithoutCancel(ctx), half, all)
	return report, eris.Wrapf(err, "%d of %d agents hold the version after %s", report.AgentsComplete, r.cfg.Agents, r.cfg.Timeout)
}

func (r *run) complete() int {
	n := 0
	for _, agent := range r.running() {
		if status := agent.Engine.Status(); status.Complete && status.Digest == r.digest {
			n++
		}
	}
	return n
}

func (r *run) report(ctx context.Context, half, all *float64) Report {
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
		SecondsToHalf:  half,
		SecondsToAll:   all,
		BoundSeconds:   r.cfg.bound(),
		AgentsComplete: r.complete(),
		AgentsReplaced: len(r.killed),
		OutageSeconds:  r.cfg.OriginOutage.Seconds(),
	}
	if r.cluster.InProcess {
		out.AgentMode = "in process"
	}
	out.LinkLimits = r.linksUsed()
	sums := r.metricSums(ctx)
	out.CrossRegionCopies = r.crossRegionCopies(sums)
	out.Polls, out.BusyResponses, out.FailedFetches = sums[metricPolls], sums[metricBusy], sums[metricFailed]
	out.OriginCopies = float64(out.OriginBytes) / float64(r.cfg.ModelBytes)
	if all != nil {
		ratio := *all / out.BoundSeconds
		out.RatioToBound = &ratio
	}
	for _, agent := range append(r.running(), r.killed...) {
		out.MixedActivations += agent.Engine.Counts().Mixed
	}
	out.CorruptRejected = max(0, r.cluster.Origin.CorruptedResponses()-int64(out.MixedActivations))
	return out
}

// linksUsed says what limited the bytes between hosts.
func (r *run) linksUsed() string {
	switch {
	case r.links.peerBytes.Load() == 0 && r.cfg.Strategy == "swarm":
		return "relays to the origin, product's own limits between hosts"
	case r.cluster.InProcess:
		return "relays, between hosts on the sending side"
	default:
		return "relays"
	}
}

// metricSums adds up the product's metrics over agents; it is empty when no agent answers.
func (r *run) metricSums(ctx context.Context) map[string]int64 {
	agents := r.running()
	if r.cluster.InProcess {
		// Metrics are shared by all agents inside this process.
		agents = agents[:1]
	}
	sums := make(map[string]int64)
	for _, agent := range agents {
		vars, err := agent.ReadMetrics(ctx)
		if err != nil {
			continue
		}
		for _, name := range metrics {
			var n int64
			if json.Unmarshal(vars[name], &n) == nil {
				sums[name] += n
			}
		}
	}
	return sums
}

// crossRegionCopies adds what relays to the origin counted and the larger of what relays between hosts and the
// product's metrics counted.
func (r *run) crossRegionCopies(sums map[string]int64) *float64 {
	reported, known := sums[metricCrossRegion]
	if !known && r.links.peerBytes.Load() == 0 && r.cfg.Strategy != "direct" {
		return nil
	}
	bytes := r.links.originCross.Load() + max(r.links.peerCross.Load(), reported)
	copies := float64(bytes) / float64(r.cfg.ModelBytes)
	return &copies
}

func randomBytes(n int64, seed uint64) []byte {
	body := make([]byte, n)
	var key [32]byte
	key[0], key[1] = byte(seed), byte(seed>>8)
	_, _ = rand.NewChaCha8(key).Read(body)
	return body
}
