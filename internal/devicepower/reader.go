package devicepower

import (
	"context"
	"slices"
	"sync"
	"time"

	"silvercove/internal/devicehealth"
	"silvercove/internal/tick"
)

// maxReadings limits the readings of disappeared devices: a Reader keeps such a reading only while it has fewer than
// maxReadings readings in all.
const maxReadings = 4 * maxDirEntries

// Reader keeps the newest readings of one folder. It is safe for concurrent use.
type Reader struct {
	root string

	mu     sync.Mutex
	latest []timedReading // guarded by mu
}

// timedReading is a reading, the time when it was read, and whether it was ever OK.
type timedReading struct {
	devicehealth.Reading
	at    time.Time
	wasOK bool // true if the reading was ever OK: if it disappears, it is reported as gone
}

// Open returns a Reader of a root folder that contains the folders power_supply, thermal and rfkill. If root is "", as
// when the operator's file names no folder, the only reading says that the node is on mains.
func Open(root string) *Reader { return &Reader{root: root} }

// Run reads the folder at each interval until the context ends. A hanging driver blocks only Run; Latest keeps returning the
// last readings, with growing ages.
func (r *Reader) Run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		r.ReadOnce()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Latest returns the newest readings with their ages, including those reported as gone. It does not wait for any file.
func (r *Reader) Latest() []devicehealth.Reading {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	readings := make([]devicehealth.Reading, len(r.latest))
	for i, reading := range r.latest {
		readings[i] = reading.Reading
		readings[i].Age = tick.FromDuration(now.Sub(reading.at))
	}
	return readings
}

// ReadOnce reads the folder once and returns the readings without ages. A reading that was OK before and has disappeared is
// returned as not OK.
func (r *Reader) ReadOnce() []devicehealth.Reading {
	found := readFolder(diskFiles(r.root), r.root)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make([]timedReading, 0, len(found))
	for _, reading := range found {
		next = append(next, timedReading{reading, now, reading.OK})
	}
	for _, old := range r.latest {
		i := slices.IndexFunc(found, func(f devicehealth.Reading) bool { return f.Name == old.Name && f.Kind == old.Kind })
		switch {
		case i >= 0:
			next[i].wasOK = next[i].wasOK || old.wasOK
		case old.wasOK && len(next) < maxReadings:
			gone := devicehealth.Reading{Name: old.Name, Kind: old.Kind, Reason: "no longer available"}
			found = append(found, gone)
			next = append(next, timedReading{gone, now, true})
		}
	}
	r.latest = next
	return found
}

// FromFiles returns the readings of files in memory, given by their paths from the root.
func FromFiles(files map[string]string) []devicehealth.Reading {
	return readFolder(memoryFiles(files), "memory")
}

// readFolder reads all files once. If root is "", it reads none and returns one reading, which says that the node is on
// mains.
func readFolder(files fileSource, root string) (readings []devicehealth.Reading) {
	if root == "" {
		return []devicehealth.Reading{{Name: "file", Kind: devicehealth.KindMains, Value: 1, OK: true}}
	}
	readings = append(readings, readPowerSupplies(files)...)
	readings = append(readings, readThermal(files)...)
	return append(readings, readRadios(files)...)
}

// newReading returns a reading with a value, or with the error's text if the value could not be read.
func newReading(name string, kind devicehealth.Kind, value float64, err error) devicehealth.Reading {
	if err != nil {
		return devicehealth.Reading{Name: name, Kind: kind, Reason: err.Error()}
	}
	return devicehealth.Reading{Name: name, Kind: kind, Value: value, OK: true}
}
