package dispatch

// nameIndex numbers the names of a list of the settings by their places.
type nameIndex map[string]int

// newNameIndex takes a list of names. Of two with one name the last one counts.
func newNameIndex(names []string) nameIndex {
	index := make(nameIndex, len(names))
	for i, name := range names {
		index[name] = i
	}
	return index
}

// number is the place of a name. One that the list lacks is none of those there, least of all the first: it gets a number
// below 0 by its own letters.
func (x nameIndex) number(name string) int {
	if at, ok := x[name]; ok {
		return at
	}
	return -1 - int(hashKey(name)>>1)
}

// zoneNumber is the number of an endpoint's zone. Of an endpoint without one nobody knows which others drop the same
// repeated requests, so it gets a zone of its own.
func (d *Dispatcher) zoneNumber(e Endpoint) int {
	if _, listed := d.zones[e.Zone]; e.Zone == "" && !listed {
		return d.zones.number("\x00" + e.Name)
	}
	return d.zones.number(e.Zone)
}

// Parameters of FNV-1a with 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// hashKey tells keys apart (FNV-1a); 0 is no key.
func hashKey(name string) uint64 {
	if name == "" {
		return 0
	}
	hash := uint64(fnvOffset)
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * fnvPrime
	}
	return max(1, hash)
}
