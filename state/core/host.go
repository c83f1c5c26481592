package core

// HostState is the state of a host in the host list.
type HostState string

// Host states.
const (
	HostLive    HostState = "live"
	HostSuspect HostState = "suspect"
	HostLeaving HostState = "leaving"
)

// Host describes one process of the system as it appears in the host list.
type Host struct {
	ID            HostID        `json:"id"`
	Incarnation   Incarnation   `json:"incarnation"`
	Role          Role          `json:"role"`
	Region        Region        `json:"region"`
	FailureDomain FailureDomain `json:"failure_domain"`
	Upstream      Upstream      `json:"upstream,omitempty"`
	Model         Model         `json:"model,omitempty"`
	ControlAddr   string        `json:"control_addr"`
	DataAddr      string        `json:"data_addr,omitempty"`
	State         HostState     `json:"state"`
}
