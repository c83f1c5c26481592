// Package control distributes settings documents and membership records between processes.
//
// In each failure domain a few processes, the watchers, watch the object API and read the host list. They
// push changes along a tree within their failure domain. Every process also exchanges digests with random
// peers, which transfers what a push has missed.
package control

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/membership"
	"github.com/guavatrestle/guavatrestle/coordination/merge"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
	"github.com/guavatrestle/guavatrestle/state/table"
)

const (
	// callTimeout bounds one call to a peer.
	callTimeout = 2 * time.Second
	// pushWorkers bounds the concurrent pushes of a process.
	pushWorkers = 16
	// pushQueue bounds the queued pushes. Further ones are dropped; the digest exchange delivers their content.
	pushQueue = 256
)

// Dependencies holds the settings, tables, clients, random source, clock and log that a Node uses.
type Dependencies struct {
	Self     core.Host
	Config   config.Spread
	Settings *table.Settings
	Members  *table.Members
	Store    platform.ObjectStore
	Hosts    platform.HostList
	// HostListInterval is the time between reads of the host list by a watcher.
	HostListInterval time.Duration
	// Client is the HTTP client for calls to peers.
	Client *http.Client
	// Random must not be used elsewhere; the Node guards it with its own lock.
	Random *rand.Rand
	Now    func() time.Time
	Log    *logrus.Entry
}

// Node distributes the settings and membership records of one process.
type Node struct {
	Dependencies
	jobs chan pushJob

	// mu guards the fields below. A table may be locked while mu is held, but mu must not be locked while a table is.
	mu   sync.Mutex
	view *membership.View
	// startedAt is when the process started; hostsKnown reports whether it has learned of other hosts since.
	startedAt  time.Time
	hostsKnown bool
	// hostListRead reports whether this process has read the host list itself.
	hostListRead bool
	// memberDigest caches the digest of the membership records while memberDigestValid is set.
	memberDigest      merge.ItemSet
	memberDigestAt    time.Time
	memberDigestValid bool
	// documentDigest caches the digest of the documents while documentDigestTree is the current settings tree.
	documentDigest     merge.ItemSet
	documentDigestTree *settings.Tree
	neighbors          []core.HostID
	exchangeRounds     int
	start              startState
	watch              watchState
}

// New returns a Node that knows no other process yet.
func New(deps Dependencies) *Node {
	n := &Node{
		Dependencies: deps,
		jobs:         make(chan pushJob, pushQueue),
		view:         membership.NewView(deps.Self, deps.Now()),
		startedAt:    deps.Now(),
		start:        newStartState(),
		watch:        newWatchState(),
	}
	n.publishMembers()
	return n
}

// Run exchanges, watches and pushes until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { n.exchangeLoop(ctx) })
	loops.Go(func() { n.watchLoop(ctx) })
	loops.Go(func() { n.hostLoop(ctx) })
	loops.Go(func() { n.pushLoop(ctx) })
	loops.Wait()
}

// PushDocuments pushes documents that this process accepted to its failure domain.
func (n *Node) PushDocuments(_ context.Context, documents []settings.Document) {
	n.enqueue(pushJob{documents: documents, root: true})
}

// Leave announces to peers that the process is leaving. It returns when the announcements are sent or ctx ends.
func (n *Node) Leave(ctx context.Context) {
	n.mu.Lock()
	record := n.view.Leave(n.Now())
	n.memberDigestValid = false
	targets := membership.Sample(n.view.Hosts(), n.Config.PushFanout, n.Random, n.isPeer)
	n.mu.Unlock()
	n.publishMembers()
	pool := pond.NewPool(pushWorkers)
	defer pool.StopAndWait()
	n.pushAll(ctx, pool, pushJob{members: []membership.Record{record}, root: true}, 0)
	for _, host := range targets {
		pool.Submit(func() { _ = n.sendBatch(ctx, hostBatch{host: host, members: []membership.Record{record}}, false) })
	}
}

// publishMembers updates the members table from the membership view.
func (n *Node) publishMembers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.memberDigestValid = false
	n.Members.Replace(n.view.Hosts())
}

// mergeMembers merges records into the membership view and returns those that were new.
func (n *Node) mergeMembers(records []membership.Record) []membership.Record {
	if len(records) == 0 {
		return nil
	}
	n.mu.Lock()
	merged := n.view.Merge(records, n.Now())
	n.memberDigestValid = n.memberDigestValid && len(merged) == 0
	n.hostsKnown = n.hostsKnown || len(merged) > 0
	n.mu.Unlock()
	if len(merged) > 0 {
		n.publishMembers()
	}
	return merged
}

// mergeDocuments merges documents into the settings and returns those that were new.
func (n *Node) mergeDocuments(documents []settings.Document) []settings.Document {
	if len(documents) == 0 {
		return nil
	}
	merged, err := n.Settings.Merge(documents)
	if err != nil {
		n.Log.WithError(err).Error("settings document does not decode; keeping the last valid version")
	}
	return merged
}

func (n *Node) isPeer(host core.Host) bool {
	return host.ID != n.Self.ID && host.State == core.HostLive
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// jittered returns a random duration between 2/3 and 4/3 of mean.
func (n *Node) jittered(mean time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration((2 + 2*n.Random.Float64()) / 3 * float64(mean))
}
