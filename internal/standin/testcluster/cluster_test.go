package testcluster

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"silvercove/internal/fleet"
	"silvercove/internal/peertransport"
)

func TestMain(m *testing.M) {
	if file := os.Getenv("CREW_NEIGHBOUR"); file != "" {
		if err := runPeerProcess(os.Args[1]); err != nil {
			fmt.Fprintln(os.Stderr, "peer process:", err)
			os.Exit(1)
		}
		return
	}
	flag.Parse()
	if n, _ := strconv.Atoi(flag.Lookup("test.parallel").Value.String()); n > 6 {
		// Limits the number of fleets that run at the same time, because each has about ten processes.
		_ = flag.Set("test.parallel", "6")
	}
	goleak.VerifyTestMain(m)
}

// runPeerProcess is the main function of the processes in this package's own tests. It sends a request to each peer every 10 ms,
// and logs a peer's state at each change and once a second. On a busy machine, a peer may be logged as dead before a test kills
// it. A test that waits for the death after the kill then finds the line that is logged once a second. The process keeps the
// number of its starts on its disk.
func runPeerProcess(path string) error {
	f, err := fleet.Read(path)
	if err != nil {
		return err
	}
	logEvent := func(event string, more map[string]any) {
		line := map[string]any{"event": event, "node": f.Self.Name, "time": time.Now().Format(time.RFC3339Nano)}
		for name, v := range more {
			line[name] = v
		}
		text, _ := json.Marshal(line)
		fmt.Fprintln(os.Stderr, string(text))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	starts := 1
	if f.DataDir != "" {
		if err := os.MkdirAll(f.DataDir, 0o700); err != nil {
			return err
		}
		old, _ := os.ReadFile(f.DataDir + "/starts")
		_, _ = fmt.Sscan(string(old), &starts)
		if len(old) > 0 {
			starts++
		}
		if err := os.WriteFile(f.DataDir+"/starts", []byte(fmt.Sprint(starts)), 0o600); err != nil {
			return err
		}
	}
	n, err := peertransport.Open(f.FleetName, f.Self, f.Peers, zerolog.New(os.Stderr))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "here") })}
	ended := make(chan struct{}, 2)
	go func() { _ = n.Run(ctx); ended <- struct{}{} }()
	go func() { _ = server.Serve(n.Listener(peertransport.KindHTTP)); ended <- struct{}{} }()
	logEvent("acts", map[string]any{"instance": "count", "epoch": starts})
	client, state, loggedAt := n.Client(), map[string]string{}, map[string]time.Time{}
	for ctx.Err() == nil {
		for _, p := range n.Peers("edge") {
			ask, cancel := context.WithTimeout(ctx, scaled(300*time.Millisecond))
			req, _ := http.NewRequestWithContext(ask, "GET", "http://"+p.Name+"/", nil)
			res, err := client.Do(req)
			now := "alive"
			if err != nil {
				now = "dead"
			} else {
				_ = res.Body.Close()
			}
			cancel()
			if (state[p.Name] != now || time.Since(loggedAt[p.Name]) > time.Second) && ctx.Err() == nil {
				state[p.Name], loggedAt[p.Name] = now, time.Now()
				logEvent("member", map[string]any{"to": p.Name, "state": now})
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(10 * time.Millisecond):
		}
	}
	client.CloseIdleConnections()
	_ = server.Close()
	<-ended
	<-ended
	logEvent("stops", map[string]any{"instance": "count", "epoch": starts})
	return nil
}

func startPeerProcesses(t *testing.T, seed uint64, names ...string) *Cluster {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	var nodes []Node
	for _, name := range names {
		nodes = append(nodes, Node{Name: name, Role: "edge", Zone: "north", Command: []string{self, "FILE"},
			Env: []string{"CREW_NEIGHBOUR=1"}, Directives: []string{"peer none keeper north 127.0.0.1:9"}})
	}
	return New(t, seed, nil, nodes...)
}

