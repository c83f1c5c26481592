// Package relay lets the hosts of a failure domain share one reader of the platform's store. The relay, an entry host like the
// others, reads the store and answers lists and watches of the other hosts from its copy. A host without a relay that works reads the
// store itself.
package relay

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/feed"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// pathPrefix is followed by the kind of records.
const pathPrefix = "/relay/"

// Query parameters of a read. One without since is a list.
const (
	paramSince = "since"
	paramEra   = "era"
	paramWait  = "wait_ms"
	// paramBrief asks for configurations without routes and workspaces, which agents don't need.
	paramBrief = "brief"
)

// maxChangedAge bounds the age of a change in a response. Older ones don't matter to any reader.
const maxChangedAge = 24 * time.Hour

// wireBatch is the response to a read.
type wireBatch struct {
	wireHead
	Records []wireRecord `json:"records"`
}

// wireHead is the response to a read without its records.
type wireHead struct {
	Revision int64 `json:"revision"`
	Era      int64 `json:"era"`
	// HeldMS is the time for which the relay held the call, AgeMS the time before the response up to which the store has confirmed
	// that the records are complete.
	HeldMS int64 `json:"held_ms"`
	AgeMS  int64 `json:"age_ms"`
	// ChangedMS is the age that the oldest change among the records has at most, at the response. Relays of an earlier version don't tell it.
	ChangedMS *int64 `json:"changed_ms,omitempty"`
}

type wireRecord struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Removed  bool   `json:"removed,omitempty"`
	// Invalid is the reason why the record can't be decoded.
	Invalid string          `json:"invalid,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// errKeysUnknown is the error of a configuration that doesn't tell whether requests need keys.
var errKeysUnknown = protocol.Errorf(protocol.CodeUnavailable, "the relay's configuration doesn't tell whether keys are required")

// wireConfiguration is a configuration, in which relays of an earlier version don't tell whether keys are optional.
type wireConfiguration struct {
	fleet.Configuration
	KeysOptional *bool
}

// decode returns an error if the configuration has no teams and doesn't tell whether that makes keys optional. A brief one never has teams,
// and is not used to check keys.
func (w wireConfiguration) decode(brief bool) (*fleet.Configuration, error) {
	value := w.Configuration
	switch {
	case w.KeysOptional != nil:
		value.KeysOptional = *w.KeysOptional
	case len(value.Teams) == 0 && !brief:
		return nil, errKeysUnknown
	}
	return &value, nil
}

// encodeRecord encodes a record, with a brief configuration if that is asked for.
func encodeRecord(record feed.Record, brief bool) ([]byte, error) {
	wire := wireRecord{Name: record.Name, Revision: record.Revision, Removed: record.Removed}
	if record.Err != nil {
		wire.Invalid = record.Err.Error()
	}
	if record.Value != nil {
		value := record.Value
		if configuration, ok := value.(*fleet.Configuration); ok && brief {
			shortened := *configuration
			shortened.Routes, shortened.Teams = nil, nil
			value = &shortened
		}
		body, err := json.Marshal(value)
		if err != nil {
			return nil, eris.Wrapf(err, "encode record %q", record.Name)
		}
		wire.Value = body
	}
	body, err := json.Marshal(wire)
	return body, eris.Wrapf(err, "encode record %q", record.Name)
}

// decode decodes a record, which is a brief one if that was asked for.
func (w wireRecord) decode(kind feed.Kind, brief bool) feed.Record {
	record := feed.Record{Name: w.Name, Revision: w.Revision, Removed: w.Removed}
	if w.Invalid != "" {
		record.Err = eris.New(w.Invalid)
	}
	if w.Value == nil {
		return record
	}
	var err error
	switch kind {
	case feed.KindConfiguration:
		var value wireConfiguration
		if err = json.Unmarshal(w.Value, &value); err == nil {
			record.Value, err = value.decode(brief)
		}
	case feed.KindReplicas:
		value := &fleet.Replica{}
		err = json.Unmarshal(w.Value, value)
		record.Value = value
	case feed.KindEvacuations:
		record.Value, err = decodeValue[fleet.Evacuation](w.Value)
	case feed.KindWeightTargets:
		record.Value, err = decodeValue[fleet.WeightTarget](w.Value)
	default:
		err = protocol.Errorf(protocol.CodeMalformed, "unknown record kind %q", kind)
	}
	if err != nil {
		record.Value, record.Err = nil, err
	}
	return record
}

func decodeValue[T any](body json.RawMessage) (T, error) {
	var value T
	err := json.Unmarshal(body, &value)
	return value, err
}

// completeAfter returns the time after the call was sent up to which the batch is complete. It doesn't depend on the time that the
// response took.
func (w wireHead) completeAfter() time.Duration {
	return time.Duration(w.HeldMS-w.AgeMS) * time.Millisecond
}

// changedAfter is the same for the time before which no record was changed. It reports whether the relay has told it.
func (w wireHead) changedAfter() (time.Duration, bool) {
	if w.ChangedMS == nil {
		return 0, false
	}
	return time.Duration(w.HeldMS-min(max(*w.ChangedMS, 0), maxChangedAge.Milliseconds())) * time.Millisecond, true
}
