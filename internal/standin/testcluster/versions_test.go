package testcluster

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"silvercove/internal/placement"
)

// earlierCommit is a commit of this repository whose programs use the same protocols as the current ones.
const earlierCommit = "f9427c91d5ad6a4975c7f008be128deee1eaef9e"

var older struct {
	sync.Mutex
	path string
}

// olderBinary returns the path of the control program of earlierCommit. In that commit, the program is named covectl. The program
// is built once and kept between runs.
func olderBinary(t *testing.T) string {
	t.Helper()
	older.Lock()
	defer older.Unlock()
	if older.path != "" {
		return older.path
	}
	mod, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		t.Fatal(err)
	}
	root := filepath.Dir(strings.TrimSpace(string(mod)))
	if err := exec.Command("git", "-C", root, "cat-file", "-e", earlierCommit+"^{commit}").Run(); err != nil {
		t.Skipf("this clone lacks commit %s, of which the earlier version is built", earlierCommit)
	}
	dir := filepath.Join(os.TempDir(), fmt.Sprintf("silvercove-crew-%d-at-%s", os.Getuid(), earlierCommit[:12]))
	args := []string{"build", "-buildvcs=false"}
	if raceDetector {
		dir += "-race"
		args = append(args, "-race")
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	lock, err := os.Create(filepath.Join(dir, "lock"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lock.Close() }()
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "covectl")
	if _, err := os.Stat(path); err != nil {
		buildOlder(t, root, filepath.Join(dir, "source"), path, args)
	}
	older.path = path
	return path
}

// buildOlder builds the control program of earlierCommit, and writes it to the file named by the parameter path. The commit's
// files are unpacked into the directory source, which is removed afterwards.
func buildOlder(t *testing.T, root, source, path string, args []string) {
	t.Helper()
	if err := os.MkdirAll(source, 0o700); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = os.RemoveAll(source) }()
	tree, err := exec.Command("git", "-C", root, "archive", "--format=tar", earlierCommit).Output()
	if err != nil {
		t.Fatal(err)
	}
	unpack := exec.Command("tar", "-x", "-C", source)
	unpack.Stdin = bytes.NewReader(tree)
	if out, err := unpack.CombinedOutput(); err != nil {
		t.Fatalf("tar: %v\n%s", err, out)
	}
	build := exec.Command("go", append(args, "-o", path+".new", "./cmd/covectl")...)
	build.Dir = source
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// useProgram makes processes run a program from their next start on.
func (c *Cluster) useProgram(program string, names ...string) {
	c.test.Helper()
	for _, name := range names {
		p, err := c.node(name)
		if err != nil {
			c.test.Fatalf("%v", err)
		}
		p.Command = []string{program, "fleet", p.Role, "FILE"}
	}
}

// startMixedFleet starts a fleet with relays in which the named processes run the earlier version. If old is "*", all processes run it.
// The function waits until a controller leads and both edge nodes have leases.
func startMixedFleet(t *testing.T, seed uint64, old ...string) *Cluster {
	t.Helper()
	if testing.Short() {
		t.Skip("real processes")
	}
	program := olderBinary(t)
	var nodes []Node
	for i := range 3 {
		nodes = append(nodes, Node{Name: fmt.Sprintf("keeper-%d", i+1), Role: "keeper", Zone: "north"})
	}
	for i, zone := range []string{"north", "south"} {
		nodes = append(nodes, Node{Name: "edge-" + string(rune('a'+i)), Role: "edge", Zone: zone})
	}
	c := New(t, seed, shortLeaseSettings(), append(nodes, relayNodes(2)...)...)
	if len(old) == 1 && old[0] == "*" {
		old = nil
		for _, p := range c.nodes {
			old = append(old, p.Name)
		}
	}
	c.useProgram(program, old...)
	c.Start()
	c.Wait(0, "* leads")
	c.Wait(0, "edge-a lease gained")
	c.Wait(0, "edge-b lease gained")
	return c
}

// startMixedLoad creates an instance at edge-a, and starts clients that write to it through the edge nodes and the relays.
func (c *Cluster) startMixedLoad(t *testing.T, instance string) (stop func()) {
	t.Helper()
	stopWriters := c.startInstance(t, instance, "edge-a", "edge-b")
	var stops []func()
	for _, relay := range []string{"relay-1", "relay-2"} {
		c.Wait(0, relay+" routes "+instance)
		stops = append(stops, c.startWriters(1, 2*time.Second, func(name string) *Client { return c.RelayClient(name+"-"+relay, relay) }, instance))
	}
	return func() {
		stopWriters()
		for _, stop := range stops {
			stop()
		}
	}
}

