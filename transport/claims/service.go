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
	"github.com/guavatrestle/guavatrestle/transport/httphead"
	"github.com/guavatrestle/guavatrestle/transport/netdial"
	"github.com/guavatrestle/guavatrestle/transport/server"
)

// Config holds the settings of a Service.
type Config struct {
	// TTL is how long a claim and its result are kept. A larger value protects later retries and stores more segments.
	TTL time.Duration `yaml:"ttl"`
	// WritesPerSecond bounds the write rate of one shard, and WriteBurst the number of writes without a pause. A lower
	// rate puts more records into each write and delays them longer.
	WritesPerSecond float64 `yaml:"writes_per_second"`
	WriteBurst      int     `yaml:"write_burst"`
	// WriteTimeout bounds the append of one batch, including the reads that it needs.
	WriteTimeout time.Duration `yaml:"write_timeout"`
	// OwnerTimeout bounds a call to the owner of a shard. After it the entry appends the record itself.
	OwnerTimeout time.Duration `yaml:"owner_timeout"`
	// CleanUpInterval is the time between two clean-ups. A larger value leaves expired segments in the store for longer.
	CleanUpInterval time.Duration `yaml:"clean_up_interval"`
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		TTL: claims.DefaultTTL,
		// 32 shards with 4 writes a second make 128 writes, and a day later as many deletes: 256 of the several hundred
		// operations a second that the object API accepts. At 10, an API that accepts 300 refused claims.
		WritesPerSecond: 4,
		WriteBurst:      4,
		WriteTimeout:    4 * time.Second,
		OwnerTimeout:    time.Second,
		CleanUpInterval: 10 * time.Minute,
	}
}

// Service claims idempotency keys for the requests of an entry and settles the claims.
type Service struct {
	cfg     Config
	self    core.Host
	members *table.Members
	now     func() time.Time
	log     *logrus.Entry
	shards  [claims.Shards]*shard
	client  *http.Client
	// baseCtx is canceled by Close. The drain goroutines use it because they outlive the requests that start them.
	baseCtx context.Context
	cancel  context.CancelFunc
	drains  sync.WaitGroup
}

// Dependencies holds the settings, store, member table, transport, clock and log that a Service uses.
type Dependencies struct {
	Config  Config
	Self    core.Host
	Store   platform.ObjectStore
	Members *table.Members
	// Transport sends the calls to the owners of shards; nil means an HTTP/2 transport without TLS.
	Transport http.RoundTripper
	Now       func() time.Time
	Log       *logrus.Entry
}

// New returns a Service. The caller must call Close when it is no longer needed.
func New(p Dependencies) *Service {
	base, cancel := context.WithCancel(context.Background())
	if p.Transport == nil {
		p.Transport = newOwnerTransport()
	}
	s := &Service{
		cfg: p.Config, self: p.Self, members: p.Members, now: p.Now, log: p.Log, baseCtx: base, cancel: cancel,
		client: &http.Client{Transport: p.Transport, Timeout: p.Config.OwnerTimeout},
	}
	for i := range s.shards {
		s.shards[i] = &shard{
			cfg:          p.Config,
			now:          p.Now,
			spawn:        func(f func()) { s.drains.Go(f) },
			writer:       newWriter(p.Store, i, p.Config.TTL, p.Now, uuid.NewString),
			writeLimiter: limits.NewBucket(p.Now(), p.Config.WritesPerSecond, p.Config.WriteBurst),
		}
	}
	return s
}

// newOwnerTransport returns a transport that keeps one HTTP/2 connection to each owner. A record waits at its owner for
// the next write. With HTTP/1.1 every waiting record occupies a connection: 6,000 claims a second exhausted 20,000 file
// descriptors.
func newOwnerTransport() http.RoundTripper {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return httphead.NewHTTP2Transport(&http.Transport{Protocols: protocols, HTTP2: server.HTTP2(), MaxResponseHeaderBytes: netdial.MaxHeadBytes})
}

