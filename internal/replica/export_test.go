package replica

// ActiveInstances returns the number of instances that the next OnTick processes.
func (m *Manager) ActiveInstances() int { return len(m.active) }
