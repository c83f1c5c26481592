package loadshare

import (
	"encoding/json"
	"expvar"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

const (
	// timeQuestions is the number of agents that an entry host asks for the times of versions in each round.
	timeQuestions = 8
	// answerPatience is the time after which an agent takes over a version from entry hosts that don't answer its questions, as those of
	// an earlier version. Its time is then unknown.
	answerPatience = time.Second
)

// varTimeQuestions counts the questions for the times of versions that this process has sent.
var varTimeQuestions = expvar.NewInt("loadshare_time_questions")

// versionTimes answers a question for the times of versions. Ages are those at some time between the question, Asked, and its answer, so
// that the asker can bound the times by its own clock, whenever either host reads what the other has sent.
type versionTimes struct {
	// Asked is the AskTimes of the question.
	Asked    int64           `json:"q"`
	Versions []wantedVersion `json:"v"`
}

// check returns an error if a number is out of range.
func (t *versionTimes) check() error {
	if t == nil {
		return nil
	}
	if t.Asked < 0 {
		return eris.Errorf("time of a question is %d ms", t.Asked)
	}
	for _, version := range t.Versions {
		if version.AgeMS < 0 || version.AgeMS > maxWantedAge.Milliseconds() || version.SpreadMS < 0 || version.SpreadMS > version.AgeMS {
			return eris.Errorf("age of a version is %d ms, of which %d ms are uncertain", version.AgeMS, version.SpreadMS)
		}
	}
	return nil
}

// question returns the AskTimes of a question sent now.
func question(now time.Time) *int64 {
	varTimeQuestions.Add(1)
	asked := now.UnixMilli()
	return &asked
}

// answerQuestion returns the answer to a question, nil if no recent times are known.
func answerQuestion(now time.Time, view *fleet.View, asked int64) *versionTimes {
	versions := recentWanted(now, view)
	if len(versions) == 0 {
		return nil
	}
	return &versionTimes{Asked: asked, Versions: versions}
}

// deliverTimes passes the versions of an answer that is read now to sink, with the bounds of their times.
func (t *versionTimes) deliverTimes(now time.Time, from netip.Addr, sink func(netip.Addr, core.Model, fleet.WantedVersion)) {
	asked := time.UnixMilli(t.Asked)
	if asked.After(now) || now.Sub(asked) > wantedLifetime {
		// The clock began anew since the question, or the answer is too late to matter.
		return
	}
	for _, version := range t.Versions {
		oldest := time.Duration(version.AgeMS) * time.Millisecond
		youngest := oldest - time.Duration(version.SpreadMS)*time.Millisecond
		sink(from, core.Model(version.Model), fleet.WantedVersion{
			Version: version.Version, Since: asked.Add(-oldest), Until: now.Add(-youngest),
		})
	}
}

// lackTimes reports whether the time of a version that recently became wanted may be known more closely to other hosts.
func lackTimes(now time.Time, view *fleet.View) bool {
	if !view.Ready() {
		return false
	}
	for _, wanted := range view.Wanted {
		for _, version := range wanted {
			if !version.Until.IsZero() && now.Sub(version.Until) < wantedLifetime && version.LacksTime() {
				return true
			}
		}
	}
	return false
}

// lacksAny reports whether one of the versions that another host has listed is unknown here, or its time may be known more closely there.
// A newer version than those known counts only if newer is set.
func lacksAny(view *fleet.View, versions []wantedVersion, newer bool) bool {
	if !view.Ready() {
		return false
	}
	for _, version := range versions {
		wanted := view.Wanted[core.Model(version.Model)]
		if wanted.LacksTime(version.Version) && (newer || version.Version <= wanted.Newest()) {
			return true
		}
	}
	return false
}

// sendMessage sends a message to a host. Errors of the network are ignored: what is lost is sent again later.
func sendMessage(conn packetConn, log *logrus.Entry, to netip.AddrPort, sent message) {
	body, err := json.Marshal(sent)
	if err != nil {
		log.WithError(err).Error("encode a message to another host")
		return
	}
	_, _ = conn.WriteToUDPAddrPort(body, to)
}
