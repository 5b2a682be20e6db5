package stagedrollout

import (
	"fmt"
	"log/slog"
	"math"
	"testing"

	"pgregory.net/rapid"

	"silvercove/balancer"
)

// testFleet is a Host that records assignments.
type testFleet struct {
	*Rollout
	servers          []*Server
	assignedVersions map[string]uint16
	assignments      int
	requestedTimer   Tick
	lines            []string
}

func (f *testFleet) Assign(s *Server, version uint16) {
	f.assignedVersions[s.Name] = version
	f.assignments++
}
func (f *testFleet) SetTimer(at Tick) { f.requestedTimer = at }
func (f *testFleet) Log(_ slog.Level, message string, fields ...slog.Attr) {
	f.lines = append(f.lines, balancer.LogLine(message, fields...))
}

const metadataLifetime = 60 * Second

// newTestFleet makes a fleet of n servers on version 1, with three zones and two kinds of hardware.
func newTestFleet(n int) *testFleet {
	f := &testFleet{assignedVersions: map[string]uint16{}}
	f.Rollout = New(f, metadataLifetime, 1)
	for i := range n {
		s := &Server{Name: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%3), Kind: []string{"large", "small"}[i%2]}
		f.servers = append(f.servers, s)
		f.OnListed(0, s, true)
	}
	f.OnListComplete(0)
	return f
}

// installAll lets every server fetch its metadata and install its assigned version, until no assignment changes.
func (f *testFleet) installAll(now Tick) Tick {
	for range 200 {
		before := f.assignments
		for _, s := range f.servers {
			f.OnFetched(now, s, s.Assigned())
			if s.Assigned() != 0 && s.running != s.Assigned() {
				f.OnReport(now, s, s.Assigned(), s.Assigned(), InstallSucceeded)
			}
		}
		now++
		if f.assignments == before {
			break
		}
	}
	return now
}

func (f *testFleet) countAssignedNewest() (n int) {
	for _, s := range f.servers {
		if s.Assigned() == 2 {
			n++
		}
	}
	return n
}

func TestRollout_ExposureCapIsRoundedDown(t *testing.T) {
	for _, c := range []struct {
		n    int
		cap  float64
		want int
	}{{1, 0.99, 0}, {3, 0.34, 1}, {3, 0.33, 0}, {10, 0.1, 1}, {10, 0.3, 3}, {29, 0.1, 2}, {1000, 0.35, 350}, {7, 1, 7}, {7, 0, 0}} {
		t.Run(fmt.Sprintf("%g of %d", c.cap, c.n), func(t *testing.T) {
			f := newTestFleet(c.n)
			f.OnStage(1, 2, 1, Canary, c.cap, nil)
			f.installAll(2)
			if got := f.countAssignedNewest(); got != c.want {
				t.Errorf("%d servers are assigned the version, want %d", got, c.want)
			}
		})
	}
}

func TestRollout_AssignmentsStayAndAreSpread(t *testing.T) {
	f := newTestFleet(300)
	f.OnStage(1, 2, 1, Canary, 0.1, nil)
	now := f.installAll(2)
	first, zones := map[string]bool{}, map[string]int{}
	for _, s := range f.servers {
		if s.Assigned() == 2 {
			first[s.Name] = true
			zones[s.Zone+s.Kind]++
		}
	}
	for group, n := range zones {
		if n < 4 || n > 6 {
			t.Errorf("%d of the first 30 servers are in group %s; 5 is a tenth of its 50", n, group)
		}
	}
	f.OnStage(now, 2, 1, Canary, 0.35, nil)
	now = f.installAll(now)
	for _, s := range f.servers {
		if first[s.Name] && s.Assigned() != 2 {
			t.Errorf("%s was assigned the version at a cap of 10%% and is not at a cap of 35%%", s.Name)
		}
	}
	f.OnStage(now, 2, 1, Canary, 0.1, nil)
	now = f.installAll(now)
	for _, s := range f.servers {
		if first[s.Name] != (s.Assigned() == 2) {
			t.Errorf("%s is assigned version %d after the cap was lowered to 10%% again", s.Name, s.Assigned())
		}
	}
	f.OnStage(now, 2, 1, RollingBack, 0.1, nil)
	if f.countAssignedNewest() != 0 {
		t.Error("some servers are still assigned the version")
	}
	nextFleet := newTestFleet(300) // version 3; at most half of its first servers may be among the first servers of version 2
	nextFleet.OnStage(1, 3, 1, Canary, 0.1, nil)
	nextFleet.installAll(2)
	overlap := 0
	for _, s := range nextFleet.servers {
		if s.Assigned() == 3 && first[s.Name] {
			overlap++
		}
	}
	if overlap > 15 {
		t.Errorf("%d of the first 30 servers of version 2 are also among the first servers of version 3, want at most 15", overlap)
	}
}

