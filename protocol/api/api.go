// Package api holds the JSON bodies and headers that callers, operators and agents exchange.
package api

import (
	"encoding/json"

	"github.com/guavatrestle/guavatrestle/state/settings"
)

// Headers on the request from entry to agent.
const (
	HeaderRequestID     = "Gt-Request-Id"
	HeaderDeadline      = "Gt-Deadline"
	HeaderTeam          = "Gt-Team"
	HeaderModel         = "Gt-Model"
	HeaderVersionDigest = "Gt-Version-Digest"
	HeaderMethod        = "Gt-Method"
	HeaderPath          = "Gt-Path"
	HeaderIdempotent    = "Gt-Idempotent"
	HeaderAttempt       = "Gt-Attempt"
	// HeaderEntry names the entry that sends the request, so that its grant is counted as used.
	HeaderEntry = "Gt-Entry"
)

// HeaderIdempotencyKey is the caller's header that names a call to run at most once.
const HeaderIdempotencyKey = "Idempotency-Key"

// Run says whether a refused request ran.
type Run string

// Values of Run.
const (
	RunNotRun  Run = "not_run"
	RunUnknown Run = "unknown"
	RunDone    Run = "done"
)

// Refusal is the body of a response that refuses a request or ends it without a whole answer.
type Refusal struct {
	Code      string `json:"code"`
	Message   string `json:"message"`
	RequestID string `json:"request_id"`
	Run       Run    `json:"run"`
}

// Codes of refusals.
const (
	CodeUnauthorized       = "unauthorized"
	CodeForbidden          = "forbidden"
	CodeBadRequest         = "bad_request"
	CodeBodyTooLarge       = "body_too_large"
	CodeUnknownModel       = "unknown_model"
	CodeUnknownUpstream    = "unknown_upstream"
	CodeTeamLimit          = "team_limit"
	CodeNoCapacity         = "no_capacity"
	CodeLeaving            = "leaving"
	CodeFailureDomainOut   = "failure_domain_out"
	CodeVersionNotComplete = "version_not_complete"
	CodeDeadlineExceeded   = "deadline_exceeded"
	CodeUpstreamFailed     = "upstream_failed"
	CodeResponseIncomplete = "response_incomplete"
	CodeInProgress         = "in_progress"
	CodeOutcomeUnknown     = "outcome_unknown"
	CodeStoreUnavailable   = "store_unavailable"
	CodeConflict           = "conflict"
	CodeInvalid            = "invalid"
	CodeNotFound           = "not_found"
)

// DocumentList is the admin API's answer to a list.
type DocumentList struct {
	Documents []settings.Document `json:"documents"`
}

// ApplyRequest asks the admin API to accept a document.
type ApplyRequest struct {
	// BaseVersion is the version that the edit was based on; 0 means that the path is new.
	BaseVersion uint64          `json:"base_version"`
	Body        json.RawMessage `json:"body"`
	DryRun      bool            `json:"dry_run,omitempty"`
}
