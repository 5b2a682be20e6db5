package stagedrollout

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
)

// sortServers sorts the servers into the order in which they are assigned the newest version. The order differs between
// versions and is the same after each restart. It is spread evenly over zones and kinds of hardware: the first tenth of
// the servers has a tenth of each zone and kind. If a server joins the list, no other server loses its assignment.
func (r *Rollout) sortServers() {
	if r.ordered {
		return
	}
	r.ordered = true
	type group struct{ zone, kind string }
	groups := map[group][]*Server{}
	hashes := make(map[*Server]uint64, len(r.servers))
	for _, s := range r.servers {
		h := fnv.New64a()
		h.Write([]byte(strconv.Itoa(int(r.version)) + "/" + s.Name))
		hashes[s] = mixBits(h.Sum64())
		key := group{s.Zone, s.Kind}
		groups[key] = append(groups[key], s)
	}
	for _, members := range groups {
		slices.SortFunc(members, func(a, b *Server) int {
			return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(a.Name, b.Name))
		})
		// The offset keeps a server that is alone in its group from always getting rank 0, and thus from being among the
		// first to get each version.
		offset := float64(mixBits(hashes[members[0]])%1024) / 1024
		for i, s := range members {
			s.rank = (float64(i) + offset) / float64(len(members))
		}
	}
	slices.SortFunc(r.servers, func(a, b *Server) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(hashes[a], hashes[b]), cmp.Compare(a.Name, b.Name))
	})
}

// mixBits mixes the bits of a hash with the finalizer of MurmurHash3.
func mixBits(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
