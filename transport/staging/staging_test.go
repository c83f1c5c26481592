package staging_test

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/worker"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/staging"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	pieceCount = 8
	layers     = 4
)

func piece(version int64, index int) []byte {
	return []byte(strings.Repeat(fmt.Sprintf("piece %d of version %d.", index, version), 20))
}

// fakeWorker loads the pieces that are staged when an order arrives and compares them with those of the ordered
// version.
type fakeWorker struct {
	mu     sync.Mutex
	born   int64
	staged map[int][]byte
	loaded []fleet.LoadedModel
	orders int64
	// wrongLoads lists the pieces that differed from the ordered version.
	wrongLoads []string
	// corruptions is the number of times that the piece with index 5 is corrupted right after it was staged.
	corruptions int
	// expected returns the pieces of a version; nil means piece.
	expected func(version int64, index int) []byte
	// largestRead is the largest limit of a read of a staged piece.
	largestRead int
	// beforeLoad runs when an order arrives.
	beforeLoad func()
	// onRead, onReport and onStage, if set, run when the response to the read of a piece, to the read of the report and to the staging
	// of a piece is on its way.
	onRead   func(index int)
	onReport func()
	onStage  func(index int)
}

func newWorker() *fakeWorker { return &fakeWorker{born: 1, staged: map[int][]byte{}} }

func (w *fakeWorker) Report(context.Context) (worker.Report, error) {
	w.mu.Lock()
	report := worker.Report{Born: w.born, Models: w.loaded, Orders: w.orders}
	w.mu.Unlock()
	if w.onReport != nil {
		w.onReport()
	}
	return report, nil
}

func (w *fakeWorker) Stage(_ context.Context, _ core.Model, index int, data []byte) error {
	w.mu.Lock()
	w.staged[index] = append([]byte(nil), data...)
	if index == 5 && w.corruptions > 0 {
		w.corruptions--
		w.staged[index][0]++
	}
	w.mu.Unlock()
	if w.onStage != nil {
		w.onStage(index)
	}
	return nil
}

func (w *fakeWorker) ReadStaged(_ context.Context, _ core.Model, index, maxBytes int) ([]byte, error) {
	w.mu.Lock()
	w.largestRead = max(w.largestRead, maxBytes)
	data, ok := w.staged[index]
	data = append([]byte(nil), data...)
	w.mu.Unlock()
	if !ok {
		return nil, protocol.Errorf(protocol.CodeNotFound, "piece %d is not staged", index)
	}
	if w.onRead != nil {
		w.onRead(index)
	}
	if len(data) > maxBytes {
		return nil, protocol.Errorf(protocol.CodeMalformed, "piece %d has %d bytes", index, len(data))
	}
	return data, nil
}

func (w *fakeWorker) Load(_ context.Context, order worker.LoadOrder) error {
	if w.beforeLoad != nil {
		w.beforeLoad()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if order.ExpectedOrders != w.orders {
		return protocol.Errorf(protocol.CodeConflict, "%d orders", w.orders)
	}
	w.orders++
	for index := range pieceCount {
		want := piece(order.Version, index)
		if w.expected != nil {
			want = w.expected(order.Version, index)
		}
		if string(w.staged[index]) != string(want) {
			w.wrongLoads = append(w.wrongLoads, fmt.Sprintf("version %d piece %d: %.22q", order.Version, index, w.staged[index]))
		}
	}
	w.loaded = []fleet.LoadedModel{{Model: order.Model, Version: order.Version, Layers: layers}}
	return nil
}

// sender sends orders to a worker as its clients do: each is checked a last time right before it is sent.
type sender struct {
	worker.Worker
	onSend func()
}

func (s sender) Load(ctx context.Context, order worker.LoadOrder) error {
	if s.onSend != nil {
		s.onSend()
	}
	if err := order.CheckSend(); err != nil {
		return err
	}
	return s.Worker.Load(ctx, order)
}

func (w *fakeWorker) wrong() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.wrongLoads...)
}

func (w *fakeWorker) version() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	version, _ := fleet.LoadedVersion(w.loaded, "m", layers)
	return version
}

// fakeOrigin serves every version; corrupt, if set, changes the data that it sends.
type fakeOrigin struct {
	mu     sync.Mutex
	pieces int
	// largestRead is the largest limit of a read of a piece.
	largestRead int
	corrupt     func(n, index int, data []byte) []byte
	// shared makes the first piece the same in every version.
	shared bool
	// oldest is the oldest version of which the origin still has the manifest.
	oldest int64
	// corruptManifests is the number of manifests to send with a wrong digest.
	corruptManifests int
}

