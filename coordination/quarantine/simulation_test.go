package quarantine_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/quarantine"
	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	guiltyPart  quarantine.Part = "guilty"
	commonPart  quarantine.Part = "common"
	simUpstream core.Upstream   = "llm"

	queueTime    = 100 * time.Millisecond
	crashTime    = 60 * time.Millisecond
	provenTime   = 300 * time.Millisecond
	streamTime   = 1200 * time.Millisecond
	restartTime  = 2500 * time.Millisecond
	simWarmUp    = 10 * time.Second
	simPeriod    = 20 * time.Second
	inTouchTime  = 3 * time.Second
	syncInterval = time.Second
)

// simConfig describes a simulated fleet. Requests share a first part, and each has one of some innocent second parts or the guilty one.
type simConfig struct {
	entries, workers int
	requestsPerS     float64
	guiltyPerS       float64
	// plainCrashesPerS is the rate of crashes that no request causes. massCrashAt, if set, is the time at which massCrash of the
	// workers crash at once.
	plainCrashesPerS float64
	massCrashAt      time.Duration
	massCrash        float64
	// newsLoss is the share of notices that are lost between two hosts, newsDelay their longest delay.
	newsLoss  float64
	newsDelay time.Duration
	restarts  int
	innocents int
	teams     int
	// oneTeamGuilty is true if only one team sends the guilty part.
	oneTeamGuilty bool
	seed          uint64
	settings      quarantine.Config
}

// simResult is what the oracle, which knows the guilty part, has seen.
type simResult struct {
	crashes int
	// late is the number of sends with the guilty part by undisturbed entries later than inTouchTime after the fifth crash.
	late int
	// refused is the number of refused requests without the guilty part, sound the number of all of them.
	refused, sound int
	// blamed lists the innocent parts for which a request was refused.
	blamed map[quarantine.Part]bool
}

type simEvent struct {
	at time.Time
	do func()
}

type simWorker struct {
	host     netip.Addr
	born     int64
	down     bool
	attempts map[*simAttempt]bool
}

type simEntry struct {
	detector  *quarantine.Detector
	startedAt time.Time
}

type simAttempt struct {
	entry   *simEntry
	process quarantine.Process
	team    core.Team
	parts   []quarantine.Part
	sentAt  time.Time
	proven  bool
	repeat  bool
}

type simulation struct {
	cfg     simConfig
	random  *rand.Rand
	now     time.Time
	begin   time.Time
	events  []simEvent
	entries []*simEntry
	workers []*simWorker
	// board is what the agents hold.
	board   *quarantine.Ledger
	crashes []time.Time
	result  simResult
}

func simulate(cfg simConfig) simResult {
	s := &simulation{cfg: cfg, random: rand.New(rand.NewPCG(cfg.seed, 1)), begin: time.Unix(1000, 0), board: quarantine.NewLedger(cfg.settings)}
	s.now = s.begin
	s.result.blamed = map[quarantine.Part]bool{}
	for range cfg.entries {
		entry := &simEntry{}
		s.startEntry(entry)
		s.entries = append(s.entries, entry)
		s.after(s.jitter(syncInterval), func() { s.syncLoop(entry) })
	}
	for i := range cfg.workers {
		s.workers = append(s.workers, &simWorker{
			host: netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), born: 1, attempts: map[*simAttempt]bool{},
		})
	}
	s.poisson(cfg.requestsPerS, 0, func() { s.request(false) })
	s.poisson(cfg.guiltyPerS, simWarmUp, func() { s.request(true) })
	s.poisson(cfg.plainCrashesPerS, simWarmUp/2, func() { s.crash(s.workers[s.random.IntN(len(s.workers))]) })
	for range cfg.restarts {
		s.after(simWarmUp+s.jitter(simPeriod), func() { s.startEntry(s.entries[s.random.IntN(len(s.entries))]) })
	}
	if cfg.massCrashAt > 0 {
		s.after(cfg.massCrashAt, s.crashMany)
	}
	s.run(s.begin.Add(simWarmUp + simPeriod))
	s.result.crashes = len(s.crashes)
	return s.result
}

func (s *simulation) startEntry(entry *simEntry) {
	entry.detector = quarantine.NewDetector(s.now, s.cfg.settings, rand.New(rand.NewPCG(s.random.Uint64(), 2)))
	entry.startedAt = s.now
	// An entry hears from an agent before it serves.
	if s.now.After(s.begin) {
		entry.detector.Merge(s.now, s.board.Notices())
	}
}

func (s *simulation) after(d time.Duration, do func()) {
	e := simEvent{s.now.Add(d), do}
	i, _ := slices.BinarySearchFunc(s.events, e, func(a, b simEvent) int { return cmp.Compare(b.at.UnixNano(), a.at.UnixNano()) })
	s.events = slices.Insert(s.events, i, e)
}

func (s *simulation) run(until time.Time) {
	for len(s.events) > 0 {
		next := s.events[len(s.events)-1]
		s.events = s.events[:len(s.events)-1]
		if next.at.After(until) {
			return
		}
		s.now = next.at
		next.do()
	}
}

func (s *simulation) jitter(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d) + 1))
}

func (s *simulation) poisson(perS float64, from time.Duration, do func()) {
	if perS <= 0 {
		return
	}
	var next func()
	next = func() {
		do()
		s.after(time.Duration(s.random.ExpFloat64()/perS*float64(time.Second)), next)
	}
	s.after(from+time.Duration(s.random.ExpFloat64()/perS*float64(time.Second)), next)
}

