// Package fleet holds what a process knows about the fleet from the platform's store: the configuration in force, the
// replicas of each upstream, the failure domains taken out of service and the model versions wanted.
package fleet

import (
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// Kind says how often a request of a route may run.
type Kind string

// Kinds of requests.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = "unsafe"
	// KindStreaming requests are answered by a stream of events.
	KindStreaming Kind = "streaming"
)

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version   int64
	Routes    []Route
	Upstreams map[core.Upstream]UpstreamSpec
	Teams     []Team
	Limits    Limits
}

// Route says where requests for a host name and path prefix go and how they are treated.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	Targets    []Target
	// Attempts bounds the replicas to which one request is sent.
	Attempts int
	// Timeout bounds the time for which a request waits for its answer.
	Timeout time.Duration
	// Objective is the latency objective: the time to the answer or to the first event of a stream.
	Objective time.Duration
	// GapObjective is the longest pause between two events of a stream.
	GapObjective time.Duration
	// Priority ranks the route's requests; 0 is the highest.
	Priority int
	// Anonymous says that requests need no API key.
	Anonymous bool
	// Resumable says that a broken stream may go on at another replica.
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
	// Priority goes before the priority of routes; HasPriority says that the team has one.
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
	// ColdStart is the time for which a started replica is cold.
	ColdStart time.Duration
	// ColdPerSecond is the number of requests a second that a cold replica bears.
	ColdPerSecond float64
	// Engine is nil unless the replicas are model engines.
	Engine *EngineSpec
	// Origin is nil unless this is the origin of weights.
	Origin *OriginSpec
}

// EngineSpec describes the model engines of an upstream.
type EngineSpec struct {
	// Slots is the number of requests that an engine works on at once.
	Slots      int
	Layers     int
	Chunks     int
	ChunkBytes int
	Models     []core.Model
}

// OriginSpec describes the origin of weights.
type OriginSpec struct {
	Address       string
	FailureDomain core.FailureDomain
}

// Limits bounds what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// ReplicaID identifies a replica in the store.
type ReplicaID string

// Replica is one back end of an upstream as it registered itself.
type Replica struct {
	ID            ReplicaID
	Upstream      core.Upstream
	Address       string
	FailureDomain core.FailureDomain
	Slots         int
	Draining      bool
	// ColdRemaining is the time for which the replica was still cold when it registered.
	ColdRemaining time.Duration
	// Born is the replica's start in Unix milliseconds; it tells apart two runs under one ID.
	Born   int64
	Models []LoadedModel
}

// AllLayers says that a replica reported a model without its layers, as engines do that always hold all of them.
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

// LoadedVersion returns the version of a model of which all layers are loaded.
func LoadedVersion(models []LoadedModel, model core.Model, layers int) (version int64, ok bool) {
	for _, loaded := range models {
		if loaded.Model == model && (loaded.Layers == AllLayers || loaded.Layers >= layers) {
			return loaded.Version, true
		}
	}
	return 0, false
}

// WeightTarget names the version of a model that every replica should serve.
type WeightTarget struct {
	Model   core.Model
	Version int64
}

// Evacuation asks that a failure domain gets no new work.
type Evacuation struct {
	FailureDomain core.FailureDomain
}
