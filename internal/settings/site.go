package settings

import "silvercove/balancer"

// Site is what a site tells each of its relays at the start. It does not change while a relay runs, and must not be
// changed by its readers.
type Site struct {
	// Balancer is what the balancer decides by.
	Balancer balancer.Settings
	// Zones are the names of the zones; no two are alike. Endpoints name the zone that they are in. Missing: none.
	Zones []string
	// MachineKinds are the names of the kinds of machines. Missing: none.
	MachineKinds []string
	// Tenants are the names of those whom the clients belong to; no two are alike. Missing: none.
	Tenants []string
	// LoadColumns are the names of the values of a load report, in their order. Missing: none.
	LoadColumns []string
}
