package config

import "time"

// Transfer holds the parameters of the weight transfer between hosts.
type Transfer struct {
	// DownloadSlots bounds the number of chunks that the host fetches concurrently.
	DownloadSlots int `yaml:"download_slots" validate:"gt=0"`
	// UploadSlots bounds the number of chunks that the host sends to peers concurrently.
	UploadSlots int `yaml:"upload_slots" validate:"gt=0"`
	// OriginSlots bounds the number of chunks that the host fetches from the weight source concurrently.
	OriginSlots int `yaml:"origin_slots" validate:"gt=0"`
	// Neighbors bounds the number of peers in its region that the host polls for the chunks they hold.
	Neighbors int `yaml:"neighbours" validate:"gt=0"`
	// TakeOver is the time without progress after which the next host in the ranking takes over the fetch of a chunk. A longer
	// time delays recovery from a failed host; a shorter one causes duplicate fetches.
	TakeOver time.Duration `yaml:"take_over" validate:"gt=0"`
	// ChunkTimeout bounds the fetch of one chunk, excluding the wait for bandwidth.
	ChunkTimeout time.Duration `yaml:"chunk_timeout" validate:"gt=0"`
	// Avoid is how long a peer is not used after it stalled or sent a corrupt chunk; it doubles with each consecutive failure.
	Avoid time.Duration `yaml:"avoid" validate:"gt=0"`
	// PollInterval is the minimum time between two polls of one peer.
	PollInterval time.Duration `yaml:"poll_interval" validate:"gt=0"`
	// ControlBytesPerSecond limits the traffic that the host's polls of peers cause.
	ControlBytesPerSecond int64 `yaml:"control_bytes_per_second" validate:"gt=0"`
	// RetryBase and RetryCap are the initial and the maximum jittered backoff after a failed fetch from the weight source.
	// RetryBase is also the pause before a busy peer that requested none is used again.
	RetryBase time.Duration `yaml:"retry_base" validate:"gt=0"`
	RetryCap  time.Duration `yaml:"retry_cap" validate:"gtefield=RetryBase"`
	// RegionBytesPerSecond limits the rate at which the host fetches from other regions; 0 means no limit.
	RegionBytesPerSecond int64 `yaml:"region_bytes_per_second" validate:"gte=0"`
	// OriginBytesPerSecond limits the rate at which the host fetches from the weight source; 0 means no limit.
	OriginBytesPerSecond int64 `yaml:"origin_bytes_per_second" validate:"gte=0"`
	// LiveShare is the fraction of each rate limit that transfers leave unused while requests are in flight.
	LiveShare float64 `yaml:"live_share" validate:"gte=0,lt=1"`
}

// Activation holds the parameters of the leases that permit loading a version into the back end.
type Activation struct {
	// LeaseTTL is the time after which a lease expires unless it is renewed.
	LeaseTTL time.Duration `yaml:"lease_ttl" validate:"gt=0"`
	// WarmHold bounds how long a lease is held after the load until the back end is warm.
	WarmHold time.Duration `yaml:"warm_hold" validate:"gte=0"`
	// OrderTimeout bounds the execution of one load order.
	OrderTimeout time.Duration `yaml:"order_timeout" validate:"gt=0"`
}

// DefaultTransfer returns the default parameters of the weight transfer.
func DefaultTransfer() Transfer {
	return Transfer{
		DownloadSlots:         4,
		UploadSlots:           4,
		OriginSlots:           2,
		Neighbors:             8,
		TakeOver:              10 * time.Second,
		ChunkTimeout:          30 * time.Second,
		Avoid:                 5 * time.Second,
		PollInterval:          500 * time.Millisecond,
		ControlBytesPerSecond: 900,
		RetryBase:             500 * time.Millisecond,
		RetryCap:              10 * time.Second,
		LiveShare:             0.5,
	}
}

// DefaultActivation returns the default parameters of the activation leases.
func DefaultActivation() Activation {
	return Activation{LeaseTTL: 10 * time.Second, WarmHold: 5 * time.Second, OrderTimeout: 5 * time.Minute}
}
