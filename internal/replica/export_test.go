package replica

// ActiveInstances returns the number of instances that OnTick looks at.
func (m *Manager) ActiveInstances() int { return len(m.active) }
