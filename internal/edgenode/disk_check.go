package edgenode

import (
	"silvercove/internal/controllerclient"
	"silvercove/internal/replica"
)

// diskState is the progress of the check whether the node's disk was restored from an older image. The states follow one another
// in the order of the constants, except that diskConfirming returns to diskChecked after a write error.
type diskState uint8

const (
	diskUnchecked  diskState = iota // no lease response with the controllers' record count has arrived yet
	diskChecked                     // the result of the check is known; the replica.Manager verifies copies that may be outdated
	diskConfirming                  // all copies are verified; the store is writing the declaration of Store.ConfirmCurrent
	diskConfirmed                   // the declaration of Store.ConfirmCurrent is written; the store counts the records written after it
)

// diskCheck compares the number of records written to the disk with the greatest number that this node has reported to the
// controllers. A smaller number on the disk means that the disk was restored from an older image.
type diskCheck struct {
	state              diskState
	restored           bool   // the disk was restored from an older image
	recordCountAtStart uint64 // number of records on the disk at the start; 0 if the node has no disk
	maxRecordCount     uint64 // greatest record count in a lease response; 0 before the first response
}

// checkDisk processes the fields RecordCount and AcceptedUnverified of a lease response. The parameter reported is the list of
// unverified copies in the lease request. AcceptedUnverified is the number of copies, counted from the start of that list, that
// the controllers have accepted. The caller holds Node.mu.
func (n *Node) checkDisk(response controllerclient.LeaseResponse, reported []replica.UnverifiedCopy) {
	now := controllerclient.Now()
	if n.disk.state == diskUnchecked {
		n.disk.state = diskChecked
		n.disk.restored = n.disk.recordCountAtStart < response.RecordCount && n.disk.recordCountAtStart > 0
		n.replicas.OnDiskChecked(now, n.disk.restored)
	}
	n.replicas.OnUnverifiedReported(now, reported[:min(response.AcceptedUnverified, len(reported))])
	n.disk.maxRecordCount = max(n.disk.maxRecordCount, response.RecordCount)
	if n.disk.state == diskChecked && n.replicas.AllVerified() {
		n.disk.state = diskConfirming
		n.store.ConfirmCurrent(n.disk.maxRecordCount, n.onDiskConfirmed)
	}
}

// onDiskConfirmed receives the result of Store.ConfirmCurrent. After an error, checkDisk calls ConfirmCurrent again when the next
// lease is granted.
func (n *Node) onDiskConfirmed(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		n.disk.state = diskChecked
		return
	}
	n.disk.state = diskConfirmed
	if n.disk.restored {
		n.options.Log.Info().Str("event", "disk").Str("why", "all copies are verified").Msg("restored disk is current")
	}
	n.renewSoon()
}
