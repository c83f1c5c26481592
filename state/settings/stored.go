package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// historyLength is the number of earlier versions kept beside the current one.
	historyLength = 10
	// maxStoredBytes bounds the size of the encoded object; the object API accepts up to 1 MB.
	maxStoredBytes = 900 << 10
)

// Revision is one version of a document with its author, time and request.
type Revision struct {
	Version   uint64 `json:"version"`
	Tombstone bool   `json:"tombstone,omitempty"`
	// Who is the disclosed prefix of the hash of the author's token.
	Who       string          `json:"who,omitempty"`
	At        time.Time       `json:"at"`
	RequestID core.RequestID  `json:"request_id,omitempty"`
	Nonce     string          `json:"nonce"`
	Body      json.RawMessage `json:"body,omitempty"`
}

// Stored is the content of the platform object of a document: the current version and its history.
type Stored struct {
	Document
	Who       string         `json:"who,omitempty"`
	At        time.Time      `json:"at,omitzero"`
	RequestID core.RequestID `json:"request_id,omitempty"`
	// Nonce identifies the write, so that a writer whose response was lost can tell whether the write took effect.
	Nonce string `json:"nonce,omitempty"`
	// History holds earlier versions, newest first.
	History []Revision `json:"history,omitempty"`
}

// Edit is a change to one document.
type Edit struct {
	Path string
	// BaseVersion is the version on which the edit is based; 0 means that the path is new or retired.
	BaseVersion uint64
	Tombstone   bool
	Body        json.RawMessage
	Who         string
	At          time.Time
	RequestID   core.RequestID
	Nonce       string
}

// Revise returns current with the edit applied as its next version.
//
// It fails with CodeStale if the edit is not based on the version of current. Version numbers continue after a tombstone, so
// that an old copy of a retired document never replaces a newer one.
func Revise(current Stored, edit Edit) (Stored, error) {
	creates := edit.BaseVersion == 0 && (current.Version == 0 || current.Tombstone)
	if !creates && edit.BaseVersion != current.Version {
		return Stored{}, core.NewError(core.CodeStale, edit.Path,
			fmt.Sprintf("version is %d, the edit was based on %d", current.Version, edit.BaseVersion))
	}
	if edit.Tombstone && (current.Version == 0 || current.Tombstone) {
		return Stored{}, core.NewError(core.CodeNotFound, edit.Path, "does not exist")
	}
	next := Stored{
		Document:  Document{Path: edit.Path, Version: current.Version + 1, Tombstone: edit.Tombstone, Body: edit.Body},
		Who:       edit.Who,
		At:        edit.At,
		RequestID: edit.RequestID,
		Nonce:     edit.Nonce,
	}
	if current.Version > 0 {
		next.History = append([]Revision{current.revision()}, current.History...)
	}
	return next.trimHistory(), nil
}

// Revisions returns the current version and the history, newest first.
func (s Stored) Revisions() []Revision {
	return append([]Revision{s.revision()}, s.History...)
}

// Revision returns the given version if it is current or in the history.
func (s Stored) Revision(version uint64) (Revision, bool) {
	for _, r := range s.Revisions() {
		if r.Version == version {
			return r, true
		}
	}
	return Revision{}, false
}

// VersionByNonce returns the version that the write with the nonce created, if it took effect.
func (s Stored) VersionByNonce(nonce string) (uint64, bool) {
	for _, r := range s.Revisions() {
		if r.Nonce == nonce {
			return r.Version, true
		}
	}
	return 0, false
}

func (s Stored) revision() Revision {
	return Revision{
		Version: s.Version, Tombstone: s.Tombstone, Who: s.Who, At: s.At,
		RequestID: s.RequestID, Nonce: s.Nonce, Body: s.Body,
	}
}

// trimHistory drops the oldest versions until the history is within its length and size bounds.
func (s Stored) trimHistory() Stored {
	if len(s.History) > historyLength {
		s.History = s.History[:historyLength]
	}
	for len(s.History) > 0 && s.encodedBytes() > maxStoredBytes {
		s.History = s.History[:len(s.History)-1]
	}
	return s
}

func (s Stored) encodedBytes() int {
	body, _ := json.Marshal(s)
	return len(body)
}
