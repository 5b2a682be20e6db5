package controller

import (
	"errors"
	"slices"
	"testing"

	"silvercove/internal/controllerclient"
	"silvercove/internal/tick"
)

func TestSpacePolicy(t *testing.T) {
	m := newSpacePolicy()
	for i, c := range []struct {
		free, total uint64
		short       bool
		leaves      uint64
	}{
		{50, 100, false, 2048},
		{6, 100, false, 2048},
		{5, 100, true, 256},
		{7, 100, true, 256}, // not well before 8%
		{0, 0, true, 256},   // not known: as before
		{8, 100, false, 2048},
		{6, 100, false, 2048}, // nor short before 5%
		{0, 100, true, 256},
		{300, 100, false, 2048}, // more than there is
	} {
		was := m.space.LowOnSpace
		changed := m.OnDiskSpace(c.free, c.total)
		if m.space.LowOnSpace != c.short || changed != (was != c.short) || m.TrailingEntries() != c.leaves {
			t.Errorf("%d: %d of %d: %+v, leaves %d, changed %v", i, c.free, c.total, m.space, m.TrailingEntries(), changed)
		}
	}
	if m.CompactionDue(0, 10240) || !m.CompactionDue(0, 10241) {
		t.Error("with room the log is not cut at 10,240 entries")
	}
	m.OnDiskSpace(4, 100)
	if m.CompactionDue(0, 1280) || !m.CompactionDue(0, 1281) {
		t.Error("without room the log is not cut at 1,280 entries")
	}
	m.OnCompaction(0, errors.New("no space"))
	m.OnCompaction(tick.Second, errors.New("no space"))
	if m.CompactionDue(3*tick.Second-1, 1281) || !m.CompactionDue(3*tick.Second, 1281) {
		t.Error("a snapshot that failed twice is not tried again after two seconds")
	}
	m.OnCompaction(0, nil)
	if !m.CompactionDue(0, 1281) {
		t.Error("a snapshot that was taken keeps the next one back")
	}
	other := func(node, role string, free uint64, short bool) controllerclient.Status {
		return controllerclient.Status{Node: node, Role: role, Term: 3,
			Disk: &controllerclient.DiskSpace{Free: free, Total: 100, LowOnSpace: short}}
	}
	says := func(some ...controllerclient.Status) []controllerclient.Status { return some }
	for _, c := range []struct {
		name string
		some []controllerclient.Status
		want string
	}{
		{"none", nil, ""},
		{"all short", says(other("b", "follower", 7, true), other("c", "follower", 2, true)), ""},
		{"one that is short soon", says(other("b", "follower", 8, false)), ""},
		{"the roomiest", says(other("b", "follower", 20, false), other("c", "follower", 30, false)), "c"},
		{"the first by name", says(other("c", "follower", 30, false), other("b", "follower", 30, false)), "b"},
		{"one that does not follow", says(other("b", "candidate", 90, false), other("c", "waits", 90, false)), ""},
		{"one of another term", says(controllerclient.Status{Node: "b", Role: "follower", Term: 4,
			Disk: &controllerclient.DiskSpace{Free: 9, Total: 10}}), ""},
		{"one that does not say", says(controllerclient.Status{Node: "b", Role: "follower", Term: 3}), ""},
	} {
		m.transferBackoff.reset()
		if to := m.TransferTarget(0, 3, c.some); to != c.want {
			t.Errorf("%s: to %q", c.name, to)
		}
	}
	m.transferBackoff.reset()
	some := says(other("b", "follower", 20, false))
	var at []tick.Tick
	for now := tick.Tick(0); now < 20*tick.Second; now += tick.Second / 2 {
		if m.TransferTarget(now, 3, some) != "" {
			at = append(at, now/tick.Second)
		}
	}
	if !slices.Equal(at, []tick.Tick{0, 1, 3, 7, 15}) {
		t.Errorf("tries at %v s", at)
	}
	m.OnDiskSpace(50, 100)
	if m.TransferTarget(100*tick.Second, 3, some) != "" {
		t.Error("one with room hands the lead on")
	}
}
