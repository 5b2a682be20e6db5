package dispatch

// nameIndex maps the names of a list in the settings to their indexes in the list.
type nameIndex map[string]int

// newNameIndex indexes a list of names. A name that occurs twice gets the index of its last occurrence.
func newNameIndex(names []string) nameIndex {
	index := make(nameIndex, len(names))
	for i, name := range names {
		index[name] = i
	}
	return index
}

// number returns the index of a name. A name that is not in the list must not be taken for a listed name, such as
// the first one, so number returns a negative number that is derived from the name's hash.
func (x nameIndex) number(name string) int {
	if index, ok := x[name]; ok {
		return index
	}
	return -1 - int(hashKey(name)>>1)
}

// zoneNumber returns the number of an endpoint's zone. Endpoints of one zone recognise a repeat of a request that one of
// them got. An endpoint without a zone gets a zone of its own, because no other endpoint is known to do so.
func (d *Dispatcher) zoneNumber(e Endpoint) int {
	if _, listed := d.zones[e.Zone]; e.Zone == "" && !listed {
		return d.zones.number("\x00" + e.Name)
	}
	return d.zones.number(e.Zone)
}

// Parameters of 64-bit FNV-1a.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// hashKey hashes a key with FNV-1a. Only the empty key, which means that a request has no key, has the hash 0.
func hashKey(key string) uint64 {
	if key == "" {
		return 0
	}
	hash := uint64(fnvOffset)
	for i := range len(key) {
		hash = (hash ^ uint64(key[i])) * fnvPrime
	}
	return max(1, hash)
}
