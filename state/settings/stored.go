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
	// maxStoredBytes bounds the encoded object, below the 1 MB that the object API takes.
	maxStoredBytes = 900 << 10
)

// Revision says who made a version of a document, when, and by which request.
type Revision struct {
	Version   uint64 `json:"version"`
	Tombstone bool   `json:"tombstone,omitempty"`
	// Who is the prefix of the hash of the token that made the change.
	Who       string          `json:"who,omitempty"`
	At        time.Time       `json:"at"`
	RequestID core.RequestID  `json:"request_id,omitempty"`
	Nonce     string          `json:"nonce"`
	Body      json.RawMessage `json:"body,omitempty"`
}

// Stored is the content of a setting's object: the document in force and its earlier versions.
type Stored struct {
	Document
	Who       string         `json:"who,omitempty"`
	At        time.Time      `json:"at,omitzero"`
	RequestID core.RequestID `json:"request_id,omitempty"`
	// Nonce identifies the write, so that a write whose response was lost can be found again.
	Nonce string `json:"nonce,omitempty"`
	// History holds earlier versions, newest first.
	History []Revision `json:"history,omitempty"`
}

// Edit is a change to one document.
type Edit struct {
	Path string
	// BaseVersion is the version that the edit was based on; 0 means that the path is new or retired.
	BaseVersion uint64
	Tombstone   bool
	Body        json.RawMessage
	Who         string
	At          time.Time
	RequestID   core.RequestID
	Nonce       string
}

// Revise returns the object that holds the edit as its next version.
//
// It fails with CodeStale when current is not the version that the edit was based on. The version
// count continues across a tombstone, so that an old copy of a retired document never wins.
func Revise(current Stored, edit Edit) (Stored, error) {
	fresh := edit.BaseVersion == 0 && (current.Version == 0 || current.Tombstone)
	if !fresh && edit.BaseVersion != current.Version {
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
	return next.trim(), nil
}

// Revisions returns the current and the earlier versions, newest first.
func (s Stored) Revisions() []Revision {
	return append([]Revision{s.revision()}, s.History...)
}

// Revision returns a version that is still held.
func (s Stored) Revision(version uint64) (Revision, bool) {
	for _, r := range s.Revisions() {
		if r.Version == version {
			return r, true
		}
	}
	return Revision{}, false
}

// VersionByNonce reports whether the write with the nonce took effect, and as which version.
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

// trim drops the oldest versions beyond the length and size bounds.
func (s Stored) trim() Stored {
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
