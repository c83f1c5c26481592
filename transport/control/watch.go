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
	// watchPoll is the time between looks at whether this process is a watcher.
	watchPoll = 500 * time.Millisecond
	// watchLifetime is the mean time after which a watcher opens its watch anew, because a watch can go
	// silent without an error. With two watchers in each of 11 failure domains that is less than one
	// call a second.
	watchLifetime = 30 * time.Second
	// listLifetime is the time after which a watcher lists anew. A list holds the history of every
	// document, so it is large; watches continue from the last version seen, and exchanges close what
	// one watch missed.
	listLifetime = 30 * time.Minute
	// aloneAfter is the time after which a process that has learnt of no hosts counts itself as alone.
	// Before, it would take itself for a watcher, and a fleet that restarts would list all at once.
	aloneAfter = 5 * time.Second
	// cutOffAfter is the time without contact to the object API after which spares watch as well.
	cutOffAfter = 10 * time.Second
)

// watchState records contact with the object API, of this process and of the watchers.
type watchState struct {
	// open says that a watch of this process is running.
	open bool
	// contact is when this process last reached the object API as a watcher.
	contact time.Time
	// cutOff says which watchers have reported no contact for long.
	cutOff map[core.HostID]bool
	// version is the version of the object API up to which this process has seen all changes, since the
	// list at listed; empty before a list.
	version string
	listed  time.Time
}

func newWatchState() watchState { return watchState{cutOff: make(map[core.HostID]bool)} }

// watchLoop lists and watches while this process is a watcher.
func (n *Node) watchLoop(ctx context.Context) {
	wait := n.newBackoff()
	for ctx.Err() == nil {
		if !n.isWatcher() {
			pause(ctx, watchPoll)
			continue
		}
		err := n.watchSession(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			wait.reset()
			continue
		}
		n.Log.WithError(err).Warn("watch settings in the object API")
		pause(ctx, wait.next(protocol.RetryAfterOf(err)))
	}
}

// isWatcher reports whether this process watches the object API now.
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
	return n.hostsKnown || n.Now().Sub(n.started) > aloneAfter
}

// watchersToProbe returns the watchers when this process is one of their spares. The caller holds the lock.
func (n *Node) watchersToProbe(hosts []core.Host) []core.Host {
	order := membership.WatchOrder(hosts, n.Self.FailureDomain)
	return membership.WatchersOfSpare(order, n.Self.ID, n.Config.Watchers)
}

// noteAge records whether a peer that watches is cut off from the platform.
func (n *Node) noteAge(reply *wire.ExchangeResponse) {
	age := time.Duration(reply.GetPlatformAgeMillis()) * time.Millisecond
	n.mu.Lock()
	defer n.mu.Unlock()
	if age > cutOffAfter {
		n.watch.cutOff[core.HostID(reply.GetHost())] = true
	} else {
		delete(n.watch.cutOff, core.HostID(reply.GetHost()))
	}
}

// platformAge returns the time since this watcher last reached the object API, or 0 for no watcher.
func (n *Node) platformAge() uint64 {
	if !n.isWatcher() {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.watch.open || n.watch.contact.IsZero() {
		return 1
	}
	return uint64(max(n.Now().Sub(n.watch.contact).Milliseconds(), 1))
}

func (n *Node) setWatch(open bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.watch.open = open
	n.watch.contact = n.Now()
}

// watchSession watches until the session's lifetime ends or the watch breaks. It lists first unless the
// watch can continue where the last one ended.
func (n *Node) watchSession(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.jittered(watchLifetime))
	defer cancel()
	n.noteFirstTry()
	if err := n.listIfNeeded(ctx); err != nil {
		return err
	}
	events, err := n.Store.Watch(ctx, platform.KindSetting, n.seenVersion())
	if err != nil {
		n.forgetVersion(err)
		return err
	}
	n.setWatch(true)
	defer n.setWatch(false)
	for event := range events {
		n.takeEvent(event)
	}
	if ctx.Err() == nil {
		// The end may mean that the version is too old, which only a list can settle.
		n.setVersion("")
		return protocol.Errorf(protocol.CodeUnavailable, "the watch ended early")
	}
	return nil
}

func (n *Node) listIfNeeded(ctx context.Context) error {
	n.mu.Lock()
	needed := n.watch.version == "" || n.Now().Sub(n.watch.listed) > listLifetime
	n.mu.Unlock()
	if !needed {
		return nil
	}
	list, err := n.Store.List(ctx, platform.KindSetting, "")
	if err != nil {
		return err
	}
	n.takeObjects(list.Items)
	n.Settings.MarkLoaded()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.watch.version, n.watch.listed = list.Version, n.Now()
	return nil
}

func (n *Node) takeEvent(event platform.Event) {
	n.setVersion(event.Object.Version)
	if event.Type == platform.EventDeleted {
		// Settings are retired by a tombstone. A deleted object takes nothing out of force.
		n.Log.WithField("object", event.Object.Name).Warn("settings object was deleted")
		return
	}
	n.takeObjects([]platform.Object{event.Object})
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

// forgetVersion makes the next session list when the object API no longer knows the version.
func (n *Node) forgetVersion(err error) {
	if protocol.CodeOf(err) == protocol.CodeExpired {
		n.setVersion("")
	}
}

// noteFirstTry starts the clock of a watcher that has not reached the object API yet.
func (n *Node) noteFirstTry() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.watch.contact.IsZero() {
		n.watch.contact = n.Now()
	}
}

// takeObjects takes over the documents of objects and pushes the new ones.
func (n *Node) takeObjects(objects []platform.Object) {
	var documents []settings.Document
	for _, object := range objects {
		var doc settings.Document
		if err := json.Unmarshal(object.Spec, &doc); err != nil || settings.ObjectName(doc.Path) != object.Name {
			n.Log.WithField("object", object.Name).Error("settings object does not hold a document of its name")
			continue
		}
		documents = append(documents, doc)
	}
	n.enqueue(job{documents: n.takeDocuments(documents), root: true})
}