// TestRollout_RolledBackServersCount: a server that was rolled back counts against the cap until it has fetched newer
// metadata, or until the metadata that it holds have expired.
func TestRollout_RolledBackServersCount(t *testing.T) {
	f := newTestFleet(10)
	f.OnStage(1, 2, 1, Canary, 0.4, nil)
	f.installAll(2)
	if f.countAssignedNewest() != 4 {
		t.Fatal(f.countAssignedNewest())
	}
	f.OnStage(10, 2, 1, Canary, 0.1, nil)
	f.OnStage(11, 2, 1, Canary, 0.3, nil) // the cap is raised again before any rolled-back server has fetched newer metadata
	if counts := f.Count(12); counts.Assigned > 3 || counts.MayInstall > 4 {
		t.Errorf("%d servers are assigned the version and %d may install it, want at most 3 and 4", counts.Assigned, counts.MayInstall)
	}
	rolledBack := 0
	for _, s := range f.servers {
		if s.Assigned() == 1 && s.mayInstallUntil > 12 {
			rolledBack++
			f.OnFetched(12, s, 1)
		}
	}
	if counts := f.Count(13); counts.MayInstall > 3 {
		t.Errorf("%d servers may install the version after %d servers have fetched newer metadata, want at most 3", counts.MayInstall, rolledBack)
	}
	expiringFleet := newTestFleet(10)
	expiringFleet.OnStage(1, 2, 1, Canary, 0.4, nil)
	expiringFleet.installAll(2)
	expiringFleet.OnStage(10, 2, 1, Canary, 0, nil)
	if counts := expiringFleet.Count(10 + metadataLifetime - 1); counts.MayInstall != 4 {
		t.Errorf("%d servers may install the version before their metadata expire, want 4", counts.MayInstall)
	}
	if counts := expiringFleet.Count(10 + metadataLifetime); counts.MayInstall != 0 {
		t.Errorf("%d servers may install the version after their metadata have expired, want 0", counts.MayInstall)
	}
}

func TestRollout_FailedInstallations(t *testing.T) {
	f := newTestFleet(10)
	f.OnStage(1, 2, 1, Canary, 0.1, nil)
	var failing *Server
	for _, s := range f.servers {
		if s.Assigned() == 2 {
			failing = s
		}
	}
	now := Tick(2)
	for attempt := range maxFailures {
		f.OnReport(now, failing, 1, 2, InstallFailed)
		if failing.Assigned() == 2 {
			t.Fatal("the server is assigned the version again at once after a failure")
		}
		f.OnFetched(now, failing, 1)
		if n := f.countAssignedNewest(); n != 1 {
			t.Errorf("attempt %d: %d servers are assigned the version, want 1, as another server takes the place of the failing one", attempt, n)
		}
		for _, s := range f.servers { // the other servers decline, so that the failing server is assigned the version again
			if s.Assigned() == 2 && s != failing {
				f.OnReport(now, s, 1, 2, InstallDeclined)
				f.OnFetched(now, s, 1)
			}
		}
		for i := 0; i < 20 && failing.Assigned() != 2 && f.requestedTimer > 0; i++ {
			now = f.requestedTimer
			f.requestedTimer = 0
			f.OnTimer(now)
			for _, s := range f.servers {
				if s.Assigned() == 2 && s != failing {
					f.OnReport(now, s, 1, 2, InstallDeclined)
					f.OnFetched(now, s, 1)
				}
			}
		}
		if assigned := failing.Assigned() == 2; assigned != (attempt < maxFailures-1) {
			t.Fatalf("after %d failures, the server is assigned the version: %v", attempt+1, assigned)
		}
	}
	if !failing.excluded {
		t.Error("the server is not excluded after too many failures")
	}
	f.OnStage(now, 3, 1, Canary, 1, nil) // the exclusion must not apply to version 3
	f.installAll(now)
	if failing.Assigned() != 3 {
		t.Errorf("the server is assigned version %d, want 3", failing.Assigned())
	}
}

