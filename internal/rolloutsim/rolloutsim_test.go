package rolloutsim_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/internal/rolloutsim"
	"github.com/guavatrestle/guavatrestle/transport/staging"
)

const (
	// target is the largest permitted ratio of the time from wanted, or from the return of the origin, to the bound of the links.
	target = 1.3
	// orderAndLoad is the time of an order with its verification and of a load.
	orderAndLoad = 1200 * time.Millisecond
	// graceMargin is the time before the bound from which old weights get no requests, as in cmd/guavatrestled.
	graceMargin = 700 * time.Millisecond
	outage      = 6 * time.Second
)

func current(d rolloutsim.Deployment) rolloutsim.Policy {
	cfg := staging.DefaultConfig()
	settings := transfer.Config{Transfer: cfg.Transfer, OriginReaders: cfg.OriginReaders, GainPolls: cfg.GainPolls}
	return rolloutsim.Current(d, settings, cfg.LinkShare, cfg.CrossRegionSlots, d.ActivationTimeout-graceMargin)
}

func deployments(hosts int) map[string]rolloutsim.Deployment {
	brittany, oberland := rolloutsim.Brittany(), rolloutsim.Oberland()
	brittany.Hosts, oberland.Hosts = hosts, hosts
	return map[string]rolloutsim.Deployment{"brittany": brittany, "oberland": oberland}
}

// play runs a scenario with the present and with the earlier decisions and logs the figures of both.
func play(t *testing.T, d rolloutsim.Deployment, sc rolloutsim.Scenario) (now, earlier rolloutsim.Result) {
	t.Helper()
	now, earlier = rolloutsim.Run(d, sc, current(d)), rolloutsim.Run(d, sc, rolloutsim.Earlier(d))
	for name, r := range map[string]rolloutsim.Result{"now": now, "earlier": earlier} {
		t.Logf("%-8s held at %v, last load %v, shortage %v, lowest %.2f, origin %.2f copies, %d refused there, %d busy, %d orders, %d late",
			name, r.HeldAt, r.LoadedAt, r.Shortage, r.Lowest, r.OriginCopies, r.OriginRefusals, r.Busy, r.Orders, r.LateOrders)
	}
	return now, earlier
}

func at(seconds ...float64) []time.Duration {
	var times []time.Duration
	for _, s := range seconds {
		times = append(times, time.Duration(s*float64(time.Second)))
	}
	return times
}

// TestOneVersionIsNotWorseOffThanBefore guards against more load orders, more bytes from the origin or a shortage of replicas where one
// version is wanted at a time, and against a slower transfer than the earlier decisions have.
func TestOneVersionIsNotWorseOffThanBefore(t *testing.T) {
	for name, d := range deployments(58) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			now, earlier := play(t, d, rolloutsim.Scenario{WantedAt: at(1), Until: 12 * time.Second, Seed: 1})
			require.Equal(t, d.Hosts, now.Orders)
			require.LessOrEqual(t, now.OriginCopies, earlier.OriginCopies)
			require.LessOrEqual(t, now.Shortage, earlier.Shortage)
			require.GreaterOrEqual(t, now.Lowest, earlier.Lowest)
			require.Less(t, now.HeldAt[2], earlier.HeldAt[2])
			require.Zero(t, now.LateOrders)
			require.Zero(t, now.OriginRefusals)
		})
	}
}

// TestVersionReachesAllHostsCloseToTheBound guards against time that hosts lose beyond what the links need, when a version becomes wanted
// and when the origin returns.
func TestVersionReachesAllHostsCloseToTheBound(t *testing.T) {
	for name, d := range deployments(58) {
		for _, from := range at(0, 1) {
			t.Run(fmt.Sprint(name, " outage until ", from+outage), func(t *testing.T) {
				t.Parallel()
				sc := rolloutsim.Scenario{WantedAt: at(1), Until: 16 * time.Second, Seed: 1}
				start := time.Second
				if from > 0 {
					sc.OriginAway, start = rolloutsim.Window{From: from, To: from + outage}, from+outage
				}
				now, earlier := play(t, d, sc)
				ratio := func(r rolloutsim.Result) float64 { return float64(r.HeldAt[2]-start) / float64(d.LinkBound()) }
				t.Logf("time by bound of the links: %.2f, earlier %.2f", ratio(now), ratio(earlier))
				require.LessOrEqual(t, ratio(now), target)
			})
		}
	}
}

