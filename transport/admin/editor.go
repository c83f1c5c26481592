package admin

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
	"github.com/guavatrestle/guavatrestle/state/table"
)

// maxWriteAttempts bounds how often a write is sent whose response was lost.
const maxWriteAttempts = 3

// editor checks edits and writes them to the object API.
type editor struct {
	store platform.ObjectStore
	table *table.Settings
	now   func() time.Time
	nonce func() string
}

// held is a document as the object API holds it.
type held struct {
	settings.Stored
	// objectVersion is empty when there is no object.
	objectVersion string
}

// snapshot is a consistent view of all documents.
type snapshot map[string]held

func (s snapshot) documents() []settings.Document {
	documents := make([]settings.Document, 0, len(s))
	for _, h := range s {
		documents = append(documents, h.Document)
	}
	return documents
}

// load reads all documents. The list may be stale, and an object may have been lost: a version that
// this process has seen and that is higher than the object API's takes precedence, so that the
// version count never goes back.
func (e *editor) load(ctx context.Context) (snapshot, error) {
	list, err := e.store.List(ctx, platform.KindSetting, "")
	if err != nil {
		return nil, err
	}
	all := make(snapshot)
	for _, object := range list.Items {
		if h, err := decode(object); err == nil {
			all[h.Path] = h
		}
	}
	for _, doc := range e.table.Documents() {
		known := all[doc.Path]
		if known.Version >= doc.Version {
			continue
		}
		if fresh, err := e.read(ctx, doc.Path); err == nil && fresh.Version >= doc.Version {
			all[doc.Path] = fresh
			continue
		}
		all[doc.Path] = held{Stored: settings.Stored{Document: doc}, objectVersion: known.objectVersion}
	}
	return all, nil
}

// read returns one document.
func (e *editor) read(ctx context.Context, path string) (held, error) {
	object, err := e.store.Get(ctx, platform.KindSetting, settings.ObjectName(path))
	if err != nil {
		return held{}, err
	}
	return decode(object)
}

func decode(object platform.Object) (held, error) {
	h := held{objectVersion: object.Version}
	if err := json.Unmarshal(object.Spec, &h.Stored); err != nil {
		return held{}, protocol.Wrap(protocol.CodeMalformed, err, "decode settings object "+object.Name)
	}
	return h, nil
}

// plan is an edit that passed all checks.
type plan struct {
	edit    settings.Edit
	current held
	next    settings.Stored
}

// check decides whether an edit is accepted; may is asked about the restored edit.
func (e *editor) check(ctx context.Context, edit settings.Edit, may func(current, edit settings.Document) settings.Problems) (plan, error) {
	if _, _, err := settings.SplitPath(edit.Path); err != nil {
		return plan{}, settings.CheckBody(settings.Document{Path: edit.Path})
	}
	all, err := e.load(ctx)
	if err != nil {
		return plan{}, err
	}
	current := all[edit.Path]
	edit.Nonce, edit.At = e.nonce(), e.now()
	body, problems := settings.RestoreHashes(edit.Path, edit.Body, current.Body)
	edit.Body = body
	next, err := settings.Revise(current.Stored, edit)
	if err != nil {
		return plan{}, staleAsConflict(err, current.Stored, edit)
	}
	problems = append(problems, may(current.Document, next.Document)...)
	problems = append(problems, settings.CheckEdit(all.documents(), next.Document)...)
	if len(problems) > 0 {
		return plan{}, problems
	}
	return plan{edit: edit, current: current, next: next}, nil
}

func staleAsConflict(err error, current settings.Stored, edit settings.Edit) error {
	var state *core.Error
	if errors.As(err, &state) && state.Code == core.CodeStale {
		return newConflict(current, edit)
	}
	return err
}

// commit writes a checked edit. A write whose response was lost is settled by reading back its nonce.
func (e *editor) commit(ctx context.Context, p plan) error {
	unknown := false
	for range maxWriteAttempts {
		err := e.put(ctx, p)
		code := protocol.CodeOf(err)
		if err == nil {
			return nil
		}
		unknown = unknown || code == protocol.CodeOutcomeUnknown
		if code != protocol.CodeConflict && !unknown {
			return err
		}
		done, err := e.settle(ctx, p, unknown)
		if done || err != nil {
			return err
		}
	}
	return protocol.Errorf(protocol.CodeOutcomeUnknown, "no response to %d writes of %s", maxWriteAttempts, p.edit.Path)
}

func (e *editor) put(ctx context.Context, p plan) error {
	spec, err := json.Marshal(p.next)
	if err != nil {
		return protocol.Wrap(protocol.CodeMalformed, err, "encode settings object")
	}
	object := platform.Object{
		Kind: platform.KindSetting, Name: settings.ObjectName(p.edit.Path),
		Version: p.current.objectVersion, Spec: spec,
	}
	if object.Version == "" {
		_, err = e.store.Create(ctx, object)
	} else {
		_, err = e.store.Update(ctx, object)
	}
	return err
}

// settle reads back whether the write took effect. It reports false without an error when the object is
// still the one that the edit was based on, so that the same conditional write can be sent again.
func (e *editor) settle(ctx context.Context, p plan, unknown bool) (bool, error) {
	h, err := e.read(ctx, p.edit.Path)
	if protocol.CodeOf(err) == protocol.CodeNotFound && p.current.objectVersion == "" {
		return false, nil
	}
	if err != nil {
		return false, protocol.Wrap(protocol.CodeOutcomeUnknown, err, "read back a write of "+p.edit.Path)
	}
	if _, ok := h.VersionByNonce(p.edit.Nonce); ok {
		return true, nil
	}
	if h.objectVersion == p.current.objectVersion {
		return false, nil
	}
	if _, ok := h.Revision(p.next.Version); !ok && unknown {
		return false, protocol.Errorf(protocol.CodeOutcomeUnknown, "version %d of %s is no longer in the history", p.next.Version, p.edit.Path)
	}
	return false, newConflict(h.Stored, p.edit)
}