func (o *fakeOrigin) Manifest(_ context.Context, _ string, model core.Model, version int64) (worker.Manifest, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if version < o.oldest {
		return worker.Manifest{}, protocol.Errorf(protocol.CodeExpired, "version %d is gone", version)
	}
	manifest := worker.Manifest{Model: model, Version: version}
	for index := range pieceCount {
		sum := sha256.Sum256(o.content(version, index))
		manifest.Digests = append(manifest.Digests, worker.Digest(hex.EncodeToString(sum[:])))
	}
	if o.corruptManifests > 0 {
		o.corruptManifests--
		manifest.Digests[3] = worker.Digest(strings.Repeat("0", 64))
	}
	return manifest, nil
}

func (o *fakeOrigin) Piece(_ context.Context, _ string, _ core.Model, version int64, index, maxBytes int) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pieces++
	o.largestRead = max(o.largestRead, maxBytes)
	data := o.content(version, index)
	if o.corrupt != nil {
		data = o.corrupt(o.pieces, index, data)
	}
	return data, nil
}

func (o *fakeOrigin) content(version int64, index int) []byte {
	if o.shared {
		return sharedPiece(version, index)
	}
	return piece(version, index)
}

func (o *fakeOrigin) piecesSent() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pieces
}

// group is a set of agents that share one origin and one view of the fleet.
type group struct {
	t      *testing.T
	table  *fleet.Table
	mu     sync.Mutex
	origin *fakeOrigin
	// clock is the time that agents see; time.Now by default.
	clock func() time.Time
	// onSend, if set, runs before an order is checked a last time and sent.
	onSend func()
}

func newGroup(t *testing.T) *group {
	g := &group{t: t, table: fleet.NewTable(), origin: &fakeOrigin{}, clock: time.Now}
	g.table.SetConfiguration(&fleet.Configuration{Version: 1, Upstreams: map[core.Upstream]fleet.UpstreamSpec{
		"llm":    {Engine: &fleet.EngineSpec{Layers: layers, Chunks: pieceCount, Models: []core.Model{"m"}}},
		"origin": {Origin: &fleet.OriginSpec{Address: "origin", FailureDomain: "a"}},
	}})
	return g
}

func (g *group) view() *fleet.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.View()
}

func (g *group) setWanted(version int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.SetWanted(time.Now(), fleet.WeightTarget{Model: "m", Version: version})
}

// startAgent starts an agent for w at a loopback address of its own and returns its load reports.
func (g *group) startAgent(ip string, w worker.Worker) *reports {
	g.t.Helper()
	return g.startAgentWith(ip, w, func(*staging.Config) {})
}

func (g *group) startAgentWith(ip string, w worker.Worker, change func(*staging.Config)) *reports {
	g.t.Helper()
	published, stop := g.runAgent(ip, w, change)
	g.t.Cleanup(stop)
	return published
}

// runAgent starts an agent and returns its load reports and a function that stops it.
func (g *group) runAgent(ip string, w worker.Worker, change func(*staging.Config)) (*reports, func()) {
	g.t.Helper()
	g.mu.Lock()
	g.table.SetReplica(time.Now(), 1, &fleet.Replica{
		ID: fleet.ReplicaID(ip), Upstream: "llm", Address: ip + ":80", FailureDomain: "a", Born: 1,
	})
	g.mu.Unlock()
	published := &reports{}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	cfg := staging.DefaultConfig()
	cfg.ReportInterval, cfg.OrderReportDelay, cfg.LoadNoticeDelay = 5*time.Millisecond, 20*time.Millisecond, time.Millisecond
	cfg.RetryPause, cfg.MinWorkerAge = 5*time.Millisecond, 5*time.Millisecond
	cfg.Rollout.FirstLoadDelay, cfg.Rollout.LastLoadDelay = 0, 50*time.Millisecond
	cfg.Transfer.TakeOver, cfg.Transfer.Avoid = 200*time.Millisecond, 50*time.Millisecond
	cfg.Transfer.RetryBase, cfg.Transfer.RetryCap = 5*time.Millisecond, 20*time.Millisecond
	change(&cfg)
	agent := staging.New(staging.Dependencies{
		Config: cfg, HostIP: ip, ReplicaAddress: ip + ":80", Upstream: "llm", Region: "ra", FailureDomain: "a",
		Regions: map[core.FailureDomain]core.Region{"a": "ra"}, PeerPort: peerPort,
		Worker: sender{Worker: w, onSend: g.onSend}, Origin: g.origin, View: g.view,
		Publish: published.add, StopReports: func() {}, WorkerEnded: published.addEnd,
		Random: rand.New(rand.NewPCG(1, 1)), Now: g.clock, Log: logrus.NewEntry(logger),
	})
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, peerPort))
	require.NoError(g.t, err)
	server := &http.Server{Handler: agent.Handler()}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	running.Go(func() { agent.Run(ctx) })
	return published, func() {
		cancel()
		_ = server.Close()
		running.Wait()
	}
}

