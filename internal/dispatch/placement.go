package dispatch

import "silvercove/balancer"

// Placement is where an instance runs, as the controllers told it. Backend is "" while it runs nowhere.
type Placement struct {
	Instance, Backend string
	Epoch, Revision   uint64
}

// newerThan tells whether a placement is later news of its instance than another.
func (p Placement) newerThan(other Placement) bool {
	return p.Epoch > other.Epoch || p.Epoch == other.Epoch && p.Revision > other.Revision
}

// instance is the last placement of an instance, with the calls that wait for it or are at work there.
type instance struct {
	Placement
	calls map[*balancer.Request]struct{}
}

// FollowPlacements pins calls to the backend that the instance of their key runs at, from now on. It is called before any
// call comes, where an operator's file names a fleet.
func (d *Dispatcher) FollowPlacements() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.instances = map[string]*instance{}
}

// UpdatePlacements takes where instances run: all of them, or those that changed and those that are there no more. Older
// news of an instance than what is known changes nothing. It returns those that run elsewhere from now on.
func (d *Dispatcher) UpdatePlacements(complete bool, placements []Placement, deleted []string) (moved []Placement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.instances == nil {
		return nil
	}
	listed := make(map[string]bool, len(placements))
	for _, p := range placements {
		listed[p.Instance] = true
		if d.applyPlacement(p) {
			moved = append(moved, p)
		}
	}
	if complete {
		for name, i := range d.instances {
			if !listed[name] && i.Instance != "" {
				deleted = append(deleted, name)
			}
		}
	}
	for _, name := range deleted {
		d.removePlacement(name)
	}
	d.balancer.OnInstancesMoved(d.clock.now())
	return moved
}

// place takes one placement. It returns whether the instance runs elsewhere, or anew, from now on.
func (d *Dispatcher) applyPlacement(p Placement) (moved bool) {
	i := d.instances[p.Instance]
	if i == nil {
		i = d.addInstance(p.Instance)
	} else if !p.newerThan(i.Placement) {
		return false
	}
	moved = p.Backend != i.Backend || p.Epoch != i.Epoch
	i.Placement = p
	d.repin(i)
	return moved
}

// removePlacement takes that an instance is there no more. It is kept as long as calls wait for it.
func (d *Dispatcher) removePlacement(name string) {
	i := d.instances[name]
	if i == nil {
		return
	}
	i.Placement = Placement{Instance: name}
	d.repin(i)
	if len(i.calls) == 0 {
		delete(d.instances, name)
	}
}

func (d *Dispatcher) addInstance(name string) *instance {
	i := &instance{calls: map[*balancer.Request]struct{}{}}
	d.instances[name] = i
	return i
}

// repin points the open calls of an instance to where it is.
func (d *Dispatcher) repin(i *instance) {
	var at *balancer.Backend
	if b := d.backends[i.Backend]; b != nil {
		at = &b.Backend
	}
	for request := range i.calls {
		request.PinnedTo = at
	}
}

// repinCalls does so for all open calls: a backend may have come after the news of what runs there.
func (d *Dispatcher) repinCalls() {
	for _, call := range d.calls {
		if i := d.instances[call.key]; i != nil {
			d.repin(i)
		}
	}
}

// pin ties a call that has just come to its instance. One for an instance that nobody has told of waits too, as news may be
// late.
func (d *Dispatcher) pin(c *Call) {
	if d.instances == nil || c.key == "" {
		return
	}
	i := d.instances[c.key]
	if i == nil {
		i = d.addInstance(c.key)
	}
	i.calls[&c.request] = struct{}{}
	c.request.Pinned = true
	if b := d.backends[i.Backend]; b != nil {
		c.request.PinnedTo = &b.Backend
	}
}

// unpin forgets a call that has its final answer.
func (d *Dispatcher) unpin(c *Call) {
	i := d.instances[c.key]
	if i == nil {
		return
	}
	delete(i.calls, &c.request)
	if len(i.calls) == 0 && i.Epoch == 0 {
		delete(d.instances, c.key)
	}
}
