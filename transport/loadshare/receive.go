package loadshare

import (
	"encoding/json"
	"expvar"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/guavatrestle/guavatrestle/coordination/workload"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// maxReadDelay is the time for which a datagram may have waited in the socket of this host until its ages are too low to be used. Shorter
// delays don't matter to what they decide, which takes 15 s and more.
const maxReadDelay = time.Second

// varReadLate counts the datagrams whose ages were not used because they may have waited for longer.
var varReadLate = expvar.NewInt("loadshare_datagrams_read_late")

// varRejected counts datagrams that were malformed or whose handling panicked.
var varRejected = expvar.NewInt("loadshare_datagrams_rejected")

// rejectLog limits the log lines about rejected datagrams.
var rejectLog = newRejectLog()

func newRejectLog() *rate.Sometimes { return &rate.Sometimes{First: 10, Interval: time.Second} }

// handleDatagram passes the message of a datagram to handle. A malformed one, or a panic in handle, ends only this datagram.
func handleDatagram(log *logrus.Entry, from netip.AddrPort, data []byte, handle func(message)) {
	defer func() {
		if value := recover(); value != nil {
			reject(log, from, eris.Errorf("panic: %v", value))
		}
	}()
	received, err := decodeMessage(data)
	if err != nil {
		reject(log, from, err)
		return
	}
	handle(received)
}

func reject(log *logrus.Entry, from netip.AddrPort, err error) {
	varRejected.Add(1)
	rejectLog.Do(func() { log.WithError(err).WithField("from", from).Warn("datagram rejected") })
}

// readLate reports whether a datagram that is read now may have waited for so long that its ages are not used. The sender repeats what it
// holds: notices with the next comparison, counts and requests in one of the next rounds.
func readLate(now, arrivedAfter time.Time) bool {
	if now.Sub(arrivedAfter) <= maxReadDelay {
		return false
	}
	varReadLate.Add(1)
	return true
}

func decodeMessage(data []byte) (message, error) {
	var received message
	if err := json.Unmarshal(data, &received); err != nil {
		return received, eris.Wrap(err, "decode datagram")
	}
	if received.Demand < 0 {
		return received, eris.Errorf("demand is %f", received.Demand)
	}
	if err := checkPriorityDemand(received.PriorityDemand); err != nil {
		return received, err
	}
	if received.IntervalMS < 0 || received.IntervalMS > requestLifetime.Milliseconds() || len(received.Entries)%addressBytes != 0 {
		return received, eris.Errorf("interval of %d ms or %d bytes of addresses are out of range", received.IntervalMS, len(received.Entries))
	}
	if received.EntryHosts < 0 || received.EntryHosts > maxCount {
		return received, eris.Errorf("number of entry hosts %d is out of range", received.EntryHosts)
	}
	for _, count := range received.Counts {
		if count.Hosts < 0 || count.Hosts > maxCount || count.AgeMS < 0 || count.AgeMS > maxWantedAge.Milliseconds() {
			return received, eris.Errorf("count of %d hosts, %d ms old, is out of range", count.Hosts, count.AgeMS)
		}
	}
	for i := range received.Notices {
		if err := received.Notices[i].check(); err != nil {
			return received, err
		}
	}
	if err := received.Times.check(); err != nil {
		return received, err
	}
	return received, received.Report.check()
}

// check returns an error if a number is out of range.
func (r *report) check() error {
	if r == nil {
		return nil
	}
	for _, n := range []int{r.Running, r.Waiting, r.Slots, r.Senders, r.StoreUnresponsiveCount, r.Requesters} {
		if n < 0 || n > maxCount {
			return eris.Errorf("count %d of a report is out of range", n)
		}
	}
	for _, m := range r.Models {
		// AllLayers is the lowest valid value.
		if m.Layers < fleet.AllLayers || m.Layers > maxCount {
			return eris.Errorf("layer count %d of model %q is out of range", m.Layers, m.Name)
		}
	}
	if r.Demand < 0 || r.Pace < 0 {
		return eris.Errorf("demand %f or pace %f is negative", r.Demand, r.Pace)
	}
	if r.CacheUsed < 0 || r.CacheTotal < 0 {
		return eris.Errorf("cache size %d or %d is negative", r.CacheUsed, r.CacheTotal)
	}
	if r.RequestLimit != nil && *r.RequestLimit < 0 {
		return eris.Errorf("request limit %f is negative", *r.RequestLimit)
	}
	return checkPriorityDemand(r.PriorityDemand)
}

func checkPriorityDemand(demand []float64) error {
	if len(demand) > workload.Levels {
		return eris.Errorf("demand has %d priorities", len(demand))
	}
	for _, perSecond := range demand {
		if perSecond < 0 || perSecond > maxCount {
			return eris.Errorf("demand %f of a priority is out of range", perSecond)
		}
	}
	return nil
}
