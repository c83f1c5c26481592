package protocol

import "net/http"

// CodeOfStatus returns the code of a failed HTTP call by its status, or otherwise where the status says no more.
func CodeOfStatus(status int, otherwise Code) Code {
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
		return otherwise
	}
}
