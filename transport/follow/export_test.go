package follow

import (
	"time"

	"github.com/guavatrestle/guavatrestle/internal/bootclock"
)

// UseTimeNow replaces the clock of the host by the one of package time, which a synctest bubble controls.
func (f *Follower) UseTimeNow() {
	f.now = func() bootclock.Instant { return bootclock.Instant(time.Now().UnixNano()) }
}
