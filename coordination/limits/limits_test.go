package limits_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavatrestle/guavatrestle/coordination/limits"
	"github.com/guavatrestle/guavatrestle/internal/proptest"
	"github.com/guavatrestle/guavatrestle/state/core"
)

func TestMain(m *testing.M) { proptest.Main(m) }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestBucketNeverExceedsItsRate guards against a bucket that allows more than burst plus rate times the elapsed time.
func TestBucketNeverExceedsItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.5, 100).Draw(t, "rate")
		burst := rapid.IntRange(1, 20).Draw(t, "burst")
		now := start
		bucket := limits.NewBucket(now, rate, burst)
		latest, taken, takenAtOnce := now, 0, 0
		take := func(t *rapid.T) {
			wait, ok := bucket.Take(now)
			if !ok {
				require.Positive(t, wait)
				now = now.Add(wait + time.Microsecond)
				latest, takenAtOnce = maxTime(latest, now), 0
				_, ok = bucket.Take(now)
				require.True(t, ok, "no token after the wait that the bucket returned")
			}
			taken++
			takenAtOnce++
		}
		t.Repeat(map[string]func(*rapid.T){
			"take": take,
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.SampledFrom([]int{-500, -20, 20, 500, 5000}).Draw(t, "ms")) * time.Millisecond)
				latest, takenAtOnce = maxTime(latest, now), 0
			},
			"": func(t *rapid.T) {
				require.LessOrEqual(t, float64(taken), float64(burst)+rate*latest.Sub(start).Seconds()+1e-6)
				require.LessOrEqual(t, takenAtOnce, burst, "more than the burst at one moment")
			},
		})
	})
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// TestFairQueueGivesEachTeamItsShare guards against a team that exceeds its share at the expense of others, also after
// canceled requests.
func TestFairQueueGivesEachTeamItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rounds = 120
		weights := map[core.Team]int{"litoral": rapid.IntRange(1, 5).Draw(t, "a"), "ajiboye": rapid.IntRange(1, 5).Draw(t, "b"), "norte": 1}
		queue := limits.NewQueue(limits.QueueConfig{MaxWait: time.Hour})
		teamOf := make(map[limits.ItemID]core.Team)
		lastID := limits.ItemID(0)
		push := func(team core.Team) limits.ItemID {
			lastID++
			item := limits.Item{ID: lastID, Team: team, Weight: weights[team], TeamQueueLimit: 1000, Deadline: start.Add(24 * time.Hour)}
			reason, _ := queue.Push(start, item)
			require.Equal(t, limits.ReasonNone, reason)
			teamOf[lastID] = team
			return lastID
		}
		for range rapid.IntRange(0, 50).Draw(t, "cancelled") {
			queue.Cancel(push("ajiboye"))
		}
		for team := range weights {
			for range rounds {
				push(team)
			}
		}
		served := make(map[core.Team]int)
		total := 0
		for _, weight := range weights {
			total += weight
		}
		for n := 1; n <= rounds; n++ {
			id := queue.Order()[0]
			queue.Dequeue(start, id)
			served[teamOf[id]]++
			for team, weight := range weights {
				share := float64(n) * float64(weight) / float64(total)
				require.InDelta(t, share, served[team], float64(len(weights)), "share of %s after %d", team, n)
			}
		}
	})
}

// queueModel is the oracle for the bounds of the queue. It holds the queued requests and the times at which they were queued.
type queueModel struct {
	queue    *limits.Queue
	now      time.Time
	lastID   limits.ItemID
	waiting  map[limits.ItemID]limits.Item
	queuedAt map[limits.ItemID]time.Time
}

const (
	teamQueueLimit = 2
	maxWait        = 2 * time.Second
)

