package devicehealth

import (
	"math"

	"silvercove/internal/tick"
)

const (
	holdingMargin      = 5.0  // minimum distance to the limit in degrees C; closer to the limit, the node takes no new instances: a passing cloud changes the temperature by as much
	maxCellTemperature = 60.0 // degrees C: the highest cell temperature at which makers of lithium cells allow discharging
	heatCapacity       = 500  // heat capacity of the machine in joules per degree C: that of half a kilogram of board and metal, without a fan
)

// assessTemperature adds the constraints of all temperature sensors. The report shows the temperature and the limit of
// the sensor that is closest to its limit.
func (m *Monitor) assessTemperature(a *assessment) {
	extraRate := 0.0 // degrees C per second: how much faster the temperature rises at first at the offered load than at the present load
	if draw := a.readings.Draw; draw != nil && *draw > 0 {
		extraRate = *draw * (m.drawFactor(m.offeredLoad) - 1) / heatCapacity
	}
	closest := math.Inf(1)
	for _, s := range append(m.ofKind(KindTemperature), m.ofKind(KindCellTemperature)...) {
		if !a.trusts(s) {
			continue
		}
		value, _ := s.last()
		limit := m.temperatureLimit(s)
		margin := max(0, limit-value)
		if margin < closest {
			closest = margin
			a.readings.Temperature, a.readings.TemperatureLimit = &value, &limit
		}
		m.assessSensor(a, s, value, limit, extraRate)
	}
}

// temperatureLimit returns the lowest limit that applies to a sensor, in degrees C.
func (m *Monitor) temperatureLimit(s *series) float64 {
	limit := m.settings.temperatureCap
	if s.kind == KindCellTemperature {
		limit = min(limit, maxCellTemperature)
	}
	if s.limit > 0 {
		limit = min(limit, s.limit)
	}
	return limit
}

// assessSensor adds two constraints of one sensor: one by the forecast time until the value reaches its limit, and one by
// how far the value is below its limit.
func (m *Monitor) assessSensor(a *assessment, s *series, value, limit, extraRate float64) {
	margin := max(0, limit-value)
	present, offered := timesToLimit(s, margin, extraRate)
	a.timeToOverheat = min(a.timeToOverheat, present)
	a.timeToLimitOffered = min(a.timeToLimitOffered, offered)
	// A forecast alone never gives levelShuttingDown: the node cools down once its instances have migrated.
	at := max(levelFor(present, offered, a.migrationTime, a.strictness), levelEvacuating)
	if s.limit > 0 && value >= s.limit {
		at = levelShuttingDown // at this limit the machine shuts itself down
	}
	a.addConstraint(at, "%s %.1f C, at its limit of %.1f C in %s, in %s at the offered load",
		s.name, value, limit, readableTime(present), readableTime(offered))
	if warm := holdingMargin * a.strictness; margin < warm {
		a.addConstraint(levelHolding, "%s %.1f C, within %.1f C of its limit", s.name, value, warm)
	}
}

// timesToLimit forecasts how long a sensor takes to reach its limit, at the present and at the offered load. margin is
// the distance to the limit in degrees C. The forecast for the present load uses the upper confidence bound of the
// slope; the forecast for the offered load adds extraRate, in degrees C per second.
func timesToLimit(s *series, margin, extraRate float64) (present, offered tick.Tick) {
	if margin == 0 {
		return 0, 0
	}
	rate := 0.0
	if slope, err, ok := s.slope(); ok {
		rate = slope + confidenceStdErrors*err
	}
	present, offered = Never, Never
	if rate > 0 {
		present = ticks(margin / rate)
	}
	if rate+extraRate > 0 {
		offered = ticks(margin / (rate + extraRate))
	}
	return present, offered
}
