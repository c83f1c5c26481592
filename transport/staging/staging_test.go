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
	chunks = 8
	layers = 4
)

func piece(version int64, index int) []byte {
	return []byte(strings.Repeat(fmt.Sprintf("piece %d of version %d.", index, version), 20))
}

// fakeWorker loads what is staged at the moment of the order and checks it against what the version should be.
type fakeWorker struct {
	mu     sync.Mutex
	born   int64
	staged map[int][]byte
	loaded []fleet.LoadedModel
	orders int64
	// wrong lists orders that would have loaded other bytes than the version's.
	wrong []string
	// rot is the number of times that the piece with index 5 turns bad right after it was staged.
	rot int
	// beforeLoad runs when an order arrives.
	beforeLoad func()
}

func newWorker() *fakeWorker { return &fakeWorker{born: 1, staged: map[int][]byte{}} }

func (w *fakeWorker) Report(context.Context) (worker.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return worker.Report{Born: w.born, Models: w.loaded, Orders: w.orders}, nil
}

func (w *fakeWorker) Stage(_ context.Context, _ core.Model, index int, data []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.staged[index] = append([]byte(nil), data...)
	if index == 5 && w.rot > 0 {
		w.rot--
		w.staged[index][0]++
	}
	return nil
}

func (w *fakeWorker) ReadStaged(_ context.Context, _ core.Model, index int) ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	data, ok := w.staged[index]
	if !ok {
		return nil, protocol.Errorf(protocol.CodeNotFound, "piece %d is not staged", index)
	}
	return append([]byte(nil), data...), nil
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
	for index := range chunks {
		if string(w.staged[index]) != string(piece(order.Version, index)) {
			w.wrong = append(w.wrong, fmt.Sprintf("version %d piece %d", order.Version, index))
		}
	}
	w.loaded = []fleet.LoadedModel{{Model: order.Model, Version: order.Version, Layers: layers}}
	return nil
}

func (w *fakeWorker) version() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	version, _ := fleet.LoadedVersion(w.loaded, "m", layers)
	return version
}

// fakeOrigin serves every version; spoil changes what it sends.
type fakeOrigin struct {
	mu     sync.Mutex
	pieces int
	spoil  func(n, index int, data []byte) []byte
	// spoilManifest is the number of manifests that come with a wrong digest.
	spoilManifest int
}

func (o *fakeOrigin) Manifest(_ context.Context, _ string, model core.Model, version int64) (worker.Manifest, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	manifest := worker.Manifest{Model: model, Version: version}
	for index := range chunks {
		sum := sha256.Sum256(piece(version, index))
		manifest.Digests = append(manifest.Digests, worker.Digest(hex.EncodeToString(sum[:])))
	}
	if o.spoilManifest > 0 {
		o.spoilManifest--
		manifest.Digests[3] = worker.Digest(strings.Repeat("0", 64))
	}
	return manifest, nil
}

func (o *fakeOrigin) Piece(_ context.Context, _ string, _ core.Model, version int64, index int) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pieces++
	data := piece(version, index)
	if o.spoil != nil {
		data = o.spoil(o.pieces, index, data)
	}
	return data, nil
}

func (o *fakeOrigin) sent() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pieces
}

// group is a set of agents with their workers and one origin.
type group struct {
	t      *testing.T
	table  *fleet.Table
	mu     sync.Mutex
	origin *fakeOrigin
}

func newGroup(t *testing.T) *group {
	g := &group{t: t, table: fleet.NewTable(), origin: &fakeOrigin{}}
	g.table.SetConfiguration(&fleet.Configuration{Version: 1, Upstreams: map[core.Upstream]fleet.UpstreamSpec{
		"llm":    {Engine: &fleet.EngineSpec{Layers: layers, Chunks: chunks, Models: []core.Model{"m"}}},
		"origin": {Origin: &fleet.OriginSpec{Address: "origin", FailureDomain: "a"}},
	}})
	return g
}

func (g *group) view() *fleet.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.View()
}

func (g *group) want(version int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.SetWanted(time.Now(), fleet.WeightTarget{Model: "m", Version: version})
}

// agent starts an agent at a loopback address of its own beside w and returns its load reports.
func (g *group) agent(ip string, w worker.Worker) *reports {
	g.t.Helper()
	return g.agentWith(ip, w, func(*staging.Config) {})
}

