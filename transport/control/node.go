// Package control spreads settings documents and membership records between processes.
//
// In each failure domain a few watchers hold watches on the object API and read the host list. They push
// what is new along a tree inside their failure domain. Every process also exchanges digests with random
// peers, which closes whatever gap the pushes leave.
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
	// pushWorkers bounds the pushes of a process that run at once.
	pushWorkers = 16
	// pushQueue bounds the pushes that wait; beyond it they are left to the digest exchange.
	pushQueue = 256
)

// Parts are what a Node works with.
type Parts struct {
	Self     core.Host
	Config   config.Spread
	Settings *table.Settings
	Members  *table.Members
	Store    platform.ObjectStore
	Hosts    platform.HostList
	// HostListInterval is the time between reads of the host list by a watcher.
	HostListInterval time.Duration
	// Client sends the calls to peers.
	Client *http.Client
	// Random is used by the Node alone.
	Random *rand.Rand
	Now    func() time.Time
	Log    *logrus.Entry
}

// Node is a process's part in the spread.
type Node struct {
	Parts
	jobs chan job

	// mu guards the fields below. It may be held while a table is locked, never the other way round.
	mu   sync.Mutex
	view *membership.View
	// started is when the process started; hostsKnown says that it has learnt of others since.
	started    time.Time
	hostsKnown bool
	// listRead says that this process has read the host list itself.
	listRead bool
	// digest caches the versions of the records while digestValid.
	digest      merge.ItemSet
	digestAt    time.Time
	digestValid bool
	// documents caches the versions of the documents while documentsTree is in force.
	documents     merge.ItemSet
	documentsTree *settings.Tree
	neighbours    []core.HostID
	rounds        int
	start         startState
	watch         watchState
}

// New returns a Node that knows only its own process.
func New(parts Parts) *Node {
	n := &Node{
		Parts:   parts,
		jobs:    make(chan job, pushQueue),
		view:    membership.NewView(parts.Self, parts.Now()),
		started: parts.Now(),
		start:   newStartState(),
		watch:   newWatchState(),
	}
	n.publish()
	return n
}

// Run takes part in the spread until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { n.exchangeLoop(ctx) })
	loops.Go(func() { n.watchLoop(ctx) })
	loops.Go(func() { n.hostLoop(ctx) })
	loops.Go(func() { n.pushLoop(ctx) })
	loops.Wait()
}

// PushDocuments pushes documents that were accepted here into the failure domain.
func (n *Node) PushDocuments(_ context.Context, documents []settings.Document) {
	n.enqueue(job{documents: documents, root: true})
}

// Leave announces to peers that the process is leaving, and waits until they have been told or ctx ends.
func (n *Node) Leave(ctx context.Context) {
	n.mu.Lock()
	record := n.view.Leave(n.Now())
	n.digestValid = false
	targets := membership.Sample(n.view.Hosts(), n.Config.PushFanout, n.Random, n.isPeer)
	n.mu.Unlock()
	n.publish()
	pool := pond.NewPool(pushWorkers)
	defer pool.StopAndWait()
	n.pushAll(ctx, pool, job{members: []membership.Record{record}, root: true}, 0)
	for _, host := range targets {
		pool.Submit(func() { _ = n.send(ctx, batch{host: host, members: []membership.Record{record}}, false) })
	}
}

// publish sets the members table to the records held.
func (n *Node) publish() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.digestValid = false
	n.Members.Replace(n.view.Hosts())
}

// takeMembers takes over records and returns those that were new.
func (n *Node) takeMembers(records []membership.Record) []membership.Record {
	if len(records) == 0 {
		return nil
	}
	n.mu.Lock()
	taken := n.view.Merge(records, n.Now())
	n.digestValid = n.digestValid && len(taken) == 0
	n.hostsKnown = n.hostsKnown || len(taken) > 0
	n.mu.Unlock()
	if len(taken) > 0 {
		n.publish()
	}
	return taken
}

// takeDocuments takes over documents and returns those that were new.
func (n *Node) takeDocuments(documents []settings.Document) []settings.Document {
	if len(documents) == 0 {
		return nil
	}
	taken, err := n.Settings.Merge(documents)
	if err != nil {
		n.Log.WithError(err).Error("settings document does not decode; the last good version stays in force")
	}
	return taken
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

// jittered returns a random time between 2/3 and 4/3 of mean.
func (n *Node) jittered(mean time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration((2 + 2*n.Random.Float64()) / 3 * float64(mean))
}
