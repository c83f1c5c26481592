package loadshare

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// asker is an entry host that asked for reports.
type asker struct {
	at time.Time
	// silent says that the store does not answer the host.
	silent bool
}

// RequestSink takes what entry hosts say when they ask for reports.
type RequestSink struct {
	// EntryHostCounts gets the number of entry hosts that ask, and how many of them the store does not answer.
	EntryHostCounts func(hosts, silent int)
	// WantedVersion gets a version that an entry host saw named, and how long ago.
	WantedVersion func(model core.Model, version int64, age time.Duration)
}

// Reporter sends load reports to the entry hosts that asked for them lately.
type Reporter struct {
	conn *net.UDPConn
	view func() *fleet.View
	sink RequestSink
	log  *logrus.Entry

	mu      sync.Mutex
	askers  map[netip.AddrPort]asker
	current dispatch.Report
	born    int64
	known   bool
}

// NewReporter opens the socket of an agent at ip.
func NewReporter(ip string, port int, view func() *fleet.View, sink RequestSink, log *logrus.Entry) (*Reporter, error) {
	conn, err := listenUDP(ip, port)
	if err != nil {
		return nil, err
	}
	return &Reporter{conn: conn, view: view, sink: sink, log: log, askers: make(map[netip.AddrPort]asker)}, nil
}

// Run answers requests and sends reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(r.receive)
	ticker := time.NewTicker(ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = r.conn.Close()
			loops.Wait()
			return
		case <-ticker.C:
			r.Send()
		}
	}
}

// SetReport replaces the report that is sent.
func (r *Reporter) SetReport(born int64, report dispatch.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.born, r.current, r.known = born, report, true
}

// ClearReport stops the reports until the next Set, because the worker does not answer.
func (r *Reporter) ClearReport() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known = false
}

// Send sends the report now.
func (r *Reporter) Send() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := bootclock.Time()
	silent := 0
	for address, known := range r.askers {
		if now.Sub(known.at) > askLife {
			delete(r.askers, address)
		} else if known.silent {
			silent++
		}
	}
	r.sink.EntryHostCounts(len(r.askers), silent)
	if !r.known || len(r.askers) == 0 {
		return
	}
	r.current.Senders = len(r.askers)
	body, err := encodeReport(r.born, r.current, silent, recentNames(now, r.view()))
	if err != nil {
		r.log.WithError(err).Error("encode load report")
		return
	}
	for address := range r.askers {
		// A lost report is followed by another.
		_, _ = r.conn.WriteToUDPAddrPort(body, address)
	}
}

func (r *Reporter) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		var asked message
		if json.Unmarshal(buffer[:n], &asked) != nil || asked.Report != nil {
			continue
		}
		r.mu.Lock()
		if _, known := r.askers[from]; known || len(r.askers) < maxAskers {
			r.askers[from] = asker{at: bootclock.Time(), silent: asked.Silent}
		}
		r.mu.Unlock()
		hear(asked.Named, r.sink.WantedVersion)
	}
}
