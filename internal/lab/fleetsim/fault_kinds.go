package fleetsim

import (
	"maps"
	"slices"

	"silvercove/internal/standin/testcluster"
	"silvercove/internal/tick"
)

// faultKind is a kind of fault: the kinds of its targets, the range of its amount, and the function that applies it. apply
// returns a function that ends the fault, or nil if nothing has to be undone.
type faultKind struct {
	target, to string // unit (edge node), node (any process), zone, keeper (controller), relay, camera (device) or all; to is "" if the kind has no second target
	amount     [2]float64
	apply      func(f *Fleet, x Fault) (undo func())
}

// faultKinds holds the kinds of faults by their names in scripts.
var faultKinds map[string]faultKind

func init() {
	faultKinds = map[string]faultKind{}
	for _, group := range []map[string]faultKind{linkFaults(), processFaults(), powerFaults(), controllerFaults(),
		laterVersionFaults(), replayFaults()} {
		maps.Copy(faultKinds, group)
	}
	faultNames = slices.Sorted(maps.Keys(faultKinds))
}

// linkFaults returns the faults of links between processes.
func linkFaults() map[string]faultKind {
	return map[string]faultKind{
		"cut": {target: "node", to: "node", apply: func(f *Fleet, x Fault) func() { // cuts the link in one direction, from x.Target to x.To
			a, b := f.endpointByName[x.Target], f.endpointByName[x.To]
			f.blockedLinks[[2]int{a.id, b.id}]++
			return func() { f.blockedLinks[[2]int{a.id, b.id}]-- }
		}},
		"part": {target: "node", to: "node", apply: func(f *Fleet, x Fault) func() { // cuts the link in both directions
			a, b := f.endpointByName[x.Target], f.endpointByName[x.To]
			f.blockBoth(a, b, 1)
			return func() { f.blockBoth(a, b, -1) }
		}},
		"mute": {target: "node", apply: func(f *Fleet, x Fault) func() {
			n := f.endpointByName[x.Target]
			n.outCuts++
			return func() { n.outCuts-- }
		}},
		"deaf": {target: "node", apply: func(f *Fleet, x Fault) func() {
			n := f.endpointByName[x.Target]
			n.inCuts++
			return func() { n.inCuts-- }
		}},
		"alone": {target: "node", apply: func(f *Fleet, x Fault) func() {
			n := f.endpointByName[x.Target]
			n.inCuts++
			n.outCuts++
			return func() { n.inCuts--; n.outCuts-- }
		}},
		"loss": {target: "node", amount: [2]float64{0.02, 0.6}, apply: func(f *Fleet, x Fault) func() {
			n := f.endpointByName[x.Target]
			n.lossRate += x.Amount
			return func() { n.lossRate -= x.Amount }
		}},
		"radio": {target: "zone", amount: [2]float64{0.05, 0.5}, apply: degradeUplink},
		"split": {target: "zone", apply: partitionZone},
	}
}

// processFaults returns the faults of the processes, disks, clocks and instances of nodes and relays.
func processFaults() map[string]faultKind {
	return map[string]faultKind{
		"stall":   {target: "unit", apply: stallNode},
		"crash":   {target: "unit", apply: func(f *Fleet, x Fault) func() { return crashNode(f, x, false, false) }},
		"wipe":    {target: "unit", apply: func(f *Fleet, x Fault) func() { return crashNode(f, x, true, false) }},
		"putback": {target: "unit", apply: func(f *Fleet, x Fault) func() { return crashNode(f, x, false, true) }},
		// Restores the disks of the primary and all replicas of a device's instance from backups.
		"putbacks": {target: "camera", apply: func(f *Fleet, x Fault) func() {
			p, _ := f.cluster.table.Get(x.Target)
			var undo []func()
			for _, name := range append([]string{p.Primary}, p.Replicas...) {
				if f.nodeByName[name] != nil {
					f.checker.nodeFaults++
					undo = append(undo, crashNode(f, Fault{Target: name}, false, true))
				}
			}
			return func() {
				for _, do := range undo {
					do()
				}
			}
		}},
		"full": {target: "unit", apply: func(f *Fleet, x Fault) func() {
			u := f.nodeByName[x.Target]
			u.diskFull++
			return func() { u.diskFull-- }
		}},
		"twin": {target: "unit", apply: startDuplicate},
		"poison": {target: "camera", apply: func(f *Fleet, x Fault) func() {
			c := f.deviceByName[x.Target]
			c.poisoned = true
			f.checker.nodeFaults += 2
			p, _ := f.cluster.table.Get(c.name)
			if u := f.nodeByName[p.Primary]; u != nil && u.manager != nil && len(f.checker.serving[c.name]) > 0 {
				u.downCount++
				u.crash(false)
				f.after(tick.Second, func() { u.downCount--; u.start() })
			}
			return func() { c.poisoned = false }
		}},
		"clock": {target: "relay", amount: [2]float64{0.5, 1}, apply: func(f *Fleet, x Fault) func() {
			f.jumpClocks(x.Target, tick.Tick(x.Amount*3600*float64(tick.Second)))
			return nil
		}},
		"relaydown": {target: "relay", apply: func(f *Fleet, x Fault) func() {
			r := f.relayByName(x.Target)
			r.downCount++
			return func() { r.downCount--; r.incarnation++ }
		}},
	}
}

