package fleetsim

import (
	"silvercove/internal/devicehealth"
	"silvercove/internal/standin/battery"
	"silvercove/internal/standin/testcluster"
)

// updateHealth advances the battery in steps of at most 2 s, passes the readings of the battery to the monitor and updates the
// health report.
func (u *edgeNode) updateHealth() {
	f := u.fleet
	if u.monitor == nil {
		return
	}
	slots := max(8, 2*f.Instances/f.Nodes)
	load := min(1, u.extraLoad+0.6*float64(u.instances)/float64(slots))
	u.battery.Load, u.battery.Sun = load, u.zone.sunshine
	for left := (f.now - u.lastReading).Duration(); left > 0; {
		step := min(left, 2*1e9)
		u.battery.Step(step)
		left -= step
	}
	u.lastReading = f.now
	drawn, gained := u.battery.Watts()
	now := u.now()
	mains := 0.0
	if u.battery.Mains {
		mains = 1
		drawn = 0
	}
	for _, r := range [...]devicehealth.Reading{
		{Name: "BAT0", Kind: devicehealth.KindCharge, Value: u.battery.Charge},
		{Name: "BAT0", Kind: devicehealth.KindFullCharge, Value: battery.FullJoules},
		{Name: "BAT0", Kind: devicehealth.KindDraw, Value: drawn - gained},
		{Name: "AC", Kind: devicehealth.KindMains, Value: mains},
		{Name: "thermal_zone0", Kind: devicehealth.KindTemperature, Value: u.battery.Temperature, Limit: battery.CriticalDegrees},
	} {
		r.OK = true
		u.monitor.AddReading(now, r)
	}
	u.monitor.SetInstances(now, u.instances, u.instances<<14)
	u.monitor.SetLoad(now, load, load)
	was := u.health.State
	u.health = u.monitor.Assess(now)
	if u.health.State != was {
		why := ""
		if len(u.health.Reasons) > 0 {
			why = u.health.Reasons[0]
		}
		if was != "" {
			u.fleet.logEvent(testcluster.Event{Node: u.displayName, Name: "strength", State: string(u.health.State), Why: reasonTitle(why)})
		}
	}
}
