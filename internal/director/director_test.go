package director

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"silvercove/internal/dispatch"
	"silvercove/internal/keys"
	"silvercove/internal/monotonic"
	"silvercove/internal/standin/repository"
	"silvercove/internal/tufrepo"
	"silvercove/internal/tufverify"
)

// testDirector is a Director whose version store is on disk. It is also the version store that the Director uses, so that
// tests can make recording fail.
type testDirector struct {
	*testing.T
	*Director
	clock        *repository.Clock
	chain        map[string][]byte
	onlineKeys   []*keys.Key
	path         string
	disk         *monotonic.Store
	image        ImageLookup
	logMu        sync.Mutex
	logLines     []string
	beforeRecord func() error // called first by Record, which returns its error; any error but errKilled prevents the write
}

func (h *testDirector) Recorded(key string) (int64, tufverify.Digest) { return h.disk.Recorded(key) }
func (h *testDirector) TrustedTime() tufverify.Tick                   { return h.disk.TrustedTime() }
func (h *testDirector) AdvanceTime(now tufverify.Tick) error          { return h.disk.AdvanceTime(now) }
func (h *testDirector) Entries() []monotonic.Entry                    { return h.disk.Entries() }

func (h *testDirector) Record(key string, version int64, sum tufverify.Digest) error {
	if err := h.beforeRecord(); errors.Is(err, errKilled) {
		_ = h.disk.Record(key, version, sum)
		return err
	} else if err != nil {
		return err
	}
	return h.disk.Record(key, version, sum)
}

// errKilled is the error of a process that is killed after it recorded a version and before the Director could continue.
var errKilled = errors.New("killed")

func newTestDirector(t *testing.T) *testDirector {
	t.Helper()
	h := &testDirector{T: t, clock: repository.NewClock(false), path: filepath.Join(t.TempDir(), "floor"),
		beforeRecord: func() error { return nil }}
	publisher, err := repository.NewPublisher(filepath.Join(t.TempDir(), "d"), h.clock, tufrepo.Lifetimes{}, true)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = publisher.Repo.Close() })
	h.chain = publisher.At(0).Files
	for _, role := range []string{"targets", "snapshot", "timestamp"} {
		h.onlineKeys = append(h.onlineKeys, publisher.Keys[role]...)
	}
	h.image = func(path string) (*tufverify.Target, *tufverify.RefusalError) {
		if path == "app/9" {
			return nil, &tufverify.RefusalError{Reason: tufverify.ReasonMissing, Text: "not held"}
		}
		sum := sha256.Sum256([]byte(path))
		return &tufverify.Target{Path: path, Length: 5, Sum: sum}, nil
	}
	h.start()
	t.Cleanup(func() { _ = h.disk.Close() })
	return h
}

// start starts the Director, or restarts it after a kill.
func (h *testDirector) start() {
	h.Helper()
	if h.disk != nil {
		_ = h.disk.Close()
	}
	var err error
	if h.disk, err = monotonic.Open([]string{h.path}, 1000, func(slog.Level, string, ...slog.Attr) {}); err != nil {
		h.Fatal(err)
	}
	h.Director, err = New(Config{
		Chain:          h.chain,
		Keys:           h.onlineKeys,
		Store:          h,
		LookUpImage:    func(path string) (*tufverify.Target, *tufverify.RefusalError) { return h.image(path) },
		Now:            h.clock.Now,
		Lifetime:       time.Minute,
		Packages:       map[uint16]string{1: "app/1", 2: "app/2", 9: "app/9"},
		InitialVersion: 1,
		Log:            h.recordLog,
	})
	if err != nil {
		h.Fatal(err)
	}
	var endpoints []dispatch.Endpoint
	for i := range 10 {
		endpoints = append(endpoints, dispatch.Endpoint{Name: fmt.Sprint("s", i), Zone: "z", MachineKind: "large", State: "up"})
	}
	h.UpdateServers(true, endpoints)
}

// assignment fetches the metadata of a server. The result version is the version of the metadata. The result build is
// the version of the package that the metadata assign. Each is 0 if there is none.
func (h *testDirector) assignment(server string) (version int64, build uint16) {
	h.Helper()
	text, err := h.File(server, tufverify.File{Role: "timestamp"})
	if err != nil {
		return 0, 0
	}
	var m struct {
		Signed struct {
			Version int64
			Targets map[string]struct{ Custom tufverify.Custom }
		}
	}
	if err := json.Unmarshal(text, &m); err != nil {
		h.Fatal(err)
	}
	version = m.Signed.Version
	if text, err = h.File(server, tufverify.File{Role: "targets", Version: version}); err != nil {
		return version, 0
	}
	if err := json.Unmarshal(text, &m); err != nil {
		h.Fatal(err)
	}
	for _, t := range m.Signed.Targets {
		build = t.Custom.Build
	}
	return version, build
}

