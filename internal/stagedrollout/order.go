package stagedrollout

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
)

// sortServers sorts the fleet by the order of the package: drawn for each package anew, the same at every start,
// and spread evenly over zones and kinds, so that the first tenth has a tenth of each. Servers that
// were told stay told whatever comes in before them.
func (w *Rollout) sortServers() {
	if w.ordered {
		return
	}
	w.ordered = true
	groups := map[[2]string][]*Server{}
	drawn := make(map[*Server]uint64, len(w.servers))
	for _, s := range w.servers {
		h := fnv.New64a()
		h.Write([]byte(strconv.Itoa(int(w.version)) + "/" + s.Name))
		drawn[s] = mixBits(h.Sum64())
		groups[[2]string{s.Zone, s.Kind}] = append(groups[[2]string{s.Zone, s.Kind}], s)
	}
	for _, g := range groups {
		slices.SortFunc(g, func(a, b *Server) int {
			return cmp.Or(cmp.Compare(drawn[a], drawn[b]), cmp.Compare(a.Name, b.Name))
		})
		start := float64(mixBits(drawn[g[0]])%1024) / 1024 // groups of one do not all come at once
		for i, s := range g {
			s.rank = (float64(i) + start) / float64(len(g))
		}
	}
	slices.SortFunc(w.servers, func(a, b *Server) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(drawn[a], drawn[b]), cmp.Compare(a.Name, b.Name))
	})
}

// mixBits spreads the bits of a hash (the finalizer of MurmurHash3).
func mixBits(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
