package client

import (
	"net/http"

	"fawncove/internal/core/eventloop"
)

// NotSent stands in place of an HTTP status for a call that never left this process.
const NotSent = -1

// OutcomeOf translates the HTTP status of a call, 0 where there was no answer, or
// NotSent.
func OutcomeOf(status int) eventloop.Outcome {
	switch status {
	case NotSent:
		return eventloop.NotSent
	case 0:
		return eventloop.NoAnswer
	case http.StatusOK:
		return eventloop.Succeeded
	case http.StatusNotFound:
		return eventloop.NotFound
	case http.StatusConflict:
		return eventloop.Conflict
	case http.StatusGone:
		return eventloop.Compacted
	case http.StatusBadRequest:
		return eventloop.Rejected
	case http.StatusTooManyRequests:
		return eventloop.Throttled
	case http.StatusServiceUnavailable:
		return eventloop.Unavailable
	default:
		return eventloop.Failed
	}
}
