package claims

import (
	"context"
	"encoding/hex"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/blake3"

	"github.com/guavatrestle/guavatrestle/coordination/claims"
	"github.com/guavatrestle/guavatrestle/coordination/limits"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/table"
	"github.com/guavatrestle/guavatrestle/transport/server"
)

// Config holds the settings of claims.
type Config struct {
	// TTL is the time for which a claim is kept.
	TTL time.Duration `yaml:"ttl"`
	// WritesPerSecond bounds the writes of one shard; WriteBurst is the number that may follow each other at once.
	WritesPerSecond float64 `yaml:"writes_per_second"`
	WriteBurst      int     `yaml:"write_burst"`
	// WriteTimeout bounds one append with its reads.
	WriteTimeout time.Duration `yaml:"write_timeout"`
	// OwnerTimeout bounds a call to the owner of a shard before the entry writes itself.
	OwnerTimeout time.Duration `yaml:"owner_timeout"`
	// CleanUpInterval is the time between two deletions of old segments.
	CleanUpInterval time.Duration `yaml:"clean_up_interval"`
}

// DefaultConfig returns the settings used unless others are given.
func DefaultConfig() Config {
	return Config{
		TTL: claims.DefaultTTL,
		// 32 shards with 4 writes a second make 128, and a day later as many deletes: 256 of the several hundred writes
		// that the object API takes. At 10 an API that takes 300 refused claims.
		WritesPerSecond: 4,
		WriteBurst:      4,
		WriteTimeout:    4 * time.Second,
		OwnerTimeout:    time.Second,
		CleanUpInterval: 10 * time.Minute,
	}
}

// Service makes and settles claims for the requests of an entry.
type Service struct {
	cfg     Config
	self    core.Host
	members *table.Members
	now     func() time.Time
	log     *logrus.Entry
	shards  [claims.Shards]*shard
	client  *http.Client
	// base ends with Close; it bounds the drains, which outlive the requests that start them.
	base   context.Context
	cancel context.CancelFunc
	drains sync.WaitGroup
}

// Parts are the parts that a Service works with.
type Parts struct {
	Config  Config
	Self    core.Host
	Store   platform.ObjectStore
	Members *table.Members
	// Transport carries the calls to the owners of shards; nil means one without TLS.
	Transport http.RoundTripper
	Now       func() time.Time
	Log       *logrus.Entry
}

// New returns a Service; Close ends it.
func New(p Parts) *Service {
	base, cancel := context.WithCancel(context.Background())
	if p.Transport == nil {
		p.Transport = newOwnerTransport()
	}
	s := &Service{
		cfg: p.Config, self: p.Self, members: p.Members, now: p.Now, log: p.Log, base: base, cancel: cancel,
		client: &http.Client{Transport: p.Transport, Timeout: p.Config.OwnerTimeout},
	}
	for i := range s.shards {
		s.shards[i] = &shard{
			cfg:    p.Config,
			now:    p.Now,
			spin:   func(f func()) { s.drains.Go(f) },
			writer: newWriter(p.Store, i, p.Config.TTL, p.Now, uuid.NewString),
			pacer:  limits.NewBucket(p.Now(), p.Config.WritesPerSecond, p.Config.WriteBurst),
		}
	}
	return s
}

// newOwnerTransport returns a transport that keeps one HTTP/2 connection to each owner. A record waits at its owner for
// the next write, and with HTTP/1.1 every waiting record takes a connection: 6,000 claims a second used up 20,000 files.
func newOwnerTransport() *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{Protocols: protocols, HTTP2: server.HTTP2()}
}

// Run deletes old segments of the shards that this entry owns until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(s.cfg.CleanUpInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.cleanUp(ctx)
		}
	}
}

// Close waits for the writes under way.
func (s *Service) Close() {
	s.cancel()
	s.drains.Wait()
	s.client.CloseIdleConnections()
}

func (s *Service) cleanUp(ctx context.Context) {
	for i, one := range s.shards {
		one.prune()
		if s.owner(i).ID != s.self.ID {
			continue
		}
		if err := one.cleanUp(ctx); err != nil {
			s.log.WithError(err).WithField("shard", i).Warn("delete old claim segments")
		}
	}
}

