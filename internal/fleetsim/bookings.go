package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/internal/virtualtime"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// BookingSlots is the number of slots of each replica of the service, BookingObjective the latency objective.
const (
	BookingSlots     = 6
	BookingObjective = 200 * time.Millisecond
)

// SpeedPeriod is the time after which the speeds of replicas change.
const SpeedPeriod = 600 * time.Millisecond

// ChangingPace returns the pace of a replica if 15 % of them are 2.5 times slower at a time.
func ChangingPace(replica int, at time.Duration) float64 {
	if rand.New(rand.NewPCG(uint64(at/SpeedPeriod), uint64(replica))).Float64() < 0.15 {
		return 2.5
	}
	return 1
}

// Bookings is a run of hosts and replicas of a service that refuses when full, with ChangingPace.
type Bookings struct {
	rule      Rule
	queue     *virtualtime.Queue
	random    *rand.Rand
	hosts     []*dispatch.Balancer
	running   []int
	ownCounts [][]int

	Arrived, InTime, Served, Sent, Refused, Slow int
}

// RunBookings runs the deployment for a duration.
func RunBookings(rule Rule, hosts, replicas int, perSecond float64, duration time.Duration, seed uint64) *Bookings {
	f := &Bookings{rule: rule, queue: virtualtime.NewQueue(start), random: rand.New(rand.NewPCG(seed, 7)), running: make([]int, replicas)}
	v := &fleet.View{Configuration: &fleet.Configuration{Upstreams: map[core.Upstream]fleet.UpstreamSpec{"bookings": {}}}}
	for i := range replicas {
		v.Members = append(v.Members, fleet.Member{Replica: fleet.Replica{
			ID: fleet.ReplicaID(fmt.Sprint(i)), Upstream: "bookings", FailureDomain: Domain(0), Slots: BookingSlots, Born: 1,
		}})
	}
	cfg := dispatch.DefaultConfig()
	cfg.FailureDomain, cfg.Region = Domain(0), Region(0)
	cfg.Regions = map[core.FailureDomain]core.Region{Domain(0): Region(0)}
	for host := range hosts {
		b := dispatch.NewBalancer(cfg, rand.New(rand.NewPCG(seed, uint64(host)+1)))
		b.SetView(v)
		f.hosts, f.ownCounts = append(f.hosts, b), append(f.ownCounts, make([]int, replicas))
	}
	var arrive func()
	arrive = func() {
		f.Arrived++
		f.try(f.random.IntN(hosts), f.queue.Now(), nil, 3)
		f.queue.After(time.Duration(f.random.ExpFloat64()/perSecond*1e9), arrive)
	}
	arrive()
	f.queue.Run(start.Add(duration))
	return f
}

func (f *Bookings) pace(replica int) float64 {
	return ChangingPace(replica, f.queue.Now().Sub(start))
}

func (f *Bookings) pick(host int, arrived time.Time, exclude []fleet.ReplicaID) (dispatch.Choice, bool) {
	if f.rule == LeastOfTwo {
		a, b := f.random.IntN(len(f.running)), f.random.IntN(len(f.running))
		if f.ownCounts[host][b] < f.ownCounts[host][a] {
			a = b
		}
		return dispatch.Choice{ID: fleet.ReplicaID(fmt.Sprint(a))}, true
	}
	left := BookingObjective - f.queue.Now().Sub(arrived)
	choice, verdict := f.hosts[host].Pick(f.queue.Now(), dispatch.Request{
		Upstream: "bookings", Once: true, ObjectiveLeft: max(left, 0), DeadlineLeft: left + time.Second, Exclude: exclude,
	})
	return choice, verdict == dispatch.VerdictChosen
}

// try sends a request to a replica, and once more if it refuses. While there is no replica it tries again every 10 ms.
func (f *Bookings) try(host int, arrived time.Time, exclude []fleet.ReplicaID, tries int) {
	choice, ok := f.pick(host, arrived, exclude)
	if !ok {
		if tries > 1 {
			f.queue.After(10*time.Millisecond, func() { f.try(host, arrived, exclude, tries-1) })
		}
		return
	}
	var replica int
	_, _ = fmt.Sscan(string(choice.ID), &replica)
	f.Sent++
	f.ownCounts[host][replica]++
	delay := time.Duration(1+f.random.IntN(4)) * time.Millisecond
	f.queue.After(delay, func() {
		sentAt := f.queue.Now().Add(-delay)
		if f.running[replica] == BookingSlots {
			f.Refused++
			f.respond(host, choice, replica, dispatch.OutcomeShed, sentAt)
			if len(exclude) == 0 {
				f.queue.After(delay, func() { f.try(host, arrived, []fleet.ReplicaID{choice.ID}, 3) })
			}
			return
		}
		f.running[replica]++
		if f.pace(replica) > 1 {
			f.Slow++
		}
		service := time.Duration(f.pace(replica) * 90e6 * math.Exp(0.3*f.random.NormFloat64()))
		f.queue.After(service, func() {
			f.running[replica]--
			f.Served++
			if f.queue.Now().Add(delay).Sub(arrived) <= BookingObjective {
				f.InTime++
			}
			f.respond(host, choice, replica, dispatch.OutcomeServed, sentAt)
		})
	})
}

// respond delivers the header and the end of a response.
func (f *Bookings) respond(host int, choice dispatch.Choice, replica int, outcome dispatch.Outcome, sentAt time.Time) {
	report := dispatch.Report{Running: f.running[replica], Slots: BookingSlots, CurrentPace: f.pace(replica)}
	f.queue.After(2*time.Millisecond, func() {
		f.ownCounts[host][replica]--
		if f.rule == ByHeader {
			f.hosts[host].RecordReport(f.queue.Now(), choice.ID, report)
		}
		f.hosts[host].Done(f.queue.Now(), choice, outcome, f.queue.Now().Sub(sentAt))
	})
}

// Add adds the counts of another run.
func (f *Bookings) Add(other *Bookings) {
	f.Arrived, f.InTime, f.Served = f.Arrived+other.Arrived, f.InTime+other.InTime, f.Served+other.Served
	f.Sent, f.Refused, f.Slow = f.Sent+other.Sent, f.Refused+other.Refused, f.Slow+other.Slow
}

// Share returns the share of requests that were served within the objective.
func (f *Bookings) Share() float64 { return float64(f.InTime) / float64(f.Arrived) }