func (h *testDirector) setStage(version uint16, phase string, exposureCap float64) {
	h.OnStage(dispatch.RolloutStage{Version: version, Phase: phase, ExposureCap: exposureCap})
}

// countOnVersion2 has all ten servers fetch their metadata, and returns how many are assigned version 2.
func (h *testDirector) countOnVersion2() (n int) {
	for i := range 10 {
		if _, b := h.assignment(fmt.Sprint("s", i)); b == 2 {
			n++
		}
	}
	return n
}

// TestDirector_KilledBetweenSigningAndRecording guards against two issues to a server that have the same version number
// and different content. They would arise if the Director, after a restart, used a version number again that is already
// recorded. In every second round of the loop, the process is killed after it has signed and recorded an issue and
// before it can serve the issue. A recorded number must not be used again, whether or not a server has fetched the
// issue.
func TestDirector_KilledBetweenSigningAndRecording(t *testing.T) {
	h := newTestDirector(t)
	seen := map[int64]uint16{}
	last := int64(0)
	for round := range 12 {
		h.setStage(2, "testing", float64(round%3)/2)
		if round%2 == 1 {
			h.beforeRecord = func() error { return errKilled }
			if v, _ := h.assignment("s0"); v != 0 && v <= last {
				if seen[v] == 0 {
					t.Errorf("round %d: version %d was not issued before and is not newer", round, v)
				}
			}
			h.beforeRecord = func() error { return nil }
			h.start()
			h.setStage(2, "testing", float64(round%3)/2)
		}
		v, b := h.assignment("s0")
		if v < last {
			t.Errorf("round %d: version %d after %d", round, v, last)
		}
		if earlier, ok := seen[v]; ok && earlier != b {
			t.Errorf("version %d assigns build %d, and build %d before", v, earlier, b)
		}
		seen[v], last = b, v
	}
	if last < 6 {
		t.Errorf("only %d versions were issued", last)
	}
}

func TestDirector_VersionStoreFails(t *testing.T) {
	h := newTestDirector(t)
	if _, b := h.assignment("s0"); b != 1 {
		t.Fatalf("assigned build %d, want 1", b)
	}
	h.beforeRecord = func() error { return errors.New("no space") }
	if v, _ := h.assignment("s0"); v != 1 {
		t.Errorf("version %d instead of the issued metadata that have not expired", v)
	}
	if v, _ := h.assignment("s1"); v != 0 {
		t.Errorf("version %d was served without being recorded", v)
	}
	h.beforeRecord = func() error { return nil }
	h.countOnVersion2()
	h.beforeRecord = func() error { return errors.New("no space") }
	h.setStage(2, "testing", 1) // the rollout immediately assigns version 2 to two servers
	served := 0
	for i := range 10 {
		if v, b := h.assignment(fmt.Sprint("s", i)); v != 0 {
			served++
			if b != 1 {
				t.Errorf("build %d was served without being recorded", b)
			}
		}
	}
	if served != 8 {
		t.Errorf("%d servers get metadata, want 8: the two servers with a new assignment must get no older metadata", served)
	}
	h.beforeRecord = func() error { return nil }
	if _, b := h.assignment("s0"); b == 0 {
		t.Error("the Director does not recover after the version store does")
	}
}

func TestDirector_RestartKeepsAssignments(t *testing.T) {
	h := newTestDirector(t)
	h.setStage(2, "testing", 0.3)
	if n := h.countOnVersion2(); n != 2 { // a tenth of the servers, but at least two, is assigned the version immediately
		t.Fatalf("%d servers are assigned the version at first, want 2", n)
	}
	for range 3 {
		for i := range 10 {
			s := fmt.Sprint("s", i)
			if _, b := h.assignment(s); b == 2 {
				_ = h.OnReport(&tufverify.Report{Server: s, Build: 2, InstallResult: "ok", AttemptedTarget: "app/2"})
			}
		}
	}
	if n := h.countOnVersion2(); n != 3 {
		t.Fatalf("%d servers are assigned the version, want 3", n)
	}
	assignedBefore := map[string]bool{}
	for i := range 10 {
		_, b := h.assignment(fmt.Sprint("s", i))
		assignedBefore[fmt.Sprint("s", i)] = b == 2
	}
	h.setStage(2, "testing", 0.1) // the lower cap rolls servers back; the restart below comes before these servers have fetched new metadata
	h.start()
	h.setStage(2, "testing", 0.3)
	for i := range 10 {
		s := fmt.Sprint("s", i)
		if _, b := h.assignment(s); b == 2 && !assignedBefore[s] {
			t.Errorf("%s is assigned the version while a server that was rolled back may still install it", s)
		}
	}
	if counts := h.Count(); counts.MayInstall > 3 {
		t.Errorf("%d servers may install the version, want 3 at most", counts.MayInstall)
	}
	h.setStage(2, "recalled", 0)
	if n := h.countOnVersion2(); n != 0 {
		t.Errorf("%d servers are assigned a recalled version", n)
	}
	h.setStage(1, "live", 1)
	h.clock.Jump(-time.Hour) // the metadata issued next must not expire earlier because the clock was set back
	if _, b := h.assignment("s0"); b != 1 {
		t.Errorf("build %d after the clock was set back, want 1", b)
	}
}

