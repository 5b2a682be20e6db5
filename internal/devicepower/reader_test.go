package devicepower_test

import (
	"context"
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"silvercove/internal/devicehealth"
	"silvercove/internal/devicepower"
	standin "silvercove/internal/standin/battery"
)

// writeTree writes files, given by their paths, to a new folder and returns its path.
func writeTree(tb testing.TB, files map[string]string) string {
	tb.Helper()
	dir := tb.TempDir()
	for name, text := range files {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			tb.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			tb.Fatal(err)
		}
	}
	return dir
}

// formatReadings returns one line per reading.
func formatReadings(all []devicehealth.Reading) string {
	var b strings.Builder
	for _, r := range all {
		if r.OK {
			fmt.Fprintf(&b, "%s %s %.4g", r.Name, r.Kind, r.Value)
		} else {
			fmt.Fprintf(&b, "%s %s ? %s", r.Name, r.Kind, r.Reason)
		}
		if r.Limit != 0 {
			fmt.Fprintf(&b, " of %.4g", r.Limit)
		}
		b.WriteString("\n")
	}
	return b.String()
}

func TestReader_Layouts(t *testing.T) {
	bat, zone, cool := "power_supply/BAT0/", "thermal/thermal_zone0/", "thermal/cooling_device0/"
	for _, c := range []struct {
		name  string
		files map[string]string
		want  string
	}{
		{"energy", map[string]string{bat + "type": "Battery\n", bat + "status": "Discharging\n", bat + "energy_now": "30000000\n",
			bat + "energy_full": "60000000\n", bat + "power_now": "12000000\n"},
			"BAT0 charge 0.5\nBAT0 full 2.16e+05\nBAT0 draw 12\nBAT0 charging 0\n"},
		{"charge and current", map[string]string{bat + "type": "Battery", bat + "status": "Charging", bat + "charge_now": "1000000",
			bat + "charge_full": "4000000", bat + "current_now": "2000000", bat + "voltage_now": "15000000"},
			"BAT0 charge 0.25\nBAT0 full 2.16e+05\nBAT0 draw -30\nBAT0 charging 1\n"},
		{"capacity alone", map[string]string{bat + "type": "Battery", bat + "capacity": "77"}, "BAT0 charge 0.77\n"},
		{"direction from the sign alone", map[string]string{bat + "type": "Battery", bat + "capacity": "77", bat + "status": "Unknown",
			bat + "current_now": "-1000000", bat + "voltage_now": "12000000"}, "BAT0 charge 0.77\nBAT0 draw 12\n"},
		{"an aged gauge", map[string]string{bat + "type": "Battery", bat + "energy_now": "61", bat + "energy_full": "60"},
			"BAT0 charge 1\nBAT0 full 0.216\n"},
		{"cells", map[string]string{bat + "type": "Battery", bat + "capacity": "77", bat + "temp": "315", bat + "temp_alert_max": "550"},
			"BAT0 charge 0.77\nBAT0 cell 31.5 of 55\n"},
		{"an empty bay", map[string]string{bat + "type": "Battery", bat + "present": "0"}, ""},
		{"battery of a peripheral", map[string]string{bat + "type": "Battery", bat + "scope": "Device", bat + "capacity": "3"}, ""},
		{"mains and a programmable source", map[string]string{"power_supply/AC/type": "Mains", "power_supply/AC/online": "1",
			"power_supply/C1/type": "USB", "power_supply/C1/online": "2"}, "AC mains 1\nC1 mains 1\n"},
		{"no online", map[string]string{"power_supply/AC/type": "Mains"}, "AC mains ? online: no such file or directory\n"},
		{"garbage", map[string]string{bat + "type": "Battery", bat + "status": "Asleep", bat + "energy_now": "much",
			bat + "energy_full": "60000000", bat + "power_now": "1e6"}, "BAT0 charge ? energy_now: \"much\" is no whole number\n" +
			"BAT0 full 2.16e+05\nBAT0 draw ? status: \"Asleep\"\nBAT0 charging 0\n"},
		{"no voltage", map[string]string{bat + "type": "Battery", bat + "charge_now": "1", bat + "charge_full": "0", bat + "current_now": "5"},
			"BAT0 charge ? charge_full: 0\n"},
		{"an empty file", map[string]string{bat + "type": "Battery", bat + "capacity": ""}, "BAT0 charge ? capacity: \"\" is no whole number\n"},
		{"a long file", map[string]string{bat + "type": "Battery", bat + "capacity": strings.Repeat("7", 5000)},
			"BAT0 charge ? capacity: more than 4096 bytes\n"},
		{"a number too long", map[string]string{bat + "type": "Battery", bat + "capacity": strings.Repeat("7", 50)},
			"BAT0 charge ? capacity: \"7777777777777777777777777777777777777777\" is no whole number\n"},
		{"temperature and trip points", map[string]string{zone + "type": "x86_pkg_temp", zone + "temp": "61500", zone + "trip_point_0_temp": "80000",
			zone + "trip_point_0_type": "passive", zone + "trip_point_1_temp": "105000", zone + "trip_point_1_type": "critical",
			zone + "trip_point_2_temp": "99000", zone + "trip_point_2_type": "hot", zone + "trip_point_3_temp": "-274000",
			zone + "trip_point_3_type": "hot"}, "thermal_zone0 x86_pkg_temp temp 61.5 of 99\n"},
		{"trips without types", map[string]string{zone + "type": "cpu", zone + "temp": "61500", zone + "trip_point_0_temp": "80000",
			zone + "trip_point_1_temp": "95000"}, "thermal_zone0 cpu temp 61.5 of 95\n"},
		{"a disabled zone", map[string]string{zone + "type": "cpu", zone + "temp": "61500", zone + "mode": "disabled"}, ""},
		{"a zone that fails", map[string]string{zone + "type": "iwlwifi"}, "thermal_zone0 iwlwifi temp ? temp: no such file or directory\n"},
		{"throttled", map[string]string{cool + "type": "cpufreq-cpu0", cool + "cur_state": "2", cool + "max_state": "8"},
			"cooling_device0 cpufreq-cpu0 throttle 0.25\n"},
		{"no state", map[string]string{cool + "type": "Processor", cool + "cur_state": "2", cool + "max_state": "0"},
			"cooling_device0 Processor throttle ? max_state: 0\n"},
		{"a fan", map[string]string{cool + "type": "Fan", cool + "cur_state": "2", cool + "max_state": "8"}, ""},
		{"radios", map[string]string{"rfkill/rfkill0/type": "wlan", "rfkill/rfkill0/state": "1", "rfkill/rfkill1/type": "bluetooth",
			"rfkill/rfkill1/state": "0", "rfkill/rfkill2/type": "wwan", "rfkill/rfkill2/state": "2"}, "rfkill0 radio 1\nrfkill2 radio 0\n"},
	} {
		c.files["power_supply/.keep/type"] = "Battery"
		c.files["power_supply/.keep/present"] = "0"
		if got := formatReadings(devicepower.Open(writeTree(t, c.files)).ReadOnce()); got != c.want {
			t.Errorf("%s: got\n%swant\n%s", c.name, got, c.want)
		}
		if got := formatReadings(devicepower.FromFiles(c.files)); got != c.want {
			t.Errorf("%s, from memory: got\n%swant\n%s", c.name, got, c.want)
		}
	}
}

