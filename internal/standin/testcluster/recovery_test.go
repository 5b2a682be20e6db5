package testcluster

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"silvercove/internal/placement"
)

// runControlProgram runs silvercovectl fleet VERB with the configuration file of a process, as an operator would on the machine
// of this process.
func (c *Cluster) runControlProgram(t *testing.T, verb, node string, more ...string) (output string, err error) {
	t.Helper()
	p, err := c.node(node)
	if err != nil {
		t.Fatal(err)
	}
	c.addEvent(Event{At: time.Now(), Node: TestNode, Name: verb, To: node, Why: strings.Join(more, " ")})
	out, err := exec.CommandContext(t.Context(), Binary(t, "silvercovectl"), append([]string{"fleet", verb, p.file}, more...)...).CombinedOutput()
	return string(out), err
}

func (c *Cluster) dataDirOf(t *testing.T, node string) string {
	t.Helper()
	p, err := c.node(node)
	if err != nil {
		t.Fatal(err)
	}
	return p.dataDir
}

// waitForAssignment waits until the controllers have an assignment of an instance that satisfies a condition, and returns it.
func (c *Cluster) waitForAssignment(tb testing.TB, name string, good func(placement.Assignment) bool) (p placement.Assignment) {
	tb.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		all, err := c.controllers.Assignments(tb.Context(), 0)
		at := slices.IndexFunc(all.Assignments, func(p placement.Assignment) bool { return p.Instance == name })
		if err != nil || at < 0 {
			continue
		}
		if p = all.Assignments[at]; good(p) {
			return p
		}
	}
	tb.Fatalf("the assignment of %s is %+v", name, p)
	return p
}

// Two of three controllers lose their disks under load. The third controller, which leads, is stopped, and so is the primary. The
// assignments are rebuilt from the edge nodes. Later the stopped leader, with its old disk, and the stopped primary resume. They
// must change nothing.
func TestRebuild_MajorityOfControllerDisksLost(t *testing.T) {
	t.Parallel()
	c := startFleet(t, 60, 2, 1)
	nodeNames := []string{"edge-a", "edge-b", "edge-c"}
	stop := c.startInstance(t, "cam-1", nodeNames...)
	c.waitForReplica(t, "cam-1")
	formerLeader := c.leader()
	var lost []string
	for _, name := range []string{"keeper-1", "keeper-2", "keeper-3"} {
		if name != formerLeader {
			lost = append(lost, name)
		}
	}
	lostAt := time.Now()
	c.playScript(t, "stop edge-a\nstop "+formerLeader)
	for _, name := range lost {
		c.playScript(t, "kill "+name+"\nwipe "+name)
	}
	said, err := c.runControlProgram(t, "rebuild", lost[0], "--without", "edge-a")
	if err != nil || !strings.Contains(said, "1 instances of generation 2 are in") {
		t.Fatalf("rebuild: %v %s", err, said)
	}
	t.Logf("rebuild: %s", said)
	from := len(c.Events())
	c.playScript(t, "start "+lost[0]+"\nstart "+lost[1])
	c.Wait(from, lost[0]+" leads")
	p := c.waitForAssignment(t, "cam-1", func(p placement.Assignment) bool { return p.State == placement.Running && p.Epoch > 1000 })
	if p.Primary == "edge-a" {
		t.Errorf("a node that did not take part in the rebuild is the primary: %+v", p)
	}
	c.Wait(from, p.Primary+" acts cam-1")
	c.Wait(from, "desk acked cam-1")
	for _, e := range c.Events()[from:] {
		if e.Is(lost[0] + " lapsed") {
			t.Errorf("a node was given up that could not have a lease yet: %s", e.Text())
		}
	}
	t.Logf("first acknowledgement %v after the loss", time.Since(lostAt).Round(100*time.Millisecond))
	c.waitForVoter(t, lost[1])
	woken := len(c.Events())
	c.playScript(t, "wake "+formerLeader+"\nwake edge-a\nwhen edge-a stops cam-1@1\nwhen edge-a lease gained\nask load 500ms")
	for _, e := range c.Events()[woken:] {
		if e.Is(lost[0]+" follows") || e.Is(formerLeader+" leads") {
			t.Errorf("an old controller that was woken changed the leader: %s %s", e.Node, e.Text())
		}
	}
	c.playScript(t, "kill "+lost[0]+"\nstart "+lost[0]) // lost[0], which was rebuilt, must start again while the former leader runs with its old disk
	c.waitForVoter(t, lost[0])
	c.playScript(t, "kill "+formerLeader)
	before := fileHashes(t, c.dataDirOf(t, formerLeader))
	if said := c.runRefused(t, formerLeader); !strings.Contains(said, "one of them is not of this fleet") {
		t.Errorf("an old disk was not refused: %s", said)
	}
	if after := fileHashes(t, c.dataDirOf(t, formerLeader)); len(before) != len(after) || before["keeper.json"] == "" ||
		before["keeper.json"] != after["keeper.json"] {
		t.Errorf("the refused disk was set aside or renamed: %v, before %v", after, before)
	}
	c.playScript(t, "wipe "+formerLeader+"\nstart "+formerLeader)
	c.waitForVoter(t, formerLeader)
	c.playScript(t, "kill "+lost[1]) // two of three controllers remain: lost[0], and the former leader, which started with an erased disk
	if m := c.writeUntilAcknowledged(t, "cam-1", nodeNames...); m.Epoch < 1000 {
		t.Errorf("write after the rebuild: %+v", m)
	}
	stop()
	c.checkRun(t)
	c.checkEventOrder(t, "edge-a stop", "desk rebuild", lost[0]+" leads", p.Primary+" acts cam-1", "edge-a wake", "edge-a stops cam-1@1")
}

