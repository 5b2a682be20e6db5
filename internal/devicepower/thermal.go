package devicepower

import (
	"errors"
	"fmt"
	"io/fs"
	"strings"

	"silvercove/internal/devicehealth"
)

const (
	maxTripPoints  = 32   // largest number of trip points that are read from one thermal zone
	milliPerDegree = 1000 // the files contain thousandths of a degree
	maxTripDegrees = 200  // degrees C: a trip point above this or at most 0 is not in use
)

// readThermal reads the folder thermal. If the folder does not exist, there are no readings, as a node need not have
// sensors.
func readThermal(files fileSource) (readings []devicehealth.Reading) {
	names, err := files.listDir("thermal")
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		readings = append(readings, devicehealth.Reading{Name: "thermal", Kind: devicehealth.KindTemperature, Reason: err.Error()})
	}
	for _, name := range names {
		d := device{files, "thermal/" + name}
		switch {
		case strings.HasPrefix(name, "thermal_zone"):
			readings = append(readings, readThermalZone(d, name)...)
		case strings.HasPrefix(name, "cooling_device"):
			readings = append(readings, readCoolingDevice(d, name)...)
		}
	}
	return readings
}

// readThermalZone reads a thermal zone's temperature. Its limit is the lowest trip point of type critical or hot, at which
// the machine shuts itself down; without such a trip point it is the highest trip point that has no type.
func readThermalZone(d device, name string) []devicehealth.Reading {
	if mode, err := d.text("mode"); err == nil && mode == "disabled" {
		return nil
	}
	temperature, err := d.number("temp")
	label := name
	if kind, err := d.text("type"); err == nil && kind != "" {
		label = name + " " + kind
	}
	reading := newReading(label, devicehealth.KindTemperature, temperature/milliPerDegree, err)
	highest := 0.0
	for i := range maxTripPoints {
		degrees, err := d.number(fmt.Sprintf("trip_point_%d_temp", i))
		if errors.Is(err, fs.ErrNotExist) {
			break
		}
		degrees /= milliPerDegree
		if err != nil || degrees <= 0 || degrees > maxTripDegrees {
			continue
		}
		kind, err := d.text(fmt.Sprintf("trip_point_%d_type", i))
		switch {
		case err != nil:
			highest = max(highest, degrees)
		case (kind == "critical" || kind == "hot") && (reading.Limit == 0 || degrees < reading.Limit):
			reading.Limit = degrees
		}
	}
	if reading.Limit == 0 {
		reading.Limit = highest
	}
	return []devicehealth.Reading{reading}
}

// readCoolingDevice reads the fraction by which a processor is throttled because of heat. Other cooling devices, such as
// fans, are skipped.
func readCoolingDevice(d device, name string) []devicehealth.Reading {
	kind, err := d.text("type")
	if err != nil || !throttlesProcessor(strings.ToLower(kind)) {
		return nil
	}
	state, err := d.number("cur_state")
	maxState, maxErr := d.number("max_state")
	if err = errors.Join(err, maxErr); err == nil && maxState <= 0 {
		err = fmt.Errorf("max_state: %.4g", maxState)
	}
	return []devicehealth.Reading{newReading(name+" "+kind, devicehealth.KindThrottle, max(0, state)/max(1, maxState), err)}
}

// throttlesProcessor reports whether cooling devices of the given type, in lower case, slow down a processor.
func throttlesProcessor(kind string) bool {
	return kind == "processor" || strings.Contains(kind, "cpu") || strings.Contains(kind, "devfreq") ||
		strings.Contains(kind, "powerclamp")
}
