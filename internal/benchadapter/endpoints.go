package benchadapter

import (
	"fmt"

	"silvercove/balancer"
)

// maxLists is the number of numbered endpoint lists on the wire; the numbers are 0 to 15.
const maxLists = 16

// endpointLists holds the numbered endpoint lists of the process. A new list replaces the earlier list of the same number.
type endpointLists struct {
	lists    [maxLists][]listedEndpoint
	received [maxLists]bool
}

// read reads the record CATALOG and stores its list.
func (l *endpointLists) read(r *reader) error {
	number := r.u32("page")
	count := int(r.u32("members_list count"))
	if r.err == nil && number >= maxLists {
		return fmt.Errorf("list number %d is over %d", number, maxLists-1)
	}
	r.require(count*listedEndpointSize, "members_list")
	if r.err != nil {
		return nil
	}
	list := make([]listedEndpoint, 0, count)
	for range count {
		list = append(list, r.listedEndpoint())
	}
	l.lists[number], l.received[number] = list, true
	return nil
}

// list returns the list with the given number, or an error if no such list was received.
func (l *endpointLists) list(number uint32) ([]listedEndpoint, error) {
	if number >= maxLists || !l.received[number] {
		return nil, fmt.Errorf("list number %d was never given", number)
	}
	return l.lists[number], nil
}

// updateEndpoints passes an update of the endpoint list to the balancer. A complete list also removes every backend that
// is missing from it. A failed update changes no backend.
func (i *instance) updateEndpoints(now balancer.Tick, event endpointUpdateEvent, lists *endpointLists) error {
	switch event.kind {
	case updateFailed:
		i.balancer.OnListSynced(now, false)
		return nil
	case updateComplete, updateCached, updateDelta:
	default:
		return fmt.Errorf("unknown kind of list %d", event.kind)
	}
	list, err := lists.list(event.list)
	if err != nil {
		return err
	}
	listed := map[uint32]bool{}
	for _, entry := range list {
		listed[entry.backend] = true
		i.balancer.OnEndpoint(now, i.findOrAddBackend(entry.backend), entry.endpoint)
	}
	if event.kind != updateDelta {
		i.removeUnlisted(now, listed)
	}
	i.balancer.OnListSynced(now, true)
	return nil
}

// findOrAddBackend returns the backend with the given ID, and adds a backend if the ID is new.
func (i *instance) findOrAddBackend(id uint32) *balancer.Backend {
	backend := i.backends[id]
	if backend == nil {
		backend = &balancer.Backend{ID: id}
		i.backends[id] = backend
		i.backendOrder = append(i.backendOrder, id)
	}
	return backend
}

// removeUnlisted tells the balancer that the backends that are missing from a complete list are removed.
func (i *instance) removeUnlisted(now balancer.Tick, listed map[uint32]bool) {
	for _, id := range i.backendOrder {
		backend := i.backends[id]
		if listed[id] || backend.State == balancer.Removed {
			continue
		}
		endpoint := backend.Endpoint
		endpoint.State = balancer.Removed
		i.balancer.OnEndpoint(now, backend, endpoint)
	}
}
