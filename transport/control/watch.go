package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/membership"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

const (
	// watcherCheckInterval is the time between checks whether this process is a watcher.
	watcherCheckInterval = 500 * time.Millisecond
	// watchLifetime is the mean time after which a watcher opens a new watch, since a watch can stop
	// delivering events without an error. With two watchers in each of 11 failure domains this costs less
	// than one call per second.
	watchLifetime = 30 * time.Second
	// listLifetime is the time after which a watcher lists again. Lists are rare because they are large, with
	// the history of every document. Watches continue from the last version seen, and exchanges deliver what
	// a watch has missed.
	listLifetime = 30 * time.Minute
	// aloneTimeout is the time after which a process that has learned of no other host may become a watcher.
	// Without it, all processes of a restarting fleet would become watchers and list at the same time.
	aloneTimeout = 5 * time.Second
	// cutOffTimeout is the time without contact to the object API after which a watcher counts as cut off and its
	// spares watch as well.
	cutOffTimeout = 10 * time.Second
)

// watchState holds the state of this process's watch and records which watchers are cut off from the object API.
type watchState struct {
	// open reports whether this process has a running watch.
	open bool
	// lastContact is when this process last reached the object API as a watcher, or first tried to.
	lastContact time.Time
	// cutOff holds the watchers that have reported no contact for more than cutOffTimeout.
	cutOff map[core.HostID]bool
	// version is the version of the object API up to which this process has seen all changes. It is empty if the next
	// session must list; listedAt is the time of the last list.
	version  string
	listedAt time.Time
}

func newWatchState() watchState { return watchState{cutOff: make(map[core.HostID]bool)} }

// watchLoop lists and watches while this process is a watcher.
func (n *Node) watchLoop(ctx context.Context) {
	retry := n.newBackoff()
	for ctx.Err() == nil {
		if !n.isWatcher() {
			pause(ctx, watcherCheckInterval)
			continue
		}
		err := n.watchSession(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			retry.reset()
			continue
		}
		n.Log.WithError(err).Warn("watching settings in the object API failed")
		pause(ctx, retry.next(protocol.RetryAfterOf(err)))
	}
}

// isWatcher reports whether this process should watch the object API now.
func (n *Node) isWatcher() bool {
	if !n.knowsHosts() {
		return false
	}
	order := membership.WatchOrder(n.Members.Snapshot(), n.Self.FailureDomain)
	n.mu.Lock()
	defer n.mu.Unlock()
	cutOff := func(id core.HostID) bool { return n.watch.cutOff[id] }
	return membership.IsWatcher(order, n.Self.ID, n.Config.Watchers, cutOff)
}

func (n *Node) knowsHosts() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hostsKnown || n.Now().Sub(n.startedAt) > aloneTimeout
}

// watchersToProbe returns the watchers that this process probes as one of their spares, if it is one. The caller must
// hold the lock.
func (n *Node) watchersToProbe(hosts []core.Host) []core.Host {
	order := membership.WatchOrder(hosts, n.Self.FailureDomain)
	return membership.WatchersOfSpare(order, n.Self.ID, n.Config.Watchers)
}

// recordPlatformAge records whether a peer that is a watcher is cut off from the platform.
func (n *Node) recordPlatformAge(response *wire.ExchangeResponse) {
	age := time.Duration(response.GetPlatformAgeMillis()) * time.Millisecond
	n.mu.Lock()
	defer n.mu.Unlock()
	if age > cutOffTimeout {
		n.watch.cutOff[core.HostID(response.GetHost())] = true
	} else {
		delete(n.watch.cutOff, core.HostID(response.GetHost()))
	}
}

// platformAge returns the milliseconds since this watcher last reached the object API, at least 1, or 0 if this process is
// not a watcher.
func (n *Node) platformAge() uint64 {
	if !n.isWatcher() {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.watch.open || n.watch.lastContact.IsZero() {
		return 1
	}
	return uint64(max(n.Now().Sub(n.watch.lastContact).Milliseconds(), 1))
}

func (n *Node) setWatchOpen(open bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.watch.open = open
	n.watch.lastContact = n.Now()
}

// watchSession watches until watchLifetime is over or the watch fails. It lists first unless the watch can
// continue where the last one ended.
func (n *Node) watchSession(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.jittered(watchLifetime))
	defer cancel()
	n.initLastContact()
	if err := n.listIfNeeded(ctx); err != nil {
		return err
	}
	events, err := n.Store.Watch(ctx, platform.KindSetting, n.seenVersion())
	if err != nil {
		n.resetExpiredVersion(err)
		return err
	}
	n.setWatchOpen(true)
	defer n.setWatchOpen(false)
	for event := range events {
		n.applyEvent(event)
	}
	if ctx.Err() == nil {
		// The version may be too old to continue from, so the next session lists.
		n.setVersion("")
		return protocol.Errorf(protocol.CodeUnavailable, "the watch ended before its timeout")
	}
	return nil
}

func (n *Node) listIfNeeded(ctx context.Context) error {
	n.mu.Lock()
	needsList := n.watch.version == "" || n.Now().Sub(n.watch.listedAt) > listLifetime
	n.mu.Unlock()
	if !needsList {
		return nil
	}
	list, err := n.Store.List(ctx, platform.KindSetting, "")
	if err != nil {
		return err
	}
	n.mergeObjects(list.Items)
	n.Settings.MarkLoaded()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.watch.version, n.watch.listedAt = list.Version, n.Now()
	return nil
}

func (n *Node) applyEvent(event platform.Event) {
	n.setVersion(event.Object.Version)
	if event.Type == platform.EventDeleted {
		// Documents are retired by a tombstone. A deleted object does not change the settings in force.
		n.Log.WithField("object", event.Object.Name).Warn("settings object was deleted; its document stays in force")
		return
	}
	n.mergeObjects([]platform.Object{event.Object})
}

func (n *Node) seenVersion() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.watch.version
}

func (n *Node) setVersion(version string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.watch.version = version
}

// resetExpiredVersion clears the version if it has expired at the object API, so that the next session lists.
func (n *Node) resetExpiredVersion(err error) {
	if protocol.CodeOf(err) == protocol.CodeExpired {
		n.setVersion("")
	}
}

// initLastContact sets the time of the last contact to that of the first attempt, so that a watcher that never reaches
// the object API counts as cut off after cutOffTimeout.
func (n *Node) initLastContact() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.watch.lastContact.IsZero() {
		n.watch.lastContact = n.Now()
	}
}

// mergeObjects merges the documents of objects into the settings and pushes the new ones.
func (n *Node) mergeObjects(objects []platform.Object) {
	var documents []settings.Document
	for _, object := range objects {
		var doc settings.Document
		if err := json.Unmarshal(object.Spec, &doc); err != nil || settings.ObjectName(doc.Path) != object.Name {
			n.Log.WithField("object", object.Name).Error("settings object does not contain a document that matches its name")
			continue
		}
		documents = append(documents, doc)
	}
	n.enqueue(pushJob{documents: n.mergeDocuments(documents), root: true})
}
