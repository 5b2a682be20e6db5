package migration

import "silvercove/internal/tick"

// Defaults of the settings in the operator's file.
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

// Config holds a planner's settings. Each field's comment names the setting in the fleet block of the operator's file. A move
// is a migration of an instance or a copy that makes a replica.
type Config struct {
	Lease           tick.Tick // duration of a node's lease, above 0 (setting lease)
	Dwell           tick.Tick // minimum time that an instance stays after a migration before it follows its device again (setting dwell)
	RestartAfter    tick.Tick // time after which a lost instance restarts from an older copy (setting restart_after)
	Replicas        int       // number of replicas that each instance should have (setting copies)
	RemoteReplicas  int       // how many of the Replicas should be in a zone other than the primary's (setting away)
	MaxFailures     int       // number of consecutive primaries that fail while they run an instance before it is quarantined (setting falls)
	MaxMovesPerNode int       // limit on the moves from and to one node that are in progress or proposed (first value of the setting moves)
	MaxMovesPerLink int       // limit on the moves between two zones that are in progress or proposed (second value of the setting moves)
	MaxMoves        int       // limit on all moves that are in progress or proposed (third value of the setting moves)
}

// ConfigFrom returns the configuration from the settings of the fleet block, which are keyed "fleet.lease" and so on, with
// durations in seconds. The three values of moves are keyed "fleet.moves.unit", "fleet.moves.link" and "fleet.moves.all".
// Absent settings have their defaults.
func ConfigFrom(settings map[string]any) Config {
	duration := func(name string, defaultValue tick.Tick) tick.Tick {
		if seconds, ok := settings[name].(float64); ok {
			return tick.Tick(seconds * float64(tick.Second))
		}
		return defaultValue
	}
	count := func(name string, defaultValue int) int {
		if n, ok := settings[name].(float64); ok {
			return int(n)
		}
		return defaultValue
	}
	config := Config{
		Lease:           max(1, duration("fleet.lease", DefaultLease)),
		Dwell:           duration("fleet.dwell", DefaultDwell),
		RestartAfter:    duration("fleet.restart_after", DefaultRestartAfter),
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
