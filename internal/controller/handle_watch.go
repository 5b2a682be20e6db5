package controller

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/raft"

	"silvercove/internal/controllerclient"
	"silvercove/internal/peertransport"
	"silvercove/internal/placement"
)

// maxLongPoll is the longest time that a call waits for a change; a longer timeout_ms is reduced to it.
const maxLongPoll = time.Minute

// longPoll is a call that waits for a change. Its release function must be called once.
type longPoll struct {
	leadership *leadership // the call ends when this leadership ends
	since      uint64      // version that the caller already has
	timer      *time.Timer // fires after the call's timeout
	release    func()      // stops timer and frees the call's slot in Controller.longPolls
}

// beginLongPoll reads "since" and "timeout_ms" from the query and takes a slot for a long poll. It refuses the call if another
// controller leads or no slot is free.
func (c *Controller) beginLongPoll(req call[struct{}]) (longPoll, error) {
	l, _, err := c.requireLeadership()
	if err != nil {
		return longPoll{}, err
	}
	since, err := queryNumber(req, "since")
	if err != nil {
		return longPoll{}, err
	}
	timeoutMS, err := queryNumber(req, "timeout_ms")
	if err != nil {
		return longPoll{}, err
	}
	select {
	case c.longPolls <- struct{}{}:
	default:
		return longPoll{}, refuse(http.StatusServiceUnavailable, "too many long polls are open")
	}
	timer := time.NewTimer(time.Duration(min(timeoutMS, uint64(maxLongPoll.Milliseconds()))) * time.Millisecond)
	release := func() {
		timer.Stop()
		<-c.longPolls
	}
	return longPoll{l, since, timer, release}, nil
}

// queryNumber reads a number from a call's query. A missing number is 0.
func queryNumber(req call[struct{}], name string) (uint64, error) {
	text := req.query.Get(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, refuse(http.StatusBadRequest, "%s: %.40q is not a number", name, text)
	}
	return number, nil
}

// coalesce waits for the given duration after a first change, so that one response contains all changes that occur in that
// time.
func (p longPoll) coalesce(req call[struct{}], wait time.Duration) {
	p.timer.Reset(wait)
	select {
	case <-p.timer.C:
	case <-req.ctx.Done():
	}
}

// handleAssignments waits until an assignment has changed since the caller's version, and returns the changes. After the
// timeout it returns no changes.
func (c *Controller) handleAssignments(req call[struct{}]) (controllerclient.AssignmentChanges, error) {
	var none controllerclient.AssignmentChanges
	poll, err := c.beginLongPoll(req)
	if err != nil {
		return none, err
	}
	defer poll.release()
	l := poll.leadership
	for {
		origin := c.stateMachine.lineage().OriginID
		if req.query.Has("birth") {
			origin = req.query.Get("birth")
		}
		changes, changed := c.stateMachine.changesSince(poll.since, origin)
		if changes.Version != poll.since || origin != changes.OriginID {
			return changes, nil
		}
		select {
		case <-changed:
			poll.coalesce(req, c.timings.AssignmentUpdateInterval.Duration())
		case <-poll.timer.C:
			changes.Complete = false
			changes.Assignments = []placement.Assignment{}
			return changes, nil
		case <-l.ended:
			_, _, err := c.requireLeadership()
			return changes, err
		case <-req.ctx.Done():
			return none, req.ctx.Err()
		}
	}
}

// handleNodes waits until an edge node has changed since the caller's version or the timeout has passed, and returns all edge
// nodes.
func (c *Controller) handleNodes(req call[struct{}]) (controllerclient.NodeList, error) {
	var none controllerclient.NodeList
	poll, err := c.beginLongPoll(req)
	if err != nil {
		return none, err
	}
	defer poll.release()
	l := poll.leadership
	for waited := false; ; {
		c.mu.Lock()
		if l.nodesVersion != poll.since || waited {
			list := c.nodeList(l)
			c.mu.Unlock()
			return list, nil
		}
		changed := l.nodesChanged
		c.mu.Unlock()
		select {
		case <-changed:
			poll.coalesce(req, min(c.timings.NodeUpdateInterval.Duration(), maxLongPoll))
			waited = true
		case <-poll.timer.C:
			waited = true
		case <-l.ended:
			if _, _, err := c.requireLeadership(); err != nil {
				return none, err
			}
			return none, raft.ErrLeadershipLost
		case <-req.ctx.Done():
			return none, req.ctx.Err()
		}
	}
}

// nodeList returns all edge nodes of the configuration file, sorted by name. It is called with mu held.
func (c *Controller) nodeList(l *leadership) controllerclient.NodeList {
	list := controllerclient.NodeList{Version: l.nodesVersion, Nodes: []controllerclient.Node{}}
	now := c.Now()
	for _, peer := range c.Network.Peers(peertransport.RoleEdge) {
		node := controllerclient.Node{Name: peer.Name}
		if request := l.nodes[peer.Name]; request != nil {
			node = nodeFromRequest(*request)
		}
		if node.Zone == "" {
			node.Zone = peer.Zone
		}
		if node.RequestAddress == "" {
			node.RequestAddress = peer.RequestAddress
		}
		_, node.HasLease = l.lessor.LeaseEnd(now, peer.Name)
		node.Accepting = node.Accepting && node.HasLease
		list.Nodes = append(list.Nodes, node)
	}
	slices.SortFunc(list.Nodes, func(a, b controllerclient.Node) int { return strings.Compare(a.Name, b.Name) })
	return list
}
