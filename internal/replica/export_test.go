package replica

// ActiveInstances is how many instances OnTick looks at.
func (m *Manager) ActiveInstances() int { return len(m.active) }