// peerPort must be free on the loopback addresses that the tests use.
const peerPort = 17733

// reports collects load reports.
type reports struct {
	mu   sync.Mutex
	list []dispatch.Report
	// ended holds the starts of the worker's processes that have ended.
	ended []int64
}

func (r *reports) addEnd(born int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = append(r.ended, born)
}

func (r *reports) ends() []int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.ended)
}

func (r *reports) add(_ int64, report dispatch.Report, _ bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, report)
}

func (r *reports) last() dispatch.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.list) == 0 {
		return dispatch.Report{}
	}
	return r.list[len(r.list)-1]
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 20*time.Second, time.Millisecond)
}

// TestVersionReachesEveryWorkerWithAboutOneCopyFromTheOrigin guards against hosts that all fetch the whole version
// from the origin instead of from each other.
func TestVersionReachesEveryWorkerWithAboutOneCopyFromTheOrigin(t *testing.T) {
	g := newGroup(t)
	g.setWanted(2)
	workers := []*fakeWorker{newWorker(), newWorker(), newWorker()}
	for i, w := range workers {
		g.startAgent(fmt.Sprintf("127.0.3.%d", i+1), w)
	}
	for _, w := range workers {
		eventually(t, func() bool { return w.version() == 2 })
		require.Empty(t, w.wrongLoads)
	}
	require.LessOrEqual(t, g.origin.piecesSent(), 2*pieceCount)
}

// TestDamagedPiecesAreNotLoaded guards against loading pieces that the origin corrupted or truncated.
func TestDamagedPiecesAreNotLoaded(t *testing.T) {
	g := newGroup(t)
	g.origin.corrupt = func(n, _ int, data []byte) []byte {
		switch n % 3 {
		case 0:
			return data[:len(data)/2]
		case 1:
			data[0]++
		}
		return data
	}
	g.setWanted(2)
	w := newWorker()
	g.startAgent("127.0.4.1", w)
	eventually(t, func() bool { return w.version() == 2 })
	require.Empty(t, w.wrongLoads)
}

// TestDamagedManifestIsReadAgain guards against a fetch that never ends because the manifest has a wrong digest.
func TestDamagedManifestIsReadAgain(t *testing.T) {
	g := newGroup(t)
	g.origin.corruptManifests = 1
	g.setWanted(2)
	w := newWorker()
	g.startAgent("127.0.5.1", w)
	eventually(t, func() bool { return w.version() == 2 })
	require.Empty(t, w.wrongLoads)
}

// TestCorruptedStagedPieceIsStagedAgainBeforeTheLoad guards against loading pieces that were corrupted in the staging
// area after they were checked.
func TestCorruptedStagedPieceIsStagedAgainBeforeTheLoad(t *testing.T) {
	g := newGroup(t)
	g.setWanted(2)
	w := newWorker()
	w.corruptions = 1
	g.startAgent("127.0.6.1", w)
	eventually(t, func() bool { return w.version() == 2 })
	require.Empty(t, w.wrongLoads)
}

// TestRestartedWorkerLoadsAgain guards against a worker that stays without a version after a restart, whether or not
// it kept its staged pieces.
func TestRestartedWorkerLoadsAgain(t *testing.T) {
	for _, keepsStaged := range []bool{true, false} {
		t.Run(fmt.Sprint("staged data kept: ", keepsStaged), func(t *testing.T) {
			g := newGroup(t)
			g.setWanted(2)
			w := newWorker()
			g.startAgent("127.0.7.1", w)
			eventually(t, func() bool { return w.version() == 2 })
			before := g.origin.piecesSent()

			w.mu.Lock()
			w.born, w.loaded, w.orders = 2, nil, 0
			if !keepsStaged {
				w.staged = map[int][]byte{}
			}
			w.mu.Unlock()
			eventually(t, func() bool { return w.version() == 2 })
			require.Empty(t, w.wrongLoads)
			require.Equal(t, before, g.origin.piecesSent(), "the agent still holds the pieces")
		})
	}
}

