package protocol

import "net/http"

// CodeOfStatus returns the code for the HTTP status of a failed call, or fallback if the status has no code of its own.
func CodeOfStatus(status int, fallback Code) Code {
	switch status {
	case http.StatusNotFound:
		return CodeNotFound
	case http.StatusConflict:
		return CodeConflict
	case http.StatusGone:
		return CodeExpired
	case http.StatusPreconditionFailed:
		return CodeRefused
	case http.StatusTooManyRequests:
		return CodeRateLimited
	default:
		return fallback
	}
}
