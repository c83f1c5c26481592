package ingress

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
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

// LogLimitChange logs that a replica states a request limit, another one than before, or none any more.
func LogLimitChange(log *logrus.Entry, change *dispatch.LimitChange) {
	message := "replica limits its requests"
	fields := logrus.Fields{
		"replica": change.Replica, "source": change.Source, "known_ms": change.Known.Milliseconds(), "chosen": change.Chosen,
	}
	if change.Limit.Stated {
		fields["requests_per_s"] = change.Limit.PerSecond
	} else {
		message = "replica limits its requests no more"
	}
	log.WithFields(fields).Info(message)
}
