package relay

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/relay"
	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/feed"
	"github.com/guavatrestle/guavatrestle/transport/held"
	"github.com/guavatrestle/guavatrestle/transport/netdial"
)

const (
	// connectTimeout bounds the time to connect to a relay of the same failure domain.
	connectTimeout = 300 * time.Millisecond
	// watchSlack is the time after the wait of a watch within which a relay must answer; a suspended relay does not.
	watchSlack = 400 * time.Millisecond
	// configurationWait and otherWait bound the wait of watches at a relay. The configuration's is short, so that a relay that is
	// suspended is noticed well within the time in which a change must be in force.
	configurationWait = 600 * time.Millisecond
	otherWait         = 5 * time.Second
	// probeWait bounds the wait of a relay's watch of the configuration at the store, and probeSlack the time after it within which
	// the store must answer, so that the relay notices soon that it has lost the store.
	probeWait  = 500 * time.Millisecond
	probeSlack = 500 * time.Millisecond
	// fallbackWait is the wait of a watch at the store after the relay failed.
	fallbackWait = 100 * time.Millisecond
	// listTimeout bounds the first list of a kind from a relay, which may have to read the kind itself. relistTimeout bounds further
	// ones, during a burst of changes: a relay that is suspended is noticed well within the time in which a change must be in force.
	listTimeout   = 2500 * time.Millisecond
	relistTimeout = 700 * time.Millisecond
	// relayPatience is the time after its start for which a process waits for a relay before it reads the configuration from the
	// store. After a restart of all hosts their reads of a large configuration would saturate the links between regions.
	relayPatience = 1200 * time.Millisecond
	// patienceCheckInterval is the time between two looks for a relay during that wait.
	patienceCheckInterval = 20 * time.Millisecond
	// maxConfirmationAge is the age of the store's last confirmation of the configuration beyond which a relay is not used: it has
	// lost the store. A sound relay gets one at least every 1.2 s: the wait of its watch and the pause after a change.
	maxConfirmationAge = 1350 * time.Millisecond
	// maxOtherAge is the same for the other kinds, of which a sound relay watches each for 2 s at a time: one watch that ends with a
	// change, the pause after it, the next watch and the time that the store has to answer it.
	maxOtherAge = 6 * time.Second
	// maxResponseBytes bounds a response of a relay.
	maxResponseBytes = 16 << 20
)

// Counters of the reads by relays.
var (
	varServed      = expvar.NewInt("relay_served")
	varServedBytes = expvar.NewInt("relay_served_bytes")
	varRelayed     = expvar.NewInt("relay_reads")
	varFallbacks   = expvar.NewInt("relay_fallbacks")
	varDirect      = expvar.NewInt("relay_store_reads")
)

// Config holds the settings and dependencies of a Source.
type Config struct {
	Store feed.Source
	// Cache receives what is read from the store; nil if this process is never a relay.
	Cache *Cache
	// Self is the address of this host, Port the port of the relays.
	Self netip.Addr
	Port int
	// Brief leaves the routes and workspaces out of configurations from a relay.
	Brief bool
	// Held counts the responses of relays; nil for none.
	Held *held.Account
	// Now returns the time since the host's boot; nil means bootclock.Now.
	Now func() bootclock.Instant
	// ArrivedAfter returns a time after which everything has arrived that the process reads now, as standstill.Monitor does; nil means Now.
	ArrivedAfter func() bootclock.Instant
	Log          *logrus.Entry
}

// Source reads the store through the relay of the failure domain while there is one that works, and directly otherwise.
type Source struct {
	cfg       Config
	client    *resty.Client
	startedAt bootclock.Instant
	// maxAge returns the age of a relay's last confirmation of a kind by the store up to which it is used.
	maxAge func(feed.Kind) time.Duration

	mu        sync.Mutex
	directory *relay.Directory
	// newest holds the era and the latest change read of each kind. A relay that is behind it is not used.
	newest map[feed.Kind]position
	// relayed is true for the kinds that were last read from a relay.
	relayed map[feed.Kind]bool
	// failed is closed and replaced when a relay fails, to end all other reads from it.
	failed chan struct{}
}

// position is a point in the store's history.
type position struct{ era, revision int64 }

// before reports whether p is earlier than q in the store's history.
func (p position) before(q position) bool {
	return p.era < q.era || p.era == q.era && p.revision < q.revision
}

// lastChange returns the position of the latest change in a batch.
func lastChange(batch feed.Batch) position {
	last := position{era: batch.Era}
	for _, record := range batch.Records {
		last.revision = max(last.revision, record.Revision)
	}
	return last
}

var _ feed.Source = (*Source)(nil)

// NewSource returns a Source that knows no relay yet.
func NewSource(cfg Config) *Source {
	if cfg.Now == nil {
		cfg.Now = bootclock.Now
	}
	if cfg.ArrivedAfter == nil {
		cfg.ArrivedAfter = cfg.Now
	}
	transport := held.CountResponses(netdial.NewTransportWithTimeout(connectTimeout), cfg.Held)
	client := resty.New().SetTransport(transport).SetResponseBodyLimit(maxResponseBytes)
	return &Source{
		cfg: cfg, client: client, startedAt: cfg.Now(), directory: relay.NewDirectory(cfg.Self),
		newest: make(map[feed.Kind]position), relayed: make(map[feed.Kind]bool),
		failed: make(chan struct{}), maxAge: maxAgeOf,
	}
}

