package placement

import (
	"fmt"
	"math"
	"slices"
	"unicode/utf8"
)

// Bounds of the numbers of operations and assignments.
const (
	maxWeight = 100
	maxCount  = math.MaxInt64 // of an index and an epoch

	// maxExtraReplicas are replicas beyond maxReplicas: a primary that has stopped becomes one without being asked for.
	maxExtraReplicas = 2
)

// CheckSupported returns ErrUnsupportedVersion where an operation is of a later version, or of a kind that this program
// does not know, whatever stands in the table. Apply refuses such an operation, which is right for one table alone; of
// several that step by one log, those that know it carry it out, so one that does not must not go on.
func CheckSupported(op Operation) error {
	if op.Version > FormatVersion {
		return fmt.Errorf("%w: entry %d, this program reads %d", ErrUnsupportedVersion, op.Version, FormatVersion)
	}
	if !knownKind(op.Kind) {
		return fmt.Errorf("%w: kind %.40q", ErrUnsupportedVersion, op.Kind)
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

// validateOperation says what is wrong with an operation whatever stands in the table, "" for nothing.
func validateOperation(op Operation) string {
	if fault := validateTexts(op); fault != "" {
		return fault
	}
	switch {
	case op.Version < 1:
		return "no version"
	case op.Instance == "":
		return "no name"
	case !(op.Weight >= 0 && op.Weight <= maxWeight): // not a number is refused too
		return "a weight is 0 to 100"
	case op.Size < 0:
		return "a size below 0"
	case op.Index > maxCount || op.Epoch > maxCount:
		return "a number beyond any count"
	case !knownKind(op.Kind):
		return fmt.Sprintf("kind %.40q", op.Kind)
	case needsTarget(op.Kind) && op.Target == "":
		return "no unit to go to"
	case op.Kind == OpMoveDevice && op.Zone == "":
		return "no zone"
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

// validateTexts says which text of an operation is too long or not UTF-8, "" for none.
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
			return fmt.Sprintf("%s: over %d bytes, or not UTF-8", field.name, field.maxBytes)
		}
	}
	return ""
}

// validateAssignment says which invariant an assignment breaks, "" for none.
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
		return fmt.Sprintf("state %.40q", a.State)
	case (a.State == Running) != (a.Primary != ""):
		return "an owner is there where it runs, and only there"
	case a.CopyTarget != "" && (a.CopyTarget == a.Primary || a.State != Running), a.CutOver && a.CopyTarget == "":
		return "the copy does not add up"
	case a.Epoch == 0 || a.Revision == 0 || a.Failures < 0:
		return "counts do not add up"
	case len(a.StaleCopies) > maxStaleCopies || len(a.Replicas) > maxReplicas+maxExtraReplicas:
		return "counts do not add up"
	}
	return ""
}

// validateNodes says whether an assignment's lists of nodes break an invariant, "" for no.
func validateNodes(a Assignment) string {
	previous := ""
	for _, node := range a.Replicas {
		if node <= previous || node == a.Primary || len(node) > maxNameBytes {
			return "holders do not add up"
		}
		previous = node
	}
	seen := map[string]bool{a.Primary: true}
	for _, c := range a.StaleCopies {
		if c.Node == "" || len(c.Node) > maxNameBytes || seen[c.Node] || slices.Contains(a.Replicas, c.Node) {
			return "older copies do not add up"
		}
		seen[c.Node] = true
	}
	return ""
}