func TestReader_NoFolder(t *testing.T) {
	if got := formatReadings(devicepower.Open("").ReadOnce()); got != "file mains 1\n" {
		t.Error(got)
	}
	if got := formatReadings(devicepower.Open(filepath.Join(t.TempDir(), "none")).ReadOnce()); got != "power_supply mains ? power_supply: no such file or directory\n" {
		t.Error(got)
	}
	dir := t.TempDir()
	_ = os.WriteFile(filepath.Join(dir, "power_supply"), nil, 0o600)
	if got := formatReadings(devicepower.Open(dir).ReadOnce()); !strings.Contains(got, "not a directory") {
		t.Error(got)
	}
}

// ReadOnce must not hang if a path names a pipe, a folder or an endless device. Each of these becomes a reading that is
// not OK.
func TestReader_SpecialFilesDoNotBlock(t *testing.T) {
	dir := writeTree(t, map[string]string{"power_supply/BAT0/type": "Battery", "power_supply/BAT0/capacity/x": "1",
		"thermal/thermal_zone0/type": "cpu", "thermal/cooling_device0/type": "cpu"})
	if err := syscall.Mkfifo(filepath.Join(dir, "thermal/thermal_zone0/temp"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Symlink("/dev/zero", filepath.Join(dir, "thermal/cooling_device0/cur_state")); err != nil {
		t.Fatal(err)
	}
	for i := range 400 {
		_ = os.MkdirAll(filepath.Join(dir, "rfkill", fmt.Sprint("other", i)), 0o700)
	}
	done := make(chan string, 1)
	go func() { done <- formatReadings(devicepower.Open(dir).ReadOnce()) }()
	select {
	case got := <-done:
		for _, want := range []string{"BAT0 charge ? capacity: not a regular file\n", "thermal_zone0 cpu temp ? temp: not a regular file\n",
			"cooling_device0 cpu throttle ? cur_state: not a regular file\n"} {
			if !strings.Contains(got, want) {
				t.Errorf("%q is missing in\n%s", want, got)
			}
		}
	case <-time.After(10 * time.Second):
		t.Fatal("ReadOnce hangs at a pipe or an endless file")
	}
}

// A reading that was OK before and has disappeared is reported by every later ReadOnce. A reading that was never OK is
// not.
func TestReader_ReportsMissingDevices(t *testing.T) {
	dir := writeTree(t, map[string]string{"power_supply/AC/type": "Mains", "power_supply/AC/online": "1",
		"thermal/thermal_zone0/type": "cpu", "thermal/thermal_zone0/temp": "50000", "thermal/thermal_zone1/type": "wifi"})
	r := devicepower.Open(dir)
	r.ReadOnce()
	_ = os.RemoveAll(filepath.Join(dir, "thermal"))
	for range 3 {
		if got := formatReadings(r.ReadOnce()); got != "AC mains 1\nthermal_zone0 cpu temp ? no longer available\n" {
			t.Error(got)
		}
	}
}

// Run reads until its context ends; after that, the ages in Latest keep growing.
func TestReader_Ages(t *testing.T) {
	defer goleak.VerifyNone(t)
	dir := writeTree(t, map[string]string{"power_supply/AC/type": "Mains", "power_supply/AC/online": "1"})
	r := devicepower.Open(dir)
	if got := r.Latest(); len(got) != 0 {
		t.Error(got)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		r.Run(ctx, time.Millisecond)
		close(done)
	}()
	waitFor(t, func() bool { return len(r.Latest()) == 1 })
	_ = os.WriteFile(filepath.Join(dir, "power_supply/AC/online"), []byte("0"), 0o600)
	waitFor(t, func() bool { l := r.Latest(); return l[0].OK && l[0].Value == 0 })
	cancel()
	<-done
	before := r.Latest()[0].Age
	waitFor(t, func() bool { return r.Latest()[0].Age > before+50 }) // 50 ticks are 5 ms
}

// waitFor fails the test if a condition does not hold within 10 s.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met within 10 s")
		}
	}
}

