package ingress

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/limits"
)

const (
	// logRate and logBurst bound the lines about requests; the counters show what is left out.
	logRate  = 15
	logBurst = 60
)

// requestLog writes a bounded number of lines about requests.
type requestLog struct {
	mu     sync.Mutex
	bucket *limits.Bucket
	log    *logrus.Entry
	now    func() time.Time
}

func newRequestLog(log *logrus.Entry, now func() time.Time) *requestLog {
	return &requestLog{bucket: limits.NewBucket(now(), logRate, logBurst), log: log, now: now}
}

// write writes a line unless there were too many lately.
func (l *requestLog) write(message string, fields logrus.Fields) {
	l.mu.Lock()
	_, ok := l.bucket.Take(l.now())
	l.mu.Unlock()
	if !ok {
		varLogLost.Add(1)
		return
	}
	l.log.WithFields(fields).Info(message)
}
