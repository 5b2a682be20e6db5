package devicepower

import (
	"errors"
	"fmt"
	"io/fs"
	"math"

	"silvercove/internal/devicehealth"
)

const (
	micro          = 1e-6
	secondsPerHour = 3600

	// maxAgedCharge is a fraction of the full charge. The gauge of an aged battery may report a charge above 1;
	// batteryCharge treats a charge between 1 and maxAgedCharge as 1.
	maxAgedCharge = 1.1
)

// readPowerSupplies reads the supplies in the folder power_supply. If the folder cannot be listed, the only reading is
// not OK and says why.
func readPowerSupplies(files fileSource) (readings []devicehealth.Reading) {
	supplies, err := files.listDir("power_supply")
	if err != nil {
		readings = append(readings, devicehealth.Reading{Name: "power_supply", Kind: devicehealth.KindMains, Reason: err.Error()})
	}
	for _, name := range supplies {
		readings = append(readings, readPowerSupply(device{files, "power_supply/" + name}, name)...)
	}
	return readings
}

// readPowerSupply reads one supply: a battery of this machine, or an external source such as mains.
func readPowerSupply(d device, name string) []devicehealth.Reading {
	kind, err := d.text("type")
	if err != nil {
		return []devicehealth.Reading{newReading(name, devicehealth.KindCharge, 0, err)}
	}
	if scope, err := d.text("scope"); err == nil && scope == "Device" {
		return nil // the battery of a peripheral, such as a mouse or a keyboard
	}
	if kind != "Battery" {
		online, err := d.number("online")
		if online > 0 {
			online = 1 // the value 2 also means online, with a programmable voltage
		}
		return []devicehealth.Reading{newReading(name, devicehealth.KindMains, online, err)}
	}
	if present, err := d.number("present"); err == nil && present == 0 {
		return nil
	}
	return readBattery(d, name)
}

// readBattery reads a battery. A reading whose files do not exist is left out; if the reading was OK in an earlier pass, the
// Reader reports it as gone.
func readBattery(d device, name string) (readings []devicehealth.Reading) {
	microvolts, voltsErr := d.number("voltage_now")
	if voltsErr == nil && !(microvolts > 0) {
		voltsErr = fmt.Errorf("voltage_now: %.4g", microvolts)
	}
	charge, err := batteryCharge(d)
	readings = append(readings, newReading(name, devicehealth.KindCharge, charge, err))
	if joules, err := batteryFullCharge(d, microvolts, voltsErr); !errors.Is(err, fs.ErrNotExist) {
		readings = append(readings, newReading(name, devicehealth.KindFullCharge, joules, err))
	}
	status, statusErr := d.text("status")
	if watts, err := batteryDraw(d, microvolts, voltsErr, status, statusErr); !errors.Is(err, fs.ErrNotExist) {
		readings = append(readings, newReading(name, devicehealth.KindDraw, watts, err))
	}
	if statusErr == nil && status != "Unknown" {
		charging := 0.0
		if status == "Charging" {
			charging = 1
		}
		readings = append(readings, newReading(name, devicehealth.KindCharging, charging, nil))
	}
	if degrees, err := d.number("temp"); !errors.Is(err, fs.ErrNotExist) {
		readings = append(readings, cellTemperature(d, name, degrees, err))
	}
	return readings
}

// batteryCharge returns the charge as a fraction of the full charge.
func batteryCharge(d device) (fraction float64, err error) {
	fraction, err = d.fraction("energy_now", "energy_full")
	if errors.Is(err, fs.ErrNotExist) {
		fraction, err = d.fraction("charge_now", "charge_full")
	}
	if errors.Is(err, fs.ErrNotExist) {
		fraction, err = d.number("capacity") // in percent
		fraction /= 100
	}
	if fraction > 1 && fraction < maxAgedCharge {
		fraction = 1
	}
	return fraction, err
}

// batteryFullCharge returns the full charge in joules, from energy_full (micro-watt-hours), or else from charge_full
// (micro-ampere-hours) and the voltage.
func batteryFullCharge(d device, microvolts float64, voltsErr error) (joules float64, err error) {
	energy, err := d.number("energy_full")
	if !errors.Is(err, fs.ErrNotExist) {
		return energy * (secondsPerHour * micro), err
	}
	charge, err := d.number("charge_full")
	if err != nil {
		return 0, err
	}
	return charge * (secondsPerHour * micro) * microvolts * micro, voltsErr
}

// batteryDraw returns the watts drawn from the battery, negative while it charges, from power_now (micro-watts), or else
// from current_now (micro-amperes) and the voltage.
func batteryDraw(d device, microvolts float64, voltsErr error, status string, statusErr error) (watts float64, err error) {
	signed, err := d.number("power_now")
	watts = signed * micro
	if errors.Is(err, fs.ErrNotExist) {
		signed, err = d.number("current_now")
		if err == nil {
			watts, err = signed*micro*microvolts*micro, voltsErr
		}
	}
	watts = math.Abs(watts)
	switch {
	case errors.Is(statusErr, fs.ErrNotExist), status == "Unknown":
		if signed > 0 { // without a status, the sign of the file's value tells the direction: a negative value means that the battery discharges
			watts = -watts
		}
	case statusErr != nil:
		err = statusErr
	case status == "Charging":
		watts = -watts
	case status == "Full", status == "Not charging":
		watts = 0
	case status != "Discharging":
		err = fmt.Errorf("status: %q", status)
	}
	return watts, err
}

// cellTemperature returns the reading of the cells' temperature. Its limit is the lower of temp_max and temp_alert_max.
// The files contain tenths of a degree.
func cellTemperature(d device, name string, tenths float64, err error) devicehealth.Reading {
	reading := newReading(name, devicehealth.KindCellTemperature, tenths/10, err)
	for _, file := range []string{"temp_max", "temp_alert_max"} {
		limit, err := d.number(file)
		if err == nil && limit > 0 && (reading.Limit == 0 || limit/10 < reading.Limit) {
			reading.Limit = limit / 10
		}
	}
	return reading
}
