package transport

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// WriteJSON writes body as the JSON response with the given status.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// WriteError writes err as a JSON api.Refusal. An error that is not an Error becomes a status 500 with an unknown run state.
func WriteError(w http.ResponseWriter, requestID core.RequestID, err error) {
	var e *Error
	if !eris.As(err, &e) {
		e = Errorf(http.StatusInternalServerError, api.CodeUpstreamFailed, api.RunUnknown, "%v", err)
	}
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	// net/http sends no response before it has read the rest of the body.
	BoundBody(w, refusalBodyTimeout)
	WriteJSON(w, e.Status, api.Refusal{
		Code:      e.Code,
		Message:   e.Error(),
		RequestID: string(requestID),
		Run:       e.Run,
	})
}
