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
	// minRetryAfter is the shortest wait returned for a refused request.
	minRetryAfter = time.Second
	// gapWeight is the weight of the newest gap in the moving average of the time between two served requests.
	gapWeight = 0.2
)

// QueueConfig bounds the time that requests spend in a queue.
type QueueConfig struct {
	// MaxWait bounds the time in the queue. Higher values refuse fewer requests in a burst but let them wait longer.
	MaxWait time.Duration
	// MinServiceTime is the time before the deadline that is reserved for serving the request.
	MinServiceTime time.Duration
}

// ItemID identifies a queued request.
type ItemID uint64

// Item is a request to be queued.
type Item struct {
	ID             ItemID
	Team           core.Team
	Weight         int
	TeamQueueLimit int // maximum number of requests of the team in the queue
	Deadline       time.Time
}

// Reason is the reason why a request was not queued.
type Reason string

// Reasons for a refusal.
const (
	ReasonNone Reason = ""
	// ReasonTeamQueueFull means that the team has as many requests in the queue as it may.
	ReasonTeamQueueFull Reason = "team_queue_full"
	// ReasonNoCapacity means that the queue is full or the estimated wait is too long for the request.
	ReasonNoCapacity Reason = "no_capacity"
)

// Queue is a weighted fair queue of requests with one flow per team.
//
// The requests of a team are served in the order of arrival. The finish tag of a request is its team's base plus 1/weight
// for each request of the team up to and including it, and requests are served in the order of their finish tags. A team
// without queued requests starts at the highest tag served, or at its own last tag if that is higher, so that idle time and
// canceled requests neither gain nor lose the team any share.
//
// Queue is not safe for concurrent use.
type Queue struct {
	cfg   QueueConfig
	teams map[core.Team]*teamQueue
	// virtualTime is the highest finish tag served so far.
	virtualTime float64
	length      int
	// averageGap is the average time between two served requests while others waited; 0 until measured.
	averageGap time.Duration
	// gapStart is the time at which a request was last served or the queue last became non-empty, whichever is later.
	gapStart time.Time
}

type teamQueue struct {
	weight float64
	// base is the finish tag of the team's request served last, or the virtual time at which its queue became non-empty if
	// that is higher.
	base  float64
	items []queuedItem
}

type queuedItem struct {
	id      ItemID
	expires time.Time
}

// NewQueue returns an empty queue.
func NewQueue(cfg QueueConfig) *Queue {
	return &Queue{cfg: cfg, teams: make(map[core.Team]*teamQueue)}
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return q.length }

// Push queues a request, or returns the reason for its refusal and the time after which the caller may retry.
func (q *Queue) Push(now time.Time, item Item) (Reason, time.Duration) {
	team := q.teamFor(item)
	defer q.dropIdleTeam(item.Team)
	if len(team.items) >= item.TeamQueueLimit {
		return ReasonTeamQueueFull, max(minRetryAfter, q.estimateWait(now, team))
	}
	wait := q.estimateWait(now, team)
	available := item.Deadline.Sub(now) - q.cfg.MinServiceTime
	if q.length >= maxQueued || wait > q.cfg.MaxWait || wait >= available {
		return ReasonNoCapacity, max(minRetryAfter, wait)
	}
	if q.length == 0 {
		q.gapStart = now
	}
	// A request waits at most half of the available time, so that none is refused only shortly before its deadline.
	team.items = append(team.items, queuedItem{id: item.ID, expires: now.Add(min(q.cfg.MaxWait, available/2))})
	q.length++
	return ReasonNone, 0
}

// Order returns the queued requests in the order in which they are to be served.
func (q *Queue) Order() []ItemID {
	type taggedItem struct {
		id  ItemID
		tag float64
	}
	queued := make([]taggedItem, 0, q.length)
	for _, team := range q.teams {
		for i, item := range team.items {
			queued = append(queued, taggedItem{id: item.id, tag: team.finishTag(i)})
		}
	}
	slices.SortFunc(queued, func(a, b taggedItem) int {
		return cmp.Or(cmp.Compare(a.tag, b.tag), cmp.Compare(a.id, b.id))
	})
	ids := make([]ItemID, 0, len(queued))
	for _, t := range queued {
		ids = append(ids, t.id)
	}
	return ids
}

// Dequeue removes a request that is served at now and charges its team for it.
func (q *Queue) Dequeue(now time.Time, id ItemID) {
	name, team, index := q.find(id)
	if team == nil {
		return
	}
	q.updateGap(now)
	team.base = team.finishTag(0)
	q.virtualTime = max(q.virtualTime, team.base)
	q.remove(name, team, index)
}

// Cancel removes a request without charging its team.
func (q *Queue) Cancel(id ItemID) {
	if name, team, index := q.find(id); team != nil {
		q.remove(name, team, index)
	}
}

// Expire removes and returns the requests whose waiting time has run out.
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

// RetryAfter returns the time after which the caller of a request that was not served may retry.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	return max(minRetryAfter, time.Duration(q.length)*q.currentGap(now))
}

func (q *Queue) teamFor(item Item) *teamQueue {
	team, ok := q.teams[item.Team]
	if !ok {
		team = &teamQueue{base: q.virtualTime}
		q.teams[item.Team] = team
	}
	if len(team.items) == 0 {
		team.base = max(team.base, q.virtualTime)
	}
	team.weight = float64(max(item.Weight, 1))
	return team
}

// finishTag returns the finish tag of the request at index.
func (t *teamQueue) finishTag(index int) float64 {
	return t.base + float64(index+1)/t.weight
}

// estimateWait returns the time until a new request of team would be served at the current rate.
func (q *Queue) estimateWait(now time.Time, team *teamQueue) time.Duration {
	if q.length == 0 {
		return 0
	}
	tag := team.finishTag(len(team.items))
	ahead := 0
	for _, other := range q.teams {
		earlier := int((tag - other.base) * other.weight)
		ahead += max(0, min(earlier, len(other.items)))
	}
	return time.Duration(ahead+1) * q.currentGap(now)
}

// currentGap returns the average gap, or the time since the last request was served if that is longer.
func (q *Queue) currentGap(now time.Time) time.Duration {
	if q.length == 0 {
		return q.averageGap
	}
	return max(q.averageGap, now.Sub(q.gapStart))
}

func (q *Queue) updateGap(now time.Time) {
	gap := max(0, now.Sub(q.gapStart))
	q.averageGap += time.Duration(gapWeight * float64(gap-q.averageGap))
	q.gapStart = now
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
	q.dropIdleTeam(name)
}

// dropIdleTeam removes a team without queued requests once its base is not ahead of the virtual time.
func (q *Queue) dropIdleTeam(name core.Team) {
	if team := q.teams[name]; team != nil && len(team.items) == 0 && team.base <= q.virtualTime {
		delete(q.teams, name)
	}
}
