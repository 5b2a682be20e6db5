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

// startDecision is the decision whether raft may run on this controller's disk (see awaitStart). It results from one round of
// status queries to the other controllers.
type startDecision uint8

const (
	startLater startDecision = iota // the decision is not possible yet: the controller queries the other controllers again
	startNow                        // raft may run on the disk
	// storeOutdated means that raft must not run on the disk. Either the disk lacks entries that it had acknowledged, or
	// another disk of this controller was admitted later.
	storeOutdated
)

// awaitStart waits until this disk may take part in the log, that is, until raft may run on the disk. last is the position of
// the disk's last entry. outdated is true if the disk must not take part, see storeOutdated.
//
// The wait keeps a majority of emptied or outdated disks from agreeing on a different history. Two rules ensure that:
//   - An empty disk creates a log only if all other controllers in the configuration file answer and none belongs to a log, or
//     if LogOrigin.Stores of an existing log contains the disk's identity. Otherwise the leader has to admit the disk. The
//     leader first removes the former disk of this controller from the voters. A majority of the remaining voters, which have
//     their logs, has to agree on the removal.
//   - A disk that belongs to a log waits until enough other controllers answer to form a majority with this one. Without a
//     majority, this controller could not make progress anyway.
//
// awaitStart can't detect an outdated disk if all controllers that have recorded its later entries (positionTransport) are
// unreachable or have restarted. The log may then end before an entry that another controller has applied. That controller
// detects the missing entry and stops with ErrLogWentBack.
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

// putOrigin writes the origin and the generation of the disk's log to the marker. The parameter founding is the value for
// storeMarker.Founding.
func (c *Controller) putOrigin(marker storeMarker, origin *controllerclient.LogOrigin, founding bool, generation uint64) error {
	marker.Origin = origin
	marker.Founding = founding
	marker.Generation = generation
	return c.disk.putMarker(marker)
}

// decideStarted decides whether raft may run on a disk that already belongs to a log.
func (c *Controller) decideStarted(marker storeMarker, last controllerclient.LogPosition, statuses []controllerclient.Status,
	unreachable []string) (startDecision, error) {

	// Statuses of controllers whose disk is from before a rebuild are ignored, so that these controllers do not keep this one
	// from starting. They were stopped or partitioned during the rebuild. decideStarted fails at these controllers, because
	// their log has another origin than the log of the rebuilt controllers.
	statuses = slices.DeleteFunc(statuses, func(s controllerclient.Status) bool {
		return s.Origin != nil && s.Origin.ID != marker.Origin.ID && s.Generation < marker.Generation
	})
	for _, s := range statuses {
		switch {
		case s.Origin != nil && s.Origin.ID != marker.Origin.ID:
			return startLater, fmt.Errorf(
				"%s belongs to the log with origin %s, this disk to the log with origin %s: one of them is not of this fleet",
				s.Node, s.Origin.ID, marker.Origin.ID)
		case s.StoreIDs[c.name] != "" && s.StoreIDs[c.name] != marker.StoreID, s.LogPositions[c.name].Later(last):
			return storeOutdated, nil
		}
	}
	if majority := (len(c.peers)+1)/2 + 1; len(statuses)+1 >= majority {
		return startNow, nil
	}
	c.setWaitReason("for answers from a majority of the controllers: " + strings.Join(unreachable, ", "))
	return startLater, nil
}

// decideEmpty decides whether raft may run on a disk that belongs to no log yet. Raft may run if LogOrigin.Stores of an existing
// log contains the disk's identity, or if the leader of an existing log admits the disk. If no controller belongs to a log, the
// controllers create one (decideFounding).
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
			c.setWaitReason("to be admitted with an empty disk, as the fleet's log exists: " + err.Error())
			return startLater, nil
		}
		c.minTerm = response.Term
		return startNow, c.putOrigin(marker, response.Origin, false, response.Generation)
	case len(unreachable) > 0:
		c.setWaitReason("for all controllers, to create the log: " + strings.Join(unreachable, ", "))
		return startLater, nil
	}
	return c.decideFounding(marker, statuses)
}

// decideFounding decides whether raft may run on this disk with a new log. It is called if all controllers answer and none
// belongs to a log yet. The controller whose name sorts first creates the log's origin, whose field Stores contains the identities of
// all controllers' disks. The other controllers wait until a later status query returns that origin.
func (c *Controller) decideFounding(marker storeMarker, statuses []controllerclient.Status) (startDecision, error) {
	names := append([]string{c.name}, c.peers...)
	slices.Sort(names)
	stores := map[string]string{c.name: marker.StoreID}
	for _, s := range statuses {
		if !slices.Equal(s.Controllers, names) {
			c.setWaitReason(fmt.Sprintf("for equal configurations: %s lists the controllers %v, this one lists %v",
				s.Node, s.Controllers, names))
			return startLater, nil
		}
		stores[s.Node] = s.StoreID
	}
	if names[0] == c.name {
		return startNow, c.putOrigin(marker, &controllerclient.LogOrigin{ID: newIdentity(), Stores: stores}, true, 0)
	}
	c.setWaitReason("for " + names[0] + " to create the log")
	return startLater, nil
}

// pauseBeforeRetry waits for the duration ConfirmTimeout, or until the context ends.
func (c *Controller) pauseBeforeRetry(ctx context.Context) {
	timer := time.NewTimer(c.timings.ConfirmTimeout.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// setWaitReason records what this controller waits for before raft may run on its disk. The reason is the text that follows
// "waiting" in the log line, or "" if the controller does not wait. setWaitReason logs a reason that differs from the recorded
// one.
func (c *Controller) setWaitReason(reason string) {
	c.mu.Lock()
	before := c.waitReason
	c.waitReason = reason
	c.mu.Unlock()
	if reason != before && reason != "" {
		c.Log.Info().Str("event", "waits").Str("why", "waiting "+reason).Msg("start delayed")
	}
}

// peerStatuses queries the status of all other controllers in parallel. unreachable contains one message for each controller
// that did not answer.
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
			unreachable = append(unreachable, name+" is unreachable")
		} else {
			statuses = append(statuses, answers[i])
		}
	}
	return statuses, unreachable
}