func TestPlay_ControlsLinksAndProcesses(t *testing.T) {
	t.Parallel()
	c := startPeerProcesses(t, 1, "a", "b", "c")
	c.Start()
	err := c.Play(t.Context(), `
		when a member b alive
		when b member a alive
		cut a b oneway         # neither requests nor responses of a reach b
		when a member b dead
		heal a b
		when a member b alive
		stop c
		when a member c dead
		wake c
		when a member c alive
		save c
		kill c
		when a member c dead
		start c                # with its disk
		when c acts count@2
		kill c
		wipe c
		start c
		when c acts count@1
		kill c
		restore c              # with an older copy of its disk
		start c
		when c acts count@2
		split a,b c
		at 100ms heal * *
		end c
		when c stops count@2
	`, nil)
	if err != nil {
		t.Fatal(err)
	}
	events := c.Events()
	if err := CheckOrder(events, "links link a b cut", "a member b dead", "links link a b up", "c stop", "a member c dead",
		"c wake", "c kill", "c start", "c acts count@2"); err != nil {
		t.Error(err)
	}
	picture := c.Timeline()
	for _, want := range []string{"STOP", "KILL", "a>b cut", "member b dead", "acts count@1"} {
		if !strings.Contains(picture, want) {
			t.Errorf("the timeline lacks %s:\n%s", want, picture)
		}
	}
	if err := c.Do("kill c"); err == nil {
		t.Error("kill of a process that does not run was accepted")
	}
	if err := c.Do("start x"); err == nil {
		t.Error("start of an unknown process was accepted")
	}
	if err := c.Play(t.Context(), "at soon kill a", nil); err == nil {
		t.Error("a line with an invalid time was accepted")
	}
}

// recordingTest is a Test that records failures and log lines instead of reporting them.
type recordingTest struct {
	*testing.T
	faults []string
	after  []func()
}

func (q *recordingTest) Errorf(form string, args ...any) {
	q.faults = append(q.faults, fmt.Sprintf(form, args...))
}
func (q *recordingTest) Cleanup(f func()) { q.after = append(q.after, f) }
func (q *recordingTest) Failed() bool     { return len(q.faults) > 0 }
func (q *recordingTest) Logf(form string, args ...any) {
	q.faults = append(q.faults, fmt.Sprintf(form, args...))
}

// A process that ends by itself must fail the test. The test's log must then show the timeline and the process's other output.
func TestCluster_ProcessEndsByItself(t *testing.T) {
	t.Parallel()
	q := &recordingTest{T: t}
	c := New(q, 1, nil, Node{Name: "a", Role: "edge", Zone: "z",
		Command: []string{"/bin/sh", "-c", "echo 'panic: no' >&2; exit 3"}})
	c.Start()
	c.Wait(0, "a ends")
	for _, f := range slices.Backward(q.after) {
		f()
	}
	all := strings.Join(q.faults, "\n")
	for _, want := range []string{"a ended by itself: exit status 3", "a: panic: no", "START", "a also wrote"} {
		if !strings.Contains(all, want) {
			t.Errorf("no %q in %s", want, all)
		}
	}
}

