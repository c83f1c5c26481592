package ingress

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/limits"
)

const (
	// logLinesPerSecond and logBurstLines limit the log lines about requests. The metric ingress_log_lines_dropped
	// counts those left out.
	logLinesPerSecond = 15
	logBurstLines     = 60
)

// requestLog is a rate-limited log of single requests.
type requestLog struct {
	mu     sync.Mutex
	bucket *limits.Bucket
	log    *logrus.Entry
	now    func() time.Time
}

func newRequestLog(log *logrus.Entry, now func() time.Time) *requestLog {
	return &requestLog{bucket: limits.NewBucket(now(), logLinesPerSecond, logBurstLines), log: log, now: now}
}

// write logs a line, or drops and counts it if the rate limit is exceeded.
func (l *requestLog) write(message string, fields logrus.Fields) {
	l.mu.Lock()
	_, ok := l.bucket.Take(l.now())
	l.mu.Unlock()
	if !ok {
		varLogDropped.Add(1)
		return
	}
	l.log.WithFields(fields).Info(message)
}
