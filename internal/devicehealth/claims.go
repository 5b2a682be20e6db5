package devicehealth

import (
	"fmt"
	"slices"

	"silvercove/internal/tick"
)

const (
	maxClaimShare  = 0.5               // of a zone's nodes at most evacuate by claim alone: a version's fault shows in all at once
	claimRetention = 600 * tick.Second // for which a claim counts after it was withdrawn, so that nodes do not take turns
)

// verifyClaim checks a claim that nothing but the node's word supports. Guards against a fault that makes all nodes of a
// zone say that they must evacuate, which would empty the zone. Nodes with readings that the controller cannot check look
// the same; half of them evacuate, the others hold what they have.
func (n *node) verifyClaim(now tick.Tick) Report {
	if n.claimGranted {
		return n.report
	}
	granted := n.zone.grantedClaims(now)
	if float64(granted+1) > maxClaimShare*float64(len(n.zone.nodes)) {
		return withState(n.report, levelHolding, fmt.Sprintf("says it %s, without readings or outcomes that bear it out, "+
			"as do %d of %d units of its zone", n.report.State, granted, len(n.zone.nodes)))
	}
	n.claimGranted = true
	return n.report
}

// grantedClaims counts the claims that are granted now, with those that still count after they were withdrawn.
func (z *zone) grantedClaims(now tick.Tick) int {
	granted := 0
	for _, n := range z.nodes {
		if n.claimGranted {
			granted++
		}
	}
	z.withdrawnClaims = slices.DeleteFunc(z.withdrawnClaims, func(until tick.Tick) bool { return until <= now })
	return granted + len(z.withdrawnClaims)
}

// withdrawClaim ends a claim; it still counts for claimRetention.
func (n *node) withdrawClaim(now tick.Tick) {
	if !n.claimGranted {
		return
	}
	n.claimGranted = false
	if z := n.zone; len(z.withdrawnClaims) < len(z.nodes) {
		z.withdrawnClaims = append(z.withdrawnClaims, now+claimRetention)
	}
}
