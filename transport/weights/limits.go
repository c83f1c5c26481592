package weights

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/guavatrestle/guavatrestle/state/config"
)

// paceBytes is the largest part of a chunk that is sent or accounted for at once.
const paceBytes = 64 << 10

// Limits holds the token buckets of weight transfer. While requests are in flight every bucket
// fills more slowly, so that transfers leave a share of each link free.
type Limits struct {
	in, out, region, origin bucket
	// share is what transfers leave free while live reports requests in flight.
	share float64
	live  func() bool
}

type bucket struct {
	limiter *rate.Limiter
	full    rate.Limit
}

// NewLimits returns the buckets that cfg describes; live reports whether requests are in flight.
func NewLimits(cfg config.Agent, live func() bool) *Limits {
	return &Limits{
		in:     newBucket(cfg.HostBytesPerSecond),
		out:    newBucket(cfg.HostBytesPerSecond),
		region: newBucket(cfg.Transfer.RegionBytesPerSecond),
		origin: newBucket(cfg.Transfer.OriginBytesPerSecond),
		share:  cfg.Transfer.LiveShare,
		live:   live,
	}
}

func newBucket(bytesPerSecond int64) bucket {
	limit := rate.Inf
	if bytesPerSecond > 0 {
		limit = rate.Limit(bytesPerSecond)
	}
	return bucket{limiter: rate.NewLimiter(limit, paceBytes), full: limit}
}

// WaitOrigin waits until n bytes may come from the weight source.
func (l *Limits) WaitOrigin(ctx context.Context, n int64) error {
	return l.wait(ctx, n, l.in, l.origin)
}

// WaitPeer waits until n bytes may come from a peer; cross says that they come from another region.
func (l *Limits) WaitPeer(ctx context.Context, n int64, cross bool) error {
	if cross {
		return l.wait(ctx, n, l.in, l.region)
	}
	return l.wait(ctx, n, l.in)
}

// WaitUpload waits until n bytes may be sent to a peer.
func (l *Limits) WaitUpload(ctx context.Context, n int64) error {
	return l.wait(ctx, n, l.out)
}

// UploadTime returns the time that n bytes to peers take at the rate of now; 0 means no limit.
func (l *Limits) UploadTime(n int64) time.Duration {
	l.adjust(l.out)
	return time.Duration(float64(n) / float64(l.out.limiter.Limit()) * float64(time.Second))
}

func (l *Limits) wait(ctx context.Context, n int64, buckets ...bucket) error {
	for n > 0 {
		part := min(n, paceBytes)
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

// adjust sets the rate of b to what live requests leave.
func (l *Limits) adjust(b bucket) {
	limit := b.full
	if limit != rate.Inf && l.live() {
		limit *= rate.Limit(1 - l.share)
	}
	if b.limiter.Limit() != limit {
		b.limiter.SetLimit(limit)
	}
}