func TestRollout_UnreportedInstallation(t *testing.T) {
	f := newTestFleet(10)
	f.OnStage(1, 2, 1, Canary, 0.1, nil)
	first := ""
	for _, s := range f.servers {
		if s.Assigned() == 2 {
			first = s.Name
		}
	}
	f.OnTimer(1 + installWindow)
	for _, s := range f.servers {
		if s.Name == first && (s.Assigned() == 2 || s.failures != 1) {
			t.Errorf("the server is assigned version %d and has %d failures, want version 1 and 1 failure", s.Assigned(), s.failures)
		}
	}
}

func TestRollout_PendingInstallationsAreBounded(t *testing.T) {
	f := newTestFleet(100)
	f.OnStage(1, 2, 1, Released, 1, nil)
	if n := f.countAssignedNewest(); n != 10 {
		t.Errorf("%d servers are assigned the version at once, want 10", n)
	}
	failed := 0
	for range 3 { // every installation fails; from then on, only one may be pending at a time
		for _, s := range f.servers {
			if s.Assigned() == 2 {
				f.OnReport(2, s, 1, 2, InstallFailed)
				failed++
			}
		}
	}
	if n := f.countAssignedNewest(); n != 1 {
		t.Errorf("%d servers are assigned the version while most installations fail, want 1", n)
	}
	f.Pause(3)
	f.installAll(3)
	if f.countAssignedNewest() != 100-failed {
		t.Errorf("%d servers are assigned the released version, want all but the %d servers that wait to retry", f.countAssignedNewest(), failed)
	}
}

func TestRollout_PauseStopsAssignments(t *testing.T) {
	f := newTestFleet(100)
	f.OnStage(1, 2, 1, Canary, 0.1, nil)
	f.installAll(2)
	f.Pause(3)
	f.OnStage(4, 2, 1, Canary, 0.1, nil)
	f.servers = append(f.servers, &Server{Name: "late"})
	f.OnListed(4, f.servers[100], true)
	for _, s := range f.servers[:20] {
		f.OnListed(4, s, false)
	}
	f.OnListComplete(4)
	n := f.countAssignedNewest()
	f.installAll(5)
	if f.countAssignedNewest() > n {
		t.Error("further servers are assigned the version after Pause")
	}
	f.OnStage(6, 2, 1, Canary, 0.3, nil) // exposure cap raised to 0.3: this ends the pause
	f.installAll(6)
	if f.countAssignedNewest() <= n {
		t.Error("no further server is assigned the version after the cap was raised")
	}
}