func TestDirector_RestartKeepsReleasedVersion(t *testing.T) {
	h := newTestDirector(t)
	h.setStage(2, "live", 1)
	h.setStage(3, "testing", 0.1) // the stage of version 3 makes the Director record version 2 as released; version 3 has no package, so no server gets it
	h.start()
	h.setStage(2, "testing", 0) // must be ignored, because version 2 is released
	for i := range 10 {
		if _, b := h.assignment(fmt.Sprint("s", i)); b != 2 && b != 1 {
			t.Errorf("s%d is assigned build %d", i, b)
		}
	}
	if h.released != 2 {
		t.Errorf("build %d counts as released, want 2", h.released)
	}
}

func TestDirector_UnknownPackageIsNotAssigned(t *testing.T) {
	h := newTestDirector(t)
	h.setStage(9, "testing", 1)
	for i := range 10 {
		if _, b := h.assignment(fmt.Sprint("s", i)); b != 1 {
			t.Errorf("s%d is assigned build %d", i, b)
		}
	}
	imageWithoutVersion9 := h.image
	h.image = func(path string) (*tufverify.Target, *tufverify.RefusalError) {
		sum := sha256.Sum256([]byte(path))
		return &tufverify.Target{Path: path, Length: 5, Sum: sum}, nil
	}
	h.runDue() // this call looks up the package of version 9 again
	n := 0
	for i := range 10 {
		if _, b := h.assignment(fmt.Sprint("s", i)); b == 9 {
			n++
		}
	}
	if n != 2 {
		t.Errorf("%d servers are assigned the version once its package is known, want 2", n)
	}
	h.image = imageWithoutVersion9
	if lines, err := h.Explain("s0"); err != nil || len(lines) < 4 {
		t.Errorf("Explain of a known server: lines %v, error %v", lines, err)
	}
	if _, err := h.Explain("nobody"); !errors.Is(err, ErrUnknownServer) {
		t.Errorf("Explain of an unknown server: error %v", err)
	}
}

func TestDirector_Keys(t *testing.T) {
	h := newTestDirector(t)
	if err := h.Keys(h.chain, h.onlineKeys[:1]); err == nil {
		t.Error("too few online keys are accepted")
	}
	if err := h.Keys(map[string][]byte{}, h.onlineKeys); err == nil {
		t.Error("an empty root chain is accepted")
	}
	if _, b := h.assignment("s0"); b != 1 {
		t.Error("the previous keys are not used after an error")
	}
	if _, err := h.File("nobody", tufverify.File{Role: "timestamp"}); !errors.Is(err, ErrUnknownServer) {
		t.Errorf("File of an unknown server: error %v", err)
	}
	if _, err := h.File("s0", tufverify.File{Role: "snapshot", Version: 99}); !errors.Is(err, ErrUnknownFile) {
		t.Errorf("File with an unknown version: error %v", err)
	}
	if text, err := h.File("s0", tufverify.File{Role: "root", Version: 1}); err != nil || len(text) == 0 {
		t.Errorf("File of the root: error %v or no content", err)
	}
}

func TestDirector_ConcurrentRequests(t *testing.T) {
	h := newTestDirector(t)
	var requests sync.WaitGroup
	for round := range 8 {
		for i := range 10 {
			requests.Go(func() { h.assignment(fmt.Sprint("s", i)) })
		}
		requests.Go(func() { h.setStage(2, "testing", float64(round%4)/4) })
		requests.Go(func() { h.runDue() })
	}
	requests.Wait()
	h.setStage(2, "testing", 0.5)
	if n := h.countOnVersion2(); n > 5 {
		t.Errorf("%d of ten servers are assigned the version at a cap of a half", n)
	}
}
