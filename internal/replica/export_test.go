package replica

// Busy is how many instances OnTick looks at.
func (m *Manager) Busy() int { return len(m.active) }
