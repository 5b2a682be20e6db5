package controllerclient

import (
	"errors"
	"strings"

	"silvercove/internal/leases"
	"silvercove/internal/placement"
)

// ErrNoController is wrapped by the error of a call if the call's context ended before a controller gave a final answer. A
// controller may have carried out the call nevertheless. Client.Backup returns an error that wraps ErrNoController if no
// controller answered as the leader.
var ErrNoController = errors.New("no controller completed the call")

// ErrOtherLineage is wrapped by the error of a call if the lineage in the controller's answer does not match the lineage that
// CheckLineage accepted last.
var ErrOtherLineage = errors.New("the controllers' lineage does not match, their disks may have been lost")

// errNoControllerConfigured is returned by each call if the configuration file lists no controller.
var errNoControllerConfigured = errors.New("the configuration file lists no process of role keeper")

// RefusalError is a controller's final refusal of a call, with status 400, 404 or 409. errors.Is matches an error of package
// placement or leases, such as placement.ErrStaleEpoch, if the controller's error text contains the text of that error.
// Client.Status, Confirm and Inventory, which call a single process, return a RefusalError for any status other than 200.
type RefusalError struct {
	Code int // HTTP status code
	ErrorBody
}

// Error returns the controller's error text.
func (r *RefusalError) Error() string { return r.ErrorBody.Error }

// namedErrors are the errors that RefusalError.Is recognizes by their text in a controller's answer.
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

// Is reports whether the controller's error text contains the text of target, which must be one of namedErrors.
func (r *RefusalError) Is(target error) bool {
	for _, named := range namedErrors {
		if errors.Is(target, named) {
			return strings.Contains(r.ErrorBody.Error, named.Error())
		}
	}
	return false
}
