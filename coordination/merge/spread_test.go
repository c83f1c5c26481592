package merge_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/guavatrestle/guavatrestle/coordination/merge"
	"github.com/guavatrestle/guavatrestle/internal/proptest"
	"github.com/guavatrestle/guavatrestle/state/settings"
	"github.com/guavatrestle/guavatrestle/state/table"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// acceptedVersion is one version that the store accepted, as recorded by the oracle.
type acceptedVersion struct {
	body    string
	retired bool
}

// message is one message in transit between two replicas.
type message struct {
	from, to  int
	request   *merge.Request
	reply     *merge.Reply
	documents []settings.Document
}

// cluster is a state machine of replicas that exchange items over a network that loses, duplicates and reorders messages. They
// also read a store that may return old states or be down.
//
// The oracle is the list of accepted versions per path, which the state machine keeps itself.
type cluster struct {
	replicas  []*table.Settings
	paused    []bool
	network   []message
	storeDown bool
	// store holds every state of each path, oldest first; accepted is the oracle.
	store    map[string][]settings.Stored
	accepted map[string][]acceptedVersion
	// highestSeen is the highest version that each replica has held per path since it started.
	highestSeen []map[string]uint64
	editCount   int
}

var paths = []string{"/failure-domains/a", "/upstreams/c"}

const replicaCount = 3

func newCluster() *cluster {
	s := &cluster{store: make(map[string][]settings.Stored), accepted: make(map[string][]acceptedVersion), paused: make([]bool, replicaCount)}
	for range replicaCount {
		s.replicas = append(s.replicas, table.NewSettings())
		s.highestSeen = append(s.highestSeen, make(map[string]uint64))
	}
	return s
}

// Edit edits or retires a path as an operator would, based on a state that may be outdated.
func (s *cluster) Edit(t *rapid.T) {
	path := rapid.SampledFrom(paths).Draw(t, "path")
	states := s.store[path]
	var read settings.Stored
	if len(states) > 0 {
		read = states[len(states)-1]
	}
	if stale := rapid.IntRange(0, 3).Draw(t, "stale") == 0; stale && len(states) > 0 {
		read = states[rapid.IntRange(0, len(states)-1).Draw(t, "read")]
	}
	retire := rapid.IntRange(0, 2).Draw(t, "retire") == 0
	s.editCount++
	body := fmt.Sprintf(`{"region":"r%d","state":"in"}`, s.editCount)
	edit := settings.Edit{Path: path, BaseVersion: read.Version, Tombstone: retire, Nonce: fmt.Sprint(s.editCount)}
	if !retire {
		edit.Body = []byte(body)
	}
	if read.Tombstone {
		edit.BaseVersion = 0
	}
	if s.storeDown {
		return
	}
	next, err := settings.Revise(read, edit)
	if err != nil {
		return
	}
	// The conditional write succeeds only if the edit is based on the newest state.
	if len(states) > 0 && read.Nonce != states[len(states)-1].Nonce {
		return
	}
	s.store[path] = append(states, next)
	s.accepted[path] = append(s.accepted[path], acceptedVersion{body: body, retired: retire})
}

// Outage starts or ends an outage of the store.
func (s *cluster) Outage(*rapid.T) { s.storeDown = !s.storeDown }

// Pause pauses or resumes a replica.
func (s *cluster) Pause(t *rapid.T) {
	i := s.anyReplica(t, "replica")
	s.paused[i] = !s.paused[i]
}

// Restart replaces a replica by an empty one.
func (s *cluster) Restart(t *rapid.T) {
	i := s.anyReplica(t, "replica")
	s.replicas[i] = table.NewSettings()
	s.highestSeen[i] = make(map[string]uint64)
}

// Watch delivers one state of a path to a replica. States may arrive late, repeatedly, out of order or never.
func (s *cluster) Watch(t *rapid.T) {
	i := s.anyReplica(t, "replica")
	path := rapid.SampledFrom(paths).Draw(t, "path")
	if states := s.store[path]; len(states) > 0 && !s.storeDown && !s.paused[i] {
		s.merge(t, i, []settings.Document{states[rapid.IntRange(0, len(states)-1).Draw(t, "state")].Document})
	}
}

// Exchange starts an exchange between two replicas.
func (s *cluster) Exchange(t *rapid.T) {
	from, to := s.anyReplica(t, "from"), s.anyReplica(t, "to")
	if from != to && !s.paused[from] {
		request := s.itemSet(from).FirstRequest()
		s.network = append(s.network, message{from: from, to: to, request: &request})
	}
}

// Deliver delivers any message and may leave it on the network to be delivered again.
func (s *cluster) Deliver(t *rapid.T) {
	if len(s.network) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.network)-1).Draw(t, "message")
	m := s.network[i]
	if s.paused[m.to] {
		return
	}
	if !rapid.Bool().Draw(t, "repeat") {
		s.network = append(s.network[:i], s.network[i+1:]...)
	}
	s.network = append(s.network, s.handle(t, m)...)
}

// Lose drops a message.
func (s *cluster) Lose(t *rapid.T) {
	if len(s.network) > 0 {
		i := rapid.IntRange(0, len(s.network)-1).Draw(t, "message")
		s.network = append(s.network[:i], s.network[i+1:]...)
	}
}

// Check verifies that no replica has reverted a path and that every document it holds matches the oracle.
func (s *cluster) Check(t *rapid.T) {
	for i, replica := range s.replicas {
		for _, doc := range replica.Documents() {
			if doc.Version < s.highestSeen[i][doc.Path] {
				t.Fatalf("replica %d reverted %s from version %d to %d", i, doc.Path, s.highestSeen[i][doc.Path], doc.Version)
			}
			s.highestSeen[i][doc.Path] = doc.Version
			s.checkAccepted(t, i, doc)
		}
	}
}

