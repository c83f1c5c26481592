package core

import "time"

// UpstreamState is the admission state of a back end.
type UpstreamState string

// Admission states.
const (
	UpstreamCold    UpstreamState = "cold"
	UpstreamWarming UpstreamState = "warming"
	UpstreamWarm    UpstreamState = "warm"
)

// Grant is a short-lived offer of new work that an agent can take.
type Grant struct {
	Slots   int
	Expires time.Time
}

// BlockedSlots is the number of slots of a grant that keeps new work away. A grant of 0 slots only says that none is set
// aside.
const BlockedSlots = -1

// Blocks reports whether the grant keeps new work away while it is in force.
func (g Grant) Blocks() bool { return g.Slots < 0 }

// AgentStatus is what an entry knows about an agent and the back end beside it.
type AgentStatus struct {
	Host          Host          `json:"host"`
	Incarnation   Incarnation   `json:"incarnation"`
	Model         Model         `json:"model,omitempty"`
	VersionDigest Digest        `json:"version_digest,omitempty"`
	State         UpstreamState `json:"state"`
	InFlight      int           `json:"in_flight"`
	Limit         int           `json:"limit"`
	Leaving       bool          `json:"leaving"`
	Grant         Grant         `json:"grant"`
	TargetDigest  Digest        `json:"target_digest,omitempty"`
	ChunksHeld    int           `json:"chunks_held"`
	ChunksTotal   int           `json:"chunks_total"`
	BehindReason  string        `json:"behind_reason,omitempty"`
	OriginBytes   int64         `json:"origin_bytes"`
	PeerBytes     int64         `json:"peer_bytes"`
	// Seen is the time of the last heartbeat response.
	Seen time.Time `json:"seen"`
}
