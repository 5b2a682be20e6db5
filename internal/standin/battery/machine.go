// Package battery simulates an edge node's battery, temperature and sensors. The simulated machine drains, charges and warms with
// its load and the sun. It writes its sensor readings into a directory in the layout of Linux's power supply and thermal classes.
// A script changes the load and the surroundings and adds faults. A seed determines the noise of the readings. The figures are
// those of a small computer without a fan on a 60 Wh battery.
package battery

import (
	"bufio"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Properties of the simulated machine.
const (
	batteryWattHours = 60.0
	idleWatts        = 12.0
	loadWatts        = 18.0 // power that full load adds to idleWatts
	chargeWatts      = 40.0 // net charging power until the battery is full
	voltage          = 14.8
	joulesPerDegree  = 500.0 // heat capacity, J/K
	wattsPerDegree   = 0.6   // heat loss for each degree above the ambient air, W/K
	sunDegrees       = 25.0  // rise of the ambient temperature in full sun, K
	criticalDegrees  = 95.0
	throttleDegrees  = 80.0
)

// Machine is one simulated edge node. It is not safe for concurrent use.
type Machine struct {
	Charge, Temperature     float64 // the charge from 0 to 1; the temperature in degrees Celsius
	Load, Sun               float64 // load of the machine and strength of the sun, each from 0 to 1
	Air                     float64 // outside temperature in the shade, degrees Celsius
	Mains                   bool
	Now                     time.Duration
	events                  []event
	random                  *rand.Rand
	frozen                  bool
	dead                    bool              // the battery is empty and mains power is off; the files are no longer written
	faults                  map[string]string // by file name: content that replaces the reading
	missing                 map[string]bool   // files and directories that the script has removed
	lastFiles               map[string]string // the files that VisibleFiles returned last
	lastDir                 string            // directory of the last Write
	written                 map[string]string
	falseReadings           map[string]float64 // false readings by sensor: charge (0 to 1), temp (degrees Celsius), draw (W)
	drawnWatts, gainedWatts float64            // power in the last step, W: drawn by the machine, and charged into the battery
}

type event struct {
	at      time.Duration
	command string
}

// New returns a fully charged machine in the shade. The script has one event a line, in the form "SECONDS VERB ARGUMENTS".
// SECONDS is the time since the start. PART is a number from 0 to 1, and DEGREES are degrees Celsius. VALUE is a charge from 0
// to 1, a temp in degrees Celsius, or a draw in watts. The verbs are:
//
//	load PART                   sets the load
//	sun PART                    sets the sun
//	air DEGREES                 sets the outside temperature
//	mains on|off                connects or disconnects mains power
//	charge PART                 sets the charge at once, as if the battery were replaced
//	temp DEGREES                sets the temperature at once
//	freeze                      stops all updates of the files
//	thaw                        resumes the updates of the files
//	write FILE TEXT             replaces a file's content
//	miss FILE                   removes a file or directory
//	lie charge|temp|draw VALUE  reports a false reading
//	heal                        ends all write, miss and lie faults
//	swing PART SECONDS COUNT    sets the sun to PART for SECONDS and to 0 for SECONDS, COUNT times
func New(seed uint64, script string) (*Machine, error) {
	v := &Machine{Charge: 1, Temperature: 40, Air: 22, random: rand.New(rand.NewPCG(seed, 29))}
	v.clearFaults()
	lines := bufio.NewScanner(strings.NewReader(script))
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		at, text, _ := strings.Cut(line, " ")
		s, err := strconv.ParseFloat(at, 64)
		if err == nil && !(s >= 0 && s < 1e9) {
			err = fmt.Errorf("out of range")
		}
		if err != nil {
			return nil, fmt.Errorf("line %d: seconds %q: %w", n, at, err)
		}
		if f := strings.Fields(text); len(f) == 4 && f[0] == "swing" {
			part, e1 := strconv.ParseFloat(f[1], 64)
			every, e2 := strconv.ParseFloat(f[2], 64)
			count, e3 := strconv.Atoi(f[3])
			if e1 != nil || e2 != nil || e3 != nil || every <= 0 || count < 1 || count > 10000 {
				return nil, fmt.Errorf("line %d: want swing PART SECONDS COUNT, got %q", n, text)
			}
			for i := range count {
				v.events = append(v.events, event{seconds(s + float64(2*i)*every), fmt.Sprintf("sun %v", part)},
					event{seconds(s + float64(2*i+1)*every), "sun 0"})
			}
			continue
		}
		if err := (&Machine{faults: map[string]string{}, missing: map[string]bool{}, falseReadings: map[string]float64{}}).apply(text); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		v.events = append(v.events, event{seconds(s), text})
	}
	slices.SortStableFunc(v.events, func(a, b event) int { return int(a.at - b.at) })
	return v, lines.Err()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (v *Machine) clearFaults() {
	v.faults, v.missing, v.falseReadings = map[string]string{}, map[string]bool{}, map[string]float64{}
}

func (v *Machine) apply(text string) error {
	f := strings.Fields(text)
	invalidEvent := fmt.Errorf("invalid event %q", text)
	if len(f) == 0 {
		return invalidEvent
	}
	value := func(to *float64) error {
		if len(f) != 2 {
			return invalidEvent
		}
		n, err := strconv.ParseFloat(f[1], 64)
		if err != nil {
			return invalidEvent
		}
		*to = n
		return nil
	}
	switch f[0] {
	case "load":
		return value(&v.Load)
	case "sun":
		return value(&v.Sun)
	case "air":
		return value(&v.Air)
	case "charge":
		return value(&v.Charge)
	case "temp":
		return value(&v.Temperature)
	case "mains":
		if len(f) != 2 || f[1] != "on" && f[1] != "off" {
			return invalidEvent
		}
		v.Mains = f[1] == "on"
	case "freeze", "thaw":
		v.frozen = f[0] == "freeze"
	case "heal":
		v.clearFaults()
	case "miss":
		if len(f) != 2 || !filepath.IsLocal(f[1]) {
			return invalidEvent
		}
		v.missing[f[1]] = true
	case "write":
		if len(f) < 2 || !filepath.IsLocal(f[1]) {
			return invalidEvent
		}
		v.faults[f[1]] = strings.Join(f[2:], " ")
	case "lie":
		if len(f) != 3 || !slices.Contains([]string{"charge", "temp", "draw"}, f[1]) {
			return invalidEvent
		}
		n, err := strconv.ParseFloat(f[2], 64)
		if err != nil {
			return invalidEvent
		}
		v.falseReadings[f[1]] = n
	default:
		return invalidEvent
	}
	return nil
}

// Step advances the simulation by dt and applies the events that are due.
func (v *Machine) Step(dt time.Duration) {
	v.Now += dt
	for len(v.events) > 0 && v.events[0].at <= v.Now {
		_ = v.apply(v.events[0].command) // New has checked the command
		v.events = v.events[1:]
	}
	v.drawnWatts = idleWatts + loadWatts*v.Load*v.speed()
	if v.dead {
		v.drawnWatts = 0
	}
	v.gainedWatts = 0
	net := -v.drawnWatts
	if v.Mains {
		net = 0
		if v.Charge < 1 {
			v.gainedWatts = chargeWatts
			net = chargeWatts
		}
	}
	s := dt.Seconds()
	v.Charge = min(1, max(0, v.Charge+net*s/(batteryWattHours*3600)))
	v.dead = v.Charge == 0 && !v.Mains
	air := v.Air + sunDegrees*v.Sun
	v.Temperature += (v.drawnWatts - wattsPerDegree*(v.Temperature-air)) * s / joulesPerDegree
}

// speed returns the share of Load that the machine carries: 1 without throttling, 0.4 at full throttling.
func (v *Machine) speed() float64 { return 1 - 0.6*v.throttle() }

func (v *Machine) throttle() float64 {
	return min(1, max(0, math.Floor(v.Temperature-throttleDegrees)/10))
}

// Dead reports whether the machine is off because the battery is empty and mains power is off.
func (v *Machine) Dead() bool { return v.dead }

// VisibleFiles returns the files as a reader sees them now. A frozen machine shows the files that VisibleFiles
// returned last, and a dead machine shows none.
func (v *Machine) VisibleFiles() map[string]string {
	switch {
	case v.dead:
		return nil
	case !v.frozen || v.lastFiles == nil:
		v.lastFiles = v.files()
	}
	return v.lastFiles
}

// files returns the current content of the directory by file name. Readings carry noise like those of real sensors.
func (v *Machine) files() map[string]string {
	charge, temp, watts := v.Charge, v.Temperature+0.2*v.random.NormFloat64(), v.drawnWatts*(1+0.02*v.random.NormFloat64())
	status := "Discharging"
	switch {
	case v.Mains && v.gainedWatts > 0:
		status, watts = "Charging", v.gainedWatts*(1+0.02*v.random.NormFloat64())
	case v.Mains:
		status, watts = "Full", 0
	}
	for name, to := range map[string]*float64{"charge": &charge, "temp": &temp, "draw": &watts} {
		if n, ok := v.falseReadings[name]; ok {
			*to = n
		}
	}
	online := "0"
	if v.Mains {
		online = "1"
	}
	n := func(f float64) string { return strconv.FormatInt(int64(math.Round(f)), 10) }
	files := map[string]string{
		"power_supply/AC/type": "Mains", "power_supply/AC/online": online,
		"power_supply/BAT0/type": "Battery", "power_supply/BAT0/present": "1", "power_supply/BAT0/status": status,
		"power_supply/BAT0/capacity":    n(100 * charge),
		"power_supply/BAT0/energy_full": n(batteryWattHours * 1e6), "power_supply/BAT0/energy_now": n(charge * batteryWattHours * 1e6),
		"power_supply/BAT0/power_now": n(watts * 1e6), "power_supply/BAT0/voltage_now": n(voltage * 1e6),
		"power_supply/BAT0/temp":     n(10 * (v.Air + 0.2*(temp-v.Air))),
		"thermal/thermal_zone0/type": "x86_pkg_temp", "thermal/thermal_zone0/temp": n(1000 * temp),
		"thermal/thermal_zone0/trip_point_0_type": "passive", "thermal/thermal_zone0/trip_point_0_temp": n(1000 * throttleDegrees),
		"thermal/thermal_zone0/trip_point_1_type": "critical", "thermal/thermal_zone0/trip_point_1_temp": n(1000 * criticalDegrees),
		"thermal/cooling_device0/type": "Processor", "thermal/cooling_device0/max_state": "10",
		"thermal/cooling_device0/cur_state": n(10 * v.throttle()),
	}
	for name, text := range v.faults {
		files[name] = text
	}
	for name := range files {
		for m := range v.missing {
			if name == m || strings.HasPrefix(name, m+"/") {
				delete(files, name)
			}
		}
	}
	return files
}

// Write updates the files in a directory, each atomically, and removes files that no longer exist. A frozen or dead machine writes
// nothing.
func (v *Machine) Write(dir string) error {
	if v.frozen || v.dead {
		return nil
	}
	if v.lastDir != dir {
		v.lastDir, v.written = dir, map[string]string{}
	}
	files := v.VisibleFiles()
	for _, name := range sortedNames(files) {
		if was, ok := v.written[name]; ok && was == files[name] {
			continue
		}
		v.written[name] = files[name]
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			return err
		}
		if err := os.WriteFile(path+".new", []byte(files[name]+"\n"), 0o600); err != nil {
			return err
		}
		if err := os.Rename(path+".new", path); err != nil {
			return err
		}
	}
	for name := range v.written {
		if _, ok := files[name]; !ok {
			delete(v.written, name)
			if err := os.Remove(filepath.Join(dir, name)); err != nil {
				return err
			}
			_ = os.Remove(filepath.Dir(filepath.Join(dir, name))) // succeeds only if the directory is empty
		}
	}
	return nil
}

func sortedNames(files map[string]string) []string {
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Run steps the simulation and writes the files until ctx ends. every is the time between two steps. times is the factor by which
// simulated time passes faster than real time.
func (v *Machine) Run(ctx context.Context, dir string, every time.Duration, times float64) error {
	t := time.NewTicker(every)
	defer t.Stop()
	for last := time.Now(); ; {
		if err := v.Write(dir); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			v.Step(time.Duration(float64(now.Sub(last)) * times))
			last = now
		}
	}
}

// Watts returns the power that the machine drew and the power with which the battery was charged in the last step.
func (v *Machine) Watts() (drawn, gained float64) { return v.drawnWatts, v.gainedWatts }

// FullJoules is the energy of a full battery.
const FullJoules = batteryWattHours * 3600

// CriticalDegrees is the critical trip point in the sensor files, at which a real machine shuts itself down, in degrees Celsius.
const CriticalDegrees = criticalDegrees
