// Package routing joins a relay to its fleet. A Router follows where the controllers say that instances run and which edge
// nodes there are, and hands both to the relay's dispatcher; while no controller answers, what was told last stands. An
// OverloadAgent measures the relay's load, exchanges reports with the other relays, and is the dispatcher's fleet policy.
package routing