func (s *Source) time() time.Time { return time.Unix(0, int64(s.cfg.Now())) }

// maxAgeOf returns the age of the last confirmation of a kind beyond which a relay is not used.
func maxAgeOf(kind feed.Kind) time.Duration {
	if kind == feed.KindConfiguration {
		return maxConfirmationAge
	}
	return maxOtherAge
}

// SetRelay records that an agent has named the relay of this host's failure domain.
func (s *Source) SetRelay(address netip.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.Mention(s.time(), address)
}

// Direct reports whether this host reads the store itself.
func (s *Source) Direct() bool {
	_, ok := s.relay()
	return !ok
}

func (s *Source) relay() (netip.Addr, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Choose(s.time())
}

// List implements feed.Source.
func (s *Source) List(ctx context.Context, kind feed.Kind, stale bool) (feed.Batch, error) {
	if kind == feed.KindConfiguration {
		s.awaitRelay(ctx)
	}
	for {
		address, ok := s.relay()
		if !ok {
			return s.listDirectly(ctx, kind, stale)
		}
		batch, err := s.readRelay(ctx, address, kind, url.Values{}, s.listTimeout(kind))
		if err == nil {
			return batch, nil
		}
		if ctx.Err() != nil {
			return feed.Batch{}, err
		}
		s.fail(address, err)
	}
}

// listTimeout returns the time in which a relay must answer a list of a kind.
func (s *Source) listTimeout(kind feed.Kind) time.Duration {
	if s.newestOf(kind) == (position{}) {
		return listTimeout
	}
	return relistTimeout
}

// awaitRelay waits until a relay is known, up to relayPatience after the start of the process.
func (s *Source) awaitRelay(ctx context.Context) {
	for time.Duration(s.cfg.Now()-s.startedAt) < relayPatience && ctx.Err() == nil {
		s.mu.Lock()
		known := s.directory.Known(s.time())
		s.mu.Unlock()
		if known {
			return
		}
		sleep(ctx, patienceCheckInterval)
	}
}

// Watch implements feed.Source.
func (s *Source) Watch(ctx context.Context, kind feed.Kind, since int64, wait time.Duration) (feed.Batch, error) {
	sent := s.cfg.Now()
	if address, ok := s.relay(); ok {
		batch, err := s.watchRelay(ctx, address, kind, since, wait)
		if err == nil || ctx.Err() != nil || protocol.CodeOf(err) == protocol.CodeExpired {
			return batch, err
		}
		s.fail(address, err)
		wait = min(wait, fallbackWait)
	}
	batch, completeAt, err := s.watchDirectly(ctx, kind, since, wait)
	if err != nil {
		return feed.Batch{}, err
	}
	// The call to the store was sent later and may have waited for less than the caller asked for.
	batch.CompleteAfter = time.Duration(completeAt - sent)
	return batch, nil
}

func (s *Source) watchRelay(
	ctx context.Context, address netip.Addr, kind feed.Kind, since int64, wait time.Duration,
) (feed.Batch, error) {
	relayWait := otherWait
	if kind == feed.KindConfiguration {
		relayWait = configurationWait
	}
	relayWait = min(relayWait, wait)
	query := url.Values{
		paramSince: {strconv.FormatInt(since, 10)},
		paramEra:   {strconv.FormatInt(s.newestOf(kind).era, 10)},
		paramWait:  {strconv.FormatInt(relayWait.Milliseconds(), 10)},
	}
	return s.readRelay(ctx, address, kind, query, relayWait+watchSlack)
}

