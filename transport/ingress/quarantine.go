package ingress

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/coordination/quarantine"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/transport"
	"github.com/guavatrestle/guavatrestle/transport/backend"
	"github.com/guavatrestle/guavatrestle/transport/netdial"
)

const (
	// soundAfter is the time after the first event of a stream from which on its replica has survived the prompt. A crash follows the
	// beginning of the response within about a tenth of a second.
	soundAfter = 250 * time.Millisecond
	// probeTimeout bounds the connection attempt that shows whether the process of a replica has ended.
	probeTimeout = 300 * time.Millisecond
	// comparePatience is the time after its start for which a host does not take callers because it doesn't know yet which prompt parts
	// are in quarantine.
	comparePatience = 1500 * time.Millisecond
)

// Counters of the quarantine of prompt parts.
var (
	varQuarantineLosses  = expvar.NewInt("quarantine_losses")
	varQuarantineEnds    = expvar.NewInt("quarantine_processes_ended")
	varQuarantineStarted = expvar.NewInt("quarantine_started")
	varQuarantineLearned = expvar.NewInt("quarantine_learned")
	varQuarantineLifted  = expvar.NewInt("quarantine_lifted")
	varQuarantineTrials  = expvar.NewInt("quarantine_trials")
)

// errQuarantined is the cause of giving up an attempt before anything was sent, because a part of the prompt is in quarantine.
var errQuarantined = errors.New("a part of the prompt is in quarantine")

// Quarantine makes a quarantine.Detector safe for concurrent use, and tells when it has something to tell other hosts.
type Quarantine struct {
	now func() time.Time
	log *logrus.Entry

	mu       sync.Mutex
	detector *quarantine.Detector
	// probing holds the processes that a connection attempt is made to.
	probing map[quarantine.Process]bool
	probes  sync.WaitGroup
	// outgoing receives a value when there are notices for other hosts.
	outgoing chan struct{}
	// compared is set once another host has compared its notices with those of this one, startedAt is the start of this host.
	compared  atomic.Bool
	startedAt time.Time
}

// NewQuarantine returns a Quarantine that knows nothing yet.
func NewQuarantine(cfg quarantine.Config, random *rand.Rand, now func() time.Time, log *logrus.Entry) *Quarantine {
	return &Quarantine{
		now: now, log: log, detector: quarantine.NewDetector(now(), cfg, random),
		probing: make(map[quarantine.Process]bool), outgoing: make(chan struct{}, 1), startedAt: now(),
	}
}

// MarkCompared records that another host has compared its notices with those of this one.
func (q *Quarantine) MarkCompared() { q.compared.Store(true) }

// known reports whether this host knows what others know, or has waited for that long enough.
func (q *Quarantine) known() bool {
	return q.compared.Load() || q.now().Sub(q.startedAt) > comparePatience
}

// Outgoing returns a channel that receives a value when there are notices for other hosts.
func (q *Quarantine) Outgoing() <-chan struct{} { return q.outgoing }

// TakeOutgoing returns the notices of this host that other hosts have not been told yet.
func (q *Quarantine) TakeOutgoing() []quarantine.Notice {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.detector.TakeOutgoing()
}

// Notices returns all notices that this host knows.
func (q *Quarantine) Notices() []quarantine.Notice {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.detector.Ledger().Notices()
}

// Digest returns the digest of the notices that this host knows.
func (q *Quarantine) Digest() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	// Hosts forget notices at the same age, so expired ones must not count.
	q.detector.Ledger().Expire(q.now())
	return q.detector.Ledger().Digest()
}

// Merge adds notices of other hosts.
func (q *Quarantine) Merge(notices []quarantine.Notice) {
	q.change(func(now time.Time) {
		before := q.detector.Quarantines()
		for _, n := range q.detector.Merge(now, notices) {
			if n.Quarantine != nil {
				varQuarantineLearned.Add(1)
				q.logQuarantine("prompt part in quarantine, as another host says", now, n)
			}
		}
		for _, s := range before {
			if !q.detector.InQuarantine(s.Key) {
				q.log.WithField("part", s.Key.Part).WithField("upstream", s.Key.Upstream).Info("prompt part is sound, as another host says")
			}
		}
	})
}

// Clear lifts the quarantine of a part on all hosts.
func (q *Quarantine) Clear(key quarantine.Key) {
	q.change(func(now time.Time) {
		q.detector.Clear(now, key)
		q.log.WithField("part", key.Part).WithField("upstream", key.Upstream).Info("prompt part cleared by an operator")
	})
}

// State returns the quarantines in force, for debug dumps.
func (q *Quarantine) State() []quarantine.Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.detector.Quarantines()
}

// Wait waits for the connection attempts that show whether processes have ended.
func (q *Quarantine) Wait() { q.probes.Wait() }

// change calls fn with the lock held, logs the quarantines that follow and reports that there is something to tell.
func (q *Quarantine) change(fn func(now time.Time)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	told := q.detector.OutgoingCount()
	fn(now)
	added := q.detector.PeekOutgoing(told)
	for _, n := range added {
		if n.Quarantine != nil {
			varQuarantineStarted.Add(1)
			q.logQuarantine("prompt part in quarantine", now, n)
		}
	}
	if len(added) == 0 {
		return
	}
	select {
	case q.outgoing <- struct{}{}:
	default:
	}
}

