package waiting_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/waiting"
	"github.com/guavatrestle/guavatrestle/coordination/workload"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func stream(priority int, elapsed time.Duration) workload.Request {
	return workload.Request{
		Priority: priority, Arrived: start, Elapsed: elapsed, Objective: 400 * time.Millisecond,
		Deadline: start.Add(6*time.Second - elapsed), FirstEvent: 100 * time.Millisecond, Work: 1,
	}
}

// newQueue returns a queue whose requests wait for 500 ms after their objective is lost, and for 2 s if they were refused before.
func newQueue() *waiting.Queue {
	cfg := waiting.DefaultConfig()
	cfg.MaxLateWait, cfg.MaxReturnedWait = 500*time.Millisecond, 2*time.Second
	return waiting.NewQueue(cfg)
}

func order(q *waiting.Queue, now time.Time) []waiting.ID {
	var ids []waiting.ID
	for _, w := range q.Order(now) {
		ids = append(ids, w.ID)
	}
	return ids
}

// serve counts arrivals and starts per second of requests of a level over two seconds up to start.
func serve(q *waiting.Queue, level, arrivals, starts int) {
	for i := range 2 * max(arrivals, starts) {
		if i < 2*arrivals {
			q.Arrived(start, workload.Rank{Level: level})
		}
		if i < 2*starts {
			q.Started(start, 0, level)
		}
	}
}

// TestRequestsStartInOrderOfRank guards against a request that waits behind one whose delay costs less, and against one that has lost its
// objective and stays ahead of those that can still meet theirs.
func TestRequestsStartInOrderOfRank(t *testing.T) {
	q := newQueue()
	for id, request := range map[waiting.ID]workload.Request{1: stream(2, 0), 2: stream(1, 250*time.Millisecond), 3: stream(1, 0), 4: stream(0, 0)} {
		q.Add(start, waiting.Item{ID: id, Request: request})
	}
	require.Equal(t, []waiting.ID{4, 2, 3, 1}, order(q, start))
	require.Empty(t, q.Review(at(60)))
	require.Equal(t, []waiting.ID{4, 3, 2, 1}, order(q, at(60)), "2 has lost its objective")
}

// TestFullQueueRefusesTheLowestRank guards against a queue without bound, and against the refusal of the newest request in place of the
// least urgent one.
func TestFullQueueRefusesTheLowestRank(t *testing.T) {
	for _, cfg := range []waiting.Config{{MaxRequests: 2, MaxBytes: 1000, MaxLateWait: time.Second, MaxLateShare: 1}, {MaxRequests: 9, MaxBytes: 25, MaxLateWait: time.Second, MaxLateShare: 1}} {
		q := waiting.NewQueue(cfg)
		q.Add(start, waiting.Item{ID: 1, Request: stream(2, 0), Bytes: 10})
		q.Add(start, waiting.Item{ID: 2, Request: stream(1, 0), Bytes: 10})
		require.Empty(t, q.Review(start))
		q.Add(start, waiting.Item{ID: 3, Request: stream(0, 0), Bytes: 10})
		refused := q.Review(start)
		require.Len(t, refused, 1)
		require.EqualValues(t, 1, refused[0].ID)
		require.Equal(t, waiting.ReasonQueueFull, refused[0].Reason)
		require.Equal(t, 2, q.Len())
	}
}

// TestRequestBeyondTheBoundOfBytesEndsNoOther guards against an urgent request with a large body for which all waiting requests are refused,
// and then it too.
func TestRequestBeyondTheBoundOfBytesEndsNoOther(t *testing.T) {
	q := waiting.NewQueue(waiting.Config{MaxRequests: 9, MaxBytes: 25, MaxLateWait: time.Second, MaxLateShare: 1})
	q.Add(start, waiting.Item{ID: 1, Request: stream(2, 0), Bytes: 10})
	q.Add(start, waiting.Item{ID: 2, Request: stream(0, 0), Bytes: 30})
	refused := q.Review(start)
	require.Len(t, refused, 1)
	require.EqualValues(t, 2, refused[0].ID)
	require.Equal(t, waiting.ReasonQueueFull, refused[0].Reason)
	require.Equal(t, []waiting.ID{1}, order(q, start))
}

