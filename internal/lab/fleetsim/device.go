package fleetsim

import (
	"cmp"
	"slices"

	"silvercove/internal/tick"
)

// device is a device with its instance, and what is known of its requests.
type device struct {
	fleet      *Fleet
	name       string
	zone       *zone
	weight     float64
	poisoned   bool        // fells each node that acts for it
	interested []*edgeNode // those that ever had to do with it
	primaries  []ownership // the last ones, for relays whose assignments lag behind
	requestHistory
}

// ownership says who owned an instance from a moment on, "" for nobody.
type ownership struct {
	at   tick.Tick
	node string
}

// addInterested has a node notified of the instance's changes from now on.
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
