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

// fact is one accepted version as the oracle remembers it.
type fact struct {
	body    string
	retired bool
}

// message is one message under way between two replicas.
type message struct {
	from, to  int
	request   *merge.Request
	reply     *merge.Reply
	documents []settings.Document
}

// spread is a state machine of replicas that exchange digests over a network that loses, repeats and
// reorders messages, beside a store that answers with old states and is down at times.
//
// The oracle is the list of accepted versions per path, kept by the machine itself.
type spread struct {
	replicas []*table.Settings
	paused   []bool
	network  []message
	down     bool
	// store holds every state of each path, oldest first; facts is the oracle.
	store map[string][]settings.Stored
	facts map[string][]fact
	// seen is the highest version that each replica has held per path since it started.
	seen []map[string]uint64
	edit int
}

var paths = []string{"/failure-domains/a", "/upstreams/c"}

const replicaCount = 3

func newSpread() *spread {
	s := &spread{store: make(map[string][]settings.Stored), facts: make(map[string][]fact), paused: make([]bool, replicaCount)}
	for range replicaCount {
		s.replicas = append(s.replicas, table.NewSettings())
		s.seen = append(s.seen, make(map[string]uint64))
	}
	return s
}

// Edit lets an operator edit or retire a path on top of a state that may be old.
func (s *spread) Edit(t *rapid.T) {
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
	s.edit++
	body := fmt.Sprintf(`{"region":"r%d","state":"in"}`, s.edit)
	edit := settings.Edit{Path: path, BaseVersion: read.Version, Tombstone: retire, Nonce: fmt.Sprint(s.edit)}
	if !retire {
		edit.Body = []byte(body)
	}
	if read.Tombstone {
		edit.BaseVersion = 0
	}
	if s.down {
		return
	}
	next, err := settings.Revise(read, edit)
	if err != nil {
		return
	}
	// The conditional write takes effect only on top of the newest state.
	if len(states) > 0 && read.Nonce != states[len(states)-1].Nonce {
		return
	}
	s.store[path] = append(states, next)
	s.facts[path] = append(s.facts[path], fact{body: body, retired: retire})
}

// Outage starts or ends an outage of the store.
func (s *spread) Outage(*rapid.T) { s.down = !s.down }

// Pause stops a replica or lets it go on.
func (s *spread) Pause(t *rapid.T) {
	i := s.anyReplica(t, "replica")
	s.paused[i] = !s.paused[i]
}

// Restart empties a replica.
func (s *spread) Restart(t *rapid.T) {
	i := s.anyReplica(t, "replica")
	s.replicas[i] = table.NewSettings()
	s.seen[i] = make(map[string]uint64)
}

// Watch gives a replica one state of a path: late, repeated, out of order, or never.
func (s *spread) Watch(t *rapid.T) {
	i := s.anyReplica(t, "replica")
	path := rapid.SampledFrom(paths).Draw(t, "path")
	if states := s.store[path]; len(states) > 0 && !s.down && !s.paused[i] {
		s.merge(t, i, []settings.Document{states[rapid.IntRange(0, len(states)-1).Draw(t, "state")].Document})
	}
}

// Exchange starts an exchange.
func (s *spread) Exchange(t *rapid.T) {
	from, to := s.anyReplica(t, "from"), s.anyReplica(t, "to")
	if from != to && !s.paused[from] {
		opening := s.held(from).FirstRequest()
		s.network = append(s.network, message{from: from, to: to, request: &opening})
	}
}

