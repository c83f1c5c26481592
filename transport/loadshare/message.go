// Package loadshare carries load reports from agents to the entry hosts that send to their workers.
//
// An entry host asks an agent for reports by a datagram and goes on asking; the agent sends reports to those that asked
// lately. A lost datagram costs nothing: reports follow each other and age out.
package loadshare

import (
	"encoding/json"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

const (
	// RequestInterval is the time between two requests for reports to one agent.
	RequestInterval = time.Second
	// askLife is the time for which a request for reports holds; two may be lost.
	askLife = 3500 * time.Millisecond
	// ReportInterval is the time between two reports.
	ReportInterval = 200 * time.Millisecond
	// namedLife is the time for which reports tell when a version was named; it is longer than any bound on activation.
	namedLife = 20 * time.Second
	// maxAskers bounds the entry hosts that one agent reports to.
	maxAskers = 4096
	// maxDatagram holds the largest report.
	maxDatagram = 2048
)

// message is a datagram. One without a report asks for reports.
type message struct {
	Report *report `json:"r,omitempty"`
	// Silent says, in a request for reports, that the store does not answer the sender.
	Silent bool `json:"x,omitempty"`
	// Named lists, in a request for reports, the versions that the sender saw named lately.
	Named []named `json:"v,omitempty"`
}

type report struct {
	Born    int64   `json:"b"`
	Running int     `json:"n"`
	Waiting int     `json:"w"`
	Slots   int     `json:"s"`
	Loading bool    `json:"l,omitempty"`
	Models  []model `json:"m"`
	Senders int     `json:"f"`
	Pace    float64 `json:"p,omitempty"`
	Named   []named `json:"v,omitempty"`
	// Silent is the number of senders that the store does not answer.
	Silent int `json:"x,omitempty"`
}

// named tells how long ago a version was named.
type named struct {
	Model   string `json:"n"`
	Version int64  `json:"v"`
	AgeMS   int64  `json:"a"`
}

type model struct {
	Name    string `json:"n"`
	Version int64  `json:"v"`
	Layers  int    `json:"l"`
}

// recentNames lists the versions that were named lately, at known times.
func recentNames(now time.Time, view *fleet.View) []named {
	if !view.Ready() {
		return nil
	}
	var list []named
	for model, wanted := range view.Wanted {
		for _, version := range wanted {
			age := now.Sub(version.Since)
			if !version.Since.IsZero() && age < namedLife {
				list = append(list, named{Model: string(model), Version: version.Version, AgeMS: age.Milliseconds()})
			}
		}
	}
	return list
}

// hear hands versions named on.
func hear(names []named, sink func(model core.Model, version int64, age time.Duration)) {
	for _, name := range names {
		sink(core.Model(name.Model), name.Version, time.Duration(name.AgeMS)*time.Millisecond)
	}
}

func encodeReport(born int64, r dispatch.Report, silent int, names []named) ([]byte, error) {
	wire := &report{
		Born: born, Running: r.Running, Waiting: r.Waiting, Slots: r.Slots, Loading: r.Loading, Senders: r.Senders, Pace: r.Pace,
		Named: names, Silent: silent,
	}
	for _, m := range r.Models {
		wire.Models = append(wire.Models, model{Name: string(m.Model), Version: m.Version, Layers: m.Layers})
	}
	return json.Marshal(message{Report: wire})
}

func (r *report) decode() dispatch.Report {
	decoded := dispatch.Report{
		Running: r.Running, Waiting: r.Waiting, Slots: r.Slots, Loading: r.Loading, Senders: r.Senders, Pace: r.Pace,
		Models: []fleet.LoadedModel{},
	}
	for _, m := range r.Models {
		decoded.Models = append(decoded.Models, fleet.LoadedModel{Model: core.Model(m.Name), Version: m.Version, Layers: m.Layers})
	}
	return decoded
}
