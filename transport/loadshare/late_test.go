package loadshare

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/quarantine"
	"github.com/guavatrestle/guavatrestle/coordination/reporting"
	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// ledgerNotices keeps notices in a ledger.
type ledgerNotices struct {
	notices
	ledger   *quarantine.Ledger
	now      func() time.Time
	compared int
}

func (n *ledgerNotices) Digest() uint64 { return n.ledger.Digest() }
func (n *ledgerNotices) MarkCompared()  { n.compared++ }
func (n *ledgerNotices) Merge(notices []quarantine.Notice) {
	for _, notice := range notices {
		n.ledger.Add(n.now(), notice)
	}
}

// TestNoticesReadLateDoNotKeepASoundPartInQuarantine guards against requests that are refused for minutes: a host that stood still read
// that a prompt part was put into quarantine, and then that it was sound, dated both by its own reading, and took them in the wrong order.
func TestNoticesReadLateDoNotKeepASoundPartInQuarantine(t *testing.T) {
	s := newSimulation(t, 8, 1)
	key := quarantine.Key{Upstream: "llm", Part: "aa"}
	const stood = 4 * time.Second
	// told returns what a host tells at a time: the quarantine of the start, and the sound part of a second later if sound is set.
	began := s.now
	told := func(after time.Duration, sound bool) []notice {
		now := began.Add(after)
		list := []notice{encodeNotice(now, quarantine.Notice{ID: 1, At: began, Quarantine: &quarantine.Quarantine{Key: key, AllTeams: true, Since: began}})}
		if sound {
			list = append(list, encodeNotice(now, quarantine.Notice{ID: 2, At: began.Add(time.Second), Sound: &key}))
		}
		return list
	}
	quarantined := func(ledger *quarantine.Ledger) bool {
		for _, n := range ledger.Notices() {
			if n.Quarantine != nil {
				return true
			}
		}
		return false
	}
	arrivedAfter := func() bootclock.Instant { return bootclock.Instant(began.UnixNano()) }
	l, r := s.listeners[0], s.reporters[0]
	kept := &ledgerNotices{notices: notices{s, l.peers.self}, ledger: quarantine.NewLedger(quarantine.DefaultConfig()), now: s.time}
	l.ListenerDependencies.Notices, l.ListenerDependencies.ArrivedAfter = kept, arrivedAfter
	r.SetArrivedAfter(arrivedAfter)
	digest := uint64(7)
	deliver := func(m message) {
		l.record(netip.AddrPortFrom(simulated(1, 99), 1), m)
		r.take(netip.AddrPortFrom(simulated(0, 99), 1))(m)
	}

	s.now = began.Add(stood)
	deliver(message{Notices: told(0, false)})
	// The sound part was told 2 s after it was found.
	deliver(message{Notices: told(3*time.Second, true)[1:], Digest: &digest})
	require.Zero(t, kept.compared, "what was read late is no comparison")

	l.ListenerDependencies.ArrivedAfter, r.arrivedAfter = nil, s.time
	s.now = s.now.Add(time.Second)
	deliver(message{Notices: told(stood+time.Second, true), Digest: &digest})
	require.False(t, quarantined(kept.ledger), "entry host")
	require.False(t, quarantined(r.ledger), "agent")
	require.Equal(t, 1, kept.compared)
}

// TestCountsReadLateAreNotToldOn guards against counts of entry hosts that never get old, because hosts that stood still date them anew and
// tell them on; and against relays and counts of hosts that have gone while an agent stood still.
func TestCountsReadLateAreNotToldOn(t *testing.T) {
	s := newSimulation(t, 8, 1)
	l, r := s.listeners[0], s.reporters[0]
	began := s.now
	old := []hostCount{{FailureDomain: "brest-0", Hosts: 40, AgeMS: 900}}
	s.now = began.Add(4 * time.Second)
	fresh := reporting.Count{FailureDomain: "brest-0", Hosts: 20, At: s.now.Add(-time.Second)}
	l.peers.census.Learn(s.now, fresh)
	r.census.Learn(s.now, fresh)
	l.ListenerDependencies.ArrivedAfter = func() bootclock.Instant { return bootclock.Instant(began.UnixNano()) }
	r.SetArrivedAfter(l.ListenerDependencies.ArrivedAfter)
	var counted [2]int
	r.sink.EntryHostCounts = func(hosts, unresponsive int) { counted = [2]int{hosts, unresponsive} }

	gone := netip.AddrPortFrom(simulated(0, 9), 1)
	request := message{Counts: old, FailureDomain: "brest-0", Direct: true, StoreUnresponsive: true}
	l.record(netip.AddrPortFrom(simulated(1, 1), 1), message{Counts: old})
	r.take(gone)(request)
	r.send(true)
	require.Equal(t, 20, l.peers.census.Total(s.now), "entry host")
	require.Equal(t, 20, r.census.Total(s.now), "agent")
	require.Zero(t, counted)
	require.NotContains(t, r.relays(true), core.FailureDomain("brest-0"))
	require.Empty(t, r.answer(&message{AskEntries: true, FailureDomain: "brest-0"}).Entries)
	require.Contains(t, r.requesters, gone, "the host gets reports if it is there")

	r.arrivedAfter = s.time
	r.take(gone)(request)
	r.send(true)
	require.Equal(t, [2]int{1, 1}, counted)
	require.Equal(t, gone.Addr(), r.relays(true)["brest-0"])
}
