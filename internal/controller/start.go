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

// startDecision is what one look at the other controllers says of the start of this one.
type startDecision uint8

const (
	startLater    startDecision = iota // it has to wait, and look again
	startNow                           // its disk may take part in the log
	storeOutdated                      // its disk lacks what was confirmed on it, and must not take part
)

// awaitStart waits until this disk may take part in the log. outdated means that it must not, as it lacks what was confirmed
// on it. last is the last entry that it has.
//
// Guards against a majority of emptied or outdated disks that agrees on another past. Holds because:
//   - A disk that has not started begins a log only with all other controllers of the file, none of which has started, or
//     where the log's origin names its identity. Else the leader admits it, and first takes the former disk of its name out of
//     the voters, for which a majority of those that are left must have their logs.
//   - A disk that has started asks as many others as make a majority with it, without which it could do nothing anyway.
//
// What it can't see: that all which knew better are away or have restarted. Then the log goes back behind what another
// controller has applied, which tells it, and ends (ErrLogWentBack).
func (c *Controller) awaitStart(ctx context.Context, last controllerclient.LogPosition) (outdated bool, err error) {
	marker := c.disk.currentMarker()
	if len(c.peers) == 0 && marker.Origin == nil {
		origin := &controllerclient.LogOrigin{ID: newIdentity(), Stores: map[string]string{c.name: marker.StoreID}}
		return false, c.putOrigin(marker, origin, true, 0)
	}
	defer c.setWaitReason("")
	for ; ; c.pauseBeforeRetry(ctx) {
		if ctx.Err() != nil {
			return false, ctx.Err()
		}
		statuses, unreachable := c.peerStatuses(ctx)
		var decision startDecision
		if marker.Origin != nil {
			decision, err = c.decideStarted(marker, last, statuses, unreachable)
		} else {
			decision, err = c.decideEmpty(ctx, marker, statuses, unreachable)
		}
		if err != nil {
			return false, err
		}
		switch decision {
		case startNow:
			return false, nil
		case storeOutdated:
			return true, nil
		}
	}
}

// putOrigin writes to the marker of which log the disk is.
func (c *Controller) putOrigin(marker storeMarker, origin *controllerclient.LogOrigin, founding bool, generation uint64) error {
	marker.Origin = origin
	marker.Founding = founding
	marker.Generation = generation
	return c.disk.putMarker(marker)
}

// decideStarted decides for a disk that is of a log already.
func (c *Controller) decideStarted(marker storeMarker, last controllerclient.LogPosition, statuses []controllerclient.Status,
	unreachable []string) (startDecision, error) {

	// A controller from before a rebuild, which was stopped or cut off during it, does not count, and must not keep this one
	// from its start; it ends at its own.
	statuses = slices.DeleteFunc(statuses, func(s controllerclient.Status) bool {
		return s.Origin != nil && s.Origin.ID != marker.Origin.ID && s.Generation < marker.Generation
	})
	for _, s := range statuses {
		switch {
		case s.Origin != nil && s.Origin.ID != marker.Origin.ID:
			return startLater, fmt.Errorf("%s is of a log that began as %s, this disk's began as %s: one of them is not of this fleet",
				s.Node, s.Origin.ID, marker.Origin.ID)
		case s.StoreIDs[c.name] != "" && s.StoreIDs[c.name] != marker.StoreID, s.LogPositions[c.name].Later(last):
			return storeOutdated, nil
		}
	}
	if majority := (len(c.peers)+1)/2 + 1; len(statuses)+1 >= majority {
		return startNow, nil
	}
	c.setWaitReason("for word of a majority of keepers: " + strings.Join(unreachable, ", "))
	return startLater, nil
}

// decideEmpty decides for a disk that is of no log yet: it finds its identity in the log's origin, is admitted to a log that
// others have, or begins one with all others.
func (c *Controller) decideEmpty(ctx context.Context, marker storeMarker, statuses []controllerclient.Status,
	unreachable []string) (startDecision, error) {

	var origin *controllerclient.LogOrigin
	var generation uint64
	for _, s := range statuses {
		if s.Origin != nil && s.Generation >= generation {
			origin, generation = s.Origin, s.Generation
		}
	}
	switch {
	case origin != nil && origin.Stores[c.name] == marker.StoreID:
		return startNow, c.putOrigin(marker, origin, true, generation)
	case origin != nil:
		response, err := c.requestJoin(ctx, false)
		if err != nil {
			c.setWaitReason("this disk is empty, and the fleet has begun: to be let in again: " + err.Error())
			return startLater, nil
		}
		c.minTerm = response.Term
		return startNow, c.putOrigin(marker, response.Origin, false, response.Generation)
	case len(unreachable) > 0:
		c.setWaitReason("to begin with all keepers: " + strings.Join(unreachable, ", "))
		return startLater, nil
	}
	return c.decideFounding(marker, statuses)
}

// decideFounding decides once all controllers answer and none has started: the first one by name draws the log's origin, and
// the others find themselves in it.
func (c *Controller) decideFounding(marker storeMarker, statuses []controllerclient.Status) (startDecision, error) {
	names := append([]string{c.name}, c.peers...)
	slices.Sort(names)
	stores := map[string]string{c.name: marker.StoreID}
	for _, s := range statuses {
		if !slices.Equal(s.Controllers, names) {
			c.setWaitReason(fmt.Sprintf("to begin: %s has a file with the keepers %v, this one has %v", s.Node, s.Controllers, names))
			return startLater, nil
		}
		stores[s.Node] = s.StoreID
	}
	if names[0] == c.name {
		return startNow, c.putOrigin(marker, &controllerclient.LogOrigin{ID: newIdentity(), Stores: stores}, true, 0)
	}
	c.setWaitReason("for " + names[0] + " to begin")
	return startLater, nil
}

// pauseBeforeRetry waits a moment, or until the context ends.
func (c *Controller) pauseBeforeRetry(ctx context.Context) {
	timer := time.NewTimer(c.timings.ConfirmTimeout.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// setWaitReason notes why this controller does not take part in the log yet, "": it does.
func (c *Controller) setWaitReason(reason string) {
	c.mu.Lock()
	before := c.waitReason
	c.waitReason = reason
	c.mu.Unlock()
	if reason != before && reason != "" {
		c.Log.Info().Str("event", "waits").Str("why", "waits "+reason).Msg("start delayed")
	}
}

// peerStatuses asks all other controllers for their status at once. silent says of each that did not answer that it did not.
func (c *Controller) peerStatuses(ctx context.Context) (statuses []controllerclient.Status, unreachable []string) {
	ctx, cancel := context.WithTimeout(ctx, c.timings.ConfirmTimeout.Duration())
	defer cancel()
	answers := make([]controllerclient.Status, len(c.peers))
	errs := make([]error, len(c.peers))
	var group sync.WaitGroup
	for i, name := range c.peers {
		group.Go(func() { answers[i], errs[i] = c.client.Status(ctx, name) })
	}
	group.Wait()
	for i, name := range c.peers {
		if errs[i] != nil {
			unreachable = append(unreachable, name+" is silent")
		} else {
			statuses = append(statuses, answers[i])
		}
	}
	return statuses, unreachable
}
