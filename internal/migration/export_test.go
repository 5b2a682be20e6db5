package migration

// Busy is how many instances an alarm looks at.
func (o *Owner) Busy() int { return len(o.busy) }
