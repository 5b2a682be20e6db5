package migration

import "silvercove/internal/tick"

// Defaults of the settings, as in the operator's file.
const (
	DefaultLease           = tick.Second
	DefaultDwell           = 5 * tick.Second
	DefaultRestartAfter    = 10 * tick.Second
	DefaultReplicas        = 1
	DefaultRemoteReplicas  = 0
	DefaultMaxFailures     = 3
	DefaultMaxMovesPerNode = 8
	DefaultMaxMovesPerLink = 4
	DefaultMaxMoves        = 64
)

// Config says what a planner works by. Each field names its setting in the operator's block fleet.
type Config struct {
	Lease           tick.Tick // span of a node's lease, above 0: lease
	Dwell           tick.Tick // an instance stays at least so long before it follows its device again: dwell
	RestartAfter    tick.Tick // a lost instance goes on from an older copy after so long: restart_after
	Replicas        int       // that each instance is to have: copies
	RemoteReplicas  int       // of these those in another zone than the primary's, at most Replicas: away
	MaxFailures     int       // primaries of an instance that fail in a row; then it is quarantined: falls
	MaxMovesPerNode int       // under way from and to one node: the first of moves
	MaxMovesPerLink int       // under way between two zones: the second of moves
	MaxMoves        int       // under way in all: the third of moves
}

// ConfigFrom returns the configuration by the settings of the block fleet, which are named "fleet.lease" and so on, with
// spans in seconds. The three of moves are "fleet.moves.unit", "fleet.moves.link" and "fleet.moves.all". Those that are
// absent have their defaults.
func ConfigFrom(settings map[string]any) Config {
	span := func(name string, absent tick.Tick) tick.Tick {
		if seconds, ok := settings[name].(float64); ok {
			return tick.Tick(seconds * float64(tick.Second))
		}
		return absent
	}
	count := func(name string, absent int) int {
		if n, ok := settings[name].(float64); ok {
			return int(n)
		}
		return absent
	}
	config := Config{
		Lease:           max(1, span("fleet.lease", DefaultLease)),
		Dwell:           span("fleet.dwell", DefaultDwell),
		RestartAfter:    span("fleet.restart_after", DefaultRestartAfter),
		Replicas:        count("fleet.copies", DefaultReplicas),
		RemoteReplicas:  count("fleet.away", DefaultRemoteReplicas),
		MaxFailures:     count("fleet.falls", DefaultMaxFailures),
		MaxMovesPerNode: count("fleet.moves.unit", DefaultMaxMovesPerNode),
		MaxMovesPerLink: count("fleet.moves.link", DefaultMaxMovesPerLink),
		MaxMoves:        count("fleet.moves.all", DefaultMaxMoves),
	}
	config.RemoteReplicas = min(config.Replicas, config.RemoteReplicas)
	return config
}