func atMillis(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func TestDraw_OneColumnPerNode(t *testing.T) {
	got := Draw([]string{"keeper-1", "edge-a", "edge-b", "keeper-2", linkColumn, TestNode}, atMillis(0), []Event{
		{At: atMillis(41), Node: "edge-a", Name: "stops", Instance: "cam-7", Epoch: 4},
		{At: atMillis(0), Node: "keeper-1", Name: "leads"},
		{At: atMillis(0), Node: "edge-a", Name: "acts", Instance: "cam-7", Epoch: 4},
		{At: atMillis(40), Node: linkColumn, Name: "link", From: "edge-a", To: "edge-b", Why: "cut"},
		{At: atMillis(40), Node: TestNode, Name: "crosses", Instance: "cam-7", To: "south"},
		{At: atMillis(95), Node: "edge-b", Name: "acts", Instance: "cam-7", Epoch: 5},
		{At: atMillis(95), Node: "keeper-1", Name: "placed", Instance: "cam-7", Epoch: 5, From: "edge-a", To: "edge-b", Why: "its device has moved"},
		{At: atMillis(95), Node: TestNode, Name: "acked", Instance: "cam-7", Epoch: 5},
		{At: atMillis(120), Node: "edge-a", Name: "kill", Script: true},
	})
	const want = `
ms      keeper-1                    edge-a         edge-b        links              desk
0       leads                       acts cam-7@4
40                                                               edge-a>edge-b cut  crosses cam-7 south
41                                  stops cam-7@4
95                                                 acts cam-7@5
95      placed cam-7@5 edge-a>edg…                                                  acked cam-7@5
120                                 KILL
`
	if got = "\n" + got; got != want {
		t.Errorf("wrong timeline:\n%s", got)
	}
}

func newRequest(id string, write bool, from, to int, e Outcome, seq, epoch uint64) Request {
	return Request{Instance: "cam", ID: id, Write: write, Start: atMillis(from), End: atMillis(to), Timeout: 100 * time.Millisecond, Outcome: e,
		Seq: seq, Epoch: epoch, Node: "edge-" + string(rune('a'+epoch))}
}

func TestCheckHistory_FindsViolations(t *testing.T) {
	w1, w2 := newRequest("1", true, 0, 5, Succeeded, 1, 1), newRequest("2", true, 6, 9, Succeeded, 2, 1)
	for _, c := range []struct {
		name  string
		fault string
		all   []Request
	}{
		{"in order", "", []Request{w1, w2, newRequest("r", false, 10, 12, Succeeded, 2, 1)}},
		{"a retry with the first response", "", []Request{w1, newRequest("1", true, 6, 8, Succeeded, 1, 1)}},
		{"a request of unknown outcome that ran", "", []Request{w1, newRequest("u", true, 6, 7, Unknown, 0, 0), newRequest("3", true, 8, 9, Succeeded, 3, 1)}},
		{"a request of unknown outcome that did not run", "", []Request{w1, newRequest("u", true, 6, 7, Unknown, 0, 0), newRequest("3", true, 8, 9, Succeeded, 2, 2)}},
		{"a request of unknown outcome, retried", "", []Request{w1, newRequest("u", true, 6, 7, Unknown, 0, 0),
			newRequest("u", true, 8, 9, Succeeded, 2, 2), newRequest("4", true, 10, 11, Succeeded, 3, 2)}},
		{"two concurrent requests in either order", "", []Request{newRequest("1", true, 0, 9, Succeeded, 2, 1), newRequest("2", true, 0, 9, Succeeded, 1, 1)}},
		{"a request that never ran", "", []Request{w1, newRequest("n", true, 6, 7, NotRun, 0, 0), newRequest("3", true, 8, 9, Succeeded, 2, 1)}},
		{"a lost effect", "lost", []Request{w1, w2, newRequest("3", true, 10, 11, Succeeded, 2, 2)}},
		{"done twice", "twice", []Request{w1, newRequest("1", true, 6, 8, Succeeded, 2, 1)}},
		{"done twice, the second effect seen by the next request", "belongs to no request", []Request{w1, newRequest("3", true, 8, 9, Succeeded, 3, 1)}},
		{"a request that a relay rejected and that ran", "", []Request{w1, newRequest("n", true, 6, 7, Rejected, 0, 0), newRequest("3", true, 8, 9, Succeeded, 3, 1)}},
		{"a request of unknown outcome seen by a read", "", []Request{w1, newRequest("u", true, 6, 7, Unknown, 0, 0), newRequest("r", false, 8, 9, Succeeded, 2, 1)}},
		{"a request that began too late for its number", "belongs to no request", []Request{w1, newRequest("3", true, 2, 4, Succeeded, 3, 1),
			newRequest("u", true, 6, 7, Unknown, 0, 0)}},
		{"a refused request that ran", "belongs to no request", []Request{w1, newRequest("n", true, 6, 7, NotRun, 0, 0), newRequest("3", true, 8, 9, Succeeded, 3, 1)}},
		{"an old epoch acknowledges", "no order", []Request{newRequest("1", true, 0, 5, Succeeded, 1, 2), newRequest("2", true, 6, 9, Succeeded, 2, 1)}},
		{"a read of an old state", "no order", []Request{w1, w2, newRequest("r", false, 10, 12, Succeeded, 1, 1)}},
		{"numbers that contradict the order of time", "no order", []Request{newRequest("1", true, 0, 5, Succeeded, 2, 1), newRequest("2", true, 6, 9, Succeeded, 1, 1)}},
	} {
		err := CheckHistory(c.all)
		if c.fault == "" && err != nil || c.fault != "" && (err == nil || !strings.Contains(err.Error(), c.fault)) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	two := newRequest("2", true, 6, 9, Succeeded, 2, 1)
	two.Node = "edge-x"
	if CheckEpochs([]Request{w1, w2}) != nil || CheckEpochs([]Request{w1, two}) == nil ||
		CheckEpochs([]Request{newRequest("1", true, 0, 5, Succeeded, 1, 2), w2}) == nil {
		t.Error("CheckEpochs accepted a violation, or reported one that is none")
	}
	if CheckDeadlines([]Request{w1}, 0) != nil || CheckDeadlines([]Request{newRequest("1", true, 0, 150, Unknown, 0, 0)}, 20*time.Millisecond) == nil {
		t.Error("CheckDeadlines accepted a late response, or refused a timely one")
	}
}

func TestCheckOneServes_TwoNodesServe(t *testing.T) {
	e := func(ms int, node, name string, epoch uint64, script bool) Event {
		return Event{At: atMillis(ms), Node: node, Name: name, Instance: "cam", Epoch: epoch, Script: script}
	}
	late := func(e Event, ms int64) Event { e.Late = &ms; return e }
	for _, c := range []struct {
		good   bool
		events []Event
	}{
		{true, []Event{e(0, "a", "acts", 1, false), e(5, "a", "stops", 1, false), e(6, "b", "acts", 2, false)}},
		{true, []Event{e(0, "a", "acts", 1, false), e(6, "b", "acts", 2, false), e(5, "a", "kill", 0, true)}},
		{true, []Event{e(0, "a", "acts", 1, false), e(5, "a", "stop", 0, true), e(6, "b", "acts", 2, false), e(9, "a", "wake", 0, true),
			e(10, "a", "stops", 1, false)}},
		{false, []Event{e(0, "a", "acts", 1, false), e(6, "b", "acts", 2, false), e(7, "a", "stops", 1, false)}},
		{true, []Event{e(0, "a", "acts", 1, false), e(6, "b", "acts", 2, false), late(e(7, "a", "stops", 1, false), 2)}},
		{false, []Event{e(0, "a", "acts", 1, false), {At: atMillis(5), Node: "k", Name: "lapsed", To: "a"}, e(6, "b", "acts", 2, false),
			late(e(7, "a", "stops", 1, false), 0)}},
		{true, []Event{e(0, "a", "acts", 1, false), {At: atMillis(5), Node: "k", Name: "lapsed", To: "a"}, e(6, "b", "acts", 2, false),
			{At: atMillis(7), Node: "a", Name: "stops", Instance: "cam", Epoch: 1, Why: "the lease is over, or another one owns it"}}},
	} {
		if err := CheckOneServes(c.events); (err == nil) != c.good {
			t.Errorf("CheckOneServes: %v", err)
		}
	}
}