func (s *simulation) request(guilty bool) {
	a := &simAttempt{
		entry: s.entries[s.random.IntN(len(s.entries))], team: core.Team(fmt.Sprint("t", s.random.IntN(s.cfg.teams))),
		parts: []quarantine.Part{commonPart, quarantine.Part(fmt.Sprint("m", s.innocent()))},
	}
	if guilty {
		a.parts[1] = guiltyPart
		if s.random.IntN(2) == 0 {
			a.parts = append(a.parts, quarantine.Part(fmt.Sprint("m", s.innocent())))
		}
		if s.cfg.oneTeamGuilty {
			a.team = "t0"
		}
	}
	s.send(a)
}

// innocent draws a part; some are used much more often than others.
func (s *simulation) innocent() int {
	u := s.random.Float64()
	return int(u * u * u * float64(s.cfg.innocents))
}

func (s *simulation) send(a *simAttempt) {
	guilty := slices.Contains(a.parts, guiltyPart)
	if !guilty && !a.repeat {
		s.result.sound++
	}
	decision := a.entry.detector.Check(s.now, simUpstream, a.team, a.parts)
	if decision.Verdict != quarantine.VerdictSend {
		if decision.Key.Part != guiltyPart {
			s.result.blamed[decision.Key.Part] = true
		}
		if !guilty {
			s.result.refused++
		}
		return
	}
	worker := s.workers[s.random.IntN(len(s.workers))]
	if worker.down {
		return
	}
	if guilty && len(s.crashes) >= 5 {
		since := s.crashes[4].Add(inTouchTime)
		if s.now.After(since) && s.now.Sub(a.entry.startedAt) > inTouchTime {
			s.result.late++
		}
	}
	a.process, a.sentAt = quarantine.Process{Host: worker.host, Born: worker.born}, s.now
	worker.attempts[a] = true
	begin := s.jitter(queueTime)
	alive := func() bool { return worker.attempts[a] && !worker.down }
	if guilty {
		s.after(begin+crashTime, func() {
			if alive() {
				s.crash(worker)
			}
		})
		return
	}
	s.after(begin+provenTime, func() {
		if alive() {
			a.proven = true
			a.entry.detector.Served(s.now, simUpstream, a.parts)
			s.tell(a.entry)
		}
	})
	s.after(begin+streamTime, func() { delete(worker.attempts, a) })
}

func (s *simulation) crashMany() {
	for _, worker := range s.workers {
		if s.random.Float64() < s.cfg.massCrash {
			s.crash(worker)
		}
	}
}

func (s *simulation) crash(worker *simWorker) {
	if worker.down {
		return
	}
	worker.down = true
	process := quarantine.Process{Host: worker.host, Born: worker.born}
	lost := worker.attempts
	worker.attempts = map[*simAttempt]bool{}
	for a := range lost {
		if slices.Contains(a.parts, guiltyPart) {
			s.crashes = append(s.crashes, s.now)
			break
		}
	}
	ordered := make([]*simAttempt, 0, len(lost))
	for a := range lost {
		ordered = append(ordered, a)
	}
	slices.SortFunc(ordered, func(a, b *simAttempt) int { return a.sentAt.Compare(b.sentAt) })
	for _, a := range ordered {
		s.after(s.jitter(5*time.Millisecond), func() { s.lose(a, process) })
	}
	// The agent beside the worker notices its end.
	s.after(s.jitter(200*time.Millisecond), func() {
		notice := quarantine.EndedNotice(s.now, process)
		if s.board.Add(s.now, notice) {
			s.spread([]quarantine.Notice{notice})
		}
	})
	s.after(restartTime, func() { worker.down, worker.born = false, worker.born+1 })
}

func (s *simulation) lose(a *simAttempt, process quarantine.Process) {
	if !a.proven {
		a.entry.detector.Lost(s.now, a.sentAt, quarantine.Loss{Process: process, Upstream: simUpstream, Team: a.team, Parts: a.parts})
		s.tell(a.entry)
	}
	if !a.repeat {
		again := *a
		again.repeat, again.proven = true, false
		s.send(&again)
	}
}

// tell sends what an entry has written to the agents, which pass it on to all entries.
func (s *simulation) tell(entry *simEntry) {
	news := entry.detector.TakeOutgoing()
	if len(news) == 0 || s.random.Float64() < s.cfg.newsLoss {
		return
	}
	s.after(s.jitter(s.cfg.newsDelay), func() {
		for _, n := range news {
			s.board.Add(s.now, n)
		}
		s.spread(news)
	})
}

func (s *simulation) spread(news []quarantine.Notice) {
	for _, entry := range s.entries {
		if s.random.Float64() < s.cfg.newsLoss {
			continue
		}
		s.after(s.jitter(s.cfg.newsDelay), func() {
			entry.detector.Merge(s.now, news)
			s.tell(entry)
		})
	}
}

// syncLoop makes up for lost news, and for repeated ones.
func (s *simulation) syncLoop(entry *simEntry) {
	if entry.detector.Ledger().Digest() != s.board.Digest() {
		entry.detector.Merge(s.now, s.board.Notices())
		for _, n := range entry.detector.Ledger().Notices() {
			s.board.Add(s.now, n)
		}
		s.tell(entry)
	}
	s.after(syncInterval, func() { s.syncLoop(entry) })
}
