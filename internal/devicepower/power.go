// Package devicepower reads an edge unit's strength from a folder in Linux's published layout: power_supply
// (Documentation/ABI/testing/sysfs-class-power: micro-volts, micro-amperes, micro-watts, tenths of a
// degree), thermal (sysfs-class-thermal: thousandths of a degree) and rfkill. It decides nothing: what
// can't be read is a reading that is not OK, with the reason.
package devicepower

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"silvercove/internal/devicehealth"
	"silvercove/internal/tick"
)

const (
	mostFile    = 4096 // bytes: a page, the most that the kernel gives for an attribute
	mostEntries = 256  // of a folder
	mostTrips   = 32   // of a thermal zone
)

// Reader keeps the newest readings of one folder.
type Reader struct {
	root string

	mu   sync.Mutex
	last []at
}

type at struct {
	devicehealth.Reading
	when time.Time
	once bool // it was read well before: it is missed when it is gone
}

// Open makes a reader of a folder that has power_supply and thermal. With root "" it reads that the unit
// is on mains, as an operator's file that names no folder says.
func Open(root string) *Reader { return &Reader{root: root} }

// Run reads every so often until ctx ends. A driver that hangs hangs this alone: the readings of Last
// grow old.
func (r *Reader) Run(ctx context.Context, every time.Duration) {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		r.ReadOnce()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Latest are the newest readings with their ages, those that were there once and are not any more among
// them. It never waits for a file.
func (r *Reader) Latest() []devicehealth.Reading {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, all := time.Now(), make([]devicehealth.Reading, len(r.last))
	for i, a := range r.last {
		all[i] = a.Reading
		all[i].Age = tick.FromDuration(now.Sub(a.when))
	}
	return all
}

// ReadOnce reads all once and returns it.
func (r *Reader) ReadOnce() []devicehealth.Reading {
	found := on(disk(r.root), r.root)
	when := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make([]at, 0, len(found))
	for _, f := range found {
		next = append(next, at{f, when, f.OK})
	}
	for _, old := range r.last {
		i := slices.IndexFunc(found, func(f devicehealth.Reading) bool { return f.Name == old.Name && f.Kind == old.Kind })
		switch {
		case i >= 0:
			next[i].once = next[i].once || old.once
		case old.once && len(next) < 4*mostEntries:
			f := devicehealth.Reading{Name: old.Name, Kind: old.Kind, Reason: "its file is gone"}
			found, next = append(found, f), append(next, at{f, when, true})
		}
	}
	r.last = next
	return found
}

// FromFiles are the readings of such files in memory, by their paths from the root: for simulated time.
func FromFiles(files map[string]string) []devicehealth.Reading { return on(memory(files), "memory") }

// source is where files are read from.
type source interface {
	line(path string) (string, error)
	names(dir string) ([]string, error)
}

// on is one pass over a folder.
func on(src source, root string) (all []devicehealth.Reading) {
	if root == "" {
		return []devicehealth.Reading{{Name: "file", Kind: devicehealth.KindMains, Value: 1, OK: true}}
	}
	supplies, err := src.names("power_supply")
	if err != nil {
		all = append(all, devicehealth.Reading{Name: "power_supply", Kind: devicehealth.KindMains, Reason: err.Error()})
	}
	for _, name := range supplies {
		all = append(all, supply(folder{src, "power_supply" + "/" + name}, name)...)
	}
	zones, err := src.names("thermal")
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		all = append(all, devicehealth.Reading{Name: "thermal", Kind: devicehealth.KindTemperature, Reason: err.Error()})
	}
	for _, name := range zones {
		d := folder{src, "thermal" + "/" + name}
		switch {
		case strings.HasPrefix(name, "thermal_zone"):
			all = append(all, d.zone(name)...)
		case strings.HasPrefix(name, "cooling_device"):
			all = append(all, d.cooling(name)...)
		}
	}
	radios, _ := src.names("rfkill") // where there is none, none is expected
	for _, name := range radios {
		d := folder{src, "rfkill" + "/" + name}
		if kind, err := d.word("type"); err == nil && (kind == "wlan" || kind == "wwan") {
			v, err := d.number("state")
			if v != 1 {
				v = 0 // 0 blocked by software, 2 by hardware
			}
			all = append(all, reading(name, devicehealth.KindRadio, v, err))
		}
	}
	return all
}