// powerFaults returns the faults that make nodes refuse or hand over instances, and the faults that add load or move devices.
func powerFaults() map[string]faultKind {
	return map[string]faultKind{
		"bad": {target: "unit", apply: func(f *Fleet, x Fault) func() {
			u := f.nodeByName[x.Target]
			u.rollingBack++
			f.forcedDrains++
			return func() { u.rollingBack-- }
		}},
		"drain": {target: "unit", apply: func(f *Fleet, x Fault) func() {
			u := f.nodeByName[x.Target]
			u.draining++
			f.forcedDrains++
			return func() { u.draining-- }
		}},
		"tired": {target: "unit", apply: func(f *Fleet, x Fault) func() { return drainBattery(f, f.nodeByName[x.Target]) }},
		"tiredzone": {target: "zone", apply: func(f *Fleet, x Fault) func() {
			var undo []func()
			for _, u := range f.zoneByName(x.Target).nodes {
				undo = append(undo, drainBattery(f, u))
			}
			return func() {
				for _, do := range undo {
					do()
				}
			}
		}},
		"sun": {target: "zone", amount: [2]float64{0.3, 1}, apply: func(f *Fleet, x Fault) func() {
			z := f.zoneByName(x.Target)
			z.sunshine += x.Amount
			f.forcedDrains++
			return func() { z.sunshine -= x.Amount }
		}},
		"crowd": {target: "zone", amount: [2]float64{0.2, 0.9}, apply: addLoad},
		"swarm": {target: "zone", to: "zone", amount: [2]float64{0.1, 1}, apply: moveDevices},
	}
}

// controllerFaults returns the faults of controllers.
func controllerFaults() map[string]faultKind {
	return map[string]faultKind{
		"leader": {target: "all", apply: stopLeader},
		"keeper": {target: "keeper", apply: func(f *Fleet, x Fault) func() {
			return stopControllers(f, []*controller{f.controllerByName(x.Target)})
		}},
		"majority": {target: "all", apply: func(f *Fleet, x Fault) func() {
			return stopControllers(f, f.cluster.controllers[:len(f.cluster.controllers)/2+1])
		}},
		"slowdisk": {target: "keeper", amount: [2]float64{0.05, 1}, apply: func(f *Fleet, x Fault) func() {
			k, more := f.controllerByName(x.Target), tick.Tick(x.Amount*float64(tick.Second))
			k.diskDelay += more
			return func() { k.diskDelay -= more }
		}},
	}
}

var faultNames []string // keys of faultKinds, sorted

func (f *Fleet) zoneByName(name string) *zone {
	for _, z := range f.zones {
		if z.name == name {
			return z
		}
	}
	return nil
}

func (f *Fleet) controllerByName(name string) *controller {
	for _, k := range f.cluster.controllers {
		if k.endpoint.name == name {
			return k
		}
	}
	return nil
}

func (f *Fleet) relayByName(name string) *relay {
	for _, r := range f.relays {
		if r.endpoint.name == name {
			return r
		}
	}
	return nil
}

// jumpClocks moves the clock of a relay forward, as after a suspend of its machine. The relay's overload decisions use this
// clock. The name "all" stands for all relays.
func (f *Fleet) jumpClocks(name string, by tick.Tick) {
	for _, r := range f.relays {
		if name == "all" || r.endpoint.name == name {
			r.clockOffset += by
		}
	}
}

// degradeUplink divides the rate of a zone's uplink by 2 plus 8 times the amount, and adds loss and delay in proportion to the
// amount.
func degradeUplink(f *Fleet, x Fault) func() {
	z := f.zoneByName(x.Target)
	for _, u := range z.nodes {
		f.checker.disturbed[u.name] = true
		f.checker.nodeFaults++
	}
	divisor, delay := 2+8*x.Amount, tick.Tick(x.Amount*200*float64(milli))
	z.uplinkRate /= divisor
	z.extraDelay += delay
	z.lossRate += x.Amount / 4
	return func() { z.uplinkRate *= divisor; z.extraDelay -= delay; z.lossRate -= x.Amount / 4 }
}

// partitionZone cuts a zone off from all other zones and the controllers.
func partitionZone(f *Fleet, x Fault) func() {
	z := f.zoneByName(x.Target)
	z.partitions++
	for _, u := range z.nodes {
		f.checker.disturbed[u.name] = true
		if f.RemoteReplicas == 0 {
			f.checker.nodeFaults++
		}
	}
	if f.RemoteReplicas > 0 {
		f.checker.partitionedZones[z.name] = true
	}
	return func() { z.partitions-- }
}

