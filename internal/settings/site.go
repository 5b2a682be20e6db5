package settings

import "silvercove/balancer"

// Site holds the settings that a site gives to each of its relays at the start. It does not change while a relay runs, and
// callers must not modify it.
type Site struct {
	// Balancer holds the settings of the balancer.
	Balancer balancer.Settings
	// Zones are the names of the zones, each of them unique. The endpoints of a relay name their zone. Missing: none.
	Zones []string
	// MachineKinds are the names of the kinds of machines; a name may occur twice. Missing: none.
	MachineKinds []string
	// Tenants are the names of the tenants that the clients belong to, each of them unique. Missing: none.
	Tenants []string
	// LoadColumns are the names of the values of a load report, in order. Missing: none.
	LoadColumns []string
}
