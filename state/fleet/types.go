// Package fleet holds the state of the fleet that a process reads from the platform's store: the configuration in force, the
// replicas of each upstream, the failure domains out of service and the wanted model versions.
package fleet

import (
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// Kind determines whether the requests of a route may run more than once and whether their responses are streams.
type Kind string

// Kinds of requests.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = "unsafe"
	// KindStreaming requests have a stream of server-sent events as response.
	KindStreaming Kind = "streaming"
)

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version   int64
	Routes    []Route
	Upstreams map[core.Upstream]UpstreamSpec
	Teams     []Team
	// KeysOptional is true if the operators state no list of teams, so that requests need no API key. An empty list is not the same: its
	// last key has been taken away, and no request has a valid one.
	KeysOptional bool
	Limits       Limits
}

// RankedUpstreams returns the upstreams whose routes have different priorities, each with the priorities of its routes and of the teams
// in ascending order.
func (c *Configuration) RankedUpstreams() map[core.Upstream][]int {
	ranked := make(map[core.Upstream][]int)
	for i := range c.Routes {
		for _, target := range c.Routes[i].Targets {
			ranked[target.Upstream] = append(ranked[target.Upstream], c.Routes[i].Priority)
		}
	}
	for upstream, priorities := range ranked {
		slices.Sort(priorities)
		if priorities = slices.Compact(priorities); len(priorities) == 1 {
			delete(ranked, upstream)
			continue
		}
		for i := range c.Teams {
			if c.Teams[i].HasPriority {
				priorities = append(priorities, c.Teams[i].Priority)
			}
		}
		slices.Sort(priorities)
		ranked[upstream] = slices.Compact(priorities)
	}
	return ranked
}

// Route defines the targets and the handling of requests for a host name and path prefix.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	Targets    []Target
	// Attempts is the maximum number of times that one request is sent to a replica.
	Attempts int
	// Timeout bounds the time from the arrival of a request to its deadline; 0 means that the entry's default applies.
	Timeout time.Duration
	// Objective is the latency objective: the time to the response or to the first event of a stream.
	Objective time.Duration
	// GapObjective is the latency objective for the gap between two events of a stream.
	GapObjective time.Duration
	// Priority ranks the route's requests; 0 is the highest.
	Priority int
	// Anonymous is true if requests need no API key.
	Anonymous bool
	// Resumable is true if another replica may continue an interrupted stream.
	Resumable bool
	// HomeRegions lists the regions that may serve the route; empty means all.
	HomeRegions []core.Region
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStreaming && r.Resumable
}

// Target is an upstream of a route with its share of the requests.
type Target struct {
	Upstream core.Upstream
	Weight   float64
}

// Team is a team with the API keys that its callers present.
type Team struct {
	Name core.Team
	Keys []string
	// Priority overrides the priority of routes if HasPriority is set.
	Priority    int
	HasPriority bool
	// HomeRegions lists the regions that may serve the team; empty means all.
	HomeRegions []core.Region
}

// UpstreamSpec describes a group of replicas, or the origin of weights.
type UpstreamSpec struct {
	Name       core.Upstream
	HealthPath string
	// ConnectionLimit bounds the connections of all callers to one replica.
	ConnectionLimit int
	// ColdStart is how long a replica counts as cold after its start.
	ColdStart time.Duration
	// ColdPerSecond is the rate of requests that a cold replica can handle.
	ColdPerSecond float64
	// Engine is set only if the replicas are model engines.
	Engine *EngineSpec
	// Origin is set only for the origin of weights.
	Origin *OriginSpec
}

// EngineSpec describes the model engines of an upstream.
type EngineSpec struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots      int
	Layers     int
	Chunks     int
	ChunkBytes int
	Models     []core.Model
	// Performance holds the figures that the engines publish, nil if they publish none.
	Performance *EnginePerformance
}

// EnginePerformance holds the published figures of the engines of an upstream, for usual conditions. Times scale with the pace that an
// engine reports. A figure that is not published is 0.
type EnginePerformance struct {
	// Step is the time of a pass that generates one token for each running request. Each running request adds PerSequence, and each
	// 1,000 tokens of its context add ContextPerK.
	Step        time.Duration
	PerSequence time.Duration
	ContextPerK time.Duration
	// ReadTokensPerSecond is the rate at which prompt tokens are read, PairsPerMillion the additional time for a million pairs of a
	// token and an earlier one.
	ReadTokensPerSecond float64
	PairsPerMillion     time.Duration
	// MaxReadTokens bounds the prompt tokens that are read within one step.
	MaxReadTokens int
	// Stride is the number of steps in a pass while requests are generating.
	Stride int
	// CacheTokens is the number of tokens of all requests that an engine holds at most.
	CacheTokens int
	// UsualPromptTokens and UsualOutputTokens are the mean lengths of requests.
	UsualPromptTokens int
	UsualOutputTokens int
	// ReportLag is the age of the figures in an engine's report.
	ReportLag time.Duration
}

// OriginSpec describes the origin of weights.
type OriginSpec struct {
	Address       string
	FailureDomain core.FailureDomain
	// BytesPerSecond is the bandwidth of the origin's link, 0 if unknown.
	BytesPerSecond float64
	// ConnectionLimit is the number of connections that the origin accepts at a time, 0 if unknown.
	ConnectionLimit int
}

// Limits bounds the size of callers' requests and the time to send them.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// ReplicaID identifies a replica in the store.
type ReplicaID string

// Replica is one back end of an upstream, as registered in the store.
type Replica struct {
	ID            ReplicaID
	Upstream      core.Upstream
	Address       string
	FailureDomain core.FailureDomain
	Slots         int
	Draining      bool
	// ColdRemaining is the time for which the replica was still cold when it registered.
	ColdRemaining time.Duration
	// Born is the start time in Unix milliseconds; it distinguishes successive runs under the same ID.
	Born   int64
	Models []LoadedModel
}

// AllLayers is the Layers value for a replica that reports a model without a layer count, because it always holds all layers.
const AllLayers = -1

// LoadedModel is a model version that a replica has loaded.
type LoadedModel struct {
	Model   core.Model
	Version int64
	// Layers is the number of layers loaded, or AllLayers.
	Layers int
}

// Loaded returns the version of a model of which the replica has loaded all layers.
func (r *Replica) Loaded(model core.Model, layers int) (version int64, ok bool) {
	return LoadedVersion(r.Models, model, layers)
}

// LoadedVersion returns the version of a model of which all layers are loaded. If the number of layers is not known, a count of loaded ones
// never shows that.
func LoadedVersion(models []LoadedModel, model core.Model, layers int) (version int64, ok bool) {
	for _, loaded := range models {
		if loaded.Model == model && (loaded.Layers == AllLayers || layers > 0 && loaded.Layers >= layers) {
			return loaded.Version, true
		}
	}
	return 0, false
}

// WeightTarget is the version of a model that every replica should serve.
type WeightTarget struct {
	Model   core.Model
	Version int64
}

// Evacuation takes a failure domain out of service: its replicas get no new requests.
type Evacuation struct {
	FailureDomain core.FailureDomain
}