func TestRollout_HardwareKindsAndServersThatLeave(t *testing.T) {
	f := newTestFleet(20)
	f.OnStage(1, 2, 1, Released, 1, []string{"small"})
	now := f.installAll(2)
	for _, s := range f.servers {
		if (s.Kind == "small") != (s.Assigned() == 2) {
			t.Errorf("%s of kind %s is assigned version %d", s.Name, s.Kind, s.Assigned())
		}
	}
	shrinkingFleet := newTestFleet(10)
	shrinkingFleet.OnStage(1, 2, 1, Canary, 0.5, nil)
	shrinkingFleet.installAll(2)
	var gone *Server
	for _, s := range shrinkingFleet.servers {
		if s.Assigned() == 2 {
			gone = s
		}
	}
	shrinkingFleet.OnListed(10, gone, false)
	shrinkingFleet.OnListComplete(10)
	if gone.Assigned() != 1 {
		t.Error("a server that left is still assigned the version")
	}
	if counts := shrinkingFleet.Count(11); counts.Servers != 9 || counts.MayInstall > 5 {
		t.Errorf("%d servers are listed and %d may install the version, want 9 and at most 5", counts.Servers, counts.MayInstall)
	}
	shrinkingFleet.OnTimer(10 + metadataLifetime)
	if status := shrinkingFleet.Explain(now, gone); status.Servers != 9 {
		t.Errorf("%d servers are kept, want 9", status.Servers)
	}
	// Version 2 is replaced before it is released: its servers are rolled back.
	replacingFleet := newTestFleet(10)
	replacingFleet.OnStage(1, 2, 1, Canary, 0.5, nil)
	replacingFleet.installAll(2)
	replacingFleet.OnStage(3, 3, 1, Canary, 0.1, nil)
	if n := replacingFleet.countAssignedNewest(); n != 0 {
		t.Errorf("%d servers are still assigned the replaced version", n)
	}
	// A server that is excluded from a released version stays on its older version when the next version comes.
	decliningFleet := newTestFleet(10)
	decliningFleet.OnStage(1, 2, 1, Released, 1, nil)
	decliningFleet.OnReport(2, decliningFleet.servers[0], 1, 2, InstallDeclined)
	for _, s := range decliningFleet.servers {
		if s.Assigned() == 2 {
			decliningFleet.OnReport(2, s, 2, 2, InstallSucceeded)
		}
	}
	decliningFleet.installAll(3)
	excludedServer := ""
	for _, s := range decliningFleet.servers {
		if s.Assigned() == 1 {
			excludedServer = s.Name
		}
	}
	decliningFleet.OnStage(4, 3, 2, Canary, 0, nil)
	for _, s := range decliningFleet.servers {
		if s.Name == excludedServer && s.Assigned() != 1 || s.Name != excludedServer && s.Assigned() != 2 {
			t.Errorf("%s is assigned version %d", s.Name, s.Assigned())
		}
	}
}

// TestRollout_KeepsExposureCapUnderAnyOrder: for any order of events, the number of servers that are assigned the
// version never exceeds a limit. The limit is the exposure cap's share of the listed servers, rounded down. An
// assignment never raises the number of servers that may install the version above the limit.
func TestRollout_KeepsExposureCapUnderAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newTestFleet(rapid.IntRange(1, 40).Draw(rt, "servers"))
		now, share, phase := Tick(1), 0.0, Canary
		f.OnStage(now, 2, 1, phase, share, nil)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += Tick(rapid.IntRange(0, int(metadataLifetime)).Draw(rt, "later"))
			s := f.servers[rapid.IntRange(0, len(f.servers)-1).Draw(rt, "server")]
			counts := f.Count(now)
			mayInstallBefore := counts.MayInstall
			assignedBefore := f.countAssignedNewest()
			switch rapid.IntRange(0, 7).Draw(rt, "what") {
			case 0:
				share = float64(rapid.IntRange(0, 20).Draw(rt, "cap")) / 20
				phase = rapid.SampledFrom([]Phase{Canary, Canary, Canary, RollingBack}).Draw(rt, "phase")
				f.OnStage(now, 2, 1, phase, share, nil)
			case 1, 2:
				f.OnFetched(now, s, s.Assigned())
			case 3:
				f.OnListed(now, s, !s.listed)
				f.OnListComplete(now)
			case 4:
				f.OnReport(now, s, s.running, 2, rapid.SampledFrom([]InstallResult{InstallFailed, InstallDeclined}).Draw(rt, "how"))
			case 5:
				f.OnReport(now, s, s.Assigned(), s.Assigned(), InstallSucceeded)
			default:
				f.OnTimer(now)
			}
			counts = f.Count(now)
			listed, assigned, mayInstall := counts.Servers, counts.Assigned, counts.MayInstall
			maxAssigned := int(math.Floor(share*float64(listed) + 1e-9))
			if phase == RollingBack {
				maxAssigned = 0
			}
			if assigned > maxAssigned {
				rt.Fatalf("%d servers are assigned the version, at most %d are allowed", assigned, maxAssigned)
			}
			if assigned > assignedBefore && mayInstall > max(maxAssigned, mayInstallBefore) {
				rt.Fatalf("%d servers may install the version, at most %d are allowed, and further servers were assigned it", mayInstall, maxAssigned)
			}
		}
	})
}
