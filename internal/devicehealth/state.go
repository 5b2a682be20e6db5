package devicehealth

// State is what an edge node does with instances.
type State string

// The states of an edge node, the strongest first. Their values are part of the report's form.
const (
	StateAccepting    State = "accepts"  // takes new instances
	StateLimited      State = "trickle"  // takes a few of them
	StateHolding      State = "keeps"    // serves those it has, takes no new ones
	StateEvacuating   State = "hands-on" // its instances are to go, the most important first
	StateShuttingDown State = "leaves"   // it ends, on purpose or because it has to
)

// level orders the states, the weakest first. What several things allow is the lowest of their levels.
type level int

const (
	levelUnknown level = iota - 1
	levelShuttingDown
	levelEvacuating
	levelHolding
	levelLimited
	levelAccepting
)

// states are the states by level.
var states = []State{StateShuttingDown, StateEvacuating, StateHolding, StateLimited, StateAccepting}

// acceptFractions are the shares of its places that a node offers to new instances, by level. A node that is limited
// offers a tenth: enough to see outcomes, too little to exhaust the node.
var acceptFractions = []float64{0, 0, 0, 0.1, 1}

func (l level) state() State { return states[l] }

func (l level) acceptFraction() float64 { return acceptFractions[l] }

// level is levelUnknown for a state of no known name.
func (s State) level() level {
	for i, known := range states {
		if s == known {
			return level(i)
		}
	}
	return levelUnknown
}
