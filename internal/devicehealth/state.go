package devicehealth

// State says whether an edge node takes, holds or evacuates instances.
type State string

// The states of an edge node, the healthiest first. The values are part of the JSON form of a report.
const (
	StateAccepting    State = "accepts"  // takes new instances
	StateLimited      State = "trickle"  // takes a few new instances
	StateHolding      State = "keeps"    // serves the instances it has, takes no new ones
	StateEvacuating   State = "hands-on" // its instances must migrate to other nodes, those of the highest priority weight first
	StateShuttingDown State = "leaves"   // the node shuts down, because it was told to or because power or heat leaves no time for migrations
)

// level orders the states, the least healthy first. If several constraints apply, the lowest level counts.
type level int

const (
	levelUnknown level = iota - 1
	levelShuttingDown
	levelEvacuating
	levelHolding
	levelLimited
	levelAccepting
)

// states lists the states by level.
var states = []State{StateShuttingDown, StateEvacuating, StateHolding, StateLimited, StateAccepting}

// acceptFractions lists, by level, the fraction of a node's instance slots that is open to new instances. For a limited
// node it is a tenth of the slots: enough to see outcomes of requests, too little to overload the node.
var acceptFractions = []float64{0, 0, 0, 0.1, 1}

func (l level) state() State { return states[l] }

func (l level) acceptFraction() float64 { return acceptFractions[l] }

// level returns the level of a state, or levelUnknown if the state is not one of states.
func (s State) level() level {
	for i, known := range states {
		if s == known {
			return level(i)
		}
	}
	return levelUnknown
}