// KeyOf returns the key of a caller's idempotency key.
func KeyOf(team core.Team, upstream core.Upstream, key string) claims.Key {
	return claims.Key(hash(string(team), string(upstream), key))
}

// FingerprintOf identifies the content of a request.
func FingerprintOf(method, path, contentType string, body []byte) string {
	return hash(method, path, contentType, string(body))
}

// hash returns a BLAKE3 hash over the parts with their lengths.
func hash(parts ...string) string {
	h := blake3.New()
	for _, part := range parts {
		_, _ = h.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// NewClaim returns the record of a new claim.
func (s *Service) NewClaim(key claims.Key, fingerprint string, deadline time.Time) claims.Record {
	return claims.Record{
		Op:          claims.OpClaim,
		Key:         key,
		Nonce:       claims.Nonce(uuid.NewString()),
		At:          s.now().UnixMilli(),
		Fingerprint: fingerprint,
		Holder:      s.self.ID,
		Deadline:    deadline.UnixMilli(),
	}
}

// Claim makes a claim. After an error the call must not be sent; a claim that reaches the log nevertheless is released.
func (s *Service) Claim(ctx context.Context, claim claims.Record) (claims.Outcome, claims.Result, error) {
	got := s.record(ctx, claim)
	if got.err != nil {
		s.shardOf(claim.Key).abandon(claim)
		return "", claims.Result{}, got.err
	}
	if got.outcome == claims.Free {
		return "", claims.Result{}, protocol.Errorf(protocol.CodeUnavailable, "claim is not in the log after its write")
	}
	return got.outcome, got.result, nil
}

// Settle records how a claimed call ended: done with its result, unknown, or released because it did not run.
func (s *Service) Settle(ctx context.Context, claim claims.Record, op claims.Op, result *claims.Result) error {
	record := claims.Record{Op: op, Key: claim.Key, Nonce: claim.Nonce, At: s.now().UnixMilli()}
	if result != nil {
		bounded := result.Bounded()
		record.Result = &bounded
	}
	return s.record(ctx, record).err
}

// record gives a record to the owner of its shard, and writes it itself when the owner gives no answer.
func (s *Service) record(ctx context.Context, r claims.Record) reply {
	owner := s.owner(shardIndex(r.Key))
	if owner.ID != s.self.ID {
		got := s.forward(ctx, owner, r)
		if got.err == nil {
			return got
		}
		s.log.WithError(got.err).WithField("owner", owner.ID).Debug("owner of the claim shard gave no answer")
	}
	return s.local(ctx, r)
}

// local appends a record through this entry's own writer.
func (s *Service) local(ctx context.Context, r claims.Record) reply {
	if s.base.Err() != nil {
		return reply{err: protocol.Errorf(protocol.CodeUnavailable, "the process is stopping")}
	}
	select {
	case got := <-s.shardOf(r.Key).submit(s.base, r):
		return got
	case <-ctx.Done():
		return reply{err: eris.Wrap(ctx.Err(), "wait for the claim log")}
	}
}

func (s *Service) shardOf(key claims.Key) *shard { return s.shards[shardIndex(key)] }

func shardIndex(key claims.Key) int { return int(xxhash.Sum64String(string(key)) % claims.Shards) }

// owner returns the entry that batches a shard: the one with the highest rendezvous weight among the live ones.
func (s *Service) owner(index int) core.Host {
	best, bestWeight := s.self, ownerWeight(index, s.self.ID)
	for _, host := range s.members.List() {
		if host.Role != core.RoleEntry || host.State != core.HostLive || host.ID == s.self.ID {
			continue
		}
		if weight := ownerWeight(index, host.ID); weight > bestWeight {
			best, bestWeight = host, weight
		}
	}
	return best
}

func ownerWeight(index int, id core.HostID) uint64 {
	return xxhash.Sum64String(strconv.Itoa(index) + "/" + string(id))
}
