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

// storeRetryAfter is the Retry-After value of a refusal when an error of the object API specifies none.
const storeRetryAfter = 2 * time.Second

// conflictError reports an edit whose base version is no longer the current version.
type conflictError struct{ conflict api.Conflict }

// Error implements error.
func (e *conflictError) Error() string {
	return e.conflict.Path + ": another edit was accepted since the base version"
}

func newConflict(current settings.Stored, edit settings.Edit) *conflictError {
	editBody := settings.RedactBody(edit.Body)
	currentBody := settings.RedactBody(current.Body)
	c := api.Conflict{
		Path:           edit.Path,
		BaseVersion:    edit.BaseVersion,
		CurrentVersion: current.Version,
		CurrentRetired: current.Tombstone,
		CurrentToEdit:  settings.Diff(currentBody, editBody),
	}
	if base, ok := current.Revision(edit.BaseVersion); ok {
		baseBody := settings.RedactBody(base.Body)
		c.BaseHeld = true
		c.BaseToCurrent = settings.Diff(baseBody, currentBody)
		c.BaseToEdit = settings.Diff(baseBody, editBody)
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

// writeBody writes the response to a successful request.
func writeBody(w http.ResponseWriter, body any) { transport.WriteJSON(w, http.StatusOK, body) }

// writeError writes err as a refusal that includes the conflict or the problems of the edit.
func writeError(w http.ResponseWriter, id core.RequestID, err error) {
	var conflict *conflictError
	var problems settings.Problems
	switch {
	case errors.As(err, &conflict):
		writeRefusal(w, id, http.StatusConflict, api.CodeConflict, api.AdminRefusal{Conflict: &conflict.conflict}, err)
	case errors.As(err, &problems):
		writeRefusal(w, id, http.StatusBadRequest, api.CodeInvalid, api.AdminRefusal{Problems: problems}, err)
	default:
		transport.WriteError(w, id, toTransportError(err))
	}
}

func writeRefusal(w http.ResponseWriter, id core.RequestID, status int, code string, body api.AdminRefusal, err error) {
	body.Refusal = api.Refusal{Code: code, Message: err.Error(), RequestID: string(id), Run: api.RunNotRun}
	transport.WriteJSON(w, status, body)
}

// toTransportError converts an error of the protocol and core packages to a transport.Error. It returns other errors
// unchanged.
func toTransportError(err error) error {
	var transportErr *transport.Error
	if errors.As(err, &transportErr) {
		return transportErr
	}
	var coreErr *core.Error
	if errors.As(err, &coreErr) && coreErr.Code == core.CodeNotFound {
		return notFound(coreErr.Path)
	}
	var protocolErr *protocol.Error
	if !errors.As(err, &protocolErr) {
		return err
	}
	if protocolErr.Code == protocol.CodeOutcomeUnknown {
		return transport.Errorf(http.StatusBadGateway, api.CodeOutcomeUnknown, api.RunUnknown,
			"the edit may have been accepted; read the document to check: %v", err)
	}
	retryAfter := protocolErr.RetryAfter
	if retryAfter == 0 {
		retryAfter = storeRetryAfter
	}
	return transport.Errorf(http.StatusServiceUnavailable, api.CodeStoreUnavailable, api.RunNotRun, "%v", err).WithRetryAfter(retryAfter)
}
