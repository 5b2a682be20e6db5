package metadatarefresh

import (
	"silvercove/internal/tufverify"
)

// Response is what a client is told in place of a file.
type Response struct {
	Status     int
	Text       string
	RetryLater bool // with a time to come back
}

// RefusalResponse decides what a refusal means for the client. Never an old answer: what is not current now is
// answered 503 with a time to come back, what will never be is 404, what came too late 404 with the word
// that the exchange is to be begun again.
func RefusalResponse(r *tufverify.RefusalError) Response {
	switch r.Reason {
	case tufverify.ReasonOlderVersion:
		return Response{404, "superseded: begin again with timestamp.json", false}
	case tufverify.ReasonUnnamed:
		return Response{404, "no such file", false}
	case tufverify.ReasonMissing:
		if r.Role == "root" { // how clients learn that they have the newest (specification 5.3.3)
			return Response{404, "no such root", false}
		}
		return Response{503, "not to be had now", true}
	case tufverify.ReasonDisagreement, tufverify.ReasonOtherServer:
		return Response{503, "the repositories do not agree", true}
	case tufverify.ReasonExpired:
		return Response{503, "expired", true}
	case tufverify.ReasonNotDurable:
		return Response{503, "what must be kept cannot be written", true}
	}
	return Response{503, "nothing current", true}
}

// ReportResponse decides what a server is told that sent a report.
func ReportResponse(r *tufverify.RefusalError) Response {
	if r == nil || r.Reason == tufverify.ReasonAlreadyHeld {
		return Response{200, "taken", false} // a repeat gets the same answer, and does nothing
	}
	switch r.Reason {
	case tufverify.ReasonTooLarge:
		return Response{413, r.Reason.String(), false}
	case tufverify.ReasonMalformed:
		return Response{400, r.Reason.String(), false}
	case tufverify.ReasonUnknownKey, tufverify.ReasonBadSignature, tufverify.ReasonOtherServer:
		return Response{403, r.Reason.String(), false}
	case tufverify.ReasonOlderVersion, tufverify.ReasonConflict:
		return Response{409, r.Reason.String(), false}
	}
	return Response{503, r.Reason.String(), true}
}