// TestLoadNoticeEndsWithTheLoad guards against a worker that gets no requests after a load: the load notice must end with
// the load, even if another version is already wanted.
func TestLoadNoticeEndsWithTheLoad(t *testing.T) {
	g := newGroup(t)
	g.setWanted(2)
	w := newWorker()
	published := g.startAgent("127.0.8.1", w)
	eventually(t, func() bool { return w.version() == 2 })
	g.origin.mu.Lock()
	g.origin.corrupt = func(_, _ int, data []byte) []byte { return data[:1] }
	g.origin.mu.Unlock()
	g.setWanted(3)
	eventually(t, func() bool {
		last := published.last()
		version, _ := fleet.LoadedVersion(last.Models, "m", layers)
		return version == 2 && !last.Loading
	})
}

// TestLoadNoticeHoldsUntilTheOrder guards against sending requests to a worker that is about to load: they would
// wait for the load and start seconds later. A report that still shows the previous load must not end the notice of
// the next one.
func TestLoadNoticeHoldsUntilTheOrder(t *testing.T) {
	g := newGroup(t)
	g.setWanted(2)
	w := newWorker()
	var published *reports
	var mu sync.Mutex
	var unannounced int
	w.beforeLoad = func() {
		mu.Lock()
		defer mu.Unlock()
		// The agent reads the worker's report every 5 ms, so several times between the notice and the order.
		if published != nil && !published.last().Loading {
			unannounced++
		}
	}
	mu.Lock()
	published = g.startAgentWith("127.0.11.1", w, func(cfg *staging.Config) { cfg.LoadNoticeDelay = 50 * time.Millisecond })
	mu.Unlock()
	eventually(t, func() bool { return w.version() == 2 })
	g.setWanted(3)
	eventually(t, func() bool { return w.version() == 3 })
	mu.Lock()
	defer mu.Unlock()
	require.Zero(t, unannounced)
}

// TestNewHostsGetPiecesFromHostsThatHaveLoaded guards against one copy from the origin for every host that is added.
func TestNewHostsGetPiecesFromHostsThatHaveLoaded(t *testing.T) {
	g := newGroup(t)
	first := newWorker()
	for index := range pieceCount {
		first.staged[index] = piece(1, index)
	}
	first.loaded = []fleet.LoadedModel{{Model: "m", Version: 1, Layers: layers}}
	g.startAgent("127.0.9.1", first)
	eventually(t, func() bool {
		response, err := http.Get(fmt.Sprintf("http://127.0.9.1:%d/weights/m/1/pieces/%d", peerPort, pieceCount-1))
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	http.DefaultClient.CloseIdleConnections()
	added := newWorker()
	g.startAgent("127.0.9.2", added)
	eventually(t, func() bool { return added.version() == 1 })
	require.Empty(t, added.wrongLoads)
	require.Zero(t, g.origin.piecesSent())
}

// TestRequestsAcrossRegionsAreMarked guards against unmarked requests to another region: the peer could not give them
// the cross-region slots, and they would wait behind requests of hosts in its own region.
func TestRequestsAcrossRegionsAreMarked(t *testing.T) {
	g := newGroup(t)
	g.origin.corrupt = func(_, _ int, data []byte) []byte {
		time.Sleep(20 * time.Millisecond)
		return data
	}
	marked := make(chan bool, 1)
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.9.40:%d", peerPort))
	require.NoError(t, err)
	remote := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Gt-Held", base64.StdEncoding.EncodeToString([]byte{0xff}))
		if strings.HasSuffix(r.URL.Path, "/held") {
			return
		}
		select {
		case marked <- r.Header.Get("Gt-Cross-Region") != "":
		default:
		}
		w.WriteHeader(http.StatusTooManyRequests)
	})}
	go func() { _ = remote.Serve(listener) }()
	t.Cleanup(func() { _ = remote.Close() })
	g.table.SetReplica(time.Now(), 1, &fleet.Replica{
		ID: "far", Upstream: "llm", Address: "127.0.9.40:80", FailureDomain: "elsewhere", Born: 1,
	})
	g.startAgent("127.0.9.41", newWorker())
	select {
	case mark := <-marked:
		require.True(t, mark)
	case <-time.After(20 * time.Second):
		require.Fail(t, "no piece was requested from the host in the other region")
	}
}