// Deliver delivers any message, once or again.
func (s *spread) Deliver(t *rapid.T) {
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
func (s *spread) Lose(t *rapid.T) {
	if len(s.network) > 0 {
		i := rapid.IntRange(0, len(s.network)-1).Draw(t, "message")
		s.network = append(s.network[:i], s.network[i+1:]...)
	}
}

// Check compares every replica with the oracle.
func (s *spread) Check(t *rapid.T) {
	for i, replica := range s.replicas {
		for _, doc := range replica.Documents() {
			if doc.Version < s.seen[i][doc.Path] {
				t.Fatalf("replica %d reverted %s from version %d to %d", i, doc.Path, s.seen[i][doc.Path], doc.Version)
			}
			s.seen[i][doc.Path] = doc.Version
			s.checkFact(t, i, doc)
		}
	}
}

func (s *spread) checkFact(t *rapid.T, i int, doc settings.Document) {
	facts := s.facts[doc.Path]
	if doc.Version == 0 || doc.Version > uint64(len(facts)) {
		t.Fatalf("replica %d holds version %d of %s, which nobody made", i, doc.Version, doc.Path)
	}
	want := facts[doc.Version-1]
	if doc.Tombstone != want.retired || !want.retired && string(doc.Body) != want.body {
		t.Fatalf("replica %d holds another content of version %d of %s than was accepted", i, doc.Version, doc.Path)
	}
	if want.retired && s.inTree(i, doc.Path) {
		t.Fatalf("replica %d has retired %s in force", i, doc.Path)
	}
}

func (s *spread) inTree(i int, path string) bool {
	tree := s.replicas[i].Tree()
	_, domainA := tree.FailureDomains["a"]
	_, upstreamC := tree.Upstreams["c"]
	return map[string]bool{paths[0]: domainA, paths[1]: upstreamC}[path]
}

// heal lets messages flow: one replica lists the store, then neighbours in a line exchange for two
// rounds, either side asking.
func (s *spread) heal(t *rapid.T) {
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
			opening := s.held(from).FirstRequest()
			s.network = []message{{from: from, to: to, request: &opening}}
			for len(s.network) > 0 {
				m := s.network[0]
				s.network = append(s.network[1:], s.handle(t, m)...)
			}
		}
	}
	for i, replica := range s.replicas {
		held := make(map[string]uint64)
		for _, doc := range replica.Documents() {
			held[doc.Path] = doc.Version
		}
		for _, path := range paths {
			if held[path] != uint64(len(s.facts[path])) {
				t.Fatalf("replica %d holds version %d of %s after messages flowed, want %d", i, held[path], path, len(s.facts[path]))
			}
		}
	}
}

// handle lets the addressee handle a message and returns the messages that it sends.
func (s *spread) handle(t *rapid.T, m message) []message {
	s.merge(t, m.to, m.documents)
	if m.request != nil {
		reply := s.held(m.to).Answer(*m.request)
		return []message{{from: m.to, to: m.from, reply: &reply, documents: s.documents(m.to, reply.Send)}}
	}
	if m.reply == nil {
		return nil
	}
	var out []message
	if next, more := s.held(m.to).SecondRequest(*m.reply); more {
		out = append(out, message{from: m.to, to: m.from, request: &next})
	}
	if wanted := s.documents(m.to, m.reply.Want); len(wanted) > 0 {
		out = append(out, message{from: m.to, to: m.from, documents: wanted})
	}
	return out
}

func (s *spread) merge(t *rapid.T, i int, documents []settings.Document) {
	if _, err := s.replicas[i].Merge(documents); err != nil {
		t.Fatalf("merge: %v", err)
	}
}

func (s *spread) held(i int) merge.ItemSet {
	return merge.NewItemSet(merge.Documents(s.replicas[i].Documents()).Items())
}

func (s *spread) documents(i int, paths []string) []settings.Document {
	const limit = 100
	return merge.Documents(s.replicas[i].Documents()).Select(paths, limit)
}

func (s *spread) anyReplica(t *rapid.T, label string) int {
	return rapid.IntRange(0, replicaCount-1).Draw(t, label)
}

// TestSpreadNeverRevertsAndConverges guards against settings that go back to an older version, come back
// after they were retired, or stay different once messages flow.
func TestSpreadNeverRevertsAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSpread()
		t.Repeat(rapid.StateMachineActions(s))
		s.heal(t)
		s.Check(t)
	})
}

// TestCompareFindsEveryDifference guards against a difference that hides in a bucket or a summary.
func TestCompareFindsEveryDifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gen := rapid.MapOf(rapid.StringMatching(`[a-f]{1,2}`), rapid.Uint64Range(1, 3))
		mine, theirs := gen.Draw(t, "mine"), gen.Draw(t, "theirs")
		mineHeld, theirsHeld := merge.NewItemSet(itemsOf(mine)), merge.NewItemSet(itemsOf(theirs))
		reply := mineHeld.Answer(theirsHeld.FirstRequest())
		if next, more := theirsHeld.SecondRequest(reply); more {
			reply = mineHeld.Answer(next)
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
