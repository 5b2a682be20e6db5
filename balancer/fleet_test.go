package balancer

import (
	"math"
	"testing"
)

// fleetDesk is a host of a relay that belongs to a fleet.
type fleetDesk struct {
	*desk
	repeats int // left
	probes  bool
	avoids  *Backend
	asked   int
}

func (d *fleetDesk) AvoidsBackend(u *Backend) bool { return u == d.avoids }

func (d *fleetDesk) MayRetry(*Request) bool { d.repeats--; return d.repeats >= 0 }
func (d *fleetDesk) MayProbe(*Backend) bool { d.asked++; return d.probes }

func fleetBench(repeats int, probes bool) (*bench, *fleetDesk) {
	host := &fleetDesk{desk: &desk{nacked: map[*Request]Tick{}, failed: map[*Request]bool{}}, repeats: repeats, probes: probes}
	return &bench{Balancer: New(host, start, 7, settings(nil)), host: host.desk, now: start}, host
}

// TestNoRepeatLeft: without a repeat a command ends at once, and its error speaks for the build as no second answer will.
func TestNoRepeatLeft(t *testing.T) {
	b, _ := fleetBench(1, true)
	b.unit(1, 1, 0)
	b.unit(2, 1, 0)
	b.news(1, 0, Released, 1)
	one := b.take(idempotent)
	b.end(one, Errored)
	check(t, "deliveries of the first", len(one.attempts), 2)
	b.end(one, Succeeded)
	b.evaluation.samples = newSamples(len(b.settings.Classes))
	two := b.take(idempotent)
	b.end(two, Errored)
	check(t, "deliveries of the second", len(two.attempts), 1)
	if _, nacked := b.host.nacked[two]; !nacked {
		t.Error("no answer at once")
	}
	bad, n := failures(b.evaluation.samples.class[idempotent])
	check(t, "errors that count", bad, 1)
	check(t, "outcomes", n, 1)
}

// TestRescueIsARepeat: a delivery is only called off where another may follow, and that one asks no second time.
func TestRescueIsARepeat(t *testing.T) {
	for _, repeats := range []int{0, 1} {
		b, host := fleetBench(repeats, true)
		b.unit(1, 1, 0)
		b.unit(2, 1, 0)
		b.unit(3, 1, 0)
		b.news(1, 0, Released, 1)
		c := b.take(idempotent)
		b.pass(Second * 35 / 100)
		check(t, "called off", len(b.host.called), repeats)
		if repeats > 0 {
			b.end(c, Cancelled)
			check(t, "deliveries", len(c.attempts), 2)
			check(t, "asked", host.repeats, 0)
		}
	}
}

// TestDoubtedUnitIsLeftToOthers: a relay that does not probe sends its commands elsewhere, without a pause.
func TestDoubtedUnitIsLeftToOthers(t *testing.T) {
	for _, probes := range []bool{false, true} {
		b, host := fleetBench(1000, probes)
		sick := b.unit(1, 1, 0)
		for door := uint32(2); door < 6; door++ {
			b.unit(door, 1, 0)
		}
		b.news(1, 0, Released, 1)
		sick.ejected, sick.failureWealth, sick.probationInterval = true, 1000, probationDone
		at := 0
		for range 300 {
			c := b.take(idempotent)
			check(t, "out at once", len(c.attempts), 1)
			if c.attempts[0].Backend == sick {
				at++
			}
			b.end(c, Succeeded)
			b.pass(Second / 20)
		}
		if host.asked == 0 || (at > 0) != probes {
			t.Errorf("probes %v: asked %d times, %d deliveries at the unit", probes, host.asked, at)
		}
	}
}

// TestSickForOthers: a unit that others found sick is left by a relay that has no doubt of it, but not where many are.
func TestSickForOthers(t *testing.T) {
	for _, c := range []struct{ doubted, want int }{{0, 0}, {3, 1}} {
		b, host := fleetBench(1000, false)
		sick := b.unit(1, 1, 0)
		for door := uint32(2); door < 9; door++ {
			if u := b.unit(door, 1, 0); int(door) < 2+c.doubted {
				u.ejected, u.failureWealth, u.nextProbation = true, 1000, math.MaxInt64
			}
		}
		b.news(1, 0, Released, 1)
		host.avoids = sick
		at := 0
		for range 300 {
			for _, d := range b.take(idempotent).attempts {
				if d.Backend == sick {
					at = 1
				}
			}
			b.answer()
			b.host.sent = nil
			b.pass(Second / 20)
		}
		check(t, "deliveries at the unit", at, c.want)
	}
}

// TestLoad: below 1 while nothing waits, above it by what does.
func TestLoad(t *testing.T) {
	b := newBench(nil)
	b.news(1, 0, Released, 1)
	check(t, "idle", b.Load(), 0)
	for door := range uint32(10) {
		b.unit(door, 1, 0)
	}
	for range 5 {
		b.take(idempotent)
	}
	check(t, "as many as it allows itself", b.Load(), 1)
	for range 5 {
		b.take(idempotent)
	}
	check(t, "as many wait", b.Load(), 2)
}
