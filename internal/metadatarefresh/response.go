package metadatarefresh

import (
	"net/http"

	"silvercove/internal/tufverify"
)

// Response is the answer of a request that gets no file.
type Response struct {
	Status     int    // of HTTP
	Text       string // body
	RetryLater bool   // with a Retry-After header
}

// RefusalResponse is the answer for a refusal. A client never gets an old file: what is not current now is answered 503 with
// a time to retry after, what does not exist 404, what was superseded 404 with the advice to begin again.
func RefusalResponse(r *tufverify.RefusalError) Response {
	switch r.Reason {
	case tufverify.ReasonOlderVersion:
		return Response{http.StatusNotFound, "superseded: begin again with timestamp.json", false}
	case tufverify.ReasonNotListed:
		return Response{http.StatusNotFound, "no such file", false}
	case tufverify.ReasonMissing:
		if r.Role == "root" { // how clients learn that they have the newest (specification 5.3.3)
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

// ReportResponse is the answer to a server's report; r is nil for one that was accepted.
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
