package migration

import "silvercove/internal/tick"

// Defaults of the settings, as in the operator's file. Spans are in seconds.
const (
	defaultLease           = 1
	defaultDwell           = 5
	defaultRestartAfter    = 10
	defaultReplicas        = 1
	defaultRemoteReplicas  = 0
	defaultMaxFailures     = 3
	defaultMaxMovesPerNode = 8
	defaultMaxMovesPerLink = 4
	defaultMaxMoves        = 64
)

// settings are those of the operator's block fleet that a planner works by.
type settings struct {
	lease           tick.Tick // span of a node's lease
	dwell           tick.Tick // an instance stays at least so long before it follows its device again
	restartAfter    tick.Tick // a lost instance goes on from an older copy after so long
	replicas        int       // wanted of each instance
	remoteReplicas  int       // of these those in another zone than the primary's; at most replicas
	maxFailures     int       // primaries in a row that fail; then an instance is quarantined
	maxMovesPerNode int
	maxMovesPerLink int
	maxMoves        int
}

func newSettings(fleet map[string]any) settings {
	number := func(name string, absent float64) float64 {
		if v, ok := fleet["fleet."+name].(float64); ok {
			return v
		}
		return absent
	}
	span := func(name string, absent float64) tick.Tick {
		return tick.Tick(number(name, absent) * float64(tick.Second))
	}
	s := settings{
		lease:           max(1, span("lease", defaultLease)),
		dwell:           span("dwell", defaultDwell),
		restartAfter:    span("restart_after", defaultRestartAfter),
		replicas:        int(number("copies", defaultReplicas)),
		remoteReplicas:  int(number("away", defaultRemoteReplicas)),
		maxFailures:     int(number("falls", defaultMaxFailures)),
		maxMovesPerNode: int(number("moves.unit", defaultMaxMovesPerNode)),
		maxMovesPerLink: int(number("moves.link", defaultMaxMovesPerLink)),
		maxMoves:        int(number("moves.all", defaultMaxMoves)),
	}
	s.remoteReplicas = min(s.replicas, s.remoteReplicas)
	return s
}
