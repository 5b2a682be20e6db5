package dispatch

import "silvercove/balancer"

// Placement is where an instance runs, according to the controllers. Backend is "" while the instance runs nowhere.
type Placement struct {
	Instance, Backend string
	Epoch, Revision   uint64
}

// newerThan reports whether a placement is newer than another one of the same instance.
func (p Placement) newerThan(other Placement) bool {
	return p.Epoch > other.Epoch || p.Epoch == other.Epoch && p.Revision > other.Revision
}

// instance holds the last known placement of an instance, and the open calls for the instance, queued or in flight.
type instance struct {
	Placement
	calls map[*balancer.Request]struct{}
}

// FollowPlacements pins each later call to the backend that runs the instance of the call's key. A relay whose
// configuration file names a fleet calls FollowPlacements before the first call arrives.
func (d *Dispatcher) FollowPlacements() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.instances = map[string]*instance{}
}

// UpdatePlacements applies an update of where instances run. If complete is true, placements has all instances, and
// instances that are missing from it count as deleted. Otherwise placements has the instances that changed. deleted has
// the names of instances that were deleted. A placement that is not newer than the known one of its instance changes
// nothing. UpdatePlacements returns the placements of the instances that have moved.
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
		for name, inst := range d.instances {
			if !listed[name] && inst.Instance != "" {
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

// applyPlacement applies the placement of one instance. It reports whether the instance has moved: to another backend,
// or to a new epoch.
func (d *Dispatcher) applyPlacement(p Placement) (moved bool) {
	inst := d.instances[p.Instance]
	if inst == nil {
		inst = d.addInstance(p.Instance)
	} else if !p.newerThan(inst.Placement) {
		return false
	}
	moved = p.Backend != inst.Backend || p.Epoch != inst.Epoch
	inst.Placement = p
	d.repin(inst)
	return moved
}

// removePlacement records that an instance was deleted. The entry of the instance stays as long as calls for the
// instance are open.
func (d *Dispatcher) removePlacement(name string) {
	inst := d.instances[name]
	if inst == nil {
		return
	}
	inst.Placement = Placement{Instance: name}
	d.repin(inst)
	if len(inst.calls) == 0 {
		delete(d.instances, name)
	}
}

func (d *Dispatcher) addInstance(name string) *instance {
	inst := &instance{calls: map[*balancer.Request]struct{}{}}
	d.instances[name] = inst
	return inst
}

// repin points the open calls of an instance to the backend that runs it.
func (d *Dispatcher) repin(inst *instance) {
	var pinnedTo *balancer.Backend
	if b := d.backends[inst.Backend]; b != nil {
		pinnedTo = &b.Backend
	}
	for request := range inst.calls {
		request.PinnedTo = pinnedTo
	}
}

// repinCalls points all open calls to the backends of their instances. It is called after each update of the endpoint
// list, as a placement may name a backend that is listed only later.
func (d *Dispatcher) repinCalls() {
	for _, call := range d.calls {
		if inst := d.instances[call.key]; inst != nil {
			d.repin(inst)
		}
	}
}

// pin ties a call that has just arrived to the instance of its key. A call for an unknown instance waits as well,
// because the placement of the instance may arrive later.
func (d *Dispatcher) pin(c *Call) {
	if d.instances == nil || c.key == "" {
		return
	}
	inst := d.instances[c.key]
	if inst == nil {
		inst = d.addInstance(c.key)
	}
	inst.calls[&c.request] = struct{}{}
	c.request.Pinned = true
	if b := d.backends[inst.Backend]; b != nil {
		c.request.PinnedTo = &b.Backend
	}
}

// unpin removes a call that has ended from its instance.
func (d *Dispatcher) unpin(c *Call) {
	inst := d.instances[c.key]
	if inst == nil {
		return
	}
	delete(inst.calls, &c.request)
	if len(inst.calls) == 0 && inst.Epoch == 0 {
		delete(d.instances, c.key)
	}
}