// Run periodically deletes old segments of the shards that this entry owns, until ctx is done.
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

// Close cancels the writes in progress and waits for them to return.
func (s *Service) Close() {
	s.cancel()
	s.drains.Wait()
	s.client.CloseIdleConnections()
}

func (s *Service) cleanUp(ctx context.Context) {
	for i, sh := range s.shards {
		sh.prune()
		if s.owner(i).ID != s.self.ID {
			continue
		}
		if err := sh.cleanUp(ctx); err != nil {
			s.log.WithError(err).WithField("shard", i).Warn("failed to delete old claim segments")
		}
	}
}

// KeyOf returns the claim key for a caller's idempotency key: a hash that is unique per team and upstream.
func KeyOf(team core.Team, upstream core.Upstream, key string) claims.Key {
	return claims.Key(hash(string(team), string(upstream), key))
}

// FingerprintOf returns a hash of the content of a request. A request that reuses a key
// with another fingerprint is refused as a mismatch.
func FingerprintOf(method, path, contentType string, body []byte) string {
	return hash(method, path, contentType, string(body))
}

// hash returns the BLAKE3 hash of the parts, each prefixed with its length so that different splits hash differently.
func hash(parts ...string) string {
	h := blake3.New()
	for _, part := range parts {
		_, _ = h.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// NewClaim returns the record of a new claim with a new nonce, held by this entry.
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

// Claim appends a claim to the log and returns its outcome. After an error the caller must not send the call; if the
// claim still reaches the log, it is released.
func (s *Service) Claim(ctx context.Context, claim claims.Record) (claims.Outcome, claims.Result, error) {
	response := s.appendRecord(ctx, claim)
	if response.err != nil {
		s.shardOf(claim.Key).addAbandoned(claim)
		return "", claims.Result{}, response.err
	}
	if response.outcome == claims.Free {
		return "", claims.Result{}, protocol.Errorf(protocol.CodeUnavailable, "claim is not in the log after it was written")
	}
	return response.outcome, response.result, nil
}

// Settle records the outcome of a claimed call: done with its result, unknown, or released because it did not run.
func (s *Service) Settle(ctx context.Context, claim claims.Record, op claims.Op, result *claims.Result) error {
	record := claims.Record{Op: op, Key: claim.Key, Nonce: claim.Nonce, At: s.now().UnixMilli()}
	if result != nil {
		bounded := result.Bounded()
		record.Result = &bounded
	}
	return s.appendRecord(ctx, record).err
}

// appendRecord sends a record to the owner of its shard, and appends it locally when the call to the owner fails.
func (s *Service) appendRecord(ctx context.Context, r claims.Record) appendResult {
	owner := s.owner(shardIndex(r.Key))
	if owner.ID != s.self.ID {
		response := s.forwardToOwner(ctx, owner, r)
		if response.err == nil {
			return response
		}
		s.log.WithError(response.err).WithField("owner", owner.ID).Debug("call to the owner of the claim shard failed; appending the record locally")
	}
	return s.appendLocally(ctx, r)
}

// appendLocally appends a record with this entry's own writer.
func (s *Service) appendLocally(ctx context.Context, r claims.Record) appendResult {
	if s.baseCtx.Err() != nil {
		return appendResult{err: protocol.Errorf(protocol.CodeUnavailable, "the process is stopping")}
	}
	select {
	case response := <-s.shardOf(r.Key).submit(s.baseCtx, r):
		return response
	case <-ctx.Done():
		return appendResult{err: eris.Wrap(ctx.Err(), "wait for the append to the claim log")}
	}
}

func (s *Service) shardOf(key claims.Key) *shard { return s.shards[shardIndex(key)] }

func shardIndex(key claims.Key) int { return int(xxhash.Sum64String(string(key)) % claims.Shards) }

// owner returns the entry that batches the writes of a shard: the live entry with the highest rendezvous weight.
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
