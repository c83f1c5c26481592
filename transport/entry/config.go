package entry

import (
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/retry"
)

const (
	// headerRequestID is on every response to a caller.
	headerRequestID = "X-Request-Id"
	// headerTimeout is the caller's own time limit in seconds.
	headerTimeout = "X-Request-Timeout"
	// headerModelDigest names the version that answered.
	headerModelDigest = "X-Model-Digest"
	// capacityRetryAfter is the time after which capacity may be free again.
	capacityRetryAfter = time.Second
	// minRefusalPause keeps new work off an agent that refused without saying for how long.
	minRefusalPause = 50 * time.Millisecond
)

// Tuning holds the settings of the request path.
type Tuning struct {
	Retry retry.Config `yaml:"retry"`
	// ProgressTimeout is the time without a frame after which a path to an agent counts as dead.
	ProgressTimeout time.Duration `yaml:"progress_timeout"`
	// MaxBufferedBytes bounds the response that is held back until it is whole.
	MaxBufferedBytes int `yaml:"max_buffered_bytes"`
	// MaxQueueWait bounds the time that a request waits for a free slot.
	MaxQueueWait time.Duration `yaml:"max_queue_wait"`
	// MinServiceTime is the least time that must remain for the call itself when it leaves the queue.
	MinServiceTime time.Duration `yaml:"min_service_time"`
	// SettleRetryInterval is the time between two tries to record the result of a claimed call.
	SettleRetryInterval time.Duration `yaml:"settle_pause"`
}

// DefaultTuning returns the settings used unless others are given.
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
