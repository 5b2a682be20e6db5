package settings

import "silvercove/balancer"

// Site holds the settings that a site gives to each of its relays. It does not change while a relay runs, and callers
// must not modify it.
type Site struct {
	// Balancer holds the settings of the balancer.
	Balancer balancer.Settings
	// Zones are the names of the zones. No name occurs twice. An endpoint refers to its zone by name. If missing: no
	// zones.
	Zones []string
	// MachineKinds are the names of the kinds of machines. A name may occur twice. If missing: no kinds.
	MachineKinds []string
	// Tenants are the names of the tenants that the clients belong to. No name occurs twice. If missing: no tenants.
	Tenants []string
	// LoadColumns are the names of the values of a load report, in the order of the values. If missing: no names.
	LoadColumns []string
}