func TestMixedVersions_ServeTogether(t *testing.T) {
	for _, f := range []struct {
		name string
		old  []string
	}{
		{"one controller is earlier", []string{"keeper-1"}},
		{"one controller is later", []string{"keeper-2", "keeper-3", "edge-a", "edge-b", "relay-1", "relay-2"}},
		{"the primary is earlier", []string{"edge-a", "relay-1"}},
		{"the primary is later", []string{"keeper-1", "keeper-2", "keeper-3", "edge-b", "relay-2"}},
		{"relays and nodes are earlier", []string{"edge-a", "edge-b", "relay-1", "relay-2"}},
		{"controllers are earlier", []string{"keeper-1", "keeper-2", "keeper-3"}},
	} {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			c := startMixedFleet(t, 50, f.old...)
			stop := c.startMixedLoad(t, "cam-1")
			c.playScript(t, `
				ask cross cam-1 south
				when edge-b acts cam-1@2
				when relay-1 routes cam-1@2
				when desk acked cam-1@2
				ask leader kill                  # a controller of the other version may lead next
				when * leads
				ask load 2500ms                  # nodes that lost their leases meanwhile serve again
			`)
			// A primary of the earlier version drops a replica that could not confirm log entries while no node had a lease. On a busy
			// machine, edge-b may also have lost and regained its lease, which raises the epoch. The test therefore waits until the
			// instance has a replica, and compares later epochs with the epoch at that time.
			before := c.waitForPrimary(t, "cam-1", "edge-b")
			c.playScript(t, "kill edge-b")
			c.waitForAssignment(t, "cam-1", func(p placement.Assignment) bool { return p.Primary == "edge-a" && p.Epoch > before.Epoch })
			if m := c.writeUntilAcknowledged(t, "cam-1", "edge-a"); m.Epoch <= before.Epoch {
				t.Errorf("write in an old epoch: %+v after %+v", m, before)
			}
			stop()
			c.checkRun(t)
			c.checkEventOrder(t, "edge-a acts cam-1@1", "edge-b acts cam-1@2", "* leads", "edge-b kill", "edge-a acts cam-1")
		})
	}
}

// All processes move to the later version one after the other: first the controllers, then the edge nodes, then the relays. In
// the case named down, all processes start with the later version and move to the earlier one in the reverse order.
func TestMixedVersions_RollUnderLoad(t *testing.T) {
	order := []string{"keeper-1", "keeper-2", "keeper-3", "edge-a", "edge-b", "relay-1", "relay-2"}
	back := slices.Clone(order)
	slices.Reverse(back)
	for _, f := range []struct {
		name  string
		up    bool
		order []string
	}{{"up", true, order}, {"down", false, back}} {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			from, to := "*", FleetCommand(t, "edge")[0]
			if !f.up {
				from, to = "", olderBinary(t)
			}
			c := startMixedFleet(t, 51, strings.Fields(from)...)
			stop := c.startMixedLoad(t, "cam-1")
			for _, name := range f.order {
				before := len(c.Events())
				c.playScript(t, "end "+name)
				c.useProgram(to, name)
				c.playScript(t, "start "+name)
				switch p, _ := c.node(name); p.Role {
				case "keeper":
					c.waitForVoter(t, name)
				case "edge":
					c.Wait(before, name+" lease gained")
					c.waitForReplica(t, "cam-1")
				case "relay":
					c.Wait(before, name+" routes cam-1")
				}
			}
			c.writeUntilAcknowledged(t, "cam-1", "edge-a", "edge-b")
			k := c.RelayClient("through", "relay-1")
			defer k.Close()
			m := k.Write("cam-1", 2*time.Second)
			for end := time.Now().Add(waitTimeout); m.Outcome == Rejected && time.Now().Before(end); { // a relay on a busy machine may shed the request, so it is repeated
				m = k.Write("cam-1", 2*time.Second)
			}
			if m.Outcome != Succeeded {
				t.Errorf("write through a relay: %+v", m)
			}
			stop()
			c.checkRun(t)
		})
	}
}

// waitForPrimary waits until an instance runs at a node, has a replica, and is neither being handed over nor copied.
func (c *Cluster) waitForPrimary(t *testing.T, instance, node string) placement.Assignment {
	t.Helper()
	return c.waitForAssignment(t, instance, func(p placement.Assignment) bool {
		return p.State == placement.Running && p.Primary == node && len(p.Replicas) > 0 && p.CopyTarget == ""
	})
}

