package entry

import (
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/retry"
)

const (
	// headerRequestID is set on every response to a caller.
	headerRequestID = "X-Request-Id"
	// headerTimeout holds the caller's time limit in seconds.
	headerTimeout = "X-Request-Timeout"
	// headerModelDigest holds the digest of the model version that generated the response.
	headerModelDigest = "X-Model-Digest"
	// capacityRetryAfter is the time after which an agent may have a free slot again.
	capacityRetryAfter = time.Second
	// minRefusalBackoff is the least time without new requests for an agent that refused one and sent no grant.
	minRefusalBackoff = 50 * time.Millisecond
)

// Tuning holds the limits and timeouts of request forwarding.
type Tuning struct {
	Retry retry.Config `yaml:"retry"`
	// ProgressTimeout is the time without a frame after which an attempt fails and its connection gets no new requests.
	ProgressTimeout time.Duration `yaml:"progress_timeout"`
	// MaxBufferedBytes bounds the response that is held back until it is complete; a larger one is streamed to the
	// caller, so that an attempt that fails then can't be retried. It also bounds one event of a stream.
	MaxBufferedBytes int `yaml:"max_buffered_bytes"`
	// MaxQueueWait bounds the time that a request waits for a free slot before it is refused.
	MaxQueueWait time.Duration `yaml:"max_queue_wait"`
	// MinServiceTime is the least time that must remain before the deadline when a request gets a slot; a request with
	// less is refused.
	MinServiceTime time.Duration `yaml:"min_service_time"`
	// SettleRetryInterval is the time between two attempts to record the result of a claimed call.
	SettleRetryInterval time.Duration `yaml:"settle_pause"`
}

// DefaultTuning returns the default settings.
func DefaultTuning() Tuning {
	return Tuning{
		Retry:               retry.DefaultConfig(),
		ProgressTimeout:     10 * time.Second,
		MaxBufferedBytes:    4 << 20,
		MaxQueueWait:        2 * time.Second,
		MinServiceTime:      100 * time.Millisecond,
		SettleRetryInterval: 2 * time.Second,
	}
}
