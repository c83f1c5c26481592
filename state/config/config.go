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
	// TLS secures all listeners and the connections between processes; if it is nil, nothing is encrypted.
	TLS *TLS `yaml:"tls,omitempty"`
	// Spread configures the dissemination of settings and membership.
	Spread Spread `yaml:"spread"`
	// ShutdownTimeout bounds the graceful shutdown. On an entry it must be at least Entry.RequestTimeout, so that a planned
	// stop cuts off no request.
	ShutdownTimeout time.Duration `yaml:"shutdown_timeout" validate:"gt=0"`
	// Seed seeds random choices; 0 means a random seed.
	Seed uint64 `yaml:"seed"`
}

// Listen holds the listener addresses.
type Listen struct {
	// Control serves twirp, debug and health endpoints.
	Control string `yaml:"control" validate:"hostname_port"`
	// Data serves callers on an entry, and requests from entries and chunks for peers on an agent.
	Data string `yaml:"data" validate:"hostname_port"`
}

// TLS names the TLS files, which are reloaded when they change.
type TLS struct {
	// Cert and Key are the PEM files of the process's certificate.
	Cert string `yaml:"cert" validate:"required"`
	Key  string `yaml:"key" validate:"required"`
	// CA is the PEM file of the certificate authorities that sign the certificates of all processes.
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
	// HostListInterval is the interval at which the host list is polled. A longer interval delays the discovery of hosts.
	HostListInterval time.Duration `yaml:"host_list_interval" validate:"gt=0"`
}

// Spread holds the parameters of the dissemination of settings documents and membership.
type Spread struct {
	// ExchangeInterval is the mean time between two digest exchanges that a process starts. A shorter interval repairs missed
	// pushes sooner and causes more traffic.
	ExchangeInterval time.Duration `yaml:"exchange_interval" validate:"gt=0"`
	// ExchangePeers is the number of random peers that a process contacts per exchange. More peers repair missed pushes sooner
	// and cause more traffic.
	ExchangePeers int `yaml:"exchange_peers" validate:"min=1,max=8"`
	// PushFanout is the number of processes to which a process pushes a document. A larger number needs fewer hops to reach all
	// processes, but each sends more.
	PushFanout int `yaml:"push_fanout" validate:"min=1,max=32"`
	// Watchers is the number of processes per failure domain that watch the object API; the others learn of changes from them.
	Watchers int `yaml:"watchers" validate:"min=1,max=8"`
	// StartPeers is the number of peers from which a process must have read the settings before it is ready, if it starts
	// while the platform is unavailable.
	StartPeers int `yaml:"start_peers" validate:"min=1,max=8"`
	// Seeds are control addresses from which a process requests the settings when it knows no peers, such as when it starts
	// while the host list is unavailable.
	Seeds []string `yaml:"seeds,omitempty" validate:"dive,hostname_port"`
}

// Agent holds the settings of the agent role.
type Agent struct {
	Upstream core.Upstream `yaml:"upstream" validate:"required"`
	// Engine is the base URL of the agent's back end.
	Engine string `yaml:"engine" validate:"url"`
	// ChunkMemoryBytes bounds the memory for the chunks that the agent keeps to serve peers.
	ChunkMemoryBytes int64 `yaml:"chunk_memory_bytes" validate:"gt=0"`
	// PollInterval is the interval at which the engine's status is polled. A longer interval delays the detection of a restart.
	PollInterval time.Duration `yaml:"poll_interval" validate:"gt=0"`
	// ProgressTimeout is the time without a byte from the engine after which a request fails with an unknown outcome.
	ProgressTimeout time.Duration `yaml:"progress_timeout" validate:"gt=0"`
	// Strategy selects how weights are fetched: swarm shares chunks between hosts, direct fetches all from the weight source.
	Strategy string `yaml:"strategy" validate:"oneof=swarm direct"`
	// HostBytesPerSecond limits the rate of weight transfers on the host's link in each direction; 0 means no limit.
	HostBytesPerSecond int64 `yaml:"host_bytes_per_second" validate:"gte=0"`
	// OriginRegion is the region nearest to the weight source.
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
	// RequestTimeout is the timeout of a request that sets none, and the longest one that a request can set.
	RequestTimeout time.Duration `yaml:"request_timeout" validate:"gt=0"`
	// StatusInterval is the interval between heartbeats to each agent. A longer interval bases routing on an older status.
	StatusInterval time.Duration `yaml:"status_interval" validate:"gt=0"`
	// DrainGrace is how long a leaving entry still accepts new requests after its readiness check has begun to fail.
	DrainGrace time.Duration `yaml:"drain_grace" validate:"gte=0"`
	// RoutingPolicy selects how an agent is chosen; empty means two_choices.
	RoutingPolicy string `yaml:"routing_policy,omitempty" validate:"omitempty,oneof=grants two_choices least_in_flight"`
}

// defaultProgressTimeout allows for a response that is generated completely before its first byte is sent.
const defaultProgressTimeout = 30 * time.Second

// defaultShutdownTimeout exceeds the default request timeout, so that a planned stop interrupts no request.
const defaultShutdownTimeout = 90 * time.Second

// defaultDrainGrace gives a load balancer that polls every one or two seconds the time to notice that an entry is not ready.
const defaultDrainGrace = 5 * time.Second

// Default returns the default configuration, over which a file is decoded.
func Default() Config {
	return Config{
		LogLevel:        "info",
		ShutdownTimeout: defaultShutdownTimeout,
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
		ProgressTimeout:  defaultProgressTimeout,
		Strategy:         "swarm",
		Transfer:         &transfer,
		Activation:       &activation,
	}
}

func defaultEntry() Entry {
	return Entry{
		MaxBodyBytes:   4 << 20,
		RequestTimeout: 60 * time.Second,
		StatusInterval: time.Second,
		DrainGrace:     defaultDrainGrace,
		RoutingPolicy:  "two_choices",
	}
}