func (m *queueModel) push(t *rapid.T) {
	m.lastID++
	item := limits.Item{
		ID: m.lastID, Team: core.Team(fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "team"))), Weight: 1, TeamQueueLimit: teamQueueLimit,
		Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond),
	}
	reason, retryAfter := m.queue.Push(m.now, item)
	queuedByTeam := 0
	for _, other := range m.waiting {
		if other.Team == item.Team {
			queuedByTeam++
		}
	}
	if queuedByTeam >= teamQueueLimit {
		require.Equal(t, limits.ReasonTeamQueueFull, reason)
	}
	if reason != limits.ReasonNone {
		require.GreaterOrEqual(t, retryAfter, time.Second, "refusal without a retry time")
		return
	}
	m.waiting[item.ID], m.queuedAt[item.ID] = item, m.now
}

func (m *queueModel) serve(*rapid.T) {
	if order := m.queue.Order(); len(order) > 0 {
		m.queue.Dequeue(m.now, order[0])
		delete(m.waiting, order[0])
	}
}

func (m *queueModel) expire(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pass")) * time.Millisecond)
	for _, id := range m.queue.Expire(m.now) {
		delete(m.waiting, id)
	}
	for id, item := range m.waiting {
		waited := m.now.Sub(m.queuedAt[id])
		require.Less(t, waited, maxWait, "request waited longer than the bound")
		require.Less(t, waited, item.Deadline.Sub(m.queuedAt[id])/2, "request waited for more than half of its time to the deadline")
	}
}

// TestQueueIsBoundedAndHoldsNoRequestTooLong guards against a queue that grows without bound, or that keeps a
// request until too little time remains to serve it.
func TestQueueIsBoundedAndHoldsNoRequestTooLong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{
			queue: limits.NewQueue(limits.QueueConfig{MaxWait: maxWait, MinServiceTime: 100 * time.Millisecond}),
			now:   start, waiting: map[limits.ItemID]limits.Item{}, queuedAt: map[limits.ItemID]time.Time{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": m.push, "push again": m.push, "serve": m.serve, "expire": m.expire,
			"cancel": func(*rapid.T) {
				for _, id := range m.queue.Order() {
					m.queue.Cancel(id)
					delete(m.waiting, id)
					return
				}
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(m.waiting), m.queue.Len())
				require.Len(t, m.queue.Order(), len(m.waiting))
			},
		})
	})
}

// TestStalledQueueRefusesAtOnce guards against queueing a request although the queue has served none for longer than the
// time to its deadline.
func TestStalledQueueRefusesAtOnce(t *testing.T) {
	queue := limits.NewQueue(limits.QueueConfig{MaxWait: 10 * time.Second})
	item := limits.Item{ID: 1, Team: "litoral", Weight: 1, TeamQueueLimit: 10, Deadline: start.Add(time.Minute)}
	reason, _ := queue.Push(start, item)
	require.Equal(t, limits.ReasonNone, reason)
	now := start.Add(3 * time.Second)
	reason, retryAfter := queue.Push(now, limits.Item{ID: 2, Team: "ajiboye", Weight: 1, TeamQueueLimit: 10, Deadline: now.Add(2 * time.Second)})
	require.Equal(t, limits.ReasonNoCapacity, reason)
	require.GreaterOrEqual(t, retryAfter, 3*time.Second)
}

// BenchmarkServeWith1000Waiting measures serving one request while 1000 requests of ten teams are queued.
func BenchmarkServeWith1000Waiting(b *testing.B) {
	queue := limits.NewQueue(limits.QueueConfig{MaxWait: time.Hour})
	push := func(id int) {
		item := limits.Item{ID: limits.ItemID(id), Team: core.Team(fmt.Sprint(id % 10)), Weight: 1, TeamQueueLimit: 1000, Deadline: start.Add(time.Hour)}
		queue.Push(start, item)
	}
	for i := range 1000 {
		push(i)
	}
	for i := 1000; b.Loop(); i++ {
		queue.Dequeue(start, queue.Order()[0])
		push(i)
	}
}
