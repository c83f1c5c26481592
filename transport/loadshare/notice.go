package loadshare

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/coordination/quarantine"
	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// noticePushAgents is the number of agents that an entry host sends new notices to; they pass them on to all entry hosts.
	noticePushAgents = 4
	// noticeQuestions is the number of agents that an entry host compares its notices with in each round.
	noticeQuestions = 1
	// noticePushDelay is the time for which new notices are collected before they are sent.
	noticePushDelay = 10 * time.Millisecond
	// maxNoticeBytes bounds the notices in one datagram, which must fit into maxDatagramBytes.
	maxNoticeBytes = 1200
	// maxNoticeParts and maxNoticeName bound a notice that is received.
	maxNoticeParts = 32
	maxNoticeName  = 128
	// maxNoticeAge bounds the age of a notice, maxNoticeRound its number of earlier quarantines.
	maxNoticeAge   = 14 * 24 * time.Hour
	maxNoticeRound = 64
)

// noticeKind is the fact that a notice holds.
type noticeKind string

const (
	noticeLoss       noticeKind = "l"
	noticeEnded      noticeKind = "e"
	noticeSound      noticeKind = "s"
	noticeQuarantine noticeKind = "q"
)

// notice is a quarantine.Notice with ages in place of times, since hosts have different clocks.
type notice struct {
	ID    uint64     `json:"i"`
	Kind  noticeKind `json:"k"`
	AgeMS int64      `json:"a"`
	// Host and Born are the process of a loss or an end.
	Host netip.Addr `json:"h,omitzero"`
	Born int64      `json:"b,omitempty"`
	// Upstream and Parts are those of a loss, a sound part or a quarantine; the latter two have one part.
	Upstream core.Upstream     `json:"u,omitempty"`
	Parts    []quarantine.Part `json:"p,omitempty"`
	// Team is that of a loss or a quarantine.
	Team core.Team `json:"t,omitempty"`
	// The other fields are those of a quarantine. SinceMS is the age of its first loss.
	AllTeams  bool  `json:"x,omitempty"`
	SinceMS   int64 `json:"s,omitempty"`
	Processes int   `json:"n,omitempty"`
	Round     int   `json:"r,omitempty"`
}

func encodeNotice(now time.Time, n quarantine.Notice) notice {
	wire := notice{ID: n.ID, AgeMS: now.Sub(n.At).Milliseconds()}
	switch {
	case n.Loss != nil:
		wire.Kind, wire.Host, wire.Born = noticeLoss, n.Loss.Process.Host, n.Loss.Process.Born
		wire.Upstream, wire.Team, wire.Parts = n.Loss.Upstream, n.Loss.Team, n.Loss.Parts
	case n.Ended != nil:
		wire.Kind, wire.Host, wire.Born = noticeEnded, n.Ended.Host, n.Ended.Born
	case n.Sound != nil:
		wire.Kind, wire.Upstream, wire.Parts = noticeSound, n.Sound.Upstream, []quarantine.Part{n.Sound.Part}
	case n.Quarantine != nil:
		q := n.Quarantine
		wire.Kind, wire.Upstream, wire.Parts = noticeQuarantine, q.Key.Upstream, []quarantine.Part{q.Key.Part}
		wire.Team, wire.AllTeams, wire.Processes, wire.Round = q.Team, q.AllTeams, q.Processes, q.Round
		wire.SinceMS = now.Sub(q.Since).Milliseconds()
	}
	return wire
}

// check returns an error if a field is out of range.
func (n *notice) check() error {
	age, since := time.Duration(n.AgeMS)*time.Millisecond, time.Duration(n.SinceMS)*time.Millisecond
	switch {
	case n.AgeMS < 0, n.AgeMS > maxNoticeAge.Milliseconds(), n.SinceMS < 0, n.SinceMS > maxNoticeAge.Milliseconds():
		return eris.Errorf("age of a notice is %s, of its first loss %s", age, since)
	case len(n.Upstream) > maxNoticeName, len(n.Team) > maxNoticeName, len(n.Parts) > maxNoticeParts:
		return eris.Errorf("notice has %d parts, an upstream of %d and a team of %d bytes", len(n.Parts), len(n.Upstream), len(n.Team))
	case n.Processes < 0, n.Processes > maxCount, n.Round < 0, n.Round > maxNoticeRound:
		return eris.Errorf("notice has %d processes and round %d", n.Processes, n.Round)
	}
	for _, part := range n.Parts {
		if part == "" || len(part) > maxNoticeName {
			return eris.Errorf("part of a notice has %d bytes", len(part))
		}
	}
	return n.checkKind()
}

func (n *notice) checkKind() error {
	switch n.Kind {
	case noticeLoss, noticeEnded:
		if !n.Host.IsValid() || n.Host.Zone() != "" {
			return eris.Errorf("notice about a process of host %q", n.Host)
		}
	case noticeSound, noticeQuarantine:
		if len(n.Parts) != 1 {
			return eris.Errorf("notice about one part has %d", len(n.Parts))
		}
	default:
		return eris.Errorf("unknown kind of notice %q", n.Kind)
	}
	return nil
}

// decode returns a notice that has been checked.
func (n *notice) decode(now time.Time) quarantine.Notice {
	decoded := quarantine.Notice{ID: n.ID, At: now.Add(-time.Duration(n.AgeMS) * time.Millisecond)}
	process := quarantine.Process{Host: n.Host, Born: n.Born}
	switch n.Kind {
	case noticeLoss:
		decoded.Loss = &quarantine.Loss{Process: process, Upstream: n.Upstream, Team: n.Team, Parts: n.Parts}
	case noticeEnded:
		decoded.Ended = &process
	case noticeSound:
		decoded.Sound = &quarantine.Key{Upstream: n.Upstream, Part: n.Parts[0]}
	case noticeQuarantine:
		decoded.Quarantine = &quarantine.Quarantine{
			Key:  quarantine.Key{Upstream: n.Upstream, Part: n.Parts[0]},
			Team: n.Team, AllTeams: n.AllTeams, Processes: n.Processes, Round: n.Round,
			Since: now.Add(-time.Duration(n.SinceMS) * time.Millisecond),
		}
	}
	return decoded
}

func decodeNotices(now time.Time, list []notice) []quarantine.Notice {
	decoded := make([]quarantine.Notice, len(list))
	for i := range list {
		decoded[i] = list[i].decode(now)
	}
	return decoded
}

// encodeDatagrams returns datagrams with notices, of which the last also has digest if that is set.
func encodeDatagrams(now time.Time, notices []quarantine.Notice, digest *uint64) ([][]byte, error) {
	var datagrams [][]byte
	var batch []notice
	size := 0
	flush := func(digest *uint64) error {
		body, err := json.Marshal(message{Notices: batch, Digest: digest})
		datagrams = append(datagrams, body)
		batch, size = nil, 0
		return err
	}
	for _, n := range notices {
		wire := encodeNotice(now, n)
		encoded, err := json.Marshal(wire)
		if err != nil {
			return nil, err
		}
		if len(batch) > 0 && size+len(encoded) > maxNoticeBytes {
			if err := flush(nil); err != nil {
				return nil, err
			}
		}
		batch = append(batch, wire)
		size += len(encoded) + 1
	}
	if len(batch) == 0 && digest == nil {
		return datagrams, nil
	}
	return datagrams, flush(digest)
}
