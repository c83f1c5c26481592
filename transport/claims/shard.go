package claims

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/claims"
	"github.com/guavatrestle/guavatrestle/coordination/limits"
)

const (
	// maxBatchBytes bounds the size of the records in one segment, measured before base64 and JSON encoding. The object
	// API stores objects of up to 1 MB.
	maxBatchBytes = 600 << 10
	// recordOverheadBytes is the size assumed for a record without its result body.
	recordOverheadBytes = 512
	// abandonedClaimRetention is how long a shard looks for an abandoned claim in the log in order to release it.
	abandonedClaimRetention = 2 * time.Minute
)

// operation is a record that waits to be appended to the log.
type operation struct {
	record claims.Record
	done   chan appendResult
}

// appendResult is the result of an operation.
type appendResult struct {
	outcome claims.Outcome
	result  claims.Result
	err     error
}

// shard queues the operations of one shard while a write is in progress and appends them in batches.
type shard struct {
	cfg   Config
	now   func() time.Time
	spawn func(func())

	mu       sync.Mutex
	pending  []operation
	draining bool
	// abandoned holds claims whose callers were told that the call did not run, although the claim may be in the log or
	// may still be appended.
	abandoned []claims.Record

	// writerMu guards writer, writeLimiter and chargedWrites. cleanUp deletes segments without holding it, because it
	// uses only the store of writer.
	writerMu     sync.Mutex
	writer       *writer
	writeLimiter *limits.Bucket
	// chargedWrites is the number of writes already deducted from writeLimiter.
	chargedWrites int
}

// submit queues a record. It starts a goroutine that drains the queue unless one is running.
func (s *shard) submit(ctx context.Context, record claims.Record) <-chan appendResult {
	op := operation{record: record, done: make(chan appendResult, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, op)
	if !s.draining {
		s.draining = true
		s.spawn(func() { s.drain(ctx) })
	}
	return op.done
}

// addAbandoned stores a claim so that it is released once it appears in the log.
func (s *shard) addAbandoned(record claims.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandoned = append(s.abandoned, record)
}

func (s *shard) drain(ctx context.Context) {
	for {
		s.awaitWriteBudget(ctx)
		batch := s.nextBatch()
		if len(batch) == 0 {
			return
		}
		s.processBatch(ctx, batch)
	}
}

// awaitWriteBudget waits until the rate limit permits another write. The limit per shard bounds the write rate of all
// shards together. A batch that needed no write consumes nothing.
func (s *shard) awaitWriteBudget(ctx context.Context) {
	for wait := s.chargeWrites(); wait > 0; wait = s.chargeWrites() {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// chargeWrites deducts the writes made so far from the rate limit. It returns how long to wait before the remaining ones
// can be deducted, or 0 when none remain.
func (s *shard) chargeWrites() time.Duration {
	s.writerMu.Lock()
	defer s.writerMu.Unlock()
	for s.chargedWrites < s.writer.creates {
		wait, ok := s.writeLimiter.Take(s.now())
		if !ok {
			return max(wait, time.Millisecond)
		}
		s.chargedWrites++
	}
	return 0
}

// nextBatch removes the next batch from the queue and returns it. An empty batch means that the queue is empty, and
// clears draining.
func (s *shard) nextBatch() []operation {
	s.mu.Lock()
	defer s.mu.Unlock()
	size, n := 0, 0
	for n < len(s.pending) && (n == 0 || size < maxBatchBytes) {
		size += recordSize(s.pending[n].record)
		n++
	}
	batch := s.pending[:n:n]
	s.pending = slices.Clone(s.pending[n:])
	s.draining = n > 0
	return batch
}

func recordSize(r claims.Record) int {
	if r.Result == nil {
		return recordOverheadBytes
	}
	return recordOverheadBytes + len(r.Result.Body)
}

// processBatch appends a batch and sends each of its operations the result.
func (s *shard) processBatch(ctx context.Context, batch []operation) {
	s.writerMu.Lock()
	defer s.writerMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, s.cfg.WriteTimeout)
	defer cancel()
	err := s.appendBatch(ctx, batch)
	for _, op := range batch {
		if err != nil {
			op.done <- appendResult{err: err}
			continue
		}
		op.done <- s.resultFor(op.record)
	}
}

func (s *shard) appendBatch(ctx context.Context, batch []operation) error {
	if err := s.writer.ensureLoaded(ctx); err != nil {
		return err
	}
	if s.needsRefresh(batch) {
		if err := s.writer.refresh(ctx); err != nil {
			return err
		}
	}
	records := s.abandonedReleases()
	for _, op := range batch {
		records = append(records, op.record)
	}
	return s.writer.commit(ctx, s.now(), records)
}

// needsRefresh reports whether a claim in the batch conflicts with an unsettled claim in the view. That claim may have
// been settled since, so the view must be brought up to date before its outcome is returned to a caller. A recorded
// result is final and needs no refresh.
func (s *shard) needsRefresh(batch []operation) bool {
	for _, op := range batch {
		outcome, _ := s.writer.log.Lookup(op.record, s.now())
		if op.record.Op == claims.OpClaim && outcome != claims.Free && outcome != claims.Done {
			return true
		}
	}
	return false
}

func (s *shard) resultFor(record claims.Record) appendResult {
	if record.Op != claims.OpClaim {
		return appendResult{}
	}
	outcome, result := s.writer.log.Lookup(record, s.now())
	return appendResult{outcome: outcome, result: result}
}

// abandonedReleases returns release records for the abandoned claims that hold their key. It drops abandoned claims
// older than abandonedClaimRetention.
func (s *shard) abandonedReleases() []claims.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.abandoned = slices.DeleteFunc(s.abandoned, func(r claims.Record) bool {
		return now.UnixMilli()-r.At > abandonedClaimRetention.Milliseconds()
	})
	var releases []claims.Record
	for _, r := range s.abandoned {
		if s.writer.log.Holds(r.Key, r.Nonce) {
			releases = append(releases, claims.Record{Op: claims.OpRelease, Key: r.Key, Nonce: r.Nonce, At: now.UnixMilli()})
		}
	}
	return releases
}

// cleanUp deletes old segments and drops expired claims from the view. A busy shard has thousands of segments to delete,
// so records can be appended during the deletion.
func (s *shard) cleanUp(ctx context.Context) error {
	err := s.writer.cleanUp(ctx, s.now())
	s.prune()
	return err
}

// prune drops expired claims from the view.
func (s *shard) prune() {
	s.writerMu.Lock()
	defer s.writerMu.Unlock()
	if s.writer.log != nil {
		s.writer.log.Prune(s.now())
	}
}
