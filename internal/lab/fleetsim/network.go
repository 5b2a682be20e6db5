package fleetsim

import (
	"silvercove/internal/tick"
)

// zone is where nodes, relays and devices are; what goes in or out of it shares one uplink.
type zone struct {
	name       string
	uplinkRate float64 // bytes a second
	busyUntil  tick.Tick
	lossRate   float64
	extraDelay tick.Tick // more delay
	nodes      []*edgeNode
	sunshine   float64
	partitions int // cuts of all that goes in or out
}

// endpoint is an end of the network's links: a process of any kind.
type endpoint struct {
	id       int
	name     string
	zone     *zone // nil: the controllers', with a good link to all
	outCuts  int   // cuts of all that it sends
	inCuts   int
	lossRate float64
}

func (f *Fleet) addEndpoint(name string, z *zone) *endpoint {
	n := &endpoint{id: len(f.endpoints), name: name, zone: z}
	f.endpoints = append(f.endpoints, n)
	f.endpointByName[name] = n
	return n
}

// isCut reports whether nothing passes from one node to another.
func (f *Fleet) isCut(from, to *endpoint) bool {
	if from.zone != to.zone && (from.zone != nil && from.zone.partitions > 0 || to.zone != nil &&
		to.zone.partitions > 0) {
		return true
	}
	return from.outCuts > 0 || to.inCuts > 0 || len(f.blockedLinks) > 0 && f.blockedLinks[[2]int{from.id, to.id}] > 0
}

// send brings something of so many bytes from one node to another, if it is not lost, after the links' delay.
func (f *Fleet) send(from, to *endpoint, size int, do func()) {
	if f.isCut(from, to) {
		return
	}
	delay, loss := milli/2+tick.Tick(f.rng.IntN(int(milli))), from.lossRate+to.lossRate
	if from.zone != to.zone {
		delay += 4 * milli
		for _, z := range [2]*zone{from.zone, to.zone} {
			if z == nil {
				continue
			}
			z.busyUntil = max(z.busyUntil, f.now) + tick.Tick(float64(size)/z.uplinkRate*float64(tick.Second))
			wait := z.busyUntil - f.now
			if wait > 2*tick.Second { // a full buffer
				z.busyUntil -= tick.Tick(float64(size) / z.uplinkRate * float64(tick.Second))
				return
			}
			delay += z.extraDelay + wait
			loss += z.lossRate
		}
	}
	if loss > 0 {
		chance := f.rng.Float64()
		if chance < loss {
			return
		}
		if chance > 0.9 { // sent again below: it may be overtaken by much
			delay += tick.Tick(f.rng.IntN(int(2 * f.Lease * float64(tick.Second))))
		}
	}
	f.after(delay, do)
}