// The readings of a simulated machine follow the machine's state. They also follow its faults, which are a missing
// folder, garbage and frozen files.
func TestReader_ReadsSimulatedBattery(t *testing.T) {
	machine, err := standin.New(3, "0 load 1\n0 charge 0.5\n5 miss thermal\n6 write power_supply/BAT0/energy_now x\n8 heal\n9 freeze")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	r := devicepower.Open(dir)
	for s := 1; s <= 12; s++ {
		machine.Step(time.Second)
		if err := machine.Write(dir); err != nil {
			t.Fatal(err)
		}
		got := map[string]devicehealth.Reading{}
		for _, v := range r.ReadOnce() {
			got[v.Name+" "+string(v.Kind)] = v
		}
		charge, heat, draw := got["BAT0 charge"], got["thermal_zone0 x86_pkg_temp temp"], got["BAT0 draw"]
		if s < 6 || s == 8 {
			if charge.OK != true || math.Abs(charge.Value-machine.Charge) > 1e-6 || math.Abs(draw.Value-30) > 4 {
				t.Errorf("%d s: %v %v, charge is %v", s, charge, draw, machine.Charge)
			}
		}
		if heat.OK != (s < 5 || s >= 8) || heat.OK && (heat.Limit != 95 || math.Abs(heat.Value-machine.Temperature) > 1.5) {
			t.Errorf("%d s: %v, temp is %v", s, heat, machine.Temperature)
		}
		if (s == 6 || s == 7) && charge.OK {
			t.Errorf("%d s: %v", s, charge)
		}
		if s > 9 && charge.Value == machine.Charge {
			t.Errorf("%d s: the charge is not frozen", s)
		}
	}
}

func FuzzFolder(f *testing.F) {
	f.Add("power_supply/BAT0/energy_now", "30000000", "energy_full", "0", "Unknown")
	f.Add("thermal/thermal_zone0/temp", "-99999999999", "temp", "9223372036854775807", "Charging")
	f.Fuzz(func(t *testing.T, path, text, secondFile, otherText, status string) {
		files := map[string]string{"power_supply/BAT0/type": "Battery", "power_supply/BAT0/energy_now": "3", "power_supply/BAT0/energy_full": "4",
			"power_supply/BAT0/status": status, "thermal/thermal_zone0/type": text, "thermal/thermal_zone0/temp": text,
			"thermal/cooling_device0/type": "cpu", "thermal/cooling_device0/cur_state": otherText, "thermal/cooling_device0/max_state": text}
		maps.Copy(files, map[string]string{path: text, "power_supply/BAT0/" + secondFile: otherText})
		u := devicehealth.NewMonitor(0, nil)
		for _, r := range devicepower.FromFiles(files) {
			if r.OK == (r.Reason != "") || r.Name == "" {
				t.Fatalf("a reading without a name, or with a reason although it is OK, or without one although it is not: %+v", r)
			}
			u.AddReading(0, r)
		}
		r := u.Assess(0)
		if len(r.UnknownReadings) > 0 && r.State == devicehealth.StateAccepting {
			t.Fatalf("a node with unknown readings accepts instances: %+v", r)
		}
	})
}

// BenchmarkReadOnce measures one pass over a folder with mains, one battery, one thermal zone and one cooling device.
func BenchmarkReadOnce(b *testing.B) {
	machine, err := standin.New(1, "")
	if err != nil {
		b.Fatal(err)
	}
	dir := b.TempDir()
	machine.Step(time.Second)
	if err := machine.Write(dir); err != nil {
		b.Fatal(err)
	}
	r := devicepower.Open(dir)
	for b.Loop() {
		r.ReadOnce()
	}
}
