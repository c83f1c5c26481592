package admin

import (
	"errors"
	"net/http"
	"time"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
	"github.com/guavatrestle/guavatrestle/transport"
)

// storeRetryAfter is the time after which the object API may respond again, when it names none.
const storeRetryAfter = 2 * time.Second

// conflictError is an edit whose base is no longer the current version.
type conflictError struct{ conflict api.Conflict }

// Error implements error.
func (e *conflictError) Error() string {
	return e.conflict.Path + ": another edit was accepted since the base version"
}

func newConflict(current settings.Stored, edit settings.Edit) *conflictError {
	body := settings.RedactBody(edit.Body)
	now := settings.RedactBody(current.Body)
	c := api.Conflict{
		Path:           edit.Path,
		BaseVersion:    edit.BaseVersion,
		CurrentVersion: current.Version,
		CurrentRetired: current.Tombstone,
		CurrentToEdit:  settings.Diff(now, body),
	}
	if base, ok := current.Revision(edit.BaseVersion); ok {
		from := settings.RedactBody(base.Body)
		c.BaseHeld = true
		c.BaseToCurrent = settings.Diff(from, now)
		c.BaseToEdit = settings.Diff(from, body)
	}
	return &conflictError{conflict: c}
}

func forbidden(format string, args ...any) error {
	return transport.Errorf(http.StatusForbidden, api.CodeForbidden, api.RunNotRun, format, args...)
}

func badRequest(format string, args ...any) error {
	return transport.Errorf(http.StatusBadRequest, api.CodeBadRequest, api.RunNotRun, format, args...)
}

func notFound(path string) error {
	return transport.Errorf(http.StatusNotFound, api.CodeNotFound, api.RunNotRun, "%s does not exist", path)
}

// writeBody writes the response of a request that succeeded.
func writeBody(w http.ResponseWriter, body any) { transport.WriteJSON(w, http.StatusOK, body) }

// writeError writes err as a refusal with what an operator needs to correct the request.
func writeError(w http.ResponseWriter, id core.RequestID, err error) {
	var conflict *conflictError
	var problems settings.Problems
	switch {
	case errors.As(err, &conflict):
		refuse(w, id, http.StatusConflict, api.CodeConflict, api.AdminRefusal{Conflict: &conflict.conflict}, err)
	case errors.As(err, &problems):
		refuse(w, id, http.StatusBadRequest, api.CodeInvalid, api.AdminRefusal{Problems: problems}, err)
	default:
		transport.WriteError(w, id, fromBelow(err))
	}
}

func refuse(w http.ResponseWriter, id core.RequestID, status int, code string, body api.AdminRefusal, err error) {
	body.Refusal = api.Refusal{Code: code, Message: err.Error(), RequestID: string(id), Run: api.RunNotRun}
	transport.WriteJSON(w, status, body)
}

// fromBelow converts an error of a lower layer.
func fromBelow(err error) error {
	var own *transport.Error
	if errors.As(err, &own) {
		return own
	}
	var state *core.Error
	if errors.As(err, &state) && state.Code == core.CodeNotFound {
		return notFound(state.Path)
	}
	var below *protocol.Error
	if !errors.As(err, &below) {
		return err
	}
	if below.Code == protocol.CodeOutcomeUnknown {
		return transport.Errorf(http.StatusBadGateway, api.CodeOutcomeUnknown, api.RunUnknown,
			"the edit may have been accepted; read the document to see: %v", err)
	}
	after := below.RetryAfter
	if after == 0 {
		after = storeRetryAfter
	}
	return transport.Errorf(http.StatusServiceUnavailable, api.CodeStoreUnavailable, api.RunNotRun, "%v", err).WithRetryAfter(after)
}
