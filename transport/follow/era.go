package follow

import (
	"context"

	"github.com/guavatrestle/guavatrestle/protocol"
)

// enterEra records the era of a response of the store. A later era than the known one means that the store came back from an
// older copy: the table is told, and every kind is listed again. A response of an earlier era is outdated and an error.
func (f *Follower) enterEra(ctx context.Context, era int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.lastAnswered.IsZero() && era > f.era:
		// The first response; there is nothing of an earlier era.
		f.era = era
		return nil
	case era == f.era:
		return nil
	case era < f.era:
		return protocol.Errorf(protocol.CodeUnavailable, "the response is of era %d of the store, the latest is %d", era, f.era)
	}
	now := f.time()
	f.log.WithField("era", era).WithField("previous_era", f.era).Warn("store came back from an older copy")
	f.era = era
	f.settledAt = now.Add(restoreSettleTime)
	f.table.StoreRestored(now)
	clear(f.completeUntil)
	f.cancelWatches()
	f.watchCtx, f.cancelWatches = context.WithCancel(ctx)
	return nil
}
