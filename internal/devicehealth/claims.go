package devicehealth

import (
	"fmt"
	"slices"

	"silvercove/internal/tick"
)

const (
	maxClaimShare  = 0.5               // share of a zone's nodes that may evacuate on claims alone: a version's fault shows in all nodes
	claimRetention = 600 * tick.Second // how long a withdrawn claim still counts, so that nodes cannot evacuate in turns
)

// verifyClaim checks a claim to evacuate that neither readings nor outcomes support. The check guards against a fault that
// makes all nodes of a zone claim to evacuate, which would empty the zone. Nodes that claim because of readings that the
// controller cannot check look the same as nodes with such a fault: half of them evacuate, and the others hold the instances
// they have.
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

// grantedClaims returns the number of granted claims, including withdrawn ones that still count.
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

// withdrawClaim withdraws the node's granted claim, if any; the claim still counts for claimRetention.
func (n *node) withdrawClaim(now tick.Tick) {
	if !n.claimGranted {
		return
	}
	n.claimGranted = false
	if z := n.zone; len(z.withdrawnClaims) < len(z.nodes) {
		z.withdrawnClaims = append(z.withdrawnClaims, now+claimRetention)
	}
}
