package api

import (
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

// Codes of refusals that only the admin API sends.
const (
	CodeRateLimited = "rate_limited"
)

// AdminRefusal is a refusal of the admin API with the details that an operator needs to correct the request.
type AdminRefusal struct {
	Refusal
	// Problems lists every reason why a document is not valid.
	Problems settings.Problems `json:"problems,omitempty"`
	Conflict *Conflict         `json:"conflict,omitempty"`
}

// Conflict compares a rejected edit with the version that was accepted since its base version.
type Conflict struct {
	Path           string `json:"path"`
	BaseVersion    uint64 `json:"base_version"`
	CurrentVersion uint64 `json:"current_version"`
	// CurrentRetired is true if the current version is a tombstone.
	CurrentRetired bool `json:"current_retired,omitempty"`
	// BaseHeld is true if the base version is still in the history. Otherwise BaseToCurrent and BaseToEdit are empty.
	BaseHeld bool `json:"base_held"`
	// BaseToCurrent lists what other edits have changed since the base version.
	BaseToCurrent []settings.Change `json:"base_to_current,omitempty"`
	// BaseToEdit lists what the rejected edit changes in the base version.
	BaseToEdit []settings.Change `json:"base_to_edit,omitempty"`
	// CurrentToEdit lists what the rejected edit would change in the current version.
	CurrentToEdit []settings.Change `json:"current_to_edit,omitempty"`
}

// ApplyResult is the body of the admin API's response to an accepted edit.
type ApplyResult struct {
	settings.Document
	DryRun  bool              `json:"dry_run,omitempty"`
	Changes []settings.Change `json:"changes,omitempty"`
}

// History lists the versions of a document that are still stored, newest first.
type History struct {
	Path      string              `json:"path"`
	Revisions []settings.Revision `json:"revisions"`
}

// DiffResult compares two versions of a document.
type DiffResult struct {
	Path    string            `json:"path"`
	From    uint64            `json:"from"`
	To      uint64            `json:"to"`
	Changes []settings.Change `json:"changes"`
}

// FailureDomainChange is a request to take a failure domain out of service or return it to service.
type FailureDomainChange struct {
	State settings.FailureDomainState `json:"state"`
}

// RolloutStatus is the progress of the rollout of each model upstream's target version.
type RolloutStatus struct {
	Upstreams []UpstreamRollout `json:"upstreams"`
}

// UpstreamRollout is the rollout state of one upstream's target version, as known to the responding entry.
type UpstreamRollout struct {
	Upstream      core.Upstream `json:"upstream"`
	Model         core.Model    `json:"model"`
	TargetVersion string        `json:"target_version,omitempty"`
	TargetDigest  core.Digest   `json:"target_digest,omitempty"`
	Withdrawn     bool          `json:"withdrawn,omitempty"`
	Hosts         int           `json:"hosts"`
	Complete      int           `json:"complete"`
	Behind        []BehindHost  `json:"behind,omitempty"`
	// Progress is the mean share of the target's chunks that the hosts hold, between 0 and 1; a complete host counts 1.
	Progress float64 `json:"progress"`
	// SecondsLeft is estimated from the progress between status requests; nil until two requests have seen progress.
	SecondsLeft *float64 `json:"seconds_left"`
	// OriginBytes is the total number of bytes that the hosts report as fetched from the origin.
	OriginBytes int64 `json:"origin_bytes"`
	// OriginCopies is OriginBytes divided by the target's size; 0 if the settings state no size.
	OriginCopies float64 `json:"origin_copies"`
}

// BehindHost is a host that does not serve the target version yet.
type BehindHost struct {
	Host          core.HostID        `json:"host"`
	FailureDomain core.FailureDomain `json:"failure_domain"`
	VersionDigest core.Digest        `json:"version_digest,omitempty"`
	ChunksHeld    int                `json:"chunks_held"`
	ChunksTotal   int                `json:"chunks_total"`
	Reason        string             `json:"reason"`
}

// Status is a summary of an entry's state.
type Status struct {
	Host           core.HostID                                        `json:"host"`
	SettingsLoaded bool                                               `json:"settings_loaded"`
	Documents      int                                                `json:"documents"`
	Members        map[core.HostState]int                             `json:"members"`
	FailureDomains map[core.FailureDomain]settings.FailureDomainState `json:"failure_domains"`
	Agents         map[core.Upstream]map[core.UpstreamState]int       `json:"agents"`
}

// Dump is the complete state of an entry, without secrets.
type Dump struct {
	Settings []settings.Document `json:"settings"`
	Members  []core.Host         `json:"members"`
	Agents   []core.AgentStatus  `json:"agents"`
}
