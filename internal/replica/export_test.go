package replica

// Busy is how many instances an alarm looks at.
func (o *Manager) Busy() int { return len(o.busy) }
