package controller

import (
	"errors"
	"slices"
	"testing"

	"silvercove/internal/controllerclient"
	"silvercove/internal/tick"
)

func TestSpacePolicy_ThresholdsAndBackoff(t *testing.T) {
	policy := newSpacePolicy()
	for i, c := range []struct {
		free, total uint64
		lowOnSpace  bool
		trailing    uint64
	}{
		{50, 100, false, 2048},
		{6, 100, false, 2048},
		{5, 100, true, 256},
		{7, 100, true, 256}, // a disk that is low on space recovers only when 8% is free
		{0, 0, true, 256},   // total 0 means unknown sizes and changes nothing
		{8, 100, false, 2048},
		{6, 100, false, 2048}, // a disk that has recovered is low on space again only when at most 5% is free
		{0, 100, true, 256},
		{300, 100, false, 2048}, // free exceeds total
	} {
		before := policy.space.LowOnSpace
		changed := policy.OnDiskSpace(c.free, c.total)
		if policy.space.LowOnSpace != c.lowOnSpace || changed != (before != c.lowOnSpace) || policy.TrailingEntries() != c.trailing {
			t.Errorf("%d: %d of %d free: %+v, %d trailing entries, changed %v", i, c.free, c.total, policy.space, policy.TrailingEntries(), changed)
		}
	}
	if policy.CompactionDue(0, 10240) || !policy.CompactionDue(0, 10241) {
		t.Error("with enough space the log is not compacted beyond 10,240 entries")
	}
	policy.OnDiskSpace(4, 100)
	if policy.CompactionDue(0, 1280) || !policy.CompactionDue(0, 1281) {
		t.Error("with little space the log is not compacted beyond 1,280 entries")
	}
	policy.OnCompaction(0, errors.New("no space"))
	policy.OnCompaction(tick.Second, errors.New("no space"))
	if policy.CompactionDue(3*tick.Second-1, 1281) || !policy.CompactionDue(3*tick.Second, 1281) {
		t.Error("a snapshot that failed twice is not retried after two seconds")
	}
	policy.OnCompaction(0, nil)
	if !policy.CompactionDue(0, 1281) {
		t.Error("a successful snapshot delays the next one")
	}
	status := func(node, role string, free uint64, lowOnSpace bool) controllerclient.Status {
		return controllerclient.Status{Node: node, Role: role, Term: 3,
			Disk: &controllerclient.DiskSpace{Free: free, Total: 100, LowOnSpace: lowOnSpace}}
	}
	statuses := func(others ...controllerclient.Status) []controllerclient.Status { return others }
	for _, c := range []struct {
		name   string
		others []controllerclient.Status
		want   string
	}{
		{"none", nil, ""},
		{"all low on space", statuses(status("b", "follower", 7, true), status("c", "follower", 2, true)), ""},
		{"one at the recovery threshold", statuses(status("b", "follower", 8, false)), ""},
		{"the greatest free fraction", statuses(status("b", "follower", 20, false), status("c", "follower", 30, false)), "c"},
		{"the first by name", statuses(status("c", "follower", 30, false), status("b", "follower", 30, false)), "b"},
		{"one that does not follow", statuses(status("b", "candidate", 90, false), status("c", "waits", 90, false)), ""},
		{"one of another term", statuses(controllerclient.Status{Node: "b", Role: "follower", Term: 4,
			Disk: &controllerclient.DiskSpace{Free: 9, Total: 10}}), ""},
		{"one without disk space in its status", statuses(controllerclient.Status{Node: "b", Role: "follower", Term: 3}), ""},
	} {
		policy.transferBackoff.reset()
		if target := policy.TransferTarget(0, 3, c.others); target != c.want {
			t.Errorf("%s: target %q", c.name, target)
		}
	}
	policy.transferBackoff.reset()
	others := statuses(status("b", "follower", 20, false))
	var attempts []tick.Tick
	for now := tick.Tick(0); now < 20*tick.Second; now += tick.Second / 2 {
		if policy.TransferTarget(now, 3, others) != "" {
			attempts = append(attempts, now/tick.Second)
		}
	}
	if !slices.Equal(attempts, []tick.Tick{0, 1, 3, 7, 15}) {
		t.Errorf("attempts at %v s", attempts)
	}
	policy.OnDiskSpace(50, 100)
	if policy.TransferTarget(100*tick.Second, 3, others) != "" {
		t.Error("a leader with enough space transfers the leadership")
	}
}
