package placement

import (
	"fmt"
	"math"
	"slices"
	"unicode/utf8"
)

// Limits of the numbers in operations and assignments.
const (
	maxWeight = 100
	maxCount  = math.MaxInt64 // largest valid index and epoch

	// maxExtraReplicas is how many replicas an instance may have beyond maxReplicas. A primary that has stopped becomes a
	// replica, whatever the number of replicas.
	maxExtraReplicas = 2
)

// CheckSupported returns ErrUnsupportedVersion if an operation has a later format version or an unknown kind, whatever the state
// of the table.
//
// For a single table it is sufficient that Table.Apply refuses an unsupported operation. If several controllers apply the
// same log, some may support the operation and apply it. A controller that refused the operation and went on would then
// diverge from the others. A controller that does not support the operation must therefore stop applying the log.
func CheckSupported(op Operation) error {
	if op.Version > FormatVersion {
		return fmt.Errorf("%w: operation format %d, this program reads up to %d", ErrUnsupportedVersion, op.Version, FormatVersion)
	}
	if !knownKind(op.Kind) {
		return fmt.Errorf("%w: unknown operation kind %.40q", ErrUnsupportedVersion, op.Kind)
	}
	return nil
}

func knownKind(k OperationKind) bool {
	switch k {
	case OpCreate, OpStartCopy, OpReplicaReady, OpDropReplica, OpCutOver, OpRestart, OpRelease, OpMoveDevice, OpCancelCopy,
		OpFailOver, OpMarkServed, OpReportIncomplete, OpResetFailures, OpQuarantine, OpDelete:
		return true
	}
	return false
}

// validateOperation checks an operation without regard to the state of the table. It returns what is wrong with the operation,
// or "" if it is valid.
func validateOperation(op Operation) string {
	if fault := validateTexts(op); fault != "" {
		return fault
	}
	switch {
	case op.Version < 1:
		return "the format version is missing"
	case op.Instance == "":
		return "the instance name is missing"
	case !(op.Weight >= 0 && op.Weight <= maxWeight): // the negated form refuses NaN too
		return "the weight is not between 0 and 100"
	case op.Size < 0:
		return "the size is negative"
	case op.Index > maxCount || op.Epoch > maxCount:
		return "the index or the epoch is too large"
	case !knownKind(op.Kind):
		return fmt.Sprintf("unknown operation kind %.40q", op.Kind)
	case needsTarget(op.Kind) && op.Target == "":
		return "the target node is missing"
	case op.Kind == OpMoveDevice && op.Zone == "":
		return "the zone is missing"
	}
	return ""
}

func needsTarget(k OperationKind) bool {
	switch k {
	case OpCreate, OpStartCopy, OpReplicaReady, OpDropReplica, OpCutOver, OpRestart, OpRelease:
		return true
	}
	return false
}

// validateTexts returns which text field of an operation is too long or is not valid UTF-8, or "" if there is none. It names the
// field as on the wire.
func validateTexts(op Operation) string {
	for _, field := range []struct {
		name, text string
		maxBytes   int
	}{
		{"name", op.Instance, maxNameBytes},
		{"by", op.Node, maxNameBytes},
		{"to", op.Target, maxNameBytes},
		{"zone", op.Zone, maxNameBytes},
		{"reason", op.Reason, maxReasonBytes},
	} {
		if len(field.text) > field.maxBytes || !utf8.ValidString(field.text) {
			return fmt.Sprintf("%s is longer than %d bytes or is not valid UTF-8", field.name, field.maxBytes)
		}
	}
	return ""
}

// validateAssignment returns which invariant an assignment violates, or "" if it violates none.
func validateAssignment(a Assignment) string {
	op := Operation{Version: FormatVersion, Kind: OpDelete, Instance: a.Instance, Node: a.Primary, Target: a.CopyTarget, Zone: a.Zone,
		Reason: a.Reason, Weight: a.Weight, Size: a.Size, Index: a.Index, Epoch: a.Epoch}
	if fault := validateOperation(op); fault != "" {
		return fault
	}
	if fault := validateNodes(a); fault != "" {
		return fault
	}
	switch {
	case a.State != Running && a.State != Lost && a.State != Quarantined:
		return fmt.Sprintf("unknown state %.40q", a.State)
	case (a.State == Running) != (a.Primary != ""):
		return "it is running without a primary, or has a primary without running"
	case a.CopyTarget != "" && (a.CopyTarget == a.Primary || a.State != Running), a.CutOver && a.CopyTarget == "":
		return "the copy target is inconsistent with the state, the primary or the cut-over"
	case a.Epoch == 0 || a.Revision == 0 || a.Failures < 0:
		return "the epoch or the revision is 0, or the number of failures is negative"
	case len(a.StaleCopies) > maxStaleCopies || len(a.Replicas) > maxReplicas+maxExtraReplicas:
		return "it has too many stale copies or replicas"
	}
	return ""
}

// validateNodes returns which invariant the replicas and the stale copies of an assignment violate, or "" if they violate none.
func validateNodes(a Assignment) string {
	previous := ""
	for _, node := range a.Replicas {
		if node <= previous || node == a.Primary || len(node) > maxNameBytes {
			return "the replicas are not in order, include the primary, or have a name that is empty or too long"
		}
		previous = node
	}
	seen := map[string]bool{a.Primary: true}
	for _, c := range a.StaleCopies {
		if c.Node == "" || len(c.Node) > maxNameBytes || seen[c.Node] || slices.Contains(a.Replicas, c.Node) {
			return "a stale copy has a name that is empty or too long, or belongs to the primary, a replica or a node listed before"
		}
		seen[c.Node] = true
	}
	return ""
}
