// Package quarantine finds the parts of prompts on which replicas crash and decides which requests are kept from them.
//
// Hosts tell each other about attempts that were lost, processes of replicas that ended and parts that turned out to be sound. Each
// entry host decides for itself. A part is blamed if it was in attempts at several processes that ended, no request with it has been
// served since the first of them, and requests without it are rarely lost at the same time.
//
// The package takes no locks and reads no clock: callers serialize access and pass in the time.
package quarantine

import (
	"fmt"
	"hash/fnv"
	"net/netip"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// Part is the ID of a part of a prompt.
type Part string

// Key identifies a part at an upstream. Replicas of another upstream may serve the part.
type Key struct {
	Upstream core.Upstream
	Part     Part
}

// Process identifies a process of a replica by the address of its host and its start in Unix milliseconds.
type Process struct {
	Host netip.Addr
	Born int64
}

// Loss is an attempt that ended with its connection before its response had shown the prompt to be sound.
type Loss struct {
	Process  Process
	Upstream core.Upstream
	Team     core.Team
	// Parts lists the parts that may be the cause, in the order of the prompt.
	Parts []Part
}

// Quarantine keeps requests with a part from the replicas of an upstream.
type Quarantine struct {
	Key Key
	// Team is the only team whose requests are kept from them, unless AllTeams is set.
	Team     core.Team
	AllTeams bool
	// Since is the time of the first loss that counts.
	Since time.Time
	// Processes is the number of processes that ended.
	Processes int
	// Round is the number of earlier quarantines of the part that were not lifted.
	Round int
}

// covers reports whether the quarantine applies to the requests of a team.
func (q *Quarantine) covers(team core.Team) bool { return q.AllTeams || q.Team == team }

// Notice is a fact that hosts tell each other. Exactly one of Loss, Ended, Sound and Quarantine is set.
type Notice struct {
	// ID is drawn by the host that writes the notice. That of an ended process follows from the process.
	ID uint64
	// At is the time of the fact on the clock of the host that holds the notice.
	At   time.Time
	Loss *Loss
	// Ended is a process that has ended, whatever the cause.
	Ended *Process
	// Sound is a part with which a request has been served, or that an operator has cleared.
	Sound      *Key
	Quarantine *Quarantine
}

// EndedNotice returns the notice that a process has ended. All hosts that see it write the same one.
func EndedNotice(now time.Time, process Process) Notice {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s/%d", process.Host, process.Born)
	return Notice{ID: hash.Sum64(), At: now, Ended: &process}
}

// Config holds the settings of a Detector and a Ledger.
type Config struct {
	// MinProcesses is the number of processes that must have ended under requests with a part before it is blamed. A lower one costs
	// fewer processes, and a sound part is blamed more often.
	MinProcesses int
	// WidenProcesses is that number for a part that is in quarantine for another team.
	WidenProcesses int
	// MinEvidence is the evidence needed against a part, as the natural logarithm of how much more likely the losses are if it is the
	// cause than if it is not. A part that is in quarantine for another team needs half of it.
	MinEvidence float64
	// MinExpected is the number of requests with a part that would have been served meanwhile if it was sound, as far as the part is
	// known from before. MaxSound is the number of other served requests that is enough in any case.
	MinExpected float64
	MaxSound    int
	// Window is the time for which a loss counts.
	Window time.Duration
	// Duration is the time of a first quarantine. It doubles with each further one of the part, up to MaxDuration.
	Duration    time.Duration
	MaxDuration time.Duration
	// TrialInterval is the time between two trial requests of a host after a quarantine has run out.
	TrialInterval time.Duration
	// LossRate and LossBurst bound the losses that a host tells others about, per second and at once.
	LossRate  float64
	LossBurst int
	// MaxNotices bounds the notices of each kind in a Ledger, MaxParts the sound parts that a Detector remembers.
	MaxNotices int
	MaxParts   int
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		MinProcesses: 4, WidenProcesses: 2, MinEvidence: 9, MinExpected: 5, MaxSound: 100,
		Window: 2 * time.Minute, Duration: 10 * time.Minute, MaxDuration: 24 * time.Hour, TrialInterval: 5 * time.Second,
		LossRate: 10, LossBurst: 40, MaxNotices: 128, MaxParts: 4096,
	}
}

// duration returns the time of a quarantine.
func (c *Config) duration(q *Quarantine) time.Duration {
	d := c.Duration
	for range q.Round {
		if d *= 2; d >= c.MaxDuration {
			return c.MaxDuration
		}
	}
	return d
}
