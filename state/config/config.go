// Package config holds the static YAML settings of one guavatrestled process.
package config

import (
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// Config is the static configuration of a guavatrestled process.
type Config struct {
	Role          core.Role          `yaml:"role" validate:"oneof=entry agent"`
	Host          core.HostID        `yaml:"host" validate:"required"`
	Region        core.Region        `yaml:"region" validate:"required"`
	FailureDomain core.FailureDomain `yaml:"failure_domain" validate:"required"`
	LogLevel      string             `yaml:"log_level" validate:"oneof=debug info warning error"`
	Listen        Listen             `yaml:"listen"`
	Platform      Platform           `yaml:"platform"`
	Agent         *Agent             `yaml:"agent,omitempty" validate:"required_if=Role agent"`
	Entry         *Entry             `yaml:"entry,omitempty" validate:"required_if=Role entry"`
	// TLS secures all listeners and the connections between processes; without it nothing is encrypted.
	TLS *TLS `yaml:"tls,omitempty"`
	// Spread tunes how settings and membership spread.
	Spread Spread `yaml:"spread"`
	// ShutdownTimeout bounds the graceful shutdown.
	ShutdownTimeout time.Duration `yaml:"shutdown_timeout" validate:"gt=0"`
	// Seed seeds random choices; 0 draws a fresh seed.
	Seed uint64 `yaml:"seed"`
}

// Listen holds the listener addresses.
type Listen struct {
	// Control serves twirp, debug and health endpoints.
	Control string `yaml:"control" validate:"hostname_port"`
	// Data serves callers on an entry; calls and chunks on an agent.
	Data string `yaml:"data" validate:"hostname_port"`
}

// TLS names the files for TLS; they are read again when they change.
type TLS struct {
	// Cert and Key are the PEM files of the process's certificate.
	Cert string `yaml:"cert" validate:"required"`
	Key  string `yaml:"key" validate:"required"`
	// CA is the PEM file of the authorities that sign the certificates of processes.
	CA string `yaml:"ca" validate:"required"`
	// ServerName is the DNS name in the certificates of all processes.
	ServerName string `yaml:"server_name" validate:"hostname"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	ObjectAPI    string `yaml:"object_api" validate:"url"`
	HostList     string `yaml:"host_list" validate:"url"`
	WeightSource string `yaml:"weight_source" validate:"omitempty,url"`
	Namespace    string `yaml:"namespace" validate:"required"`
	// HostListInterval is the time between reads of the host list.
	HostListInterval time.Duration `yaml:"host_list_interval" validate:"gt=0"`
}

// Spread holds the settings of the spread of settings documents and membership.
type Spread struct {
	// ExchangeInterval is the mean time between digest exchanges of a process.
	ExchangeInterval time.Duration `yaml:"exchange_interval" validate:"gt=0"`
	// ExchangePeers is the number of random peers per exchange.
	ExchangePeers int `yaml:"exchange_peers" validate:"min=1,max=8"`
	// PushFanout is the number of processes that one process pushes a document to.
	PushFanout int `yaml:"push_fanout" validate:"min=1,max=32"`
	// Watchers is the number of processes per failure domain that watch the object API.
	Watchers int `yaml:"watchers" validate:"min=1,max=8"`
	// StartPeers is the number of peers whose settings a process takes before it is ready while the
	// platform is down.
	StartPeers int `yaml:"start_peers" validate:"min=1,max=8"`
	// Seeds are control addresses that a process asks for settings when it knows no peers, such as
	// when the host list is down while it starts.
	Seeds []string `yaml:"seeds,omitempty" validate:"dive,hostname_port"`
}

// Agent holds the settings of the agent role.
type Agent struct {
	Upstream core.Upstream `yaml:"upstream" validate:"required"`
	// Engine is the base URL of the back end beside the agent.
	Engine string `yaml:"engine" validate:"url"`
	// ChunkMemoryBytes caps the chunks kept for peers.
	ChunkMemoryBytes int64 `yaml:"chunk_memory_bytes" validate:"gt=0"`
	// PollInterval is the time between reads of the engine's status.
	PollInterval time.Duration `yaml:"poll_interval" validate:"gt=0"`
	// Strategy selects how weights are fetched.
	Strategy string `yaml:"strategy" validate:"oneof=swarm direct"`
	// HostBytesPerSecond limits weight transfer on the host's link in each direction; 0 means no limit.
	HostBytesPerSecond int64 `yaml:"host_bytes_per_second" validate:"gte=0"`
	// OriginRegion names the region nearest to the weight source.
	OriginRegion core.Region `yaml:"origin_region"`
	// Transfer and Activation have defaults for every field.
	Transfer   *Transfer   `yaml:"transfer,omitempty" validate:"required"`
	Activation *Activation `yaml:"activation,omitempty" validate:"required"`
}

// Entry holds the settings of the entry role.
type Entry struct {
	// AdminTokenHashes are BLAKE3-256 hashes of the operators' bearer tokens.
	AdminTokenHashes []core.Digest `yaml:"admin_token_hashes" validate:"dive,len=64,hexadecimal"`
	// MaxBodyBytes bounds a caller's request body.
	MaxBodyBytes int64 `yaml:"max_body_bytes" validate:"gt=0"`
	// RequestTimeout is the deadline of a request that names none.
	RequestTimeout time.Duration `yaml:"request_timeout" validate:"gt=0"`
	// StatusInterval is the time between heartbeats to agents.
	StatusInterval time.Duration `yaml:"status_interval" validate:"gt=0"`
	// RoutingPolicy selects how an agent is chosen; empty means two_choices.
	RoutingPolicy string `yaml:"routing_policy,omitempty" validate:"omitempty,oneof=grants two_choices least_in_flight"`
}

// Default returns the configuration that a file's settings are read over.
func Default() Config {
	return Config{
		LogLevel:        "info",
		ShutdownTimeout: 30 * time.Second,
		Platform:        Platform{Namespace: "guavatrestle", HostListInterval: 2 * time.Second},
		Spread: Spread{
			ExchangeInterval: 1500 * time.Millisecond,
			ExchangePeers:    2,
			PushFanout:       8,
			Watchers:         2,
			StartPeers:       2,
		},
	}
}

// DefaultAgent returns the default settings of the agent role.
func DefaultAgent() Agent {
	transfer, activation := DefaultTransfer(), DefaultActivation()
	return Agent{
		ChunkMemoryBytes: 1 << 30,
		PollInterval:     500 * time.Millisecond,
		Strategy:         "swarm",
		Transfer:         &transfer,
		Activation:       &activation,
	}
}

func defaultEntry() Entry {
	return Entry{MaxBodyBytes: 4 << 20, RequestTimeout: 60 * time.Second, StatusInterval: time.Second, RoutingPolicy: "two_choices"}
}
