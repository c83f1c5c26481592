package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/table"
	"github.com/guavatrestle/guavatrestle/transport/weights"
)

const benchUploadSlots = 4

// chunkSource is the sending agent of a transfer. It holds all chunks of a version and counts the bytes on its
// connections.
type chunkSource struct {
	wire.Agent
	chunks *table.Chunks
	digest core.Digest
	host   core.Host
	bytes  atomic.Int64
}

// Chunks implements wire.Agent; it returns the bitmap as a real agent does.
func (s *chunkSource) Chunks(context.Context, *wire.ChunksRequest) (*wire.ChunksResponse, error) {
	return &wire.ChunksResponse{Bitmap: s.chunks.Bitmap(s.digest)}, nil
}

type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countedConn{conn, l.bytes}, err
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// newChunkSource returns a chunkSource of a version with the given number of chunks.
func newChunkSource(b *testing.B, chunks, chunkBytes int) *chunkSource {
	content := make([]byte, chunks*chunkBytes)
	manifest, err := core.BuildManifest("guava", "v1", content, int64(chunkBytes))
	require.NoError(b, err)
	body, err := manifest.Canonical()
	require.NoError(b, err)
	s := &chunkSource{chunks: table.NewChunks(), digest: core.DigestOf(body)}
	require.NoError(b, s.chunks.AddManifest(s.digest, manifest, body, ""))
	for i := range chunks {
		s.chunks.Put(s.digest, i, content[i*chunkBytes:(i+1)*chunkBytes])
	}
	transfer := config.DefaultTransfer()
	limits := weights.NewLimits(config.Agent{Transfer: &transfer}, func() bool { return false })
	notWithdrawn := func(core.Digest) bool { return false }
	mux := http.NewServeMux()
	mux.Handle("GET /chunks/{digest}/{index}", weights.NewChunkHandler(s.chunks, limits, notWithdrawn, benchUploadSlots, time.Minute))
	mux.Handle(wire.AgentPathPrefix, wire.NewAgentServer(s))
	server := httptest.NewUnstartedServer(mux)
	server.Listener = countedListener{server.Listener, &s.bytes}
	server.Start()
	b.Cleanup(server.Close)
	addr := server.Listener.Addr().String()
	s.host = core.Host{ID: "source", ControlAddr: addr, DataAddr: addr}
	return s
}

// processCPU returns the processor time that this process has used.
func processCPU(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkPoll measures a poll of a peer for the chunks that it holds.
func BenchmarkPoll(b *testing.B) {
	for _, chunks := range []int{100, 1750, 7000} {
		b.Run(fmt.Sprintf("chunks=%d", chunks), func(b *testing.B) {
			s := newChunkSource(b, chunks, 16)
			client := weights.NewPeerClient(core.Host{ID: "host-0001"}, table.NewChunks())
			defer client.Close()
			s.bytes.Store(0)
			for b.Loop() {
				_, err := client.PollChunks(b.Context(), s.host, s.digest, false)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(s.bytes.Load())/float64(b.N), "bytes/poll")
		})
	}
}

// BenchmarkSendChunk measures the processor time of the sender and the receiver of a chunk together, without its
// verification.
func BenchmarkSendChunk(b *testing.B) {
	for _, size := range []int{256 << 10, 1 << 20, 4 << 20} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			s := newChunkSource(b, 4, size)
			client := weights.NewPeerClient(core.Host{ID: "host-0001"}, table.NewChunks())
			defer client.Close()
			before := processCPU(b)
			for b.Loop() {
				_, _, err := client.FetchChunk(b.Context(), s.host, s.digest, 1, int64(size))
				require.NoError(b, err)
			}
			megabytes := float64(size) * float64(b.N) / 1e6
			b.ReportMetric((processCPU(b)-before).Seconds()*1e3/megabytes, "cpu-ms/MB")
		})
	}
}
