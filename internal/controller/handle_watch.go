package controller

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/hashicorp/raft"

	"silvercove/internal/controllerclient"
	"silvercove/internal/placement"
)

// maxLongPoll is how long a call may wait for news.
const maxLongPoll = time.Minute

// waits reads since and timeout_ms, and takes a place among those that wait; done gives it back.
func (c *Controller) poll(req call[struct{}]) (since uint64, timer *time.Timer, done func(), err error) {
	number := func(name string) (n uint64) {
		if text := req.query.Get(name); text != "" && err == nil {
			if n, err = strconv.ParseUint(text, 10, 63); err != nil {
				err = refuse(http.StatusBadRequest, "%s: a number is wanted, not %.40q", name, text)
			}
		}
		return n
	}
	since, wait := number("since"), number("timeout_ms")
	if err != nil {
		return 0, nil, nil, err
	}
	select {
	case c.longPolls <- struct{}{}:
	default:
		return 0, nil, nil, refuse(http.StatusServiceUnavailable, "as many calls wait for news as may")
	}
	timer = time.NewTimer(min(time.Duration(min(wait, uint64(maxLongPoll.Milliseconds())))*time.Millisecond, maxLongPoll))
	return since, timer, func() { timer.Stop(); <-c.longPolls }, nil
}

// handleAssignments tells those that changed.
func (c *Controller) handleAssignments(req call[struct{}]) (any, error) {
	l, _, err := c.requireLeadership()
	if err != nil {
		return nil, err
	}
	since, timer, done, err := c.poll(req)
	if err != nil {
		return nil, err
	}
	defer done()
	for {
		birth := c.stateMachine.lineage().OriginID
		if req.query.Has("birth") {
			birth = req.query.Get("birth")
		}
		p, changed := c.stateMachine.changesSince(since, birth)
		if p.Version != since || birth != p.OriginID {
			return p, nil
		}
		select {
		case <-changed: // what changes within a moment is told together
			timer.Reset(c.timings.AssignmentUpdateInterval.Duration())
			select {
			case <-timer.C:
			case <-req.ctx.Done():
			}
		case <-timer.C:
			p.Complete, p.Assignments = false, []placement.Assignment{}
			return p, nil
		case <-l.ended:
			_, _, err := c.requireLeadership()
			return p, err
		case <-req.ctx.Done():
			return nil, req.ctx.Err()
		}
	}
}

// handleNodes tells all edge units.
func (c *Controller) handleNodes(req call[struct{}]) (any, error) {
	l, _, err := c.requireLeadership()
	if err != nil {
		return nil, err
	}
	since, timer, done, err := c.poll(req)
	if err != nil {
		return nil, err
	}
	defer done()
	for gathered := false; ; {
		c.mu.Lock()
		if l.nodesVersion != since || gathered {
			u := c.nodeList(l)
			c.mu.Unlock()
			return u, nil
		}
		changed := l.nodesChanged
		c.mu.Unlock()
		select {
		case <-changed: // what changes within a moment is told together
			timer.Reset(min(c.timings.NodeUpdateInterval.Duration(), maxLongPoll))
			gathered = true
			select {
			case <-timer.C:
			case <-req.ctx.Done():
			}
		case <-timer.C:
			gathered = true
		case <-l.ended:
			if _, _, err := c.requireLeadership(); err != nil {
				return nil, err
			}
			return nil, raft.ErrLeadershipLost
		case <-req.ctx.Done():
			return nil, req.ctx.Err()
		}
	}
}

// nodeList are all edge units of the file. It is called with mu.
func (c *Controller) nodeList(l *leadership) controllerclient.NodeList {
	u := controllerclient.NodeList{Version: l.nodesVersion, Nodes: []controllerclient.Node{}}
	now := c.Now()
	for _, p := range c.Network.Peers("edge") {
		one := controllerclient.Node{Name: p.Name, Zone: p.Zone}
		if a := l.nodes[p.Name]; a != nil {
			if one = nodeFromRequest(*a); one.Zone == "" {
				one.Zone = p.Zone
			}
		}
		_, one.HasLease = l.lessor.LeaseEnd(now, p.Name)
		if one.Accepting = one.Accepting && one.HasLease; one.Commands == "" {
			one.Commands = p.Commands
		}
		u.Nodes = append(u.Nodes, one)
	}
	slices.SortFunc(u.Nodes, func(a, b controllerclient.Node) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return u
}