// TestFirstRequestFollowsTheReturnOfTheOrigin guards against a link that stays idle after an outage, and against a burst of requests above
// the limit of connections.
func TestFirstRequestFollowsTheReturnOfTheOrigin(t *testing.T) {
	for name, d := range deployments(58) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sc := rolloutsim.Scenario{
				WantedAt: at(1), OriginAway: rolloutsim.Window{From: 1500 * time.Millisecond, To: 5 * time.Second}, Until: 6 * time.Second, Seed: 1,
			}
			now, earlier := play(t, d, sc)
			t.Logf("first request after %v, at most %d in 50 ms; earlier %v and %d", now.FirstRequestAfterOutage, now.PeakRequestsAfterOutage,
				earlier.FirstRequestAfterOutage, earlier.PeakRequestsAfterOutage)
			require.LessOrEqual(t, now.FirstRequestAfterOutage, 300*time.Millisecond)
			require.Less(t, now.PeakRequestsAfterOutage, earlier.PeakRequestsAfterOutage)
			require.Zero(t, now.OriginRefusals)
		})
	}
}

// permittedShortage returns the shortage that remains if, after the outage, the newest version needs the target times the bound of the
// links, and if hosts serve the version before it until its end where the links carried that one before the outage.
func permittedShortage(d rolloutsim.Deployment, sc rolloutsim.Scenario) time.Duration {
	grace := d.ActivationTimeout - graceMargin
	fetch := time.Duration(target * float64(d.LinkBound()))
	last := len(sc.WantedAt) - 1
	ready := sc.WantedAt[last] + fetch + orderAndLoad
	if sc.OriginAway.To > sc.WantedAt[last] && sc.OriginAway.From < sc.WantedAt[last]+fetch {
		ready = sc.OriginAway.To + fetch + orderAndLoad
	}
	served := sc.WantedAt[0] + grace
	if last > 0 && sc.WantedAt[last-1]+fetch <= sc.OriginAway.From {
		served = sc.WantedAt[last] + grace
	}
	return max(ready-served, 0)
}

// outageRun is a scenario with an outage of the origin and its results.
type outageRun struct {
	name         string
	permitted    time.Duration
	now, earlier rolloutsim.Result
}

// outageRuns returns, by customer, runs with one, two and three versions and outages that begin at different times: in each half second
// with two versions, in each second otherwise.
var outageRuns = sync.OnceValue(func() map[string][]outageRun {
	runs := map[string][]outageRun{}
	var mu sync.Mutex
	var customers sync.WaitGroup
	for customer, d := range deployments(18) {
		customers.Go(func() {
			list := runsOf(d)
			mu.Lock()
			defer mu.Unlock()
			runs[customer] = list
		})
	}
	customers.Wait()
	return runs
})

func runsOf(d rolloutsim.Deployment) []outageRun {
	var runs []outageRun
	for count, interval := range map[int]time.Duration{1: time.Second, 2: time.Second / 2, 3: time.Second} {
		for from := interval; from <= 6*time.Second; from += interval {
			sc := rolloutsim.Scenario{
				WantedAt: at(1, 3, 5)[:count], OriginAway: rolloutsim.Window{From: from, To: from + outage}, Until: 17 * time.Second, Seed: 1,
			}
			runs = append(runs, outageRun{
				name: fmt.Sprint(count, " versions, outage from ", from), permitted: permittedShortage(d, sc),
				now: rolloutsim.Run(d, sc, current(d)), earlier: rolloutsim.Run(d, sc, rolloutsim.Earlier(d)),
			})
		}
	}
	return runs
}

