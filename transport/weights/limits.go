package weights

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/guavatrestle/guavatrestle/state/config"
)

// burstBytes is the largest part of a chunk that is sent or charged to a bucket at once.
const burstBytes = 64 << 10

// Limits holds the token buckets of weight transfers. While requests are in flight every bucket fills more slowly, so
// that transfers leave a share of each link free.
type Limits struct {
	download, upload, crossRegion, origin bucket
	// liveShare is the share of each rate that transfers leave free while hasLiveRequests reports true.
	liveShare       float64
	hasLiveRequests func() bool
}

type bucket struct {
	limiter *rate.Limiter
	maxRate rate.Limit
}

// NewLimits returns the buckets that cfg describes; hasLiveRequests reports whether requests are in flight.
func NewLimits(cfg config.Agent, hasLiveRequests func() bool) *Limits {
	return &Limits{
		download:        newBucket(cfg.HostBytesPerSecond),
		upload:          newBucket(cfg.HostBytesPerSecond),
		crossRegion:     newBucket(cfg.Transfer.RegionBytesPerSecond),
		origin:          newBucket(cfg.Transfer.OriginBytesPerSecond),
		liveShare:       cfg.Transfer.LiveShare,
		hasLiveRequests: hasLiveRequests,
	}
}

func newBucket(bytesPerSecond int64) bucket {
	limit := rate.Inf
	if bytesPerSecond > 0 {
		limit = rate.Limit(bytesPerSecond)
	}
	return bucket{limiter: rate.NewLimiter(limit, burstBytes), maxRate: limit}
}

// WaitOrigin waits until n bytes may be fetched from the weight source.
func (l *Limits) WaitOrigin(ctx context.Context, n int64) error {
	return l.wait(ctx, n, l.download, l.origin)
}

// WaitPeer waits until n bytes may be fetched from a peer, which is in another region if crossRegion is true.
func (l *Limits) WaitPeer(ctx context.Context, n int64, crossRegion bool) error {
	if crossRegion {
		return l.wait(ctx, n, l.download, l.crossRegion)
	}
	return l.wait(ctx, n, l.download)
}

// WaitUpload waits until n bytes may be sent to a peer.
func (l *Limits) WaitUpload(ctx context.Context, n int64) error {
	return l.wait(ctx, n, l.upload)
}

// UploadTime returns the time to send n bytes to peers at the present rate; 0 means that the rate is unlimited.
func (l *Limits) UploadTime(n int64) time.Duration {
	l.adjust(l.upload)
	return time.Duration(float64(n) / float64(l.upload.limiter.Limit()) * float64(time.Second))
}

func (l *Limits) wait(ctx context.Context, n int64, buckets ...bucket) error {
	for n > 0 {
		part := min(n, burstBytes)
		for _, b := range buckets {
			l.adjust(b)
			if err := b.limiter.WaitN(ctx, int(part)); err != nil {
				return err
			}
		}
		n -= part
	}
	return nil
}

// adjust sets the rate of b to its maximum, less liveShare while requests are in flight.
func (l *Limits) adjust(b bucket) {
	limit := b.maxRate
	if limit != rate.Inf && l.hasLiveRequests() {
		limit *= rate.Limit(1 - l.liveShare)
	}
	if b.limiter.Limit() != limit {
		b.limiter.SetLimit(limit)
	}
}
