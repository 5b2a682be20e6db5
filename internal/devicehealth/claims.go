package devicehealth

import (
	"fmt"
	"slices"

	"silvercove/internal/tick"
)

const (
	maxClaimShare  = 0.5               // maximum share of a zone's nodes that may evacuate on claims without support (see isClaimSupported); a faulty version could make all nodes claim
	claimRetention = 600 * tick.Second // how long a withdrawn claim still counts as granted; without this, the nodes of a zone could evacuate one after the other
)

// verifyClaim checks a claim to evacuate that neither readings nor outcomes support. It grants such claims to at most
// maxClaimShare of a zone's nodes. For the other claiming nodes it returns the report with StateHolding, so they keep
// their instances. The limit guards against a fault that makes all nodes of a zone claim to evacuate, which would empty
// the zone. The limit also applies to claims that rest on readings which the controller cannot check: the controller
// cannot tell these claims from claims caused by a fault.
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

// grantedClaims returns the number of granted claims in the zone, including withdrawn claims that still count as granted.
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

// withdrawClaim withdraws the node's granted claim, if there is one. The withdrawn claim still counts as granted for
// claimRetention.
func (n *node) withdrawClaim(now tick.Tick) {
	if !n.claimGranted {
		return
	}
	n.claimGranted = false
	if z := n.zone; len(z.withdrawnClaims) < len(z.nodes) {
		z.withdrawnClaims = append(z.withdrawnClaims, now+claimRetention)
	}
}
