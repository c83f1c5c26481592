package hosted

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/hostdelay"
	"github.com/guavatrestle/guavatrestle/internal/bootclock"
)

var varFallenBehind = expvar.NewInt("entry_fallen_behind")

// delayWatch measures how late the timers of this process fire.
type delayWatch struct {
	monitor *hostdelay.Monitor
	behind  atomic.Bool
	log     *logrus.Entry
}

func newDelayWatch(random *rand.Rand, log *logrus.Entry) *delayWatch {
	return &delayWatch{monitor: hostdelay.NewMonitor(hostdelay.DefaultConfig(), random.Float64()), log: log}
}

// run measures until ctx is done.
func (w *delayWatch) run(ctx context.Context) {
	timer := time.NewTimer(hostdelay.SampleInterval)
	defer timer.Stop()
	for {
		due := bootclock.Time().Add(hostdelay.SampleInterval)
		timer.Reset(hostdelay.SampleInterval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := bootclock.Time()
		w.record(now, now.Sub(due))
	}
}

// record adds a measurement and logs a change.
func (w *delayWatch) record(now time.Time, delay time.Duration) {
	if !w.monitor.Record(now, delay) {
		return
	}
	behind := w.monitor.Behind()
	w.behind.Store(behind)
	log := w.log.WithField("timer_delay_ms", w.monitor.Delay().Milliseconds())
	if !behind {
		log.Info("host takes new callers again")
		return
	}
	varFallenBehind.Add(1)
	log.Warn("host falls behind and asks for no new callers")
}
