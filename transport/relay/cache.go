package relay

import (
	"sync"
	"time"

	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/protocol/feed"
)

// Cache holds a copy of what this host has read from the store, for the hosts that it is the relay of.
type Cache struct {
	mu    sync.Mutex
	kinds map[feed.Kind]*kindCache
	// maxAge returns the age of the last confirmation of a kind up to which the cache is used; lapse wakes all watches when the
	// configuration is older.
	maxAge func(feed.Kind) time.Duration
	lapse  *time.Timer
	now    func() bootclock.Instant
}

// kindCache holds the records of one kind.
type kindCache struct {
	era, revision int64
	// base is the revision from which on all changes are known.
	base    int64
	records map[string]*cachedRecord
	// completeAt is the time up to which the store has confirmed that the records are complete.
	completeAt bootclock.Instant
	// changed is closed and replaced with every update.
	changed chan struct{}
	// payloads holds the encoded records of lists and watches by the revision that they start from; it is emptied by a change.
	payloads map[int64]*payload
}

// cachedRecord is a record, or its removal, with the revision of the batch that it came with. The revision of a removed record is
// that of its last change.
type cachedRecord struct {
	feed.Record
	batchRevision int64
	// changedAfter is the earliest time at which the record can have been changed, 0 if unknown.
	changedAfter bootclock.Instant
	// full and brief hold the encoded record once it has been sent, as it is sent to many hosts.
	full, brief encoding
}

// encoding is the lazily encoded form of a record.
type encoding struct {
	once sync.Once
	body []byte
	err  error
}

// encoded returns the record as it is sent.
func (r *cachedRecord) encoded(brief bool) ([]byte, error) {
	e := &r.full
	if brief {
		e = &r.brief
	}
	e.once.Do(func() { e.body, e.err = encodeRecord(r.Record, brief) })
	return e.body, e.err
}

// NewCache returns an empty Cache.
func NewCache() *Cache {
	return &Cache{kinds: make(map[feed.Kind]*kindCache), maxAge: maxAgeOf, now: bootclock.Now}
}

// started reports whether the cache holds the configuration.
func (c *Cache) started() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.kinds[feed.KindConfiguration] != nil
}

// fresh reports whether the store has confirmed both the configuration and a kind recently. The configuration shows soonest that the store
// no longer answers; it doesn't tell whether changes of another kind arrive.
func (c *Cache) fresh(kind feed.Kind) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, checked := range []feed.Kind{feed.KindConfiguration, kind} {
		if k := c.kinds[checked]; k == nil || time.Duration(c.now()-k.completeAt) > c.maxAge(checked) {
			return false
		}
	}
	return true
}

// confirm restarts the timer that ends the watches if the store doesn't confirm the configuration again; the caller holds the lock.
func (c *Cache) confirm(kind feed.Kind) {
	if kind != feed.KindConfiguration {
		return
	}
	if c.lapse != nil {
		c.lapse.Stop()
	}
	c.lapse = time.AfterFunc(c.maxAge(kind), c.wakeWatches)
}

func (c *Cache) wakeWatches() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.kinds {
		close(k.changed)
		k.changed = make(chan struct{})
	}
}

// Close stops the timer of the cache.
func (c *Cache) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lapse != nil {
		c.lapse.Stop()
	}
}

// Reset drops the records of a kind, because this host no longer reads them from the store itself.
func (c *Cache) Reset(kind feed.Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.kinds[kind]; k != nil {
		close(k.changed)
		delete(c.kinds, kind)
	}
}

// Holds reports whether the cache holds a kind up to a position, so that the changes after it can be added.
func (c *Cache) Holds(kind feed.Kind, era, revision int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[kind]
	return k != nil && k.era == era && k.revision == revision
}

// PutList replaces the records of a kind by those of a list.
func (c *Cache) PutList(kind feed.Kind, batch feed.Batch, completeAt bootclock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := &kindCache{
		era: batch.Era, revision: batch.Revision, base: batch.Revision, completeAt: completeAt,
		records: make(map[string]*cachedRecord, len(batch.Records)), changed: make(chan struct{}),
		payloads: make(map[int64]*payload),
	}
	previous := c.kinds[kind]
	changedAfter := bootclock.Instant(0)
	if previous != nil && previous.era == batch.Era {
		changedAfter = previous.completeAt
	}
	for _, record := range batch.Records {
		next.records[record.Name] = &cachedRecord{Record: record, batchRevision: batch.Revision, changedAfter: changedAfter}
	}
	if previous != nil {
		next.keepHistory(previous)
		close(previous.changed)
	}
	c.kinds[kind] = next
	c.confirm(kind)
}

// keepHistory makes watches from the time before a list possible: records that are not listed any more count as removed, and
// unchanged ones as old.
func (k *kindCache) keepHistory(previous *kindCache) {
	if previous.era != k.era || previous.revision > k.revision {
		return
	}
	k.base = previous.base
	for name, old := range previous.records {
		listed, ok := k.records[name]
		switch {
		case !ok && old.Removed:
			k.records[name] = old
		case !ok:
			removal := feed.Record{Name: name, Revision: old.Revision, Removed: true}
			k.records[name] = &cachedRecord{Record: removal, batchRevision: k.revision, changedAfter: previous.completeAt}
		case listed.Revision == old.Revision && !old.Removed:
			k.records[name] = old
		}
	}
}

// PutChanges adds the changes of a watch from the position that the cache holds. They were made after changedAfter, or at any time since the
// last read if it is 0.
func (c *Cache) PutChanges(kind feed.Kind, batch feed.Batch, completeAt, changedAfter bootclock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[kind]
	if k == nil || k.era != batch.Era || batch.Revision < k.revision {
		return
	}
	changedAfter = max(changedAfter, k.completeAt)
	for _, record := range batch.Records {
		k.records[record.Name] = &cachedRecord{Record: record, batchRevision: batch.Revision, changedAfter: changedAfter}
	}
	if len(batch.Records) > 0 {
		clear(k.payloads)
	}
	k.revision = batch.Revision
	k.completeAt = max(k.completeAt, completeAt)
	c.confirm(kind)
	close(k.changed)
	k.changed = make(chan struct{})
}

// read is the result of a read from the cache.
type read struct {
	era, revision int64
	payload       *payload
	completeAt    bootclock.Instant
	changed       <-chan struct{}
	// known is false if the cache doesn't hold the kind, expired is true if it doesn't hold the changes since the revision.
	known, expired bool
}

// list returns all records of a kind.
func (c *Cache) list(kind feed.Kind) read {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[kind]
	if k == nil {
		return read{}
	}
	result := k.result()
	result.payload = k.payload(sinceList, func(record *cachedRecord) bool { return !record.Removed })
	return result
}

// changes returns the changes of a kind after a revision.
func (c *Cache) changes(kind feed.Kind, era, since int64) read {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[kind]
	if k == nil {
		return read{}
	}
	result := k.result()
	if k.era != era || since < k.base {
		result.expired = true
		return result
	}
	// A later revision than the cache's is of a host that has read the kind from the store, and knows what the cache holds.
	result.revision = max(k.revision, since)
	result.payload = k.payload(since, func(record *cachedRecord) bool { return record.batchRevision > since })
	return result
}

func (k *kindCache) result() read {
	return read{era: k.era, revision: k.revision, completeAt: k.completeAt, changed: k.changed, known: true}
}
