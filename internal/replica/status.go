package replica

import (
	"slices"

	"silvercove/internal/tick"
)

// CopyStatus describes a node's copy of an instance.
type CopyStatus struct {
	Instance   string `json:"name"`
	Epoch      uint64 `json:"epoch"`
	Index      uint64 `json:"seq"`
	LastEpoch  uint64 `json:"last,omitempty"` // epoch of the last entry; 0 if it is not known
	Checksum   uint64 `json:"sum"`
	Size       int    `json:"size"`            // size of the copy's entries, in bytes
	IsPrimary  bool   `json:"owns,omitempty"`  // the assignment names the node as the primary
	Serving    bool   `json:"acts,omitempty"`  // the node serves the instance now
	IsReplica  bool   `json:"holds,omitempty"` // the assignment names the node as a replica
	Incomplete bool   `json:"lacks,omitempty"` // the copy lacks entries that the controllers require
}

// Copies returns the status of every instance of which this node has a copy or should have one, sorted by name.
func (m *Manager) Copies(now tick.Tick) (copies []CopyStatus) {
	for _, inst := range m.tracked {
		log := &inst.local.log
		c := CopyStatus{
			Instance:   inst.name,
			Epoch:      max(inst.assignment.agreed.Epoch, log.LastEpoch()),
			Index:      log.LastIndex(),
			LastEpoch:  log.LastEpoch(),
			Checksum:   log.Checksum(),
			Size:       inst.local.bytes,
			IsPrimary:  inst.assignment.agreed.Primary == m.self,
			Serving:    m.serves(now, inst),
			IsReplica:  inst.assignment.isReplica(m.self),
			Incomplete: inst.recovery.incomplete,
		}
		if inst.local.present || c.IsPrimary || c.IsReplica {
			copies = append(copies, c)
		}
	}
	return copies
}

// Serves reports whether the node serves an instance now.
func (m *Manager) Serves(now tick.Tick, name string) bool {
	inst := m.instances[name]
	return inst != nil && m.serves(now, inst)
}

func (m *Manager) serves(now tick.Tick, inst *instance) bool {
	return inst.serving.state == leased && m.mayServe(now, inst)
}

// KnownInstances returns the names of all instances whose assignment is known on this node, sorted.
func (m *Manager) KnownInstances() (names []string) {
	for name, inst := range m.instances {
		if inst.assignment.known() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// LostAllCopies reports whether this incarnation began without any of the copies that the controllers require. A node
// that lacks only some of the copies, for example because its disk was restored, serves the instances whose copies are
// complete and reports the other copies as incomplete.
func (m *Manager) LostAllCopies() bool {
	anyRequired := false
	for _, inst := range m.tracked {
		if !inst.assignment.known() || !inst.assignment.agreed.EverServed || !inst.assignment.requiresCopyOn(m.self) {
			continue
		}
		if !inst.recovery.incomplete {
			return false
		}
		anyRequired = true
	}
	return anyRequired
}
