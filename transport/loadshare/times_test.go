package loadshare

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

const (
	timesStep = 50 * time.Millisecond
	// storeSpread is the largest distance of the bounds that an entry host takes from the store.
	storeSpread = 750 * time.Millisecond
)

// timesHost is an entry host or an agent of a timesRun.
type timesHost struct {
	address  netip.Addr
	table    *fleet.Table
	listener *Listener
	reporter *Reporter
	// standsUntil is set while the host stands still. Its datagrams wait in inbox meanwhile.
	standsUntil time.Time
	inbox       []timesDatagram
	// saw tells, by version, whether the host has read it from a watch since its start.
	saw map[int64]bool
}

type timesDatagram struct {
	from netip.AddrPort
	to   netip.Addr
	at   time.Time
	data []byte
}

// timesRun plays hosts that stand still, restart and hear messages late or not at all, in virtual time.
type timesRun struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Time
	hosts    []*timesHost
	inFlight []timesDatagram
	// acked holds the time at which each version became wanted.
	acked map[int64]time.Time
	// calm ends losses and long delays.
	calm  bool
	story []string
}

// timesConn is the socket of a host.
type timesConn struct {
	wiredConn
	run  *timesRun
	self netip.Addr
}

func (c timesConn) WriteToUDPAddrPort(data []byte, to netip.AddrPort) (int, error) {
	r := c.run
	delay := time.Duration(r.random.IntN(40)) * time.Millisecond
	if !r.calm && r.random.IntN(20) == 0 {
		delay = time.Duration(r.random.IntN(5000)) * time.Millisecond
	}
	if r.calm || r.random.IntN(10) != 0 {
		r.inFlight = append(r.inFlight, timesDatagram{netip.AddrPortFrom(c.self, 1), to.Addr(), r.now.Add(delay), append([]byte(nil), data...)})
	}
	return len(data), nil
}

func newTimesRun(t *testing.T, seed uint64) *timesRun {
	r := &timesRun{t: t, random: rand.New(rand.NewPCG(seed, 57)), now: time.Unix(1<<20, 0), acked: map[int64]time.Time{}}
	for i := range 3 {
		r.hosts = append(r.hosts, &timesHost{address: simulated(0, i)}, &timesHost{address: simulated(1, i)})
	}
	for _, h := range r.hosts {
		r.start(h)
	}
	return r
}

func (h *timesHost) isEntry() bool { return h.address.As4()[1] == 0 }

func (r *timesRun) note(format string, values ...any) {
	r.story = append(r.story, r.now.Format("05.00 ")+fmt.Sprintf(format, values...))
}