// stallNode stops a node from handling messages and timers. The messages and timers wait until the stall ends.
func stallNode(f *Fleet, x Fault) func() {
	u := f.nodeByName[x.Target]
	u.stalls++
	f.checker.disturbed[u.name] = true
	return func() {
		if u.stalls--; u.stalls > 0 || u.manager == nil {
			return
		}
		calls := u.waiting
		u.waiting = nil
		for _, do := range calls {
			if u.manager == nil {
				return
			}
			do()
		}
	}
}

// crashNode ends the process of a node. The process starts again when the fault ends: with its disk, with an erased disk (wipe)
// or with a disk restored from a backup (restoreBackup).
func crashNode(f *Fleet, x Fault, wipe, restoreBackup bool) func() {
	u := f.nodeByName[x.Target]
	f.checker.disturbed[u.name] = true
	if wipe || restoreBackup {
		f.checker.diskReplaced[u.name] = true
	}
	u.downCount++
	u.stalls = 0
	u.crash(wipe)
	if wipe && f.members != nil {
		f.members.byName[u.name].diskWiped = true
	}
	if restoreBackup && u.backupLogs != nil {
		u.logs, u.diskRecords = cloneLogs(u.backupLogs), u.backupRecords
	}
	return func() {
		u.downCount--
		u.start()
	}
}

// drainBattery sets the battery of a node to 5.15 percent and cuts its mains supply. The end of the fault restores the earlier
// charge, but at least 50 percent, and the earlier state of the mains supply.
func drainBattery(f *Fleet, u *edgeNode) func() {
	charge, mains := u.battery.Charge, u.battery.Mains
	u.battery.Charge, u.battery.Mains = 0.0515, false
	f.forcedDrains++
	return func() { u.battery.Charge, u.battery.Mains = max(charge, 0.5), mains }
}

// addLoad adds the fault's amount to the load of each node of a zone, as a fraction of a node's capacity.
func addLoad(f *Fleet, x Fault) func() {
	z := f.zoneByName(x.Target)
	for _, u := range z.nodes {
		u.extraLoad += x.Amount
	}
	return func() {
		for _, u := range z.nodes {
			u.extraLoad -= x.Amount
		}
	}
}

// moveDevices moves a fraction of the devices of a zone to another zone. The moves are spread over a tenth of the fault's
// duration, but at most 10 s. At the end of the fault the devices move back.
func moveDevices(f *Fleet, x Fault) func() {
	from, to := f.zoneByName(x.Target), f.zoneByName(x.To)
	var devices []*device
	for _, c := range f.devices {
		if c.zone == from {
			devices = append(devices, c)
		}
	}
	devices = devices[:int(x.Amount*float64(len(devices)))]
	moveAll := func(z *zone) {
		spread := min(x.Duration/10, 10*tick.Second) + 1
		for _, c := range devices {
			f.after(tick.Tick(f.rng.Int64N(int64(spread))), func() { c.zone = z; f.cluster.reportDevice(c, z) })
		}
	}
	moveAll(to)
	return func() { moveAll(from) }
}

// stopLeader stops the leading controller.
func stopLeader(f *Fleet, x Fault) func() {
	if f.cluster.leader == nil {
		return nil
	}
	return stopControllers(f, []*controller{f.cluster.leader.controller})
}

// stopControllers stops the given controllers until the fault ends.
func stopControllers(f *Fleet, controllers []*controller) func() {
	for _, k := range controllers {
		k.downCount++
		f.logEvent(testcluster.Event{Node: k.endpoint.name, Name: "FALLS"})
	}
	f.cluster.checkLeader()
	return func() {
		for _, k := range controllers {
			k.downCount--
		}
		f.cluster.checkLeader()
	}
}

// startDuplicate starts a second process under the name of a node, as if an image of the node's disk had been restored
// elsewhere while the node still runs.
func startDuplicate(f *Fleet, x Fault) func() {
	u := f.nodeByName[x.Target]
	v := f.newNode(u.name, u.zone)
	u.duplicate = v
	v.displayName = u.name + "'"
	v.logs, v.diskRecords, v.recordsWritten = cloneLogs(u.logs), u.diskRecords, u.recordsWritten
	v.incarnation = u.incarnation
	f.checker.disturbed[u.name] = true
	// The duplicate has a copy of the disk as it is now. The copy will lack the records that u writes later, so the disk counts
	// as replaced.
	f.checker.diskReplaced[u.name] = true
	f.nodes = append(f.nodes, v)
	v.start()
	return func() {
		v.downCount++
		v.crash(false)
		if u.duplicate == v {
			u.duplicate = nil
		}
	}
}

// blockBoth adds n cuts to the link between two endpoints in both directions. A negative n removes cuts.
func (f *Fleet) blockBoth(a, b *endpoint, n int) {
	f.blockedLinks[[2]int{a.id, b.id}] += n
	f.blockedLinks[[2]int{b.id, a.id}] += n
}
