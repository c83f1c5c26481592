package limits

import (
	"cmp"
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// maxQueued bounds the requests of all teams in one queue.
	maxQueued = 10_000
	// minRetryAfter is the least time that a refused caller is told to wait.
	minRetryAfter = time.Second
	// gapWeight is the weight of the newest gap in the average time between two served requests.
	gapWeight = 0.2
)

// QueueConfig bounds the waiting in a queue.
type QueueConfig struct {
	// MaxWait bounds the time in the queue.
	MaxWait time.Duration
	// MinServiceTime is the least time that must remain for the call itself.
	MinServiceTime time.Duration
}

// ItemID identifies a queued request.
type ItemID uint64

// Item is a request that asks for a place in a queue.
type Item struct {
	ID             ItemID
	Team           core.Team
	Weight         int
	TeamQueueLimit int // bound of the team's queue
	Deadline       time.Time
}

// Reason says why a request got no place.
type Reason string

// Reasons of a refusal.
const (
	ReasonNone Reason = ""
	// ReasonTeamQueueFull means that the team's own queue is full.
	ReasonTeamQueueFull Reason = "team_queue_full"
	// ReasonNoCapacity means that the request cannot be served in time.
	ReasonNoCapacity Reason = "no_capacity"
)

// Queue is a weighted fair queue in virtual time.
//
// Each team's requests stay in order. A request's tag is its team's base plus 1/weight for each request up to it, and
// requests are served in the order of tags. A team that had nothing queued starts at the tag served last, so that
// neither an idle time nor a cancelled request gives or costs a share.
//
// Queue is not safe for concurrent use.
type Queue struct {
	cfg     QueueConfig
	teams   map[core.Team]*teamQueue
	virtual float64
	length  int
	// gap is the average time between two served requests while others waited; 0 until measured.
	gap time.Duration
	// markedAt is when a request was last served, or when the queue last ceased to be empty.
	markedAt time.Time
}

type teamQueue struct {
	weight float64
	base   float64
	items  []queued
}

type queued struct {
	id      ItemID
	expires time.Time
}

// NewQueue returns an empty queue.
func NewQueue(cfg QueueConfig) *Queue {
	return &Queue{cfg: cfg, teams: make(map[core.Team]*teamQueue)}
}

// Len returns the number of requests queued.
func (q *Queue) Len() int { return q.length }

// Push gives a request a place, or returns the reason of its refusal and when to ask again.
func (q *Queue) Push(now time.Time, item Item) (Reason, time.Duration) {
	team := q.team(item)
	defer q.forgetIdle(item.Team)
	if len(team.items) >= item.TeamQueueLimit {
		return ReasonTeamQueueFull, max(minRetryAfter, q.estimate(now, team))
	}
	wait := q.estimate(now, team)
	room := item.Deadline.Sub(now) - q.cfg.MinServiceTime
	if q.length >= maxQueued || wait > q.cfg.MaxWait || wait >= room {
		return ReasonNoCapacity, max(minRetryAfter, wait)
	}
	if q.length == 0 {
		q.markedAt = now
	}
	// Half of the room is the most that a request waits, so that none is held until near its deadline.
	team.items = append(team.items, queued{id: item.ID, expires: now.Add(min(q.cfg.MaxWait, room/2))})
	q.length++
	return ReasonNone, 0
}

// Order returns the requests queued in the order in which they are to be served.
func (q *Queue) Order() []ItemID {
	type tagged struct {
		id  ItemID
		tag float64
	}
	all := make([]tagged, 0, q.length)
	for _, team := range q.teams {
		for i, item := range team.items {
			all = append(all, tagged{id: item.id, tag: team.tag(i)})
		}
	}
	slices.SortFunc(all, func(a, b tagged) int {
		return cmp.Or(cmp.Compare(a.tag, b.tag), cmp.Compare(a.id, b.id))
	})
	ids := make([]ItemID, 0, len(all))
	for _, t := range all {
		ids = append(ids, t.id)
	}
	return ids
}

// Dequeue removes a request that got its slot and charges its team.
func (q *Queue) Dequeue(now time.Time, id ItemID) {
	name, team, index := q.find(id)
	if team == nil {
		return
	}
	q.measure(now)
	team.base = team.tag(0)
	q.virtual = max(q.virtual, team.base)
	q.remove(name, team, index)
}

// Cancel removes a request whose caller has gone.
func (q *Queue) Cancel(id ItemID) {
	if name, team, index := q.find(id); team != nil {
		q.remove(name, team, index)
	}
}

// Expire removes and returns the requests that waited for as long as they may.
func (q *Queue) Expire(now time.Time) []ItemID {
	var expired []ItemID
	for name, team := range q.teams {
		for i := len(team.items) - 1; i >= 0; i-- {
			if now.Before(team.items[i].expires) {
				continue
			}
			expired = append(expired, team.items[i].id)
			q.remove(name, team, i)
		}
	}
	slices.Sort(expired)
	return expired
}

// RetryAfter returns when a request that got no slot may be asked again.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	return max(minRetryAfter, time.Duration(q.length)*q.currentGap(now))
}

func (q *Queue) team(item Item) *teamQueue {
	team, ok := q.teams[item.Team]
	if !ok {
		team = &teamQueue{base: q.virtual}
		q.teams[item.Team] = team
	}
	if len(team.items) == 0 {
		team.base = max(team.base, q.virtual)
	}
	team.weight = float64(max(item.Weight, 1))
	return team
}

// tag returns the tag of the request at index.
func (t *teamQueue) tag(index int) float64 {
	return t.base + float64(index+1)/t.weight
}

// estimate returns the time until a new request of team would be served at the current pace.
func (q *Queue) estimate(now time.Time, team *teamQueue) time.Duration {
	if q.length == 0 {
		return 0
	}
	tag := team.tag(len(team.items))
	ahead := 0
	for _, other := range q.teams {
		served := int((tag - other.base) * other.weight)
		ahead += max(0, min(served, len(other.items)))
	}
	return time.Duration(ahead+1) * q.currentGap(now)
}

// currentGap returns the average gap, or the time since the last request was served when that is longer.
func (q *Queue) currentGap(now time.Time) time.Duration {
	if q.length == 0 {
		return q.gap
	}
	return max(q.gap, now.Sub(q.markedAt))
}

func (q *Queue) measure(now time.Time) {
	gap := max(0, now.Sub(q.markedAt))
	q.gap += time.Duration(gapWeight * float64(gap-q.gap))
	q.markedAt = now
}

func (q *Queue) find(id ItemID) (core.Team, *teamQueue, int) {
	for name, team := range q.teams {
		for i, item := range team.items {
			if item.id == id {
				return name, team, i
			}
		}
	}
	return "", nil, 0
}

func (q *Queue) remove(name core.Team, team *teamQueue, index int) {
	team.items = slices.Delete(team.items, index, index+1)
	q.length--
	q.forgetIdle(name)
}

// forgetIdle drops a team that has nothing queued and no debt.
func (q *Queue) forgetIdle(name core.Team) {
	if team := q.teams[name]; team != nil && len(team.items) == 0 && team.base <= q.virtual {
		delete(q.teams, name)
	}
}
