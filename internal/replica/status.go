package replica

import (
	"slices"

	"silvercove/internal/tick"
)

// CopyStatus is an instance as a node has it.
type CopyStatus struct {
	Instance   string `json:"name"`
	Epoch      uint64 `json:"epoch"`
	Index      uint64 `json:"seq"`
	LastEpoch  uint64 `json:"last,omitempty"` // of its last entry, 0: not known
	Checksum   uint64 `json:"sum"`
	Size       int    `json:"size"`            // bytes
	IsPrimary  bool   `json:"owns,omitempty"`  // by the assignment
	Serving    bool   `json:"acts,omitempty"`  // now
	IsReplica  bool   `json:"holds,omitempty"` // by the assignment
	Incomplete bool   `json:"lacks,omitempty"` // it lacks what the controllers count on
}

// Copies are all instances of which this node has something or should have, by name.
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

// Serves tells whether the node serves an instance now.
func (m *Manager) Serves(now tick.Tick, name string) bool {
	inst := m.instances[name]
	return inst != nil && m.serves(now, inst)
}

func (m *Manager) serves(now tick.Tick, inst *instance) bool {
	return inst.serving.state == leased && m.mayServe(now, inst)
}

// KnownInstances are the names of all instances that this node has heard of from the controllers, in order.
func (m *Manager) KnownInstances() (names []string) {
	for name, inst := range m.instances {
		if inst.assignment.known() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// LostAllCopies tells whether this incarnation began without any of the copies that the controllers count on. One that
// lacks some, as a disk that was restored does, serves what it has, and reports the others as incomplete.
func (m *Manager) LostAllCopies() bool {
	counted := false
	for _, inst := range m.tracked {
		if !inst.assignment.known() || !inst.assignment.agreed.EverServed || !inst.assignment.requiresCopyOn(m.self) {
			continue
		}
		if !inst.recovery.incomplete {
			return false
		}
		counted = true
	}
	return counted
}
