// Package routing connects a relay to its fleet. A Router follows the controllers' assignments of instances and their
// list of edge nodes, and passes both to the relay's dispatcher. While no controller answers, the last known
// assignments and edge nodes stay in effect. An OverloadAgent measures the relay's load, exchanges reports with the
// other relays, and is the dispatcher's fleet policy.
package routing
