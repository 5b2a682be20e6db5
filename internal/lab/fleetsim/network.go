package fleetsim

import (
	"silvercove/internal/tick"
)

// zone is a network zone of nodes, relays and devices. All traffic into or out of it shares one uplink.
type zone struct {
	name       string
	uplinkRate float64 // rate of the uplink in bytes per second
	busyUntil  tick.Tick
	lossRate   float64
	extraDelay tick.Tick // delay that faults add to messages into and out of the zone
	nodes      []*edgeNode
	sunshine   float64
	partitions int // number of faults under way that cut the zone off from everything outside
}

// endpoint is the network address of a simulated process.
type endpoint struct {
	id       int
	name     string
	zone     *zone // nil for controllers: they are in no zone, so their messages pass only the uplink of the other endpoint's zone
	outCuts  int   // number of faults under way that drop everything that the process sends
	inCuts   int   // number of faults under way that drop everything sent to the process
	lossRate float64
}

func (f *Fleet) addEndpoint(name string, z *zone) *endpoint {
	n := &endpoint{id: len(f.endpoints), name: name, zone: z}
	f.endpoints = append(f.endpoints, n)
	f.endpointByName[name] = n
	return n
}

// isCut reports whether faults block all messages from one endpoint to another.
func (f *Fleet) isCut(from, to *endpoint) bool {
	if from.zone != to.zone && (from.zone != nil && from.zone.partitions > 0 || to.zone != nil &&
		to.zone.partitions > 0) {
		return true
	}
	return from.outCuts > 0 || to.inCuts > 0 || len(f.blockedLinks) > 0 && f.blockedLinks[[2]int{from.id, to.id}] > 0
}

// send sends a message of size bytes from one endpoint to another. Unless the message is lost, it calls do after the delay of
// the links.
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
			if wait > 2*tick.Second { // the queue of the uplink is full, and the message is dropped
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
		if chance > 0.9 { // the message is delayed as if the transport retransmitted it; messages that are sent much later may overtake it
			delay += tick.Tick(f.rng.IntN(int(2 * f.Lease * float64(tick.Second))))
		}
	}
	f.after(delay, do)
}
