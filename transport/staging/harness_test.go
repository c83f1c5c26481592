package staging_test

import (
	"context"
	"crypto/sha256"
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
	// unnamed is a version that was never published.
	unnamed int64
	// corruptManifests is the number of manifests to send with a wrong digest.
	corruptManifests int
	// changeDigests, if set, changes the digests of the next damagedLists manifests.
	changeDigests func([]worker.Digest) []worker.Digest
	damagedLists  int
	// down makes the origin unavailable.
	down bool
	// manifests is the number of manifests sent.
	manifests int
}

func (o *fakeOrigin) Manifest(_ context.Context, _ string, model core.Model, version int64) (worker.Manifest, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return worker.Manifest{}, protocol.Errorf(protocol.CodeUnavailable, "the origin is down")
	}
	if version < o.oldest {
		return worker.Manifest{}, protocol.Errorf(protocol.CodeExpired, "version %d is gone", version)
	}
	if version == o.unnamed {
		return worker.Manifest{}, protocol.Errorf(protocol.CodeNotFound, "version %d is not known", version)
	}
	o.manifests++
	manifest := worker.Manifest{Model: model, Version: version}
	for index := range pieceCount {
		sum := sha256.Sum256(o.content(version, index))
		manifest.Digests = append(manifest.Digests, worker.Digest(hex.EncodeToString(sum[:])))
	}
	if o.corruptManifests > 0 {
		o.corruptManifests--
		manifest.Digests[3] = worker.Digest(strings.Repeat("0", 64))
	}
	if o.damagedLists > 0 {
		o.damagedLists--
		manifest.Digests = o.changeDigests(manifest.Digests)
	}
	return manifest, nil
}

func (o *fakeOrigin) Piece(_ context.Context, _ string, _ core.Model, version int64, index, maxBytes int) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return nil, protocol.Errorf(protocol.CodeUnavailable, "the origin is down")
	}
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
	// logs, if set, gets the logs of the agents that start.
	logs io.Writer
}

func newGroup(t *testing.T) *group {
	g := &group{t: t, table: fleet.NewTable(), origin: &fakeOrigin{}, clock: time.Now}
	g.configure(1, pieceCount)
	return g
}

// configure sets a version of the configuration, in which a version of the model has the given number of pieces.
func (g *group) configure(version int64, pieces int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.SetConfiguration(&fleet.Configuration{Version: version, Upstreams: map[core.Upstream]fleet.UpstreamSpec{
		"llm":    {Engine: &fleet.EngineSpec{Layers: layers, Chunks: pieces, Models: []core.Model{"m"}}},
		"origin": {Origin: &fleet.OriginSpec{Address: "origin", FailureDomain: "a"}},
	}})
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

// register adds the replica of a host to the view.
func (g *group) register(ip string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.SetReplica(time.Now(), 1, &fleet.Replica{
		ID: fleet.ReplicaID(ip), Upstream: "llm", Address: ip + ":80", FailureDomain: "a", Born: 1,
	})
}

// runAgent starts an agent and returns its load reports and a function that stops it.
func (g *group) runAgent(ip string, w worker.Worker, change func(*staging.Config)) (*reports, func()) {
	g.t.Helper()
	g.register(ip)
	published := &reports{}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	if g.logs != nil {
		logger.SetOutput(g.logs)
	}
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