func (g *group) agentWith(ip string, w worker.Worker, change func(*staging.Config)) *reports {
	g.t.Helper()
	g.mu.Lock()
	g.table.SetReplica(time.Now(), 1, &fleet.Replica{
		ID: fleet.ReplicaID(ip), Upstream: "llm", Address: ip + ":80", FailureDomain: "a", Born: 1,
	})
	g.mu.Unlock()
	seen := &reports{}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	cfg := staging.DefaultConfig()
	cfg.ReportInterval, cfg.OrderReportDelay, cfg.LoadNoticeDelay = 5*time.Millisecond, 20*time.Millisecond, time.Millisecond
	cfg.RetryPause = 5 * time.Millisecond
	cfg.Rollout.FirstLoadDelay, cfg.Rollout.LastLoadDelay = 0, 50*time.Millisecond
	cfg.Transfer.TakeOver, cfg.Transfer.Avoid = 200*time.Millisecond, 50*time.Millisecond
	cfg.Transfer.RetryBase, cfg.Transfer.RetryCap = 5*time.Millisecond, 20*time.Millisecond
	change(&cfg)
	agent := staging.New(staging.Parts{
		Config: cfg, HostIP: ip, ReplicaAddress: ip + ":80", Upstream: "llm", Region: "ra", FailureDomain: "a",
		Regions: map[core.FailureDomain]core.Region{"a": "ra"}, PeerPort: peerPort,
		Worker: w, Origin: g.origin, View: g.view,
		Publish: seen.add, StopReports: func() {},
		Random: rand.New(rand.NewPCG(1, 1)), Now: time.Now, Log: logrus.NewEntry(logger),
	})
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, peerPort))
	require.NoError(g.t, err)
	server := &http.Server{Handler: agent.Handler()}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	running.Go(func() { agent.Run(ctx) })
	g.t.Cleanup(func() {
		cancel()
		_ = server.Close()
		running.Wait()
	})
	return seen
}

// peerPort is free on the loopback addresses that the tests use.
const peerPort = 17733

