// Package api defines the JSON bodies, headers and error codes of the interfaces to callers, operators and agents.
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
	// HeaderEntry names the entry that sends the request, so that the agent deducts the request from that entry's grant.
	HeaderEntry = "Gt-Entry"
)

// HeaderIdempotencyKey is the callers' header with the key of a request that must run at most once.
const HeaderIdempotencyKey = "Idempotency-Key"

// Run states whether a refused request ran.
type Run string

// Values of Run.
const (
	RunNotRun  Run = "not_run"
	RunUnknown Run = "unknown"
	RunDone    Run = "done"
)

// Refusal is the body of a response that rejects a request or reports that it failed without a complete response.
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
	CodeNoMemory           = "no_memory"
	CodeTooManyTokens      = "too_many_tokens"
	CodePromptQuarantined  = "prompt_quarantined"
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

// DocumentList is the body of the admin API's response to a list request.
type DocumentList struct {
	Documents []settings.Document `json:"documents"`
}

// ApplyRequest is the body of an admin API request to store a document.
type ApplyRequest struct {
	// BaseVersion is the version on which the edit is based; 0 means that the path is new.
	BaseVersion uint64          `json:"base_version"`
	Body        json.RawMessage `json:"body"`
	DryRun      bool            `json:"dry_run,omitempty"`
}