func supply(d folder, name string) (all []devicehealth.Reading) {
	kind, err := d.word("type")
	if err != nil {
		return []devicehealth.Reading{{Name: name, Kind: devicehealth.KindCharge, Reason: err.Error()}}
	}
	if scope, err := d.word("scope"); err == nil && scope == "Device" {
		return nil // of a mouse or a keyboard
	}
	if kind != "Battery" {
		v, err := d.number("online")
		if v > 0 {
			v = 1 // 2 is a source whose voltage is programmed
		}
		return []devicehealth.Reading{reading(name, devicehealth.KindMains, v, err)}
	}
	if v, err := d.number("present"); err == nil && v == 0 {
		return nil
	}
	// What can't be worked out from the files that were ever there is left out; what could be once is
	// told as gone.
	volts, noVolts := d.number("voltage_now")
	if noVolts == nil && !(volts > 0) {
		noVolts = fmt.Errorf("voltage_now: %.4g", volts)
	}
	charge, err := d.part("energy_now", "energy_full")
	if errors.Is(err, fs.ErrNotExist) {
		charge, err = d.part("charge_now", "charge_full")
	}
	if errors.Is(err, fs.ErrNotExist) {
		charge, err = d.number("capacity")
		charge /= 100
	}
	if charge > 1 && charge < 1.1 {
		charge = 1 // a gauge whose full value has aged
	}
	all = append(all, reading(name, devicehealth.KindCharge, charge, err))

	full, err := d.number("energy_full") // micro-watt-hours
	if full *= 3600e-6; errors.Is(err, fs.ErrNotExist) {
		if full, err = d.number("charge_full"); err == nil { // micro-ampere-hours
			full, err = full*3600e-6*volts*1e-6, noVolts
		}
	}
	if !errors.Is(err, fs.ErrNotExist) {
		all = append(all, reading(name, devicehealth.KindFullCharge, full, err))
	}

	watts, err := d.number("power_now")
	signed := watts
	if watts *= 1e-6; errors.Is(err, fs.ErrNotExist) {
		if watts, err = d.number("current_now"); err == nil {
			signed = watts
			watts, err = watts*1e-6*volts*1e-6, noVolts
		}
	}
	status, noStatus := d.word("status")
	switch watts = math.Abs(watts); {
	case errors.Is(noStatus, fs.ErrNotExist), status == "Unknown":
		if signed > 0 { // the sign is all there is: below 0 it is drawn from
			watts = -watts
		}
	case noStatus != nil:
		err = noStatus
	case status == "Charging":
		watts = -watts
	case status == "Full", status == "Not charging":
		watts = 0
	case status != "Discharging":
		err = fmt.Errorf("status: %q", status)
	}
	if !errors.Is(err, fs.ErrNotExist) {
		all = append(all, reading(name, devicehealth.KindDraw, watts, err))
	}
	if noStatus == nil && status != "Unknown" {
		v := 0.0
		if status == "Charging" {
			v = 1
		}
		all = append(all, reading(name, devicehealth.KindCharging, v, nil))
	}
	if temp, err := d.number("temp"); !errors.Is(err, fs.ErrNotExist) { // tenths of a degree
		t := reading(name, devicehealth.KindCellTemperature, temp/10, err)
		for _, file := range []string{"temp_max", "temp_alert_max"} {
			if v, err := d.number(file); err == nil && v > 0 && (t.Limit == 0 || v/10 < t.Limit) {
				t.Limit = v / 10
			}
		}
		all = append(all, t)
	}
	return all
}

// zone: thousandths of a degree; the limit is the least trip point at which the machine stops itself, or,
// where no types stand beside, the highest.
func (d folder) zone(name string) []devicehealth.Reading {
	if mode, err := d.word("mode"); err == nil && mode == "disabled" {
		return nil
	}
	temp, err := d.number("temp")
	label := name
	if kind, err := d.word("type"); err == nil && kind != "" {
		label = name + " " + kind
	}
	t := reading(label, devicehealth.KindTemperature, temp/1000, err)
	highest := 0.0
	for i := range mostTrips {
		v, err := d.number(fmt.Sprintf("trip_point_%d_temp", i))
		if errors.Is(err, fs.ErrNotExist) {
			break
		}
		if v /= 1000; err != nil || v <= 0 || v > 200 {
			continue // not in use
		}
		kind, err := d.word(fmt.Sprintf("trip_point_%d_type", i))
		switch {
		case err != nil:
			highest = max(highest, v)
		case (kind == "critical" || kind == "hot") && (t.Limit == 0 || v < t.Limit):
			t.Limit = v
		}
	}
	if t.Limit == 0 {
		t.Limit = highest
	}
	return []devicehealth.Reading{t}
}

