package control

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/membership"
	"github.com/guavatrestle/guavatrestle/internal/objecttest"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
	"github.com/guavatrestle/guavatrestle/state/table"
	"github.com/guavatrestle/guavatrestle/transport/server"
)

// The number of documents and the size of each that the design must support.
const (
	benchDocuments = 300
	benchBodyBytes = 1000
)

// benchHosts holds the fleet sizes to measure; the largest is 2,500 nodes and 6,700 workers.
var benchHosts = []int{100, 1000, 2500, 9200}

// countingConn counts the bytes of a connection in both directions, without headers below TCP.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// benchPair returns two nodes with the same documents and records, and a counter of the bytes between them.
func benchPair(b *testing.B, hosts int) (from, to *Node, count *atomic.Int64) {
	count = &atomic.Int64{}
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{
		Protocols: protocols,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			return countingConn{Conn: conn, bytes: count}, err
		},
	}}
	logger := logrus.New()
	logger.SetOutput(&bytes.Buffer{})
	node := func(id core.HostID) *Node {
		mux := http.NewServeMux()
		l, err := server.Listen("127.0.0.1:0", mux)
		require.NoError(b, err)
		n := New(Dependencies{
			Self:   core.Host{ID: id, Incarnation: core.Incarnation(id), FailureDomain: "a", ControlAddr: l.Addr(), State: core.HostLive},
			Config: config.Default().Spread, Settings: table.NewSettings(), Members: table.NewMembers(),
			Store: objecttest.New(), Hosts: &hostList{}, Client: client,
			Random: rand.New(rand.NewPCG(1, 1)), Now: time.Now, Log: logrus.NewEntry(logger),
		})
		mux.Handle(wire.SettingsPathPrefix, wire.NewSettingsServer(n))
		b.Cleanup(func() { _ = l.Shutdown(context.Background()) })
		n.mergeDocuments(benchContent())
		mergeInChunks(n, benchRecords(hosts))
		return n
	}
	from, to = node("from"), node("to")
	b.Cleanup(client.CloseIdleConnections)
	require.NoError(b, from.exchangeWith(context.Background(), to.Self))
	require.NoError(b, from.exchangeWith(context.Background(), to.Self))
	return from, to, count
}

func benchContent() []settings.Document {
	var documents []settings.Document
	body := `{"region":"` + strings.Repeat("r", benchBodyBytes) + `","state":"in"}`
	for i := range benchDocuments {
		documents = append(documents, settings.Document{Path: fmt.Sprintf("/failure-domains/d%d", i), Version: 1, Body: []byte(body)})
	}
	return documents
}

// mergeInChunks merges records into a node in chunks of the size of one message.
func mergeInChunks(n *Node, records []membership.Record) {
	for part := range slices.Chunk(records, maxRecords) {
		n.mergeMembers(part)
	}
}

func benchRecords(hosts int) []membership.Record {
	var records []membership.Record
	for i := range hosts {
		id := fmt.Sprintf("host-%04d", i)
		host := core.Host{ID: core.HostID(id), Incarnation: core.Incarnation(id), FailureDomain: "b", ControlAddr: "10.0.0.1:1", State: core.HostLive}
		records = append(records, membership.Record{Host: host, Stamp: 1})
	}
	return records
}

// forEachFleetSize runs a benchmark of two nodes for each fleet size and reports the bytes of an exchange.
func forEachFleetSize(b *testing.B, run func(b *testing.B, from, to *Node)) {
	for _, hosts := range benchHosts {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			from, to, count := benchPair(b, hosts)
			count.Store(0)
			run(b, from, to)
			b.ReportMetric(float64(count.Load())/float64(b.N), "bytes/exchange")
		})
	}
}

// BenchmarkIdleExchange measures an exchange between two nodes with the same content.
func BenchmarkIdleExchange(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, from, to *Node) {
		for b.Loop() {
			require.NoError(b, from.exchangeWith(context.Background(), to.Self))
		}
	})
}

// BenchmarkExchangeOfOneDocument measures an exchange that transfers one document.
func BenchmarkExchangeOfOneDocument(b *testing.B) {
	doc := benchContent()[0]
	forEachFleetSize(b, func(b *testing.B, from, to *Node) {
		for b.Loop() {
			doc.Version++
			to.mergeDocuments([]settings.Document{doc})
			require.NoError(b, from.exchangeWith(context.Background(), to.Self))
		}
	})
}

// BenchmarkExchangeOfOneHost measures an exchange that transfers one member record.
func BenchmarkExchangeOfOneHost(b *testing.B) {
	record := benchRecords(1)[0]
	forEachFleetSize(b, func(b *testing.B, from, to *Node) {
		for b.Loop() {
			record.Stamp++
			to.mergeMembers([]membership.Record{record})
			require.NoError(b, from.exchangeWith(context.Background(), to.Self))
		}
	})
}

// BenchmarkReadHosts measures reading an unchanged host list.
func BenchmarkReadHosts(b *testing.B) {
	for _, size := range benchHosts {
		b.Run(fmt.Sprintf("hosts=%d", size), func(b *testing.B) {
			from, _, _ := benchPair(b, size)
			var hosts []core.Host
			for _, record := range benchRecords(size) {
				hosts = append(hosts, record.Host)
			}
			from.Hosts = &hostList{hosts: hosts}
			for b.Loop() {
				require.NoError(b, from.readHosts(context.Background()))
			}
		})
	}
}

// BenchmarkTakeDocument measures merging one changed document into the documents of a process.
func BenchmarkTakeDocument(b *testing.B) {
	for _, size := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprintf("documents=%d", size), func(b *testing.B) {
			n, _, _ := benchPair(b, 1)
			var documents []settings.Document
			for i := range size {
				doc := benchContent()[0]
				doc.Path = fmt.Sprintf("/failure-domains/d%d", i)
				documents = append(documents, doc)
			}
			n.mergeDocuments(documents)
			doc := documents[0]
			for b.Loop() {
				doc.Version++
				n.mergeDocuments([]settings.Document{doc})
			}
		})
	}
}

// BenchmarkHostMemory measures the memory that a process uses per known host.
func BenchmarkHostMemory(b *testing.B) {
	for _, size := range benchHosts {
		b.Run(fmt.Sprintf("hosts=%d", size), func(b *testing.B) {
			var bytesPerHost float64
			for b.Loop() {
				before := heapBytes()
				n, _, _ := benchPair(b, 0)
				afterEmptyPair := heapBytes()
				m, _, _ := benchPair(b, size)
				// The second pair uses as much memory as the first plus that of the hosts at both of its nodes.
				bytesPerHost = float64(heapBytes()-afterEmptyPair-(afterEmptyPair-before)) / float64(2*size)
				runtime.KeepAlive(n)
				runtime.KeepAlive(m)
			}
			b.ReportMetric(bytesPerHost, "B/host")
		})
	}
}

// heapBytes returns the heap bytes in use after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