func (s *cluster) checkAccepted(t *rapid.T, i int, doc settings.Document) {
	accepted := s.accepted[doc.Path]
	if doc.Version == 0 || doc.Version > uint64(len(accepted)) {
		t.Fatalf("replica %d holds version %d of %s, which was never accepted", i, doc.Version, doc.Path)
	}
	want := accepted[doc.Version-1]
	if doc.Tombstone != want.retired || !want.retired && string(doc.Body) != want.body {
		t.Fatalf("replica %d holds version %d of %s with other content than was accepted", i, doc.Version, doc.Path)
	}
	if want.retired && s.inForce(i, doc.Path) {
		t.Fatalf("replica %d applies retired %s", i, doc.Path)
	}
}

func (s *cluster) inForce(i int, path string) bool {
	tree := s.replicas[i].Tree()
	_, domainA := tree.FailureDomains["a"]
	_, upstreamC := tree.Upstreams["c"]
	return map[string]bool{paths[0]: domainA, paths[1]: upstreamC}[path]
}

// converge resumes all replicas, lets one replica list the store and then runs two rounds of exchanges between neighbors in a
// line, started by either side. It checks that every replica ends with the newest versions.
func (s *cluster) converge(t *rapid.T) {
	clear(s.paused)
	pull := rapid.Bool().Draw(t, "pull")
	for _, path := range paths {
		if states := s.store[path]; len(states) > 0 {
			s.merge(t, 0, []settings.Document{states[len(states)-1].Document})
		}
	}
	for range 2 {
		for i := range replicaCount - 1 {
			from, to := i, i+1
			if pull {
				from, to = to, from
			}
			request := s.itemSet(from).FirstRequest()
			s.network = []message{{from: from, to: to, request: &request}}
			for len(s.network) > 0 {
				m := s.network[0]
				s.network = append(s.network[1:], s.handle(t, m)...)
			}
		}
	}
	for i, replica := range s.replicas {
		versions := make(map[string]uint64)
		for _, doc := range replica.Documents() {
			versions[doc.Path] = doc.Version
		}
		for _, path := range paths {
			if versions[path] != uint64(len(s.accepted[path])) {
				t.Fatalf("replica %d holds version %d of %s after all exchanges, want %d", i, versions[path], path, len(s.accepted[path]))
			}
		}
	}
}

// handle processes a message at its addressee and returns the messages that the addressee sends.
func (s *cluster) handle(t *rapid.T, m message) []message {
	s.merge(t, m.to, m.documents)
	if m.request != nil {
		reply := s.itemSet(m.to).Answer(*m.request)
		return []message{{from: m.to, to: m.from, reply: &reply, documents: s.documents(m.to, reply.Send)}}
	}
	if m.reply == nil {
		return nil
	}
	var out []message
	if next, more := s.itemSet(m.to).SecondRequest(*m.reply); more {
		out = append(out, message{from: m.to, to: m.from, request: &next})
	}
	if requested := s.documents(m.to, m.reply.Want); len(requested) > 0 {
		out = append(out, message{from: m.to, to: m.from, documents: requested})
	}
	return out
}

func (s *cluster) merge(t *rapid.T, i int, documents []settings.Document) {
	if _, err := s.replicas[i].Merge(documents); err != nil {
		t.Fatalf("merge: %v", err)
	}
}

func (s *cluster) itemSet(i int) merge.ItemSet {
	return merge.NewItemSet(merge.Documents(s.replicas[i].Documents()).Items())
}

func (s *cluster) documents(i int, paths []string) []settings.Document {
	const limit = 100
	return merge.Documents(s.replicas[i].Documents()).Select(paths, limit)
}

func (s *cluster) anyReplica(t *rapid.T, label string) int {
	return rapid.IntRange(0, replicaCount-1).Draw(t, label)
}

// TestExchangeNeverRevertsAndConverges guards against settings that revert to an older version, reappear after they were
// retired, or still differ after all exchanges, when messages are lost, repeated or reordered and the store lags or is down.
func TestExchangeNeverRevertsAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newCluster()
		t.Repeat(rapid.StateMachineActions(s))
		s.converge(t)
		s.Check(t)
	})
}

// TestCompareFindsEveryDifference guards against a difference that the comparison of summaries or bucket sums misses.
func TestCompareFindsEveryDifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gen := rapid.MapOf(rapid.StringMatching(`[a-f]{1,2}`), rapid.Uint64Range(1, 3))
		mine, theirs := gen.Draw(t, "mine"), gen.Draw(t, "theirs")
		mySet, theirSet := merge.NewItemSet(itemsOf(mine)), merge.NewItemSet(itemsOf(theirs))
		reply := mySet.Answer(theirSet.FirstRequest())
		if next, more := theirSet.SecondRequest(reply); more {
			reply = mySet.Answer(next)
		}
		send, want := make(map[string]bool), make(map[string]bool)
		for _, key := range reply.Send {
			send[key] = true
		}
		for _, key := range reply.Want {
			want[key] = true
		}
		for key := range mine {
			if (mine[key] > theirs[key]) != send[key] {
				t.Fatalf("key %q: mine %d, theirs %d, sent %t", key, mine[key], theirs[key], send[key])
			}
		}
		for key := range theirs {
			if (theirs[key] > mine[key]) != want[key] {
				t.Fatalf("key %q: mine %d, theirs %d, wanted %t", key, mine[key], theirs[key], want[key])
			}
		}
	})
}

func itemsOf(versions map[string]uint64) []merge.Item {
	var items []merge.Item
	for key, version := range versions {
		items = append(items, merge.Item{Key: key, Version: version})
	}
	return items
}