// cooling: what slows a processor for heat; fans are no loss of strength.
func (d folder) cooling(name string) []devicehealth.Reading {
	kind, err := d.word("type")
	low := strings.ToLower(kind)
	if err != nil || !(low == "processor" || strings.Contains(low, "cpu") || strings.Contains(low, "devfreq") ||
		strings.Contains(low, "powerclamp")) {
		return nil
	}
	now, err := d.number("cur_state")
	most, err2 := d.number("max_state")
	if err = errors.Join(err, err2); err == nil && most <= 0 {
		err = fmt.Errorf("max_state: %.4g", most)
	}
	return []devicehealth.Reading{reading(name+" "+kind, devicehealth.KindThrottle, max(0, now)/max(1, most), err)}
}

func reading(name string, kind devicehealth.Kind, v float64, err error) devicehealth.Reading {
	if err != nil {
		return devicehealth.Reading{Name: name, Kind: kind, Reason: err.Error()}
	}
	return devicehealth.Reading{Name: name, Kind: kind, Value: v, OK: true}
}

// folder is one device's.
type folder struct {
	source
	path string
}

func (d folder) part(now, full string) (float64, error) {
	a, err := d.number(now)
	if err != nil {
		return 0, err
	}
	b, err := d.number(full)
	if err == nil && !(b > 0) {
		err = fmt.Errorf("%s: %.4g", full, b)
	}
	return a / b, err
}

func (d folder) number(file string) (float64, error) {
	s, err := d.word(file)
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %q is no whole number", file, s[:min(len(s), 40)])
	}
	return float64(n), nil
}

func (d folder) word(file string) (string, error) { return d.line(d.path + "/" + file) }

// disk is a real folder.
type disk string

// line is a file's first line. The file may be anything: a pipe, a folder, endless.
func (root disk) line(path string) (string, error) {
	file := filepath.Base(path)
	f, err := os.OpenFile(filepath.Join(string(root), path), os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return "", short(file, err)
	}
	defer func() { _ = f.Close() }()
	if info, err := f.Stat(); err != nil || !info.Mode().IsRegular() {
		return "", fmt.Errorf("%s: no regular file", file)
	}
	b, err := io.ReadAll(io.LimitReader(f, mostFile+1))
	if err != nil {
		return "", short(file, err)
	}
	return first(file, string(b))
}

func first(file, text string) (string, error) {
	if len(text) > mostFile {
		return "", fmt.Errorf("%s: more than %d bytes", file, mostFile)
	}
	line, _, _ := strings.Cut(strings.TrimSpace(text), "\n")
	return line, nil
}

// short leaves out the path, which is long and the same for all.
func short(file string, err error) error {
	var p *fs.PathError
	if errors.As(err, &p) {
		err = p.Err
	}
	return fmt.Errorf("%s: %w", file, err)
}

func (root disk) names(dir string) ([]string, error) {
	f, err := os.OpenFile(filepath.Join(string(root), dir), os.O_RDONLY|syscall.O_NONBLOCK|syscall.O_DIRECTORY, 0)
	if err != nil {
		return nil, short(dir, err)
	}
	defer func() { _ = f.Close() }()
	all, err := f.Readdirnames(mostEntries)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, short(dir, err)
	}
	slices.Sort(all)
	return all, nil
}

// memory is a folder that was never on disk.
type memory map[string]string

func (m memory) line(path string) (string, error) {
	text, ok := m[path]
	if !ok {
		return "", short(filepath.Base(path), syscall.ENOENT)
	}
	return first(filepath.Base(path), text)
}

func (m memory) names(dir string) (all []string, err error) {
	for path := range m {
		if rest, ok := strings.CutPrefix(path, dir+"/"); ok {
			all = append(all, strings.Split(rest, "/")[0])
		}
	}
	if len(all) == 0 {
		return nil, short(dir, syscall.ENOENT)
	}
	slices.Sort(all)
	return slices.Compact(all), nil
}
