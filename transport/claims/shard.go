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
	// maxBatchBytes bounds the records of one segment before base64 and JSON grow them; the object API holds 1 MB.
	maxBatchBytes = 600 << 10
	// recordBytes is the size counted for a record besides its result body.
	recordBytes = 512
	// abandonedFor is the time for which a claim that was given up is looked for in the log.
	abandonedFor = 2 * time.Minute
)

// operation is a record on its way into the log.
type operation struct {
	record claims.Record
	done   chan reply
}

// reply is what became of an operation.
type reply struct {
	outcome claims.Outcome
	result  claims.Result
	err     error
}

// shard collects the operations of one shard while a write is under way and appends them together.
type shard struct {
	cfg  Config
	now  func() time.Time
	spin func(func())

	mu      sync.Mutex
	pending []operation
	running bool
	// abandoned are claims whose holders told their callers that the call did not run although the claim may be in the
	// log, or may still get there.
	abandoned []claims.Record

	// writer, pacer and charged belong to the running drain, which holds work. A clean-up uses only the store of writer.
	work   sync.Mutex
	writer *writer
	pacer  *limits.Bucket
	// charged is the number of writes that the pacer was asked for.
	charged int
}

// submit queues a record; the first one starts a goroutine that drains the queue.
func (s *shard) submit(ctx context.Context, record claims.Record) <-chan reply {
	op := operation{record: record, done: make(chan reply, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, op)
	if !s.running {
		s.running = true
		s.spin(func() { s.drain(ctx) })
	}
	return op.done
}

// abandon remembers a claim to release it once it shows up in the log.
func (s *shard) abandon(record claims.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandoned = append(s.abandoned, record)
}

func (s *shard) drain(ctx context.Context) {
	for {
		s.pace(ctx)
		batch := s.take()
		if len(batch) == 0 {
			return
		}
		s.process(ctx, batch)
	}
}

// pace waits until the shard may write again, which bounds the writes a second of all shards together. A batch that
// needed no write costs nothing.
func (s *shard) pace(ctx context.Context) {
	for wait := s.debt(); wait > 0; wait = s.debt() {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// debt charges the writes made so far and returns the time until the rest of them can be charged.
func (s *shard) debt() time.Duration {
	s.work.Lock()
	defer s.work.Unlock()
	for s.charged < s.writer.creates {
		wait, ok := s.pacer.Take(s.now())
		if !ok {
			return max(wait, time.Millisecond)
		}
		s.charged++
	}
	return 0
}

// take returns the next batch; without one the drain ends.
func (s *shard) take() []operation {
	s.mu.Lock()
	defer s.mu.Unlock()
	size, n := 0, 0
	for n < len(s.pending) && (n == 0 || size < maxBatchBytes) {
		size += sizeOf(s.pending[n].record)
		n++
	}
	batch := s.pending[:n:n]
	s.pending = slices.Clone(s.pending[n:])
	s.running = n > 0
	return batch
}

func sizeOf(r claims.Record) int {
	if r.Result == nil {
		return recordBytes
	}
	return recordBytes + len(r.Result.Body)
}

// process appends a batch and answers its operations.
func (s *shard) process(ctx context.Context, batch []operation) {
	s.work.Lock()
	defer s.work.Unlock()
	ctx, cancel := context.WithTimeout(ctx, s.cfg.WriteTimeout)
	defer cancel()
	err := s.append(ctx, batch)
	for _, op := range batch {
		if err != nil {
			op.done <- reply{err: err}
			continue
		}
		op.done <- s.answer(op.record)
	}
}

func (s *shard) append(ctx context.Context, batch []operation) error {
	if err := s.writer.load(ctx); err != nil {
		return err
	}
	if s.needsRefresh(batch) {
		if err := s.writer.refresh(ctx); err != nil {
			return err
		}
	}
	records := s.releases()
	for _, op := range batch {
		records = append(records, op.record)
	}
	return s.writer.commit(ctx, s.now(), records)
}

// needsRefresh reports whether a claim meets another one in the view. That one may have been settled since, so the view
// is brought up to date before it is told to a caller. A recorded result is final.
func (s *shard) needsRefresh(batch []operation) bool {
	for _, op := range batch {
		outcome, _ := s.writer.log.Lookup(op.record, s.now())
		if op.record.Op == claims.OpClaim && outcome != claims.Free && outcome != claims.Done {
			return true
		}
	}
	return false
}

func (s *shard) answer(record claims.Record) reply {
	if record.Op != claims.OpClaim {
		return reply{}
	}
	outcome, result := s.writer.log.Lookup(record, s.now())
	return reply{outcome: outcome, result: result}
}

// releases returns releases of the abandoned claims that hold their key, and forgets those that are old.
func (s *shard) releases() []claims.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.abandoned = slices.DeleteFunc(s.abandoned, func(r claims.Record) bool {
		return now.UnixMilli()-r.At > abandonedFor.Milliseconds()
	})
	var due []claims.Record
	for _, r := range s.abandoned {
		if s.writer.log.Holds(r.Key, r.Nonce) {
			due = append(due, claims.Record{Op: claims.OpRelease, Key: r.Key, Nonce: r.Nonce, At: now.UnixMilli()})
		}
	}
	return due
}

// cleanUp deletes old segments and forgets claims that expired. A busy shard has thousands of segments to delete, so
// records are appended meanwhile.
func (s *shard) cleanUp(ctx context.Context) error {
	err := s.writer.cleanUp(ctx, s.now())
	s.prune()
	return err
}

// prune forgets claims that expired.
func (s *shard) prune() {
	s.work.Lock()
	defer s.work.Unlock()
	if s.writer.log != nil {
		s.writer.log.Prune(s.now())
	}
}