// waitForVoter waits until a controller leads or follows a leader, and has applied entries of the agreed log.
func (c *Cluster) waitForVoter(t *testing.T, controller string) {
	t.Helper()
	why := ""
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s, err := c.controllers.Status(t.Context(), controller)
		if err == nil && (s.Role == "leader" || s.Role == "follower" && s.Leader != "") && s.Applied > 0 {
			return
		}
		why = fmt.Sprintf("%+v %v", s, err)
	}
	t.Fatalf("%s does not take part in the agreed log: %s", controller, why)
}

func TestMixedVersions_NetworkPartition(t *testing.T) {
	t.Parallel()
	c := startMixedFleet(t, 52, "keeper-1", "edge-a", "relay-2")
	stop := c.startMixedLoad(t, "cam-1")
	c.playScript(t, `
		ask cross cam-1 south
		split edge-a,relay-1 edge-b,relay-2,keeper-1,keeper-2,keeper-3
		when edge-b acts cam-1@2
		ask load 1s
		heal * *
		when edge-a lease gained
		ask cross cam-1 north
	`)
	c.waitForPrimary(t, "cam-1", "edge-a")
	c.playScript(t, "ask load 500ms")
	stop()
	c.writeUntilAcknowledged(t, "cam-1", "edge-a", "edge-b")
	c.checkRun(t)
}

// fileHashes returns the hashes of all files of a directory by their path.
func fileHashes(t *testing.T, dir string) map[string]string {
	t.Helper()
	all := map[string]string{}
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		text, err := os.ReadFile(path)
		name, _ := filepath.Rel(dir, path)
		if all[name] = fmt.Sprintf("%x", sha256.Sum256(text)); name == "run" {
			all[name] = "" // the file named run holds the number of starts; a start that refuses the disk counts too, so the content may change
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// runRefused starts a process that must refuse its disk, and returns its output.
func (c *Cluster) runRefused(t *testing.T, name string) string {
	t.Helper()
	p, err := c.node(name)
	if err != nil {
		t.Fatal(err)
	}
	args := slices.Clone(p.Command)
	args[len(args)-1] = p.file
	out, err := exec.CommandContext(t.Context(), args[0], args[1:]...).CombinedOutput()
	if err == nil {
		t.Errorf("%s exits without an error", name)
	}
	return string(out)
}

// Both the earlier and the current program must refuse a disk that a later version wrote. They must neither write to any file of
// the disk nor set a file aside, and the program that wrote the disk must be able to continue with it.
func TestMixedVersions_DiskOfLaterVersionUnchanged(t *testing.T) {
	t.Parallel()
	c := startMixedFleet(t, 53)
	if err := c.createInstance(t.Context(), "cam-1", "edge-a", "north"); err != nil {
		t.Fatal(err)
	}
	first := c.writeUntilAcknowledged(t, "cam-1", "edge-a", "edge-b")
	c.waitForReplica(t, "cam-1")
	c.playScript(t, "kill keeper-3\nkill edge-a\nsave keeper-3\nsave edge-a")
	writeAsLaterVersion := func(node, file string, change func([]byte) []byte) {
		p, err := c.node(node)
		if err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(filepath.Join(p.dataDir, file))
		if err == nil {
			err = os.WriteFile(filepath.Join(p.dataDir, file), change(text), 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	writeAsLaterVersion("keeper-3", "keeper.json", func(text []byte) []byte {
		var m map[string]any
		if err := json.Unmarshal(text, &m); err != nil {
			t.Fatal(err)
		}
		m["v"] = 2
		text, _ = json.Marshal(m)
		return text
	})
	writeAsLaterVersion("edge-a", "instances.log", func(text []byte) []byte {
		binary.LittleEndian.PutUint32(text[8:], 2)
		binary.LittleEndian.PutUint32(text[12:], uint32(xxhash.Sum64(text[:12])))
		return text
	})
	for _, program := range []string{olderBinary(t), FleetCommand(t, "edge")[0]} {
		c.useProgram(program, "keeper-3", "edge-a")
		for _, name := range []string{"keeper-3", "edge-a"} {
			p, _ := c.node(name)
			before := fileHashes(t, p.dataDir)
			if said := c.runRefused(t, name); !strings.Contains(said, "later version of this program") {
				t.Errorf("%s: %s", name, said)
			}
			for file, sum := range fileHashes(t, p.dataDir) {
				if before[file] != sum {
					t.Errorf("%s: %s was written", name, file)
				}
			}
		}
	}
	c.playScript(t, "restore keeper-3\nrestore edge-a\nstart keeper-3\nstart edge-a\nwhen edge-a lease gained")
	c.waitForVoter(t, "keeper-3")
	if last := c.writeUntilAcknowledged(t, "cam-1", "edge-a", "edge-b"); last.Seq <= first.Seq {
		t.Errorf("an effect was lost: %+v after %+v", last, first)
	}
	c.checkRun(t)
}
