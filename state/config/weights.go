package config

import "time"

// Transfer holds the settings of the weight transfer.
type Transfer struct {
	// DownloadSlots bounds the chunks that the host fetches at once.
	DownloadSlots int `yaml:"download_slots" validate:"gt=0"`
	// UploadSlots bounds the chunks that the host sends to peers at once.
	UploadSlots int `yaml:"upload_slots" validate:"gt=0"`
	// OriginSlots bounds the chunks that the host fetches from the weight source at once.
	OriginSlots int `yaml:"origin_slots" validate:"gt=0"`
	// Neighbours bounds the peers of the region that the host polls for held chunks.
	Neighbours int `yaml:"neighbours" validate:"gt=0"`
	// TakeOver is the time without progress of a chunk's fetcher after which the next host takes over.
	TakeOver time.Duration `yaml:"take_over" validate:"gt=0"`
	// ChunkTimeout bounds the fetch of one chunk, without the wait for bandwidth.
	ChunkTimeout time.Duration `yaml:"chunk_timeout" validate:"gt=0"`
	// Avoid is the time for which a peer that stalled or sent a bad chunk is not used; it doubles with each fault.
	Avoid time.Duration `yaml:"avoid" validate:"gt=0"`
	// PollInterval is the least time between two polls of one peer.
	PollInterval time.Duration `yaml:"poll_interval" validate:"gt=0"`
	// ControlBytesPerSecond bounds the traffic of the host's own polls.
	ControlBytesPerSecond int64 `yaml:"control_bytes_per_second" validate:"gt=0"`
	// RetryBase and RetryCap bound the jittered backoff of the weight source.
	RetryBase time.Duration `yaml:"retry_base" validate:"gt=0"`
	RetryCap  time.Duration `yaml:"retry_cap" validate:"gtefield=RetryBase"`
	// RegionBytesPerSecond limits what the host fetches from other regions; 0 means no limit.
	RegionBytesPerSecond int64 `yaml:"region_bytes_per_second" validate:"gte=0"`
	// OriginBytesPerSecond limits what the host fetches from the weight source; 0 means no limit.
	OriginBytesPerSecond int64 `yaml:"origin_bytes_per_second" validate:"gte=0"`
	// LiveShare is the share of each limit that transfers leave free while requests are in flight.
	LiveShare float64 `yaml:"live_share" validate:"gte=0,lt=1"`
}

// Activation holds the settings of the activation permits.
type Activation struct {
	// LeaseTTL is the time after which a permit that is not renewed lapses.
	LeaseTTL time.Duration `yaml:"lease_ttl" validate:"gt=0"`
	// WarmHold bounds the time for which a permit is kept after the load until the back end is warm.
	WarmHold time.Duration `yaml:"warm_hold" validate:"gte=0"`
	// OrderTimeout bounds one load order.
	OrderTimeout time.Duration `yaml:"order_timeout" validate:"gt=0"`
}

// DefaultTransfer returns the default settings of the weight transfer.
func DefaultTransfer() Transfer {
	return Transfer{
		DownloadSlots:         4,
		UploadSlots:           4,
		OriginSlots:           2,
		Neighbours:            8,
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

// DefaultActivation returns the default settings of the activation permits.
func DefaultActivation() Activation {
	return Activation{LeaseTTL: 10 * time.Second, WarmHold: 5 * time.Second, OrderTimeout: 5 * time.Minute}
}