// reports collects load reports.
type reports struct {
	mu   sync.Mutex
	list []dispatch.Report
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

// TestVersionReachesEveryWorkerWithAboutOneCopyFromTheOrigin guards against hosts that all fetch from the origin.
func TestVersionReachesEveryWorkerWithAboutOneCopyFromTheOrigin(t *testing.T) {
	g := newGroup(t)
	g.want(2)
	workers := []*fakeWorker{newWorker(), newWorker(), newWorker()}
	for i, w := range workers {
		g.agent(fmt.Sprintf("127.0.3.%d", i+1), w)
	}
	for _, w := range workers {
		eventually(t, func() bool { return w.version() == 2 })
		require.Empty(t, w.wrong)
	}
	require.LessOrEqual(t, g.origin.sent(), 2*chunks)
}

// TestDamagedPiecesAreNotLoaded guards against pieces that the origin spoils or cuts short.
func TestDamagedPiecesAreNotLoaded(t *testing.T) {
	g := newGroup(t)
	g.origin.spoil = func(n, _ int, data []byte) []byte {
		switch n % 3 {
		case 0:
			return data[:len(data)/2]
		case 1:
			data[0]++
		}
		return data
	}
	g.want(2)
	w := newWorker()
	g.agent("127.0.4.1", w)
	eventually(t, func() bool { return w.version() == 2 })
	require.Empty(t, w.wrong)
}

// TestDamagedManifestIsReadAgain guards against a fetch that never ends because a digest is wrong.
func TestDamagedManifestIsReadAgain(t *testing.T) {
	g := newGroup(t)
	g.origin.spoilManifest = 1
	g.want(2)
	w := newWorker()
	g.agent("127.0.5.1", w)
	eventually(t, func() bool { return w.version() == 2 })
	require.Empty(t, w.wrong)
}

// TestPieceThatTurnedBadIsStagedAgainBeforeTheLoad guards against weights that rot between staging and load.
func TestPieceThatTurnedBadIsStagedAgainBeforeTheLoad(t *testing.T) {
	g := newGroup(t)
	g.want(2)
	w := newWorker()
	w.rot = 1
	g.agent("127.0.6.1", w)
	eventually(t, func() bool { return w.version() == 2 })
	require.Empty(t, w.wrong)
}

// TestRestartedWorkerLoadsAgain guards against a worker that stays empty after a restart, with or without what was staged.
func TestRestartedWorkerLoadsAgain(t *testing.T) {
	for _, keeps := range []bool{true, false} {
		t.Run(fmt.Sprint("staged data kept: ", keeps), func(t *testing.T) {
			g := newGroup(t)
			g.want(2)
			w := newWorker()
			g.agent("127.0.7.1", w)
			eventually(t, func() bool { return w.version() == 2 })
			before := g.origin.sent()

			w.mu.Lock()
			w.born, w.loaded, w.orders = 2, nil, 0
			if !keeps {
				w.staged = map[int][]byte{}
			}
			w.mu.Unlock()
			eventually(t, func() bool { return w.version() == 2 })
			require.Empty(t, w.wrong)
			require.Equal(t, before, g.origin.sent(), "the agent still holds the pieces")
		})
	}
}

// TestWorkerTakesWorkAgainOnceLoadedWhileTheNextVersionWaits guards against workers that stand idle: the notice of a load
// must end with the load, also when another version is already wanted.
func TestWorkerTakesWorkAgainOnceLoadedWhileTheNextVersionWaits(t *testing.T) {
	g := newGroup(t)
	g.want(2)
	w := newWorker()
	seen := g.agent("127.0.8.1", w)
	eventually(t, func() bool { return w.version() == 2 })
	g.origin.mu.Lock()
	g.origin.spoil = func(_, _ int, data []byte) []byte { return data[:1] }
	g.origin.mu.Unlock()
	g.want(3)
	eventually(t, func() bool {
		last := seen.last()
		version, _ := fleet.LoadedVersion(last.Models, "m", layers)
		return version == 2 && !last.Loading
	})
}

// TestNoticeOfALoadHoldsUntilTheOrder guards against requests for a worker that is about to load: they would wait for the
// load and begin seconds later. The report of an earlier load must not end the notice of the next.
func TestNoticeOfALoadHoldsUntilTheOrder(t *testing.T) {
	g := newGroup(t)
	g.want(2)
	w := newWorker()
	var seen *reports
	var mu sync.Mutex
	var unannounced int
	w.beforeLoad = func() {
		mu.Lock()
		defer mu.Unlock()
		// The agent reads the worker's report every 5 ms, and so several times between the notice and the order.
		if seen != nil && !seen.last().Loading {
			unannounced++
		}
	}
	mu.Lock()
	seen = g.agentWith("127.0.11.1", w, func(cfg *staging.Config) { cfg.LoadNoticeDelay = 50 * time.Millisecond })
	mu.Unlock()
	eventually(t, func() bool { return w.version() == 2 })
	g.want(3)
	eventually(t, func() bool { return w.version() == 3 })
	mu.Lock()
	defer mu.Unlock()
	require.Zero(t, unannounced)
}

// TestNewHostsGetPiecesFromHostsThatHaveLoaded guards against a copy from the origin for every host that is added.
func TestNewHostsGetPiecesFromHostsThatHaveLoaded(t *testing.T) {
	g := newGroup(t)
	first := newWorker()
	for index := range chunks {
		first.staged[index] = piece(1, index)
	}
	first.loaded = []fleet.LoadedModel{{Model: "m", Version: 1, Layers: layers}}
	g.agent("127.0.9.1", first)
	eventually(t, func() bool {
		response, err := http.Get(fmt.Sprintf("http://127.0.9.1:%d/weights/m/1/pieces/%d", peerPort, chunks-1))
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	http.DefaultClient.CloseIdleConnections()
	added := newWorker()
	g.agent("127.0.9.2", added)
	eventually(t, func() bool { return added.version() == 1 })
	require.Empty(t, added.wrong)
	require.Zero(t, g.origin.sent())
}

// TestRequestsAcrossRegionsAreMarked guards against copies for another region that wait behind near hosts at the holder.
func TestRequestsAcrossRegionsAreMarked(t *testing.T) {
	g := newGroup(t)
	g.origin.spoil = func(_, _ int, data []byte) []byte {
		time.Sleep(20 * time.Millisecond)
		return data
	}
	marked := make(chan bool, 1)
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.9.40:%d", peerPort))
	require.NoError(t, err)
	far := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
	go func() { _ = far.Serve(listener) }()
	t.Cleanup(func() { _ = far.Close() })
	g.table.SetReplica(time.Now(), 1, &fleet.Replica{
		ID: "far", Upstream: "llm", Address: "127.0.9.40:80", FailureDomain: "elsewhere", Born: 1,
	})
	g.agent("127.0.9.41", newWorker())
	select {
	case mark := <-marked:
		require.True(t, mark)
	case <-time.After(20 * time.Second):
		require.Fail(t, "no piece was asked of the host in the other region")
	}
}
