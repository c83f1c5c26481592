package settings

import (
	"slices"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// TeamSettings is the body of /teams/<team>.
type TeamSettings struct {
	// TokenHashes are BLAKE3-256 hashes of the team's bearer tokens.
	TokenHashes []core.Digest `json:"token_hashes" validate:"min=1,dive,len=64,hexadecimal"`
	// AdminTokenHashes are BLAKE3-256 hashes of the bearer tokens of the team's administrators, who may edit this document.
	AdminTokenHashes []core.Digest `json:"admin_token_hashes,omitempty" validate:"dive,len=64,hexadecimal"`
	Limits           TeamLimits    `json:"limits"`
	// Weight is the team's relative share in weighted fair queueing; a higher weight gets more requests through.
	Weight   int               `json:"weight" validate:"min=1,max=1000"`
	Models   []ModelSettings   `json:"models" validate:"dive"`
	Services []ServiceSettings `json:"services" validate:"dive"`
	// FailureDomains lists the failure domains that may serve the team; without the list all may. An empty list is rejected, since the removal
	// of its last entry would otherwise allow all.
	FailureDomains []core.FailureDomain `json:"failure_domains,omitempty" validate:"omitempty,min=1,dive,required"`
}

// hashes returns the hashes of all tokens of the team.
func (t TeamSettings) hashes() []core.Digest {
	return slices.Concat(t.TokenHashes, t.AdminTokenHashes)
}

// TeamLimits bounds the requests of a team at each entry.
type TeamLimits struct {
	RequestsPerSecond float64 `json:"requests_per_second" validate:"gt=0"`
	Burst             int     `json:"burst" validate:"min=1"`
	QueueLength       int     `json:"queue_length" validate:"min=0,max=100000"`
}

// ModelSettings allows a team to use a model that an upstream serves.
type ModelSettings struct {
	Name     core.Model    `json:"name" validate:"required"`
	Upstream core.Upstream `json:"upstream" validate:"required"`
	// VersionDigest pins a version; empty means the upstream's target version, or any complete version.
	VersionDigest core.Digest `json:"version_digest,omitempty" validate:"omitempty,len=64,hexadecimal"`
}

// ServiceSettings allows a team to call a service that is not a model.
type ServiceSettings struct {
	Upstream core.Upstream `json:"upstream" validate:"required"`
	// Repeatable is true if requests to the service are idempotent and may be retried.
	Repeatable bool `json:"repeatable"`
}

// FailureDomainState determines whether a failure domain accepts new requests.
type FailureDomainState string

// Failure domain states.
const (
	FailureDomainIn  FailureDomainState = "in"
	FailureDomainOut FailureDomainState = "out"
)

// FailureDomainSettings is the body of /failure-domains/<name>.
type FailureDomainSettings struct {
	Region core.Region        `json:"region" validate:"required"`
	State  FailureDomainState `json:"state" validate:"oneof=in out"`
}

// UpstreamKind is the kind of back end behind an upstream.
type UpstreamKind string

// Upstream kinds.
const (
	KindModel   UpstreamKind = "model"
	KindService UpstreamKind = "service"
)

// UpstreamSettings is the body of /upstreams/<name>.
type UpstreamSettings struct {
	Kind UpstreamKind `json:"kind" validate:"oneof=model service"`
	// Model, Target and Withdrawn apply to the kind "model".
	Model     core.Model    `json:"model,omitempty" validate:"required_if=Kind model"`
	Target    *VersionRef   `json:"target,omitempty"`
	Withdrawn []core.Digest `json:"withdrawn,omitempty" validate:"dive,len=64,hexadecimal"`
	// ColdLimit is the maximum number of requests in flight on a cold back end.
	ColdLimit int `json:"cold_limit" validate:"min=1"`
	// WarmLimit is the maximum number of requests in flight on a warm back end.
	WarmLimit int `json:"warm_limit" validate:"min=1,gtefield=ColdLimit"`
	// WarmupCompletions is the number of completed requests after which a cold back end counts as warm.
	WarmupCompletions int `json:"warmup_completions" validate:"min=0"`
	// MinWarm is the minimum number of back ends per failure domain that stay warm during a rollout. A higher value makes a
	// rollout slower, because fewer back ends load the new version at a time.
	MinWarm int `json:"min_warm" validate:"min=0"`
	// ChecksFencing is true if the engine rejects orders with an outdated fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// VersionRef names one immutable model version.
type VersionRef struct {
	Version string      `json:"version" validate:"required"`
	Digest  core.Digest `json:"digest" validate:"len=64,hexadecimal"`
	// Size is the size of the weights in bytes, shown in rollout status; 0 means not stated.
	Size int64 `json:"size,omitempty" validate:"min=0"`
}
