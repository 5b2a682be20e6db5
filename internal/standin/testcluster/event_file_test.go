package testcluster

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// eventFileDir is the directory into which each test that calls checkRun writes the events of its processes. The simulation model
// of the fleet is compared with these files. They are written by:
//
//	go test -run NAMES -courses ../../lab/fleetsim/testdata/processes ./internal/standin/testcluster
var eventFileDir = flag.String("courses", "", "directory for the files with the events of each test's processes")

func (c *Cluster) writeEventFile(t *testing.T) {
	t.Helper()
	if *eventFileDir == "" {
		return
	}
	load, _ := os.ReadFile("/proc/loadavg")
	first, _, _ := strings.Cut(string(load), " ")
	w, err := os.Create(filepath.Join(*eventFileDir, strings.ReplaceAll(t.Name(), "/", "-")+".txt"))
	if err == nil {
		err = WriteEvents(w, fmt.Sprintf("%s, settings %s, load of the machine %s", t.Name(), strings.Join(shortLeaseSettings(), ", "), first), c.started, c.Events())
		_ = w.Close()
	}
	if err != nil {
		t.Error(err)
	}
}

// ReadEvents must return the events that WriteEvents wrote, and Summarize must count their moves and the time without service.
func TestReadEvents_WrittenEvents(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	events := []Event{
		{At: at(5), Node: "keeper-1", Name: "placed", Instance: "cam-1", Epoch: 1, To: "edge-a", Why: "as asked"},
		{At: at(10), Node: "edge-a", Name: "acts", Instance: "cam-1", Epoch: 1},
		{At: at(20), Node: "edge-a", Name: "kill", Script: true},
		{At: at(820), Node: "keeper-1", Name: "placed", Instance: "cam-1", Epoch: 2, From: "edge-a", To: "edge-b"},
		{At: at(900), Node: "edge-b", Name: "acts", Instance: "cam-1", Epoch: 2},
		{At: at(910), Node: "edge-b", Name: "stops", Instance: "cam-1", Epoch: 2},
		{At: at(9000), Node: "edge-a", Name: "acts", Instance: "cam-1", Epoch: 3},
	}
	var b strings.Builder
	if err := WriteEvents(&b, "a run", at(0), events); err != nil {
		t.Fatal(err)
	}
	again, err := ReadEvents(b.String())
	if err != nil || fmt.Sprint(again) != fmt.Sprint(events) {
		t.Errorf("ReadEvents: %v\n%v", err, again)
	}
	if c := Summarize(again, "edge-b acts cam-1@2"); c != (RunSummary{Moves: 1, Idle: 880 * time.Millisecond}) {
		t.Errorf("wrong summary: %+v", c)
	}
	if c := Summarize(again, "edge-c acts"); !c.Incomplete || c.Idle != 8090*time.Millisecond {
		t.Errorf("wrong summary of an incomplete run: %+v", c)
	}
	if _, err := ReadEvents("1\tx\n"); err == nil {
		t.Error("a line of two fields was accepted")
	}
}
