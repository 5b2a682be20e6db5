package dispatch

import "silvercove/balancer"

// Placement is where an instance runs, as the keepers told it. Unit is "" while it runs nowhere.
type Placement struct {
	Instance, Backend string
	Epoch, Revision   uint64
}

// spot is a place with the commands that wait for it or are at work there.
type spot struct {
	Placement
	open map[*balancer.Request]struct{}
}

// FollowPlacements ties commands to the unit that the instance of their key runs at, from now on. It is called before any
// command comes, where an operator's file names a fleet.
func (g *Dispatcher) FollowPlacements() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.spots = map[string]*spot{}
}

// UpdatePlacements takes where instances run: all of them, or those that changed and those that are there no more. Older news of
// an instance than what is known changes nothing. It returns those that run elsewhere from now on.
func (g *Dispatcher) UpdatePlacements(whole bool, places []Placement, gone []string) (moved []Placement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.spots == nil {
		return nil
	}
	named := make(map[string]bool, len(places))
	for _, p := range places {
		named[p.Instance] = true
		s := g.spots[p.Instance]
		if s == nil {
			s = &spot{open: map[*balancer.Request]struct{}{}}
			g.spots[p.Instance] = s
		} else if p.Epoch < s.Epoch || p.Epoch == s.Epoch && p.Revision <= s.Revision {
			continue
		}
		if p.Backend != s.Backend || p.Epoch != s.Epoch {
			moved = append(moved, p)
		}
		s.Placement = p
		g.settle(s)
	}
	if whole {
		for name, s := range g.spots {
			if !named[name] && s.Instance != "" {
				gone = append(gone, name)
			}
		}
	}
	for _, name := range gone {
		if s := g.spots[name]; s != nil {
			s.Placement = Placement{Instance: name}
			g.settle(s)
			if len(s.open) == 0 {
				delete(g.spots, name)
			}
		}
	}
	g.module.OnInstancesMoved(g.now())
	return moved
}

// settle points the open commands of an instance to where it is.
func (g *Dispatcher) settle(s *spot) {
	var at *balancer.Backend
	if u := g.units[s.Backend]; u != nil {
		at = &u.Backend
	}
	for c := range s.open {
		c.PinnedTo = at
	}
}

// tie ties a command that has just come. One for an instance that nobody has told of waits too, as news may be late.
func (g *Dispatcher) tie(c *Call) {
	if g.spots == nil || c.key == "" {
		return
	}
	s := g.spots[c.key]
	if s == nil {
		s = &spot{open: map[*balancer.Request]struct{}{}}
		g.spots[c.key] = s
	}
	s.open[&c.module] = struct{}{}
	c.module.Pinned = true
	if u := g.units[s.Backend]; u != nil {
		c.module.PinnedTo = &u.Backend
	}
}

// untie forgets a command that has its final answer.
func (g *Dispatcher) untie(c *Call) {
	if s := g.spots[c.key]; s != nil {
		if delete(s.open, &c.module); len(s.open) == 0 && s.Epoch == 0 {
			delete(g.spots, c.key)
		}
	}
}

// Load is what is at units and waits for one, in parts of what the module allows itself.
func (g *Dispatcher) Load() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.module.Load()
}
