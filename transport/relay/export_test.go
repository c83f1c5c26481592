package relay

import (
	"time"

	"github.com/guavatrestle/guavatrestle/internal/bootclock"
)

// SetMaxAge sets the age of the last confirmation up to which the cache is used.
func (c *Cache) SetMaxAge(age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxAge = age
}

// SetMaxAge sets the age of the last confirmation up to which a relay is used.
func (s *Source) SetMaxAge(age time.Duration) { s.maxAge = age }

// SkipPatience makes the source read the configuration without waiting for a relay, as it does some time after its start.
func (s *Source) SkipPatience() { s.startedAt -= bootclock.Instant(relayPatience) }