// TestOutageDuringASuccessionLeavesShorterHoles guards against replicas without a permitted version for longer than with the earlier
// decisions, which abandon versions by a timer and drop their pieces.
func TestOutageDuringASuccessionLeavesShorterHoles(t *testing.T) {
	for customer, runs := range outageRuns() {
		var total, totalEarlier time.Duration
		for _, r := range runs {
			total, totalEarlier = total+r.now.Shortage, totalEarlier+r.earlier.Shortage
			t.Logf("%s, %s: shortage %v, earlier %v, permitted %v, orders %d and %d, origin %.2f and %.2f", customer, r.name, r.now.Shortage,
				r.earlier.Shortage, r.permitted, r.now.Orders, r.earlier.Orders, r.now.OriginCopies, r.earlier.OriginCopies)
			require.LessOrEqual(t, r.now.Shortage, r.earlier.Shortage, r.name)
			require.Zero(t, r.now.LateOrders, r.name)
			require.Zero(t, r.now.OriginRefusals, r.name)
		}
		t.Logf("%s: %v in all, earlier %v", customer, total, totalEarlier)
	}
}

// TestOutageLeavesNoHoleBeyondTheLinks guards against replicas without a permitted version for longer than the links need.
func TestOutageLeavesNoHoleBeyondTheLinks(t *testing.T) {
	for customer, runs := range outageRuns() {
		for _, r := range runs {
			assert.LessOrEqual(t, r.now.Shortage, r.permitted, "%s, %s", customer, r.name)
		}
	}
}

// checkSuccession fails the test unless the shortage without an outage is less than a fifth of the earlier one.
func checkSuccession(t *testing.T, wanted []time.Duration) {
	t.Helper()
	for name, d := range deployments(30) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			now, earlier := play(t, d, rolloutsim.Scenario{WantedAt: wanted, Until: 16 * time.Second, Seed: 1})
			require.Greater(t, earlier.Shortage, 500*time.Millisecond, "the earlier decisions show the hole")
			require.Less(t, now.Shortage, earlier.Shortage/5)
			require.Zero(t, now.LateOrders)
		})
	}
}

// TestTwoVersionsLeaveNoHole guards against replicas that all load within a short time, or that have no permitted version, when two versions
// become wanted 2 s apart.
func TestTwoVersionsLeaveNoHole(t *testing.T) { checkSuccession(t, at(1, 3)) }

// TestThreeVersionsLeaveNoHole is TestTwoVersionsLeaveNoHole for three versions.
func TestThreeVersionsLeaveNoHole(t *testing.T) { checkSuccession(t, at(1, 3, 5)) }

// TestFaultsDuringASuccession guards against replicas that never load the newest version, or load it after the bound, when news comes late,
// agents restart or a region is cut off.
func TestFaultsDuringASuccession(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	late := map[int]time.Duration{}
	for host := range 30 {
		late[host] = time.Duration(random.Int64N(int64(1500 * time.Millisecond)))
	}
	faults := map[string]func(*rolloutsim.Scenario){
		"news late": func(sc *rolloutsim.Scenario) { sc.NewsDelay = func(host int) time.Duration { return late[host] } },
		"agents restart": func(sc *rolloutsim.Scenario) {
			sc.Restarts = map[int]time.Duration{1: 2e9, 6: 2e9, 12: 3200e6, 20: 4e9}
		},
		"region cut": func(sc *rolloutsim.Scenario) {
			sc.RegionCut = rolloutsim.Window{From: 2 * time.Second, To: 5 * time.Second}
		},
	}
	for name, d := range deployments(30) {
		for fault, apply := range faults {
			t.Run(name+" "+fault, func(t *testing.T) {
				t.Parallel()
				sc := rolloutsim.Scenario{WantedAt: at(1, 3), Until: 18 * time.Second, Seed: 1}
				apply(&sc)
				now, earlier := play(t, d, sc)
				require.InDelta(t, 1, now.Serving[len(now.Serving)-1], 0.001, "all replicas serve the newest version in the end")
				require.LessOrEqual(t, now.Shortage, earlier.Shortage)
				require.Zero(t, now.LateOrders)
			})
		}
	}
}
