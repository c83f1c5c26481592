package api

import (
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

// Codes of refusals of the admin API.
const (
	CodeRateLimited = "rate_limited"
)

// AdminRefusal is a refusal of the admin API with what an operator needs to correct the request.
type AdminRefusal struct {
	Refusal
	// Problems lists every reason why a document is not valid.
	Problems settings.Problems `json:"problems,omitempty"`
	Conflict *Conflict         `json:"conflict,omitempty"`
}

// Conflict compares an edit with the version that was accepted in the meantime.
type Conflict struct {
	Path           string `json:"path"`
	BaseVersion    uint64 `json:"base_version"`
	CurrentVersion uint64 `json:"current_version"`
	// CurrentRetired says that the current version is a tombstone.
	CurrentRetired bool `json:"current_retired,omitempty"`
	// BaseHeld says that the base version is still in the history; without it the two diffs from the base are empty.
	BaseHeld bool `json:"base_held"`
	// BaseToCurrent is what others changed since the base.
	BaseToCurrent []settings.Change `json:"base_to_current,omitempty"`
	// BaseToEdit is what the refused edit changes.
	BaseToEdit []settings.Change `json:"base_to_edit,omitempty"`
	// CurrentToEdit is what the refused edit would change now.
	CurrentToEdit []settings.Change `json:"current_to_edit,omitempty"`
}

// ApplyResult is the admin API's answer to an accepted edit.
type ApplyResult struct {
	settings.Document
	DryRun  bool              `json:"dry_run,omitempty"`
	Changes []settings.Change `json:"changes,omitempty"`
}

// History lists the versions of a document that are still held, newest first.
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

// FailureDomainChange asks for a failure domain to leave or enter service.
type FailureDomainChange struct {
	State settings.FailureDomainState `json:"state"`
}

// RolloutStatus shows how far each model upstream's target version has come.
type RolloutStatus struct {
	Upstreams []UpstreamRollout `json:"upstreams"`
}

// UpstreamRollout is the state of one upstream's target version, as this entry sees it.
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
	// SecondsLeft is worked out from the progress between calls for the status; nil until two calls have seen some.
	SecondsLeft *float64 `json:"seconds_left"`
	// OriginBytes is what the hosts together report as fetched from the origin.
	OriginBytes int64 `json:"origin_bytes"`
	// OriginCopies is OriginBytes over the target's size; 0 when the settings name no size.
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

// Status summarises what an entry knows.
type Status struct {
	Host           core.HostID                                        `json:"host"`
	SettingsLoaded bool                                               `json:"settings_loaded"`
	Documents      int                                                `json:"documents"`
	Members        map[core.HostState]int                             `json:"members"`
	FailureDomains map[core.FailureDomain]settings.FailureDomainState `json:"failure_domains"`
	Agents         map[core.Upstream]map[core.UpstreamState]int       `json:"agents"`
}

// Dump is everything an entry knows, without secrets.
type Dump struct {
	Settings []settings.Document `json:"settings"`
	Members  []core.Host         `json:"members"`
	Agents   []core.AgentStatus  `json:"agents"`
}
