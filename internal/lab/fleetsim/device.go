package fleetsim

import (
	"cmp"
	"slices"

	"silvercove/internal/tick"
)

// device is a device with its instance and the history of its requests.
type device struct {
	fleet      *Fleet
	name       string
	zone       *zone
	weight     float64
	poisoned   bool        // the device's instance crashes each node that serves the instance
	interested []*edgeNode // nodes that ever had a part in the instance's assignment; sorted by id
	primaries  []ownership // the last few primaries, for relays that have not received the newest assignment
	requestHistory
}

// ownership is the primary of an instance from a time on; "" if it has none.
type ownership struct {
	at   tick.Tick
	node string
}

// addInterested adds a node to those that are notified of changes of the instance's assignment.
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