// TestRequestThatCannotStartInTimeIsRefusedAtOnce guards against a request that is held although it can't be served, when it arrives and
// when the forecast gets worse while it waits.
func TestRequestThatCannotStartInTimeIsRefusedAtOnce(t *testing.T) {
	q := newQueue()
	serve(q, 1, 0, 10)
	for id := range waiting.ID(30) {
		q.Add(start, waiting.Item{ID: id + 1, Request: stream(1, 0)})
	}
	refused := q.Review(start)
	require.NotEmpty(t, refused)
	require.Equal(t, waiting.ReasonForecast, refused[0].Reason)
	// Each gets 300 ms to its objective and 500 ms after it, and one starts every 100 ms.
	require.Equal(t, 9, q.Len())
	left := q.Len()
	serve(q, 0, 20, 0)
	require.NotEmpty(t, q.Review(at(10)), "more urgent requests take the room")
	require.Less(t, q.Len(), left)
}

// TestWaitEndsInTime guards against a request that is held until its deadline.
func TestWaitEndsInTime(t *testing.T) {
	q := newQueue()
	short := stream(0, 0)
	short.Deadline = at(150)
	none := stream(0, 0)
	none.Objective = 0
	for id, request := range map[waiting.ID]workload.Request{1: stream(0, 0), 2: short, 3: none, 4: stream(0, time.Second)} {
		q.Add(start, waiting.Item{ID: id, Request: request})
	}
	ends := map[waiting.ID]int{}
	for ms := 0; ms <= 3000; ms += 10 {
		for _, refusal := range q.Review(at(ms)) {
			require.Equal(t, waiting.ReasonTimeout, refusal.Reason)
			ends[refusal.ID] = ms
		}
	}
	require.Equal(t, map[waiting.ID]int{1: 800, 2: 50, 3: 500, 4: 2000}, ends)
	q.Add(at(400), waiting.Item{ID: 5, Request: none, Since: start})
	state, _ := q.State(5)
	require.Equal(t, at(500), state.Until, "queued again after a new configuration")
}

// TestReturnsAreSpread guards against refused callers that come back at the same moment, and against callers that are told to come back
// although no room is expected before their deadline.
func TestReturnsAreSpread(t *testing.T) {
	q := newQueue()
	serve(q, 1, 0, 10)
	invited, last := 0, time.Duration(0)
	for range 50 {
		after := q.RetryAfter(start, stream(1, 0), 0)
		require.GreaterOrEqual(t, after, last)
		require.LessOrEqual(t, after, 10*time.Second)
		if after < 6*time.Second {
			require.Greater(t, after, last)
			invited++
		}
		last = after
	}
	// Of 10 requests per second a quarter is promised, for 6 s.
	require.InDelta(t, 15, invited, 2)
	require.Less(t, q.RetryAfter(start, stream(0, 0), 0), time.Second, "a more urgent caller finds room")
}

// TestLevelBelowItsMinimumShareGoesFirst guards against a priority that starves behind more urgent ones.
func TestLevelBelowItsMinimumShareGoesFirst(t *testing.T) {
	q := newQueue()
	q.Add(start, waiting.Item{ID: 1, Request: stream(0, 0)})
	q.Add(start, waiting.Item{ID: 2, Request: stream(2, 0)})
	q.Add(start, waiting.Item{ID: 3, Request: stream(2, 0)})
	require.Equal(t, []waiting.ID{1, 2, 3}, order(q, start))
	serve(q, 0, 10, 10)
	serve(q, 2, 10, 1)
	require.Equal(t, []waiting.ID{2, 1, 3}, order(q, start))
	require.True(t, q.Order(start)[0].Guaranteed)
}
