package control

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
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

// Sizes to design for.
const (
	benchHosts     = 2500
	benchDocuments = 300
	benchBodyBytes = 1000
)

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

// benchPair returns two nodes that hold the same documents and records, and the counter of their bytes.
func benchPair(b *testing.B) (from, to *Node, count *atomic.Int64) {
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
		n := New(Parts{
			Self:   core.Host{ID: id, Incarnation: core.Incarnation(id), FailureDomain: "a", ControlAddr: l.Addr(), State: core.HostLive},
			Config: config.Default().Spread, Settings: table.NewSettings(), Members: table.NewMembers(),
			Store: objecttest.New(), Hosts: &hostList{}, Client: client,
			Random: rand.New(rand.NewPCG(1, 1)), Now: time.Now, Log: logrus.NewEntry(logger),
		})
		mux.Handle(wire.SettingsPathPrefix, wire.NewSettingsServer(n))
		b.Cleanup(func() { _ = l.Shutdown(context.Background()) })
		n.takeDocuments(benchContent())
		n.takeMembers(benchRecords())
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

func benchRecords() []membership.Record {
	var records []membership.Record
	for i := range benchHosts {
		id := fmt.Sprintf("host-%04d", i)
		host := core.Host{ID: core.HostID(id), Incarnation: core.Incarnation(id), FailureDomain: "b", ControlAddr: "10.0.0.1:1", State: core.HostLive}
		records = append(records, membership.Record{Host: host, Stamp: 1})
	}
	return records
}

// BenchmarkIdleExchange measures an exchange between two nodes that hold the same.
func BenchmarkIdleExchange(b *testing.B) {
	from, to, count := benchPair(b)
	count.Store(0)
	for b.Loop() {
		require.NoError(b, from.exchangeWith(context.Background(), to.Self))
	}
	b.ReportMetric(float64(count.Load())/float64(b.N), "bytes/exchange")
}

// BenchmarkExchangeOfOneDocument measures an exchange that closes a difference of one document.
func BenchmarkExchangeOfOneDocument(b *testing.B) {
	from, to, count := benchPair(b)
	count.Store(0)
	version := uint64(1)
	for b.Loop() {
		version++
		doc := benchContent()[0]
		doc.Version = version
		to.takeDocuments([]settings.Document{doc})
		require.NoError(b, from.exchangeWith(context.Background(), to.Self))
	}
	b.ReportMetric(float64(count.Load())/float64(b.N), "bytes/exchange")
}