// readRelay makes one call to a relay.
func (s *Source) readRelay(
	ctx context.Context, address netip.Addr, kind feed.Kind, query url.Values, timeout time.Duration,
) (feed.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ended := make(chan struct{})
	defer close(ended)
	failed := s.failure()
	go func() {
		select {
		case <-failed:
			cancel()
		case <-ended:
		}
	}()
	if s.cfg.Brief {
		query.Set(paramBrief, "1")
	}
	host := net.JoinHostPort(address.String(), strconv.Itoa(s.cfg.Port))
	response, err := s.client.R().SetContext(ctx).SetHeader("Accept-Encoding", encodingGzip).
		SetQueryParamsFromValues(query).Get("http://" + host + pathPrefix + string(kind))
	if err != nil {
		return feed.Batch{}, protocol.Wrap(protocol.CodeUnavailable, err, "read "+string(kind)+" from the relay")
	}
	if status := response.StatusCode(); status != http.StatusOK {
		return feed.Batch{}, protocol.Errorf(protocol.CodeOfStatus(status, protocol.CodeUnavailable),
			"read %s from the relay: status %d", kind, status)
	}
	var wire wireBatch
	if err := json.Unmarshal(response.Body(), &wire); err != nil {
		return feed.Batch{}, protocol.Wrap(protocol.CodeMalformed, err, "decode "+string(kind)+" from the relay")
	}
	if age := time.Duration(wire.AgeMS) * time.Millisecond; age > s.maxAge(kind) {
		return feed.Batch{}, protocol.Errorf(protocol.CodeUnavailable, "the relay has heard nothing of %s from the store for %s", kind, age)
	}
	batch := feed.Batch{
		Revision: wire.Revision, Era: wire.Era, Relayed: true,
		HeldFor: time.Duration(wire.HeldMS) * time.Millisecond, CompleteAfter: wire.completeAfter(),
	}
	batch.ChangedAfter, batch.Dated = wire.changedAfter()
	for _, record := range wire.Records {
		decoded := record.decode(kind, s.cfg.Brief)
		if errors.Is(decoded.Err, errKeysUnknown) {
			// Skipped like other records that can't be decoded, it would leave the configuration before it in force, and confirmed.
			return feed.Batch{}, errKeysUnknown
		}
		batch.Records = append(batch.Records, decoded)
	}
	return batch, s.accept(kind, batch)
}

// accept records the position of a batch from a relay, or returns an error if this host has read later records already.
func (s *Source) accept(kind feed.Kind, batch feed.Batch) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if (position{batch.Era, batch.Revision}).before(s.newest[kind]) {
		return protocol.Errorf(protocol.CodeUnavailable, "the relay's %s are of revision %d in era %d, older than those known",
			kind, batch.Revision, batch.Era)
	}
	s.recordChange(kind, batch)
	if !s.relayed[kind] && s.cfg.Cache != nil {
		s.cfg.Cache.Reset(kind)
	}
	s.relayed[kind] = true
	varRelayed.Add(1)
	return nil
}

// recordChange moves the latest position of a kind up to that of a batch; the caller must hold the lock.
func (s *Source) recordChange(kind feed.Kind, batch feed.Batch) {
	if last := lastChange(batch); s.newest[kind].before(last) {
		s.newest[kind] = last
	}
}

func (s *Source) fail(address netip.Addr, err error) {
	varFallbacks.Add(1)
	s.cfg.Log.WithError(err).WithField("relay", address).Warn("relay fails, reading the store directly")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.Fail(s.time(), address)
	close(s.failed)
	s.failed = make(chan struct{})
}

// failure returns a channel that is closed when a relay fails.
func (s *Source) failure() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

func (s *Source) newestOf(kind feed.Kind) position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest[kind]
}

func (s *Source) listDirectly(ctx context.Context, kind feed.Kind, stale bool) (feed.Batch, error) {
	sent := s.cfg.Now()
	batch, err := s.cfg.Store.List(ctx, kind, stale)
	if err != nil {
		return batch, err
	}
	s.recordDirect(kind, batch)
	if s.cfg.Cache != nil && !stale {
		s.cfg.Cache.PutList(kind, batch, sent)
	}
	return batch, nil
}

// watchDirectly watches a kind at the store. It also returns the time up to which the store has confirmed that the batch is complete.
func (s *Source) watchDirectly(
	ctx context.Context, kind feed.Kind, since int64, wait time.Duration,
) (feed.Batch, bootclock.Instant, error) {
	cached := s.cfg.Cache != nil && s.cfg.Cache.Holds(kind, s.newestOf(kind).era, since)
	if !cached && s.cfg.Cache != nil && s.elected() {
		return feed.Batch{}, 0, protocol.Errorf(protocol.CodeExpired, "%s must be listed to answer other hosts", kind)
	}
	if cached && kind == feed.KindConfiguration && s.elected() {
		wait = min(wait, probeWait)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, wait+probeSlack)
		defer cancel()
	}
	sent := s.cfg.Now()
	batch, err := s.cfg.Store.Watch(ctx, kind, since, wait)
	if err != nil {
		return feed.Batch{}, 0, err
	}
	s.recordDirect(kind, batch)
	completeAt := sent
	if len(batch.Records) == 0 && time.Duration(s.cfg.Now()-sent) >= wait {
		completeAt = sent + bootclock.Instant(wait)
	}
	if cached {
		s.cfg.Cache.PutChanges(kind, batch, completeAt, s.changedAfter(sent))
	}
	return batch, completeAt, nil
}

// changedAfter returns the earliest time of the changes that a watch returns now which was sent at a time, 0 if it is unknown.
func (s *Source) changedAfter(sent bootclock.Instant) bootclock.Instant {
	if time.Duration(s.cfg.Now()-sent) <= feed.PromptResponseLimit {
		return 0
	}
	// A change ended the wait of the watch, so it was made right before the answer arrived.
	return s.cfg.ArrivedAfter()
}

func (s *Source) elected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Elected(s.time())
}

// recordDirect records the position of a batch from the store.
func (s *Source) recordDirect(kind feed.Kind, batch feed.Batch) {
	varDirect.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relayed[kind] = false
	s.recordChange(kind, batch)
}
