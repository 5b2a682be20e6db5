package fleetsim

import (
	"bytes"
	"encoding/json"
	"fmt"

	"silvercove/internal/placement"
	"silvercove/internal/standin/testcluster"
	"silvercove/internal/tick"
)

// Simulated processes of a later version differ from this version in three ways: they know one more operation, they send
// messages of the next version, and they add a field to the assignments. The same code as in real processes handles these
// differences: placement.CheckSupported, replica.Message.Check and placement.Table.
const (
	laterOperation        = placement.OperationKind("dim")
	laterField            = "lights"
	laterProposalInterval = 150 * milli // pause after which a node of a later version proposes its operation again
)

// laterVersionFaults returns the faults that run processes of a later version, and the rolling restart of all processes.
func laterVersionFaults() map[string]faultKind {
	return map[string]faultKind{
		"later":       {target: "unit", apply: laterNode},
		"laterkeeper": {target: "keeper", apply: laterController},
		"roll":        {target: "all", apply: rollAll},
	}
}

// laterNode makes a node send messages of a version that other nodes cannot read, and propose an operation that controllers do
// not know.
func laterNode(f *Fleet, x Fault) func() {
	u := f.nodeByName[x.Target]
	u.laterVersion++
	proposeLaterOperations(f, u)
	return func() { u.laterVersion-- }
}

// proposeLaterOperations proposes the operation of a later version for one instance of a node. It does so repeatedly until the
// fault ends.
func proposeLaterOperations(f *Fleet, u *edgeNode) {
	if u.laterVersion == 0 {
		return
	}
	f.after(laterProposalInterval, func() { proposeLaterOperations(f, u) })
	if u.manager == nil || u.stalls > 0 {
		return
	}
	for _, p := range f.cluster.table.ByPrimary(u.name)[:min(1, u.instances)] {
		e := placement.Operation{Version: placement.FormatVersion + f.rng.IntN(2), Kind: laterOperation, Instance: p.Instance, Epoch: p.Epoch, Node: u.name}
		f.cluster.proposeOperation(u.endpoint, e, func(placement.Assignment, error) {})
	}
}

// laterController runs a controller with a later version, which adds a field to the assignments. At the end of the fault the
// controller returns to this version, unless an operation was agreed that only later versions know. This version could not
// apply that operation.
func laterController(f *Fleet, x Fault) func() {
	k := f.controllerByName(x.Target)
	k.laterVersion++
	f.cluster.addLaterField()
	return func() {
		f.cluster.checkSnapshot()
		if !f.cluster.laterOperationAgreed {
			k.laterVersion--
		}
	}
}

// addLaterField adds a field that this version does not know to each line of a snapshot of the table, and restores the table
// from the result.
func (c *cluster) addLaterField() {
	var text []byte
	for line := range bytes.Lines(c.table.Snapshot()) {
		var m map[string]json.RawMessage
		if err := json.Unmarshal(line, &m); err != nil {
			c.fleet.checker.fail("snapshot: decoding a line: %v", err)
			return
		}
		m[laterField] = json.RawMessage(`"on"`)
		line, _ = json.Marshal(m)
		text = append(append(text, line...), '\n')
	}
	if err := c.table.Restore(text); err != nil {
		c.fleet.checker.fail("snapshot: restoring one with a field of a later version: %v", err)
	}
	c.fieldAdded = true
}

// checkSnapshot checks rule 6: a restored snapshot equals the original, and it keeps the fields that a later version added.
func (c *cluster) checkSnapshot() {
	text := c.table.Snapshot()
	restored := placement.New()
	if err := restored.Restore(text); err != nil || !bytes.Equal(restored.Snapshot(), text) {
		c.fleet.checker.fail("rule 6: a restored snapshot differs from the original: %v", err)
	}
	if n := bytes.Count(text, []byte(`"`+laterField+`":`)); c.fieldAdded && n != c.table.Len()+1 {
		c.fleet.checker.fail("rule 6: %d of %d fields of a later version are kept", n, c.table.Len()+1)
	}
	c.fleet.snapshotsChecked++
}

// checkSupported returns an error if the leading controller does not know an operation. Such an operation must change nothing.
func (l *leadership) checkSupported(e placement.Operation) error {
	if l.controller.laterVersion > 0 || l.cluster.fleet.disabled.acceptUnknownOperations {
		return nil
	}
	err := placement.CheckSupported(e)
	if err != nil {
		l.cluster.fleet.refusedOperations++
	}
	return err
}

// onUnknownOperation handles an agreed operation that this version does not know. The processes of controllers of this version
// end before they apply any part of the operation. They start again with the later version 1 s later.
func (c *cluster) onUnknownOperation(o *logEntry, e placement.Operation) {
	f := c.fleet
	c.laterOperationAgreed = true
	if !o.laterVersion {
		f.checker.fail("rule 6: %s of %s was agreed under a keeper that does not know it", e.Kind, e.Instance)
	}
	for _, k := range c.controllers {
		if k.laterVersion > 0 {
			continue
		}
		k.laterVersion++ // the controller runs the later version from its next start
		if k.downCount > 0 {
			continue
		}
		k.downCount++
		f.logEvent(testcluster.Event{Node: k.endpoint.name, Name: "ends", Why: "an entry of a later version"})
		f.after(tick.Second, func() {
			k.downCount--
			c.checkLeader()
		})
	}
	f.after(0, c.onLinksChanged)
}

// rollAll restarts all processes: first the controllers one by one, then a tenth of the nodes at a time, and then a tenth of
// the relays at a time. Each node is drained before its process ends.
func rollAll(f *Fleet, x Fault) func() {
	var steps []func(span tick.Tick)
	tenths := func(n int, restart func(i int, span tick.Tick)) {
		batchSize := max(1, n/10)
		for from := 0; from < n; from += batchSize {
			steps = append(steps, func(span tick.Tick) {
				for i := from; i < min(n, from+batchSize); i++ {
					restart(i, span)
				}
			})
		}
	}
	for _, k := range f.cluster.controllers {
		steps = append(steps, func(span tick.Tick) {
			if k.downCount > 0 {
				return // a controller that is down is skipped, as an operator would not restart it
			}
			f.cluster.checkSnapshot()
			undo := stopControllers(f, []*controller{k})
			f.after(min(span/2, 300*milli), func() { undo() })
		})
	}
	nodes := f.nodes[:f.Nodes]
	tenths(len(nodes), func(i int, span tick.Tick) {
		u := nodes[i]
		f.checker.disturbed[u.name] = true
		f.checker.nodeFaults++
		f.forcedDrains++
		u.draining++
		f.after(span*8/10, func() {
			u.downCount++
			u.crash(false)
		})
		f.after(span-1, func() {
			u.draining--
			u.downCount--
			u.start()
		})
	})
	tenths(len(f.relays), func(i int, span tick.Tick) {
		r := f.relays[i]
		r.downCount++
		f.after(span/2, func() { r.downCount--; r.incarnation++ })
	})
	stepSpan := max(x.Duration/tick.Tick(len(steps)), 10)
	for i, do := range steps {
		f.after(tick.Tick(i)*stepSpan, func() {
			if i == 0 || i%8 == 0 {
				f.logEvent(testcluster.Event{Node: "script", Name: "rolls", Why: fmt.Sprintf("%d of %d", i+1, len(steps)), Script: true})
			}
			do(stepSpan)
		})
	}
	return func() { f.cluster.checkSnapshot() }
}
