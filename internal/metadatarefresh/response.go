package metadatarefresh

import (
	"net/http"

	"silvercove/internal/tufverify"
)

// Response is the answer to a request that gets no file. Text is part of the HTTP interface.
type Response struct {
	Status     int    // HTTP status code
	Text       string // response body
	RetryLater bool   // the response has a Retry-After header
}

// RefusalResponse returns the response for a refusal. The client never gets an older file instead. The status is 404 if
// the file does not exist. If a newer version has replaced the file, the status is 404 too, and the text tells the
// client to begin again with the timestamp. In all other cases the status is 503 with a Retry-After header.
func RefusalResponse(r *tufverify.RefusalError) Response {
	switch r.Reason {
	case tufverify.ReasonOlderVersion:
		return Response{http.StatusNotFound, "superseded: begin again with timestamp.json", false}
	case tufverify.ReasonNotListed:
		return Response{http.StatusNotFound, "no such file", false}
	case tufverify.ReasonMissing:
		if r.Role == "root" { // status 404 tells clients that they have the newest root (TUF specification, section 5.3.3)
			return Response{http.StatusNotFound, "no such root", false}
		}
		return Response{http.StatusServiceUnavailable, "not to be had now", true}
	case tufverify.ReasonDisagreement, tufverify.ReasonOtherServer:
		return Response{http.StatusServiceUnavailable, "the repositories do not agree", true}
	case tufverify.ReasonExpired:
		return Response{http.StatusServiceUnavailable, "expired", true}
	case tufverify.ReasonNotDurable:
		return Response{http.StatusServiceUnavailable, "what must be kept cannot be written", true}
	}
	return Response{http.StatusServiceUnavailable, "nothing current", true}
}

// ReportResponse returns the response to a server's report. r is nil for a report that was accepted.
func ReportResponse(r *tufverify.RefusalError) Response {
	if r == nil || r.Reason == tufverify.ReasonAlreadyHeld {
		return Response{http.StatusOK, "taken", false} // idempotent: a repeated report gets the same answer
	}
	switch r.Reason {
	case tufverify.ReasonTooLarge:
		return Response{http.StatusRequestEntityTooLarge, r.Reason.String(), false}
	case tufverify.ReasonMalformed:
		return Response{http.StatusBadRequest, r.Reason.String(), false}
	case tufverify.ReasonUnknownKey, tufverify.ReasonBadSignature, tufverify.ReasonOtherServer:
		return Response{http.StatusForbidden, r.Reason.String(), false}
	case tufverify.ReasonOlderVersion, tufverify.ReasonConflict:
		return Response{http.StatusConflict, r.Reason.String(), false}
	}
	return Response{http.StatusServiceUnavailable, r.Reason.String(), true}
}
