package devicehealth

const (
	holdingThrottle   = 0.3 // at this throttle reading or more, the node takes no new instances, as their responses would be late
	switchOnThreshold = 0.5 // a lid whose reading is at least this is open; a radio whose reading is at least this is on
)

// assessCondition adds the constraints of throttling, the lid and the radios.
func (m *Monitor) assessCondition(a *assessment) {
	radios, off := 0, 0
	for _, s := range m.series {
		if !a.trusts(s) {
			continue
		}
		value, _ := s.last()
		switch {
		case s.kind == KindThrottle && value >= holdingThrottle:
			a.addConstraint(levelHolding, "%s slows the machine by %.0f%% for heat", s.name, 100*value)
		case s.kind == KindThrottle && value > 0:
			a.addConstraint(levelLimited, "%s slows the machine by %.0f%% for heat", s.name, 100*value)
		case s.kind == KindLid && value < switchOnThreshold:
			a.addConstraint(levelEvacuating, "%s is shut: the machine may sleep at any moment", s.name)
		case s.kind == KindRadio:
			radios++
			if value < switchOnThreshold {
				off++
			}
		}
	}
	if radios > 0 && off == radios {
		a.addConstraint(levelHolding, "no radio is up")
	}
}
