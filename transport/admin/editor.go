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

// maxWriteAttempts bounds how often a write is sent when its response is lost.
const maxWriteAttempts = 3

// editor checks edits and writes them to the object API.
type editor struct {
	store    platform.ObjectStore
	table    *table.Settings
	now      func() time.Time
	newNonce func() string
}

// storedObject is a document with the version of its object in the object API.
type storedObject struct {
	settings.Stored
	// objectVersion is empty if the object does not exist.
	objectVersion string
}

// snapshot holds all documents by path.
type snapshot map[string]storedObject

func (s snapshot) documents() []settings.Document {
	documents := make([]settings.Document, 0, len(s))
	for _, stored := range s {
		documents = append(documents, stored.Document)
	}
	return documents
}

// load reads all documents. The list may be stale, and an object may have been lost. A document in the table of this
// process with a higher version than in the object API therefore takes precedence, so that version numbers never
// decrease.
func (e *editor) load(ctx context.Context) (snapshot, error) {
	list, err := e.store.List(ctx, platform.KindSetting, "")
	if err != nil {
		return nil, err
	}
	all := make(snapshot)
	for _, object := range list.Items {
		if stored, err := decode(object); err == nil {
			all[stored.Path] = stored
		}
	}
	for _, doc := range e.table.Documents() {
		listed := all[doc.Path]
		if listed.Version >= doc.Version {
			continue
		}
		if current, err := e.read(ctx, doc.Path); err == nil && current.Version >= doc.Version {
			all[doc.Path] = current
			continue
		}
		all[doc.Path] = storedObject{Stored: settings.Stored{Document: doc}, objectVersion: listed.objectVersion}
	}
	return all, nil
}

// read reads one document from the object API.
func (e *editor) read(ctx context.Context, path string) (storedObject, error) {
	object, err := e.store.Get(ctx, platform.KindSetting, settings.ObjectName(path))
	if err != nil {
		return storedObject{}, err
	}
	return decode(object)
}

func decode(object platform.Object) (storedObject, error) {
	stored := storedObject{objectVersion: object.Version}
	if err := json.Unmarshal(object.Spec, &stored.Stored); err != nil {
		return storedObject{}, protocol.Wrap(protocol.CodeMalformed, err, "decode settings object "+object.Name)
	}
	return stored, nil
}

// checkedEdit is an edit that passed all checks, with the document it replaces and the one to write.
type checkedEdit struct {
	edit    settings.Edit
	current storedObject
	next    settings.Stored
}

// check returns the edit ready to be written, or the problems that forbid it. disallowed returns the changes that the
// principal may not make; it is called with the edit whose redacted token hashes have been restored.
func (e *editor) check(ctx context.Context, edit settings.Edit, disallowed func(current, edit settings.Document) settings.Problems) (checkedEdit, error) {
	if _, _, err := settings.SplitPath(edit.Path); err != nil {
		return checkedEdit{}, settings.CheckBody(settings.Document{Path: edit.Path})
	}
	all, err := e.load(ctx)
	if err != nil {
		return checkedEdit{}, err
	}
	current := all[edit.Path]
	edit.Nonce, edit.At = e.newNonce(), e.now()
	body, problems := settings.RestoreHashes(edit.Path, edit.Body, current.Body)
	edit.Body = body
	next, err := settings.Revise(current.Stored, edit)
	if err != nil {
		return checkedEdit{}, staleAsConflict(err, current.Stored, edit)
	}
	problems = append(problems, disallowed(current.Document, next.Document)...)
	problems = append(problems, settings.CheckEdit(all.documents(), next.Document)...)
	if len(problems) > 0 {
		return checkedEdit{}, problems
	}
	return checkedEdit{edit: edit, current: current, next: next}, nil
}

func staleAsConflict(err error, current settings.Stored, edit settings.Edit) error {
	var coreErr *core.Error
	if errors.As(err, &coreErr) && coreErr.Code == core.CodeStale {
		return newConflict(current, edit)
	}
	return err
}

// commit writes a checked edit. If the response to a write is lost, it reads the document back and looks for the nonce of
// the edit to determine whether the write took effect.
func (e *editor) commit(ctx context.Context, checked checkedEdit) error {
	outcomeUnknown := false
	for range maxWriteAttempts {
		err := e.writeObject(ctx, checked)
		code := protocol.CodeOf(err)
		if err == nil {
			return nil
		}
		outcomeUnknown = outcomeUnknown || code == protocol.CodeOutcomeUnknown
		if code != protocol.CodeConflict && !outcomeUnknown {
			return err
		}
		written, err := e.resolveWrite(ctx, checked, outcomeUnknown)
		if written || err != nil {
			return err
		}
	}
	return protocol.Errorf(protocol.CodeOutcomeUnknown, "no response to %d writes of %s", maxWriteAttempts, checked.edit.Path)
}

func (e *editor) writeObject(ctx context.Context, checked checkedEdit) error {
	spec, err := json.Marshal(checked.next)
	if err != nil {
		return protocol.Wrap(protocol.CodeMalformed, err, "encode settings object")
	}
	object := platform.Object{
		Kind: platform.KindSetting, Name: settings.ObjectName(checked.edit.Path),
		Version: checked.current.objectVersion, Spec: spec,
	}
	if object.Version == "" {
		_, err = e.store.Create(ctx, object)
	} else {
		_, err = e.store.Update(ctx, object)
	}
	return err
}

// resolveWrite reads the document back and reports whether the write took effect. It returns false without an error if the
// object has not changed since the edit was checked, so that the same conditional write can be sent again.
func (e *editor) resolveWrite(ctx context.Context, checked checkedEdit, outcomeUnknown bool) (bool, error) {
	stored, err := e.read(ctx, checked.edit.Path)
	if protocol.CodeOf(err) == protocol.CodeNotFound && checked.current.objectVersion == "" {
		return false, nil
	}
	if err != nil {
		return false, protocol.Wrap(protocol.CodeOutcomeUnknown, err, "read back a write of "+checked.edit.Path)
	}
	if _, ok := stored.VersionByNonce(checked.edit.Nonce); ok {
		return true, nil
	}
	if stored.objectVersion == checked.current.objectVersion {
		return false, nil
	}
	if _, ok := stored.Revision(checked.next.Version); !ok && outcomeUnknown {
		return false, protocol.Errorf(protocol.CodeOutcomeUnknown, "version %d of %s is no longer in the history", checked.next.Version, checked.edit.Path)
	}
	return false, newConflict(stored.Stored, checked.edit)
}
