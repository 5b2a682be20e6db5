package controllerclient

import (
	"errors"
	"strings"

	"silvercove/internal/leases"
	"silvercove/internal/placement"
)

// ErrNoController is wrapped where no controller carried a call out before its context ended. Whether it was is not known.
var ErrNoController = errors.New("no keeper carries it out")

// ErrOtherLineage is wrapped where a controller speaks for another lineage than one that was believed before.
var ErrOtherLineage = errors.New("the keepers lost their disks")

// errNoControllerConfigured is returned by each call where the operator's file names no controller.
var errNoControllerConfigured = errors.New("this file names no keeper")

// RefusalError is an answer that refuses a call for good, with 400, 404 or 409. errors.Is finds the error of package placement
// or leases that the controller named, such as placement.ErrStaleEpoch.
type RefusalError struct {
	Code int // of HTTP
	ErrorBody
}

// Error is the controller's text.
func (r *RefusalError) Error() string { return r.ErrorBody.Error }

// namedErrors are the errors that a controller sends as text.
var namedErrors = []error{
	placement.ErrNotFound,
	placement.ErrExists,
	placement.ErrStaleEpoch,
	placement.ErrNotPrimary,
	placement.ErrNotReplica,
	placement.ErrWrongState,
	placement.ErrUnsupportedVersion,
	placement.ErrInvalid,
	leases.ErrOtherIncarnation,
	leases.ErrStaleIncarnation,
	leases.ErrExpired,
	leases.ErrIncarnationPending,
}

// Is reports whether the controller named an error.
func (r *RefusalError) Is(target error) bool {
	for _, named := range namedErrors {
		if errors.Is(target, named) {
			return strings.Contains(r.ErrorBody.Error, named.Error())
		}
	}
	return false
}
