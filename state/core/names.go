package core

// HostID identifies a host in the host list.
type HostID string

// Region names a region.
type Region string

// FailureDomain names a failure domain.
type FailureDomain string

// Team names a team.
type Team string

// Upstream names a group of back ends that serve the same calls.
type Upstream string

// Model names a model.
type Model string

// Incarnation identifies one run of a process.
type Incarnation string

// RequestID identifies a caller's request.
type RequestID string

// Role selects what a guavatrestled process does.
type Role string

// Roles of a guavatrestled process.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)
