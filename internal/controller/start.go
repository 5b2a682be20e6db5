package controller

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"silvercove/internal/controllerclient"
)

// awaitStart waits until this disk may take part in the agreed log; old says that it must not, as it lacks what was confirmed
// on it.
//
// It guards against a majority of emptied or old disks that agrees on another past. A disk that has not begun begins
// only with all other keepers of the file, none of which has begun, or if the birth names its identity; else the
// leading keeper lets it in, which first takes its former disk out of the agreed voters: for that a majority of those
// that are left have to have their logs. A disk that has begun asks as many others as make a majority with it, without
// which it could do nothing anyway. What it can't see: all that knew better are away or restarted. Then the log goes
// back behind what another keeper has carried out, which that one tells, and ends (ErrBack).
func (c *Controller) awaitStart(ctx context.Context, last controllerclient.LogPosition) (old bool, err error) {
	m := c.disk.currentMarker()
	begins := func(b *controllerclient.LogOrigin, found bool, line uint64) error {
		m.Origin, m.Founding, m.Generation = b, found, line
		return c.disk.putMarker(m)
	}
	if len(c.peers) == 0 && m.Origin == nil {
		return false, begins(&controllerclient.LogOrigin{ID: newIdentity(), Stores: map[string]string{c.name: m.StoreID}}, true, 0)
	}
	defer c.setWaitReason("")
	for ; ; c.pauseBeforeRetry(ctx) {
		if ctx.Err() != nil {
			return false, ctx.Err()
		}
		all, silent := c.peerStatuses(ctx)
		if m.Origin != nil {
			// One of before a rebuild, which was stopped or cut off through it, has no say, and must not keep this one from
			// its start; it ends at its own.
			all = slices.DeleteFunc(all, func(s controllerclient.Status) bool {
				return s.Origin != nil && s.Origin.ID != m.Origin.ID && s.Generation < m.Generation
			})
			for _, s := range all {
				switch {
				case s.Origin != nil && s.Origin.ID != m.Origin.ID:
					return false, fmt.Errorf("%s is of a log that began as %s, this disk's began as %s: one of them is not of "+
						"this fleet", s.Node, s.Origin.ID, m.Origin.ID)
				case s.StoreIDs[c.name] != "" && s.StoreIDs[c.name] != m.StoreID, s.LogPositions[c.name].Later(last):
					return true, nil
				}
			}
			if need := (len(c.peers)+1)/2 + 1; len(all)+1 >= need {
				return false, nil
			}
			c.setWaitReason("for word of a majority of keepers: " + strings.Join(silent, ", "))
			continue
		}
		var birth *controllerclient.LogOrigin
		var line uint64
		for _, s := range all {
			if s.Origin != nil && s.Generation >= line {
				birth, line = s.Origin, s.Generation
			}
		}
		switch {
		case birth != nil && birth.Stores[c.name] == m.StoreID:
			return false, begins(birth, true, line)
		case birth != nil:
			answer, err := c.requestJoin(ctx, false)
			if err != nil {
				c.setWaitReason("this disk is empty, and the fleet has begun: to be let in again: " + err.Error())
				continue
			}
			c.minTerm = answer.Term
			return false, begins(answer.Origin, false, answer.Generation)
		case len(silent) > 0:
			c.setWaitReason("to begin with all keepers: " + strings.Join(silent, ", "))
			continue
		}
		names := append([]string{c.name}, c.peers...)
		slices.Sort(names)
		stores := map[string]string{c.name: m.StoreID}
		for _, s := range all {
			if stores[s.Node] = s.StoreID; !slices.Equal(s.Controllers, names) {
				c.setWaitReason(fmt.Sprintf("to begin: %s has a file with the keepers %v, this one has %v", s.Node, s.Controllers, names))
				stores = nil
				break
			}
		}
		switch {
		case stores == nil:
		case names[0] == c.name: // one alone draws the birth, and the others find themselves in it
			return false, begins(&controllerclient.LogOrigin{ID: newIdentity(), Stores: stores}, true, 0)
		default:
			c.setWaitReason("for " + names[0] + " to begin")
		}
	}
}

func (c *Controller) pauseBeforeRetry(ctx context.Context) {
	timer := time.NewTimer(c.timings.ConfirmTimeout.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// setWaitReason notes why this keeper does not take part yet.
func (c *Controller) setWaitReason(why string) {
	c.mu.Lock()
	was := c.waitReason
	c.waitReason = why
	c.mu.Unlock()
	if why != was && why != "" {
		c.Log.Info().Str("event", "waits").Msg("waits " + why)
	}
}

// peerStatuses has the status of all other keepers, and why others are silent.
func (c *Controller) peerStatuses(ctx context.Context) (all []controllerclient.Status, silent []string) {
	ctx, cancel := context.WithTimeout(ctx, c.timings.ConfirmTimeout.Duration())
	defer cancel()
	got := make([]controllerclient.Status, len(c.peers))
	errs := make([]error, len(c.peers))
	var group sync.WaitGroup
	for i, name := range c.peers {
		group.Go(func() { got[i], errs[i] = c.client.Status(ctx, name) })
	}
	group.Wait()
	for i, name := range c.peers {
		if errs[i] != nil {
			silent = append(silent, name+" is silent")
		} else {
			all = append(all, got[i])
		}
	}
	return all, silent
}
