package admin

import (
	"encoding/json"
	"errors"
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
	"github.com/guavatrestle/guavatrestle/transport"
)

const (
	// maxEnvelopeBytes bounds the size of a request body without the document's body.
	maxEnvelopeBytes = 4 << 10
	// maxDomainAttempts bounds the attempts to change the state of a failure domain while concurrent edits conflict.
	maxDomainAttempts = 5
)

func (h *Handler) apply(c call) (any, error) {
	var request api.ApplyRequest
	if err := decodeBody(c, &request); err != nil {
		return nil, err
	}
	edit := settings.Edit{Path: c.path, BaseVersion: request.BaseVersion, Body: request.Body}
	return h.change(c, edit, request.DryRun)
}

// retire replaces a document with a tombstone. The query parameter base_version is the version to retire.
func (h *Handler) retire(c call) (any, error) {
	base, err := strconv.ParseUint(c.r.URL.Query().Get("base_version"), 10, 64)
	if err != nil || base == 0 {
		return nil, badRequest("query parameter base_version must be the version to retire")
	}
	edit := settings.Edit{Path: c.path, BaseVersion: base, Tombstone: true}
	return h.change(c, edit, c.r.URL.Query().Get("dry_run") == "true")
}

// setFailureDomain changes the state of a failure domain. It leaves the other fields as they are, so it can retry after a
// conflict with a concurrent edit.
func (h *Handler) setFailureDomain(c call) (any, error) {
	var request api.FailureDomainChange
	if err := decodeBody(c, &request); err != nil {
		return nil, err
	}
	path := settings.FailureDomainPath(core.FailureDomain(c.r.PathValue("name")))
	for range maxDomainAttempts {
		current, err := h.editor.read(c.r.Context(), path)
		if protocol.CodeOf(err) == protocol.CodeNotFound || err == nil && current.Tombstone {
			return nil, notFound(path)
		}
		if err != nil {
			return nil, err
		}
		body, changed, err := replaceState(current.Body, request.State)
		if err != nil {
			return nil, err
		}
		if !changed {
			return api.ApplyResult{Document: settings.Redact(current.Document)}, nil
		}
		result, err := h.change(c, settings.Edit{Path: path, BaseVersion: current.Version, Body: body}, false)
		var conflict *conflictError
		if !errors.As(err, &conflict) {
			return result, err
		}
	}
	return nil, protocol.Errorf(protocol.CodeUnavailable, "%s was changed by other edits during each of %d attempts", path, maxDomainAttempts)
}

func replaceState(body json.RawMessage, state settings.FailureDomainState) (json.RawMessage, bool, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, false, protocol.Wrap(protocol.CodeMalformed, err, "decode failure domain")
	}
	value, err := json.Marshal(state)
	if err != nil {
		return nil, false, protocol.Wrap(protocol.CodeMalformed, err, "encode state")
	}
	if string(fields["state"]) == string(value) {
		return body, false, nil
	}
	fields["state"] = value
	out, err := json.Marshal(fields)
	return out, true, err
}

// change checks an edit, writes it, records it in the audit log and applies it to the settings of this entry. A dry run
// ends after the check.
func (h *Handler) change(c call, edit settings.Edit, dryRun bool) (any, error) {
	edit.Who, edit.RequestID = c.principal.auditName(), c.id
	checked, err := h.editor.check(c.r.Context(), edit, c.principal.disallowedChanges)
	if err != nil {
		return nil, err
	}
	doc := checked.next.Document
	redacted := settings.Redact(doc)
	result := api.ApplyResult{
		Document: redacted,
		DryRun:   dryRun,
		Changes:  settings.Diff(settings.RedactBody(checked.current.Body), redacted.Body),
	}
	if dryRun {
		return result, nil
	}
	err = h.editor.commit(c.r.Context(), checked)
	h.audit(c, doc, err)
	if err != nil {
		return nil, err
	}
	// Merge can't fail here: the body was checked, and a version that already arrived from another process is not an error.
	_, _ = h.Settings.Merge([]settings.Document{doc})
	h.OnAccepted(c.r.Context(), []settings.Document{doc})
	return result, nil
}

func (h *Handler) audit(c call, doc settings.Document, err error) {
	log := h.Log.WithFields(logrus.Fields{
		"audit": true, "who": c.principal.auditName(), "path": doc.Path, "version": doc.Version,
		"retired": doc.Tombstone, "request_id": c.id,
	})
	if err != nil {
		log.WithField("code", protocol.CodeOf(err)).WithError(err).Warn("settings edit not confirmed")
		return
	}
	log.Info("settings edit accepted")
}

// disallowedChanges returns the changes of an edit that the principal is not permitted to make.
func (p principal) disallowedChanges(current, edit settings.Document) settings.Problems {
	if p.operator {
		return nil
	}
	var from, to settings.TeamSettings
	_ = json.Unmarshal(current.Body, &from)
	_ = json.Unmarshal(edit.Body, &to)
	return settings.CheckTeamAdminEdit(edit.Path, from, to)
}

func decodeBody(c call, into any) error {
	body := transport.LimitBody(c.w, c.r.Body, settings.MaxBodyBytes+maxEnvelopeBytes)
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return badRequest("invalid request body: %v", err)
	}
	return nil
}
