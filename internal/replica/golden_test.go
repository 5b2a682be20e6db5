package replica_test

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"

	"silvercove/internal/replica"
	"silvercove/internal/standin/golden"
	"silvercove/internal/tick"
)

const (
	goldenFile = "golden_host_calls.txt"

	// goldenCheckpoint is the number of calls between two hashes of a trace in the golden file.
	goldenCheckpoint = 1000

	// goldenSeeds is the number of simulated fleets that are traced. Their seeds are 1 to goldenSeeds.
	goldenSeeds = 40

	milli          = tick.Second / 1000
	goldenLease    = tick.Second
	goldenDuration = 60 * tick.Second
)

// Numbers that identify a call in a trace: a call of a method of Host, of OnTick, or of the status methods of Manager.
const (
	callSend = iota + 1
	callPropose
	callRespond
	callAppendEntry
	callTruncateLog
	callResetLog
	callDeleteLog
	callNotify
	callTick
	callStatus
)

// recordedAs maps a kind of event to the name that it had when the golden traces were recorded. An entry is added when
// a kind is renamed, so that the traces need not be recorded again.
var recordedAs = map[string]string{}

func (w *goldenWorld) checkpoint() {
	w.checkpoints = append(w.checkpoints, w.hash.Sum64())
	w.checkpointTimes = append(w.checkpointTimes, w.now)
}

// call adds the start of the record of one call to the trace. The caller adds the arguments.
func (w *goldenWorld) call(n *goldenNode, kind int) {
	if w.calls++; w.calls%goldenCheckpoint == 0 {
		w.checkpoint()
	}
	w.callsByKind[kind]++
	w.numbers(uint64(kind), uint64(w.now), uint64(n.id), n.incarnation)
}

func (w *goldenWorld) numbers(all ...uint64) {
	var b [8]byte
	for _, n := range all {
		binary.LittleEndian.PutUint64(b[:], n)
		_, _ = w.hash.Write(b[:])
	}
}

func (w *goldenWorld) flags(all ...bool) {
	for _, set := range all {
		if set {
			w.numbers(1)
		} else {
			w.numbers(0)
		}
	}
}

func (w *goldenWorld) words(all ...string) {
	for _, text := range all {
		w.numbers(uint64(len(text)))
		_, _ = w.hash.WriteString(text)
	}
}

func (w *goldenWorld) entry(e replica.LogEntry) {
	w.numbers(e.Index, e.Epoch, e.Checksum)
	w.words(e.Node, e.RequestID, string(e.Body))
}

// wire adds the JSON encoding of a value, as it is sent between processes, to the trace.
func (w *goldenWorld) wire(v any) {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.words(string(text))
}

// text returns a trace as it stands in the golden file: its seed, its number of calls, and the hashes.
func (w *goldenWorld) text(seed uint64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d %d", seed, w.calls)
	for _, sum := range w.checkpoints {
		fmt.Fprintf(&b, " %08x", uint32(sum))
	}
	return b.String()
}

// TestGoldenHostCalls checks that managers make the recorded calls on their hosts, at the recorded times. A change that
// is meant to preserve behaviour must pass the test without new recorded traces.
func TestGoldenHostCalls(t *testing.T) {
	worlds := make([]*goldenWorld, goldenSeeds)
	var wg sync.WaitGroup
	for i := range worlds {
		wg.Go(func() {
			worlds[i] = newGoldenWorld(uint64(i + 1))
			worlds[i].run(goldenDuration)
		})
	}
	wg.Wait()
	var file strings.Builder
	for i, w := range worlds {
		fmt.Fprintln(&file, w.text(uint64(i+1)))
	}
	lines := strings.Split(strings.TrimSpace(golden.Recorded(t, goldenFile, file.String())), "\n")
	if len(lines) != goldenSeeds {
		t.Fatalf("%d traces are recorded, %d were run", len(lines), goldenSeeds)
	}
	var kinds [callStatus + 1]int
	for i, w := range worlds {
		for kind, n := range w.callsByKind {
			kinds[kind] += n
		}
		if lines[i] != w.text(uint64(i+1)) {
			t.Errorf("seed %d: %s", i+1, w.difference(lines[i]))
		}
	}
	for kind, n := range kinds[1:] {
		if n == 0 {
			t.Errorf("no call of kind %d is reached", kind+1)
		}
	}
	t.Logf("calls by kind: %v", kinds[1:])
}

// difference returns a description of the first place where the trace differs from want, the recorded trace.
func (w *goldenWorld) difference(want string) string {
	words := strings.Fields(want)[2:]
	from := tick.Tick(0)
	for i, sum := range w.checkpoints {
		if i >= len(words) || words[i] != fmt.Sprintf("%08x", uint32(sum)) {
			return fmt.Sprintf("differs from the recorded trace after call %d, between %d and %d ms", i*goldenCheckpoint,
				from/milli, w.checkpointTimes[i]/milli)
		}
		from = w.checkpointTimes[i]
	}
	return "ends before the recorded trace"
}
