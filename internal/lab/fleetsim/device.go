package fleetsim

import (
	"cmp"
	"slices"

	"silvercove/internal/tick"
)

// device is a simulated device with its instance and the history of its requests.
type device struct {
	fleet      *Fleet
	name       string
	zone       *zone
	weight     float64
	poisoned   bool        // whether the device's instance crashes each node that serves it
	interested []*edgeNode // nodes that are or were in the instance's assignment, sorted by id
	primaries  []ownership // the last primaries, at most 6; a relay that lacks the newest assignment routes to an earlier primary
	requestHistory
}

// ownership records that a node became the primary of an instance at a time. node is "" if the instance then had no primary.
type ownership struct {
	at   tick.Tick
	node string
}

// addInterested adds a node to the nodes that are notified of changes of the instance's assignment. It ignores nil.
func (c *device) addInterested(u *edgeNode) {
	if u == nil {
		return
	}
	if i, there := slices.BinarySearchFunc(c.interested, u, func(a, b *edgeNode) int {
		return cmp.Compare(a.id,
			b.id)
	}); !there {
		c.interested = slices.Insert(c.interested, i, u)
	}
}
