package relay

import (
	"net/http"
	"time"

	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/protocol/feed"
)

// SetMaxAge sets the age of the last confirmation up to which the cache is used.
func (c *Cache) SetMaxAge(age time.Duration) {
	c.SetMaxAges(func(feed.Kind) time.Duration { return age })
}

// SetMaxAges is SetMaxAge with an age for each kind.
func (c *Cache) SetMaxAges(age func(feed.Kind) time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxAge = age
}

// SetMaxAge sets the age of the last confirmation up to which a relay is used.
func (s *Source) SetMaxAge(age time.Duration) {
	s.maxAge = func(feed.Kind) time.Duration { return age }
}

// SkipPatience makes the source read the configuration without waiting for a relay, as it does some time after its start.
func (s *Source) SkipPatience() { s.startedAt -= bootclock.Instant(relayPatience) }

// SetTransport replaces the connections to relays.
func (s *Source) SetTransport(transport http.RoundTripper) { s.client.SetTransport(transport) }

// SetNow sets the clock of the cache.
func (c *Cache) SetNow(now func() bootclock.Instant) { c.now = now }
