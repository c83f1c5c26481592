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

// Grant is a short-lived offer of an agent to accept new requests from one entry.
type Grant struct {
	Slots   int
	Expires time.Time
}

// BlockedSlots is the Slots value of a grant that forbids new requests. A grant of 0 slots only means that no slot is
// reserved.
const BlockedSlots = -1

// Blocks reports whether the grant forbids new requests until it expires.
func (g Grant) Blocks() bool { return g.Slots < 0 }

// AgentStatus is what an entry knows about an agent and its back end.
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
	// Seen is the time at which the entry last received the agent's status, by a heartbeat or at the end of a response.
	Seen time.Time `json:"seen"`
}