// start starts the process of a host, which reads the newest version from a list.
func (r *timesRun) start(h *timesHost) {
	h.table, h.inbox, h.standsUntil, h.saw = fleet.NewTable(), nil, time.Time{}, map[int64]bool{}
	h.table.SetConfiguration(&fleet.Configuration{Version: 1, Upstreams: map[core.Upstream]fleet.UpstreamSpec{
		"llm": {Engine: &fleet.EngineSpec{Models: []core.Model{"m"}}},
	}})
	for i := range 3 {
		h.table.SetReplica(r.now, 1, &fleet.Replica{ID: fleet.ReplicaID(fmt.Sprint(i)), Upstream: "llm", Address: simulated(1, i).String() + ":80"})
	}
	if newest := int64(len(r.acked)); newest > 0 {
		h.table.SetWantedVersion("m", fleet.WantedVersion{Version: newest, Until: r.now})
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log, now, view := logrus.NewEntry(logger), func() time.Time { return r.now }, func() *fleet.View { return h.table.View() }
	conn := timesConn{run: r, self: h.address}
	older := func(_ netip.Addr, model core.Model, told fleet.WantedVersion) { h.table.NarrowWanted(model, told) }
	if h.isEntry() {
		h.listener = &Listener{ListenerDependencies: ListenerDependencies{
			View: view, StoreUnresponsive: func() bool { return false }, Direct: func() bool { return true },
			Demand: func(core.Upstream) float64 { return 1 }, Log: log, Sink: Sink{
				Report: func(fleet.ReplicaID, dispatch.Report) {}, VersionTime: older, EntryHostCounts: func(int, int) {}, Relay: func(netip.Addr) {},
			},
		}, conn: conn, port: 1, now: now, peers: newPeers(h.address, "", nil)}
		return
	}
	reporter, err := NewReporter("127.0.0.1", 0, view, RequestSink{
		EntryHostCounts: func(int, int) {}, Relays: func(map[core.FailureDomain]netip.Addr) {},
		VersionTime: func(from netip.Addr, model core.Model, told fleet.WantedVersion) {
			if !h.table.SetWantedVersion(model, told) {
				older(from, model, told)
			}
		},
		NewestVersion: func(model core.Model, version int64) {
			h.table.SetWantedVersion(model, fleet.WantedVersion{Version: version, Until: r.now})
		},
	}, log)
	require.NoError(r.t, err)
	require.NoError(r.t, reporter.conn.Close())
	reporter.conn, reporter.now, reporter.arrivedAfter = conn, now, now
	reporter.SetReport(1, dispatch.Report{})
	h.reporter = reporter
}

// name makes a new version wanted. Entry hosts that run read it from a watch at once.
func (r *timesRun) name() {
	version := int64(len(r.acked) + 1)
	r.acked[version] = r.now
	r.note("version %d", version)
	for _, h := range r.hosts {
		if h.isEntry() && h.standsUntil.IsZero() {
			r.watch(h, version, r.now)
		}
	}
}

// watch makes an entry host read a version from a watch, which it held before until a time.
func (r *timesRun) watch(h *timesHost, version int64, before time.Time) {
	spread := time.Duration(r.random.Int64N(int64(storeSpread)))
	h.saw[version] = h.table.SetWantedVersion("m", fleet.WantedVersion{Version: version, Since: before.Add(-spread), Until: r.now})
}

// step lets hosts exchange messages for a moment.
func (r *timesRun) step(number int) {
	r.now = r.now.Add(timesStep)
	arrived := r.inFlight
	r.inFlight = nil
	for _, datagram := range arrived {
		if datagram.at.After(r.now) {
			r.inFlight = append(r.inFlight, datagram)
			continue
		}
		for _, h := range r.hosts {
			if h.address == datagram.to {
				h.inbox = append(h.inbox, datagram)
			}
		}
	}
	for i, h := range r.hosts {
		if r.now.Before(h.standsUntil) {
			continue
		}
		if !h.standsUntil.IsZero() {
			r.wake(h)
		}
		r.read(h)
		switch every := (number + 7*i) % 20; {
		case h.isEntry() && every == 0:
			h.listener.requestReports()
		case !h.isEntry() && every%4 == 0:
			h.reporter.send(false)
		}
		r.check(h)
	}
}

// wake makes a host run again. An entry host reads the newest version from its watch, not knowing when it became wanted meanwhile.
func (r *timesRun) wake(h *timesHost) {
	r.note("%s wakes", h.address)
	if newest := int64(len(r.acked)); h.isEntry() && newest > h.table.View().Wanted["m"].Newest() {
		r.watch(h, newest, r.acked[newest].Add(-time.Second))
	}
	h.standsUntil = time.Time{}
}

// read handles the datagrams that have arrived at a host.
func (r *timesRun) read(h *timesHost) {
	inbox := h.inbox
	h.inbox = nil
	for _, datagram := range inbox {
		received, err := decodeMessage(datagram.data)
		require.NoError(r.t, err)
		if h.isEntry() {
			h.listener.record(datagram.from, received)
		} else {
			h.reporter.take(datagram.from)(received)
		}
	}
}

// check requires that no version counts as wanted later than it was.
func (r *timesRun) check(h *timesHost) {
	for _, wanted := range h.table.View().Wanted["m"] {
		late := wanted.Since.Sub(r.acked[wanted.Version])
		require.LessOrEqual(r.t, late, time.Duration(0), "version %d counts as wanted too late at %s: %q", wanted.Version, h.address, r.story)
	}
}

// disturb makes a host stand still or restart, or names a version.
func (r *timesRun) disturb() {
	h := r.hosts[r.random.IntN(len(r.hosts))]
	switch r.random.IntN(5) {
	case 0:
		r.name()
	case 1, 2:
		h.standsUntil = r.now.Add(time.Duration(r.random.IntN(6000)) * time.Millisecond)
		r.note("%s stands still until %s", h.address, h.standsUntil.Format("05.00"))
	default:
		r.start(h)
		r.note("%s restarts", h.address)
	}
}

// checkService requires that all hosts know the time of the newest version closely if an entry host has read it from a watch.
func (r *timesRun) checkService() {
	newest := int64(len(r.acked))
	known := false
	for _, h := range r.hosts {
		known = known || h.saw[newest]
	}
	if !known || r.now.Sub(r.acked[newest]) > wantedLifetime*3/4 {
		return
	}
	for _, h := range r.hosts {
		wanted := h.table.View().Wanted["m"]
		require.EqualValues(r.t, newest, wanted.Newest(), "newest version at %s: %q", h.address, r.story)
		early := r.acked[newest].Sub(wanted[len(wanted)-1].Since)
		require.LessOrEqual(r.t, early, 2*storeSpread+time.Second, "version %d counts as wanted too early at %s: %q", newest, h.address, r.story)
	}
}

// TestVersionNeverCountsAsWantedTooLate guards against requests that begin on an old version too late, because a host that stood still
// has read the age of the new one late and told it on to hosts that start; and against service that is lost because hosts don't learn that
// age although others know it.
func TestVersionNeverCountsAsWantedTooLate(t *testing.T) {
	for seed := range uint64(60) {
		r := newTimesRun(t, seed)
		for number := range 600 {
			// Hosts stand still and restart in the first 20 s. The last 10 s are calm.
			r.calm = number >= 400
			if !r.calm && r.random.IntN(20) == 0 {
				r.disturb()
			}
			r.step(number)
		}
		r.checkService()
	}
}

// TestManyVersionsFitIntoADatagram guards against load reports and answers that are cut off, and so not read at all, because more versions
// became wanted in the last seconds than there is room for.
func TestManyVersionsFitIntoADatagram(t *testing.T) {
	now := time.Unix(1<<20, 0)
	view := &fleet.View{Configuration: &fleet.Configuration{}, Wanted: map[core.Model]fleet.Wanted{}}
	for _, model := range []core.Model{"daka510000", "daka510001"} {
		for i := range 60 {
			since := now.Add(time.Duration(i-100) * 150 * time.Millisecond)
			view.Wanted[model] = append(view.Wanted[model], fleet.WantedVersion{Version: int64(1000 + i), Since: since, Until: since.Add(700 * time.Millisecond)})
		}
	}
	versions := recentWanted(now, view)
	body, err := encodeReport(1773693574193, dispatch.Report{
		Running: 11, Waiting: 30, Slots: 12, Pace: 1.25, Demand: []float64{100.5, 20.5, 3.5}, CacheUsed: 1 << 40, CacheTotal: 1 << 41,
		Models: []fleet.LoadedModel{{Model: "daka510000", Version: 1000, Layers: 16}, {Model: "daka510001", Version: 1000, Layers: 16}},
	}, 123.25, 11, 1<<40, versions)
	require.NoError(t, err)
	require.LessOrEqual(t, len(body), maxDatagramBytes*3/4, "entry hosts that request reports add counts to their own")
	for _, model := range []string{"daka510000", "daka510001"} {
		require.True(t, slices.ContainsFunc(versions, func(v wantedVersion) bool { return v.Model == model && v.Version == 1059 }), "newest of %s", model)
	}
}

// TestVersionNewerThanTheClockReadingIsTold guards against an answer that is rejected by its receiver because a version became wanted
// between the reading of the clock and that of the view, and so has a negative age.
func TestVersionNewerThanTheClockReadingIsTold(t *testing.T) {
	now := time.Unix(1<<20, 0)
	since := now.Add(5 * time.Millisecond)
	view := &fleet.View{Configuration: &fleet.Configuration{}, Wanted: map[core.Model]fleet.Wanted{"m": {{Version: 2, Since: since, Until: since}}}}
	require.NoError(t, answerQuestion(now, view, 1).check())
}
