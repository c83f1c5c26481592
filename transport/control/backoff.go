package control

import (
	"math/rand/v2"
	"time"
)

const (
	// backoffBase is the longest first wait.
	backoffBase = 400 * time.Millisecond
	// backoffCap is the longest wait. After an outage 22 watchers come back within it, which is about
	// one call a second.
	backoffCap = 20 * time.Second
)

// backoff yields growing, jittered waits.
type backoff struct {
	random  *rand.Rand
	attempt int
}

// newBackoff returns a backoff with a random source of its own.
func (n *Node) newBackoff() *backoff {
	n.mu.Lock()
	defer n.mu.Unlock()
	return newBackoff(n.Random.Uint64())
}

func newBackoff(seed uint64) *backoff {
	return &backoff{random: rand.New(rand.NewPCG(seed, 0))}
}

// next returns the wait after one more failure. It is never shorter than retryAfter, and spread beyond it,
// so that processes that were told the same time don't return together.
func (b *backoff) next(retryAfter time.Duration) time.Duration {
	longest := min(backoffBase<<min(b.attempt, 10), backoffCap)
	b.attempt++
	wait := longest/2 + time.Duration(b.random.Int64N(int64(longest/2)))
	if wait < retryAfter {
		wait = retryAfter + time.Duration(b.random.Int64N(int64(retryAfter/2)+1))
	}
	return wait
}

func (b *backoff) reset() { b.attempt = 0 }
