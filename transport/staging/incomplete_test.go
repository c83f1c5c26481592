package staging_test

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol/worker"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/staging"
)

// damagedReads is the number of damaged manifests that the origin sends first. An agent that accepts them uses five until it orders a load.
const damagedReads = 6

// damagedDigests are ways in which a list of digests can be damaged, with the addresses of the agents that get it.
var damagedDigests = []struct {
	name   string
	ip     string
	change func([]worker.Digest) []worker.Digest
}{
	{"last is missing", "127.0.17.1", withoutLast},
	{"all but the first are missing", "127.0.17.2", func(list []worker.Digest) []worker.Digest { return list[:1] }},
	{"one within is missing", "127.0.17.3", func(list []worker.Digest) []worker.Digest { return slices.Delete(list, 3, 4) }},
	{"all are missing", "127.0.17.4", func([]worker.Digest) []worker.Digest { return nil }},
	{"one too many", "127.0.17.5", func(list []worker.Digest) []worker.Digest { return append(list, list[0]) }},
	{"one is empty", "127.0.17.6", func(list []worker.Digest) []worker.Digest { list[3] = ""; return list }},
	{"last is empty", "127.0.17.7", func(list []worker.Digest) []worker.Digest { list[pieceCount-1] = ""; return list }},
	{"one is cut off", "127.0.17.8", func(list []worker.Digest) []worker.Digest { list[3] = list[3][:40]; return list }},
	{"one is not hexadecimal", "127.0.17.9", func(list []worker.Digest) []worker.Digest {
		list[3] = worker.Digest(strings.Repeat("x", 64))
		return list
	}},
}

func withoutLast(list []worker.Digest) []worker.Digest { return list[:pieceCount-1] }

// cutOffManifests makes the origin send manifests without their last digest.
func (g *group) cutOffManifests() {
	g.origin.mu.Lock()
	defer g.origin.mu.Unlock()
	g.origin.changeDigests, g.origin.damagedLists = withoutLast, math.MaxInt
}

// correct makes the origin send whole manifests, and sets a version of the configuration that states their number of pieces.
func (g *group) correct(version int64) {
	g.origin.mu.Lock()
	g.origin.damagedLists = 0
	g.origin.mu.Unlock()
	g.configure(version, pieceCount)
}

// workerWithVersion1 returns a worker that has version 1 loaded and staged.
func workerWithVersion1() *fakeWorker {
	w := newWorker()
	w.loaded = []fleet.LoadedModel{{Model: "m", Version: 1, Layers: layers}}
	for index := range pieceCount {
		w.staged[index] = piece(1, index)
	}
	return w
}

// Guards against weights of two versions: two reads of the origin's manifest agree but lack a digest, and the worker loads that piece as it
// was staged for the version before. The first sound manifest is used.
func TestDamagedListOfDigestsIsNeverLoaded(t *testing.T) {
	for _, test := range damagedDigests {
		t.Run(test.name, func(t *testing.T) {
			g := newGroup(t)
			g.origin.changeDigests, g.origin.damagedLists = test.change, damagedReads
			w := workerWithVersion1()
			g.setWanted(2)
			g.startAgent(test.ip, w)
			eventually(t, func() bool { return w.version() == 2 || len(w.wrong()) > 0 })
			require.Empty(t, w.wrong())
			g.origin.mu.Lock()
			defer g.origin.mu.Unlock()
			// Two and that of version 1 for the check of an inherited order, two for the fetch.
			require.Equal(t, damagedReads+5, g.origin.manifests, "the first sound manifests are used")
			require.Equal(t, pieceCount, g.origin.pieces, "no piece is fetched by a damaged list")
		})
	}
}

// Guards against a load order for the number of pieces of an earlier configuration: it changes after the pieces were verified, when the
// order is about to be sent.
func TestOrderCountsThePiecesOfTheConfigurationInForce(t *testing.T) {
	g := newGroup(t)
	g.configure(2, pieceCount-1)
	g.cutOffManifests()
	g.onSend = func() { g.correct(3) }
	w := workerWithVersion1()
	g.setWanted(2)
	g.startAgent("127.0.17.11", w)
	eventually(t, func() bool { return w.version() == 2 || len(w.wrong()) > 0 })
	require.Empty(t, w.wrong())
}

// Guards against a manifest that stays in the cache when the configuration changes: pieces are staged by it, and loaded.
func TestCachedListIsReadAgainWhenTheConfigurationChanges(t *testing.T) {
	g := newGroup(t)
	g.configure(2, pieceCount-1)
	g.cutOffManifests()
	w := workerWithVersion1()
	w.onStage = func(int) { g.correct(3) }
	g.setWanted(2)
	g.startAgent("127.0.17.12", w)
	eventually(t, func() bool { return w.version() == 2 || len(w.wrong()) > 0 })
	require.Empty(t, w.wrong())
}

// Guards against a successor that trusts what an earlier process has staged by a list without its last digest.
func TestPiecesStagedByAnEarlierProcessAreCountedAgain(t *testing.T) {
	g := newGroup(t)
	g.origin.changeDigests, g.origin.damagedLists = withoutLast, damagedReads
	w := workerWithVersion1()
	for index := range pieceCount - 1 {
		w.staged[index] = piece(2, index)
	}
	g.setWanted(2)
	g.startAgentWith("127.0.17.13", w, func(cfg *staging.Config) { cfg.LateOrderTimeout = time.Hour })
	eventually(t, func() bool { return w.version() == 2 || len(w.wrong()) > 0 })
	require.Empty(t, w.wrong())
}

// Guards against a version that is loaded although nothing tells how many pieces it has.
func TestNothingIsLoadedWhileTheNumberOfPiecesIsNotKnown(t *testing.T) {
	g := newGroup(t)
	g.configure(2, 0)
	g.cutOffManifests()
	w := workerWithVersion1()
	reports := 0
	checked := make(chan struct{})
	w.onReport = func() {
		if reports++; reports == 50 {
			close(checked)
		}
	}
	g.setWanted(2)
	g.startAgent("127.0.17.14", w)
	<-checked
	require.EqualValues(t, 1, w.version())
	require.Empty(t, w.wrong())
	g.correct(3)
	eventually(t, func() bool { return w.version() == 2 || len(w.wrong()) > 0 })
	require.Empty(t, w.wrong())
}