// checkRebuildRefused checks that a rebuild is refused and writes nothing in two cases: a node does not answer, or a later
// version has written the backup.
func (c *Cluster) checkRebuildRefused(t *testing.T, backup string) {
	t.Helper()
	if said, err := c.runControlProgram(t, "rebuild", "keeper-2", "--backup", backup); err == nil ||
		!strings.Contains(said, "edge-c: what they alone have would be lost") {
		t.Errorf("rebuild with a silent node: %v %s", err, said)
	}
	text, err := os.ReadFile(backup)
	if err == nil {
		err = os.WriteFile(backup+".later", bytes.Replace(text, []byte(`{"v":1,`), []byte(`{"v":2,`), 1), 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	if said, err := c.runControlProgram(t, "rebuild", "keeper-2", "--backup", backup+".later"); err == nil ||
		!strings.Contains(said, "the backup: the store was written by a later version of this program") {
		t.Errorf("rebuild with a backup of a later version: %v %s", err, said)
	}
	if _, err := os.Stat(filepath.Join(c.dataDirOf(t, "keeper-2"), "keeper.json")); err == nil {
		t.Error("a refused rebuild wrote to the disk")
	}
}

// All controllers' disks and one node are lost, and the backup is older than the last changes. The rebuild must take the changes
// made after the backup from the nodes. The rebuild must name the instances that no node has. It cannot name an instance that
// neither a node nor the backup knows.
func TestRebuild_OldBackup(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("real processes")
	}
	var nodes []Node
	for i := range 3 {
		nodes = append(nodes, Node{Name: fmt.Sprintf("keeper-%d", i+1), Role: "keeper", Zone: "north"})
	}
	for _, name := range []string{"edge-a", "edge-b", "edge-c"} {
		nodes = append(nodes, Node{Name: name, Role: "edge", Zone: "north"})
	}
	// The instances have no replicas.
	c := New(t, 61, append(shortLeaseSettings(), "copies 0"), nodes...)
	c.Start()
	c.Wait(0, "* leads")
	create := func(name, node string) {
		c.Wait(0, node+" lease gained")
		if err := c.createInstance(t.Context(), name, node, "north"); err != nil {
			t.Fatal(err)
		}
		c.Wait(0, node+" acts "+name+"@1")
	}
	write := func(name string) (m Request) { return c.writeUntilAcknowledged(t, name, "edge-a", "edge-b", "edge-c") }
	create("cam-1", "edge-a")
	create("cam-2", "edge-b")
	create("cam-4", "edge-c")
	write("cam-1")
	write("cam-2")
	write("cam-4")
	backup := filepath.Join(t.TempDir(), "backup")
	if said, err := c.runControlProgram(t, "backup", "edge-a", backup); err != nil || !strings.Contains(said, "3 instances") {
		t.Fatalf("backup: %v %s", err, said)
	}
	// The backup does not contain the following changes.
	create("cam-3", "edge-a")
	create("cam-5", "edge-c")
	write("cam-3")
	write("cam-5")
	if _, err := c.MoveDevice(t.Context(), "cam-2", "south"); err != nil {
		t.Fatal(err)
	}
	for range 5 {
		write("cam-1")
	}
	last := map[string]Request{"cam-1": write("cam-1"), "cam-2": write("cam-2"), "cam-3": write("cam-3")}
	for _, name := range []string{"keeper-1", "keeper-2", "keeper-3", "edge-c"} {
		c.playScript(t, "kill "+name+"\nwipe "+name)
	}
	c.checkRebuildRefused(t, backup)
	said, err := c.runControlProgram(t, "rebuild", "keeper-2", "--backup", backup, "--without", "edge-c")
	if err != nil {
		t.Fatalf("rebuild: %v %s", err, said)
	}
	t.Logf("rebuild: %s", said)
	for _, want := range []string{"edge-c is silent", "edge-a has 2 instances", "edge-b has 1 instances",
		"cam-4: lost: no unit that answered has it", "cam-3: its importance and its device's zone are not known",
		"4 instances of generation 2"} {
		if !strings.Contains(said, want) {
			t.Errorf("the rebuild's output lacks %q", want)
		}
	}
	from := len(c.Events())
	c.playScript(t, "start keeper-1,keeper-2,keeper-3")
	c.Wait(from, "keeper-2 leads")
	for name, before := range last {
		if m := write(name); m.Seq != before.Seq+1 || m.Node != before.Node || m.Epoch < 1000 {
			t.Errorf("wrong write after the rebuild: %+v after %+v", m, before)
		}
	}
	// No node has cam-4, so cam-4 starts empty after restart_after.
	c.waitForAssignment(t, "cam-4", func(p placement.Assignment) bool {
		return p.State == placement.Running && p.Primary != "edge-c" && p.Index == 0
	})
	from = len(c.Events())
	c.playScript(t, "start edge-c")
	c.Wait(from, "edge-c lease gained")
	if shown, err := c.runControlProgram(t, "show", "edge-a"); err != nil || !strings.Contains(shown, "cam-4") || strings.Contains(shown, "cam-5") {
		t.Errorf("show: %v %s", err, shown)
	}
	c.waitForVoter(t, "keeper-1")
	c.waitForVoter(t, "keeper-3")
	c.checkRun(t)
}
