package edgenode

import (
	"silvercove/internal/controllerclient"
	"silvercove/internal/replica"
)

// diskState is how far it is known whether the disk was restored from an older image, in its order.
type diskState uint8

const (
	diskUnchecked  diskState = iota // no controller has told yet how many records it had
	diskChecked                     // it is known, and replicas verifies its copies where they may be old
	diskConfirming                  // all copies are verified, and the store writes that
	diskConfirmed                   // what is written counts
)

// diskCheck compares the number of records that the disk has taken with the greatest that the controllers have been told.
type diskCheck struct {
	state              diskState
	restored           bool   // it was restored from an older image
	recordCountAtStart uint64 // 0 without a disk
	maxRecordCount     uint64 // the greatest that the controllers told
}

// checkDisk takes in what a lease says of the node's disk. It is called with mu.
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

// onDiskConfirmed takes the result of the store. After an error it is tried again with the next lease.
func (n *Node) onDiskConfirmed(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		n.disk.state = diskChecked
		return
	}
	n.disk.state = diskConfirmed
	if n.disk.restored {
		n.options.Log.Info().Str("event", "disk").Str("why", "what it lacked is settled").Msg("restored disk is current")
	}
	n.renewSoon()
}
