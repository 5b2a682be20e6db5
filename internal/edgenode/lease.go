package edgenode

import (
	"context"
	"encoding/json"
	"time"

	"silvercove/internal/controllerclient"
	"silvercove/internal/replica"
	"silvercove/internal/tick"
)

// renewalsPerLease is the number of renewals per lease duration.
const renewalsPerLease = 3

// renewLease keeps the lease until the context ends. It requests a renewal whenever a third of the lease duration has passed, and
// at once after a call of renewSoon.
func (n *Node) renewLease(ctx context.Context) {
	ticker := time.NewTicker(n.leaseDuration.Duration() / renewalsPerLease)
	defer ticker.Stop()
	meter := loadMeter{since: time.Now()}
	loggedReason := "" // error text of the last logged failure to renew; "" once a renewal has succeeded
	// rollingBack is true if the last granted lease said that this node's software version is being rolled back.
	rollingBack := false
	for {
		report, began := n.assessHealth(&meter), time.Now()
		granted := false
		text, err := json.Marshal(report)
		if err == nil {
			granted, err = n.requestLease(ctx, text, &rollingBack)
		}
		switch {
		case granted:
			loggedReason = ""
		case err != nil && ctx.Err() == nil && err.Error() != loggedReason:
			loggedReason = err.Error()
			n.options.Log.Warn().Str("event", "lease").Str("why", "not renewed: "+loggedReason).
				Int64("elapsed_ms", time.Since(began).Milliseconds()).Msg("lease not renewed")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.renewNow:
		}
	}
}

// requestLease sends one lease request and processes the response. The request reports *rollingBack, which a granted lease then
// sets.
func (n *Node) requestLease(ctx context.Context, report []byte, rollingBack *bool) (granted bool, err error) {
	n.mu.Lock()
	unverified := n.replicas.UnverifiedCopies(controllerclient.MaxUnverified)
	n.mu.Unlock()
	requestContext, cancel := context.WithTimeout(ctx, n.leaseDuration.Duration())
	response, sentAt, err := n.client.RequestLease(requestContext, controllerclient.LeaseRequest{
		Node:            n.name,
		Incarnation:     n.incarnation,
		Report:          report,
		RequestAddress:  n.listener.Addr().String(),
		Zone:            n.options.File.Self.Zone,
		SoftwareVersion: n.options.File.SoftwareVersion,
		RollingBack:     *rollingBack,
		StartedAtMS:     int64(n.incarnation / 1000),
		RecordCount:     n.store.RecordCount(),
		Unverified:      unverified,
	})
	cancel()
	if err != nil || !response.Granted {
		return false, err
	}
	*rollingBack = response.RollingBack
	lineage, changed := n.onLeaseGranted(response, sentAt, unverified)
	if changed {
		// The error is ignored. If the disk is full, the node's note (see type note) keeps the earlier lineage. After a
		// restart, the node then learns the current lineage from the controllers.
		_ = n.writeNote(ctx, lineage)
	}
	return true, nil
}

// onLeaseGranted processes a granted lease. It returns the lineage of the controllers' assignments (see
// controllerclient.Lineage). changed reports whether this lineage differs from storedLineage.
func (n *Node) onLeaseGranted(response controllerclient.LeaseResponse, sentAt tick.Tick,
	reported []replica.UnverifiedCopy) (lineage controllerclient.Lineage, changed bool) {

	n.mu.Lock()
	defer n.mu.Unlock()
	n.checkDisk(response, reported)
	// If the lineages differ, the controllers have rebuilt the assignments. The node must then load the assignments before it
	// uses a lease.
	if response.Lineage == n.lineage {
		n.replicas.OnLease(controllerclient.Now(), sentAt+n.leaseDuration, response.AssignmentsVersion)
	}
	lineage = n.client.Lineage()
	changed = lineage != n.storedLineage
	n.storedLineage = lineage
	return lineage, changed
}

// renewSoon makes renewLease request the lease at once.
func (n *Node) renewSoon() {
	select {
	case n.renewNow <- struct{}{}:
	default:
	}
}