func (q *Quarantine) logQuarantine(message string, now time.Time, n quarantine.Notice) {
	q.log.WithFields(logrus.Fields{
		"part": n.Quarantine.Key.Part, "upstream": n.Quarantine.Key.Upstream, "team": n.Quarantine.Team,
		"all_teams": n.Quarantine.AllTeams, "processes_ended": n.Quarantine.Processes, "round": n.Quarantine.Round,
		"first_loss_ms": now.Sub(n.Quarantine.Since).Milliseconds(), "age_ms": now.Sub(n.At).Milliseconds(),
	}).Warn(message)
}

func (q *Quarantine) check(upstream core.Upstream, team core.Team, parts []quarantine.Part) quarantine.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.detector.Check(q.now(), upstream, team, parts)
}

// beginTrial returns false if another request is the trial.
func (q *Quarantine) beginTrial(key quarantine.Key) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.detector.BeginTrial(q.now(), key) {
		return false
	}
	varQuarantineTrials.Add(1)
	q.log.WithField("part", key.Part).WithField("upstream", key.Upstream).Info("trial request for a prompt part")
	return true
}

func (q *Quarantine) served(upstream core.Upstream, parts []quarantine.Part) {
	q.change(func(now time.Time) {
		for _, key := range q.detector.Served(now, upstream, parts) {
			varQuarantineLifted.Add(1)
			q.log.WithField("part", key.Part).WithField("upstream", key.Upstream).Warn("prompt part is sound, quarantine lifted")
		}
	})
}

// lost records a lost attempt and finds out whether the process of its replica has ended.
func (q *Quarantine) lost(sentAt time.Time, address string, loss quarantine.Loss) {
	varQuarantineLosses.Add(1)
	q.change(func(now time.Time) { q.detector.Lost(now, sentAt, loss) })
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.probing[loss.Process] {
		return
	}
	q.probing[loss.Process] = true
	q.probes.Go(func() { q.probe(address, loss.Process) })
}

// probe records that the process of a replica has ended if nothing accepts connections at its address.
func (q *Quarantine) probe(address string, process quarantine.Process) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := netdial.Dial(ctx, address)
	if err == nil {
		_ = conn.Close()
	}
	q.change(func(now time.Time) {
		delete(q.probing, process)
		if errors.Is(err, syscall.ECONNREFUSED) {
			varQuarantineEnds.Add(1)
			q.detector.Ended(now, process)
		}
	})
}

// sharedParts returns the parts of a prompt that other requests may have too: all but the last one.
func sharedParts(promptParts []string) []quarantine.Part {
	if len(promptParts) < 2 {
		return nil
	}
	parts := make([]quarantine.Part, len(promptParts)-1)
	for i := range parts {
		parts[i] = quarantine.Part(promptParts[i])
	}
	return parts
}

func (c *call) teamName() core.Team {
	if c.team == nil {
		return ""
	}
	return c.team.Name
}

// checkQuarantine returns an error if a part of the prompt is in quarantine. For a trial it returns the only replica to use.
func (c *call) checkQuarantine() (quarantine.Decision, *transport.Error) {
	if len(c.sharedParts) == 0 {
		return quarantine.Decision{Verdict: quarantine.VerdictSend}, nil
	}
	decision := c.h.Quarantine.check(c.upstream, c.teamName(), c.sharedParts)
	if decision.Verdict != quarantine.VerdictRefuse {
		return decision, nil
	}
	return decision, transport.Errorf(http.StatusServiceUnavailable, api.CodePromptQuarantined, api.RunNotRun,
		"part %s of the prompt is in quarantine: %d replicas of %s ended under requests with it",
		decision.Key.Part, decision.Processes, c.upstream)
}

// quarantined reports whether a part of the prompt is in quarantine now, other than for a trial.
func (c *call) quarantined() bool {
	if c.trial {
		return false
	}
	_, err := c.checkQuarantine()
	return err != nil
}

// recordSound records that the replica has survived the prompt, once for each attempt.
func (c *call) recordSound() {
	if c.stage == stageSound {
		return
	}
	c.stage = stageSound
	if len(c.sharedParts) > 0 {
		c.h.Quarantine.served(c.upstream, c.sharedParts)
	}
}

// recordEnd records that a response is complete. One that ends with its connection may have been cut off by the end of the replica, and
// one with an error says nothing about the prompt.
func (c *call) recordEnd(response *backend.Response) {
	if response.Framed && response.Status < http.StatusMultipleChoices {
		c.recordSound()
	}
}

// recordLoss records that the connection of an attempt ended before the replica had survived the prompt.
func (c *call) recordLoss(choice dispatch.Choice, sentAt time.Time) {
	address, err := netip.ParseAddrPort(choice.Address)
	if len(c.sharedParts) == 0 || err != nil || c.stage == stageSound {
		return
	}
	c.h.Quarantine.lost(sentAt, choice.Address, quarantine.Loss{
		Process:  quarantine.Process{Host: address.Addr().Unmap(), Born: choice.Born()},
		Upstream: c.upstream, Team: c.teamName(), Parts: c.sharedParts,
	})
}
