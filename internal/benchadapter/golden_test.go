package benchadapter_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"slices"
	"testing"

	"silvercove/internal/benchadapter"
	"silvercove/internal/standin/golden"
)

// The golden trace guards the adapter's replies to scripts of frames. A simulator (script_test.go) generates each
// script from a seed. The simulator has its own implementation of the bench's wire protocol and shares no code with the
// adapter.
//
// The trace holds one line for each seed, with a hash of all replies. The hash covers the number, position and order of
// log records. It leaves out their texts, and the length of a reply, which depends on the texts.

const (
	goldenFile  = "replies.golden"
	goldenSeeds = 28
)

// runScript runs one script against an adapter and returns the script's line of the trace.
func runScript(t *testing.T, seed uint64) (line string, b *simulator) {
	t.Helper()
	b = newSimulator(t, seed)
	toAdapter, frames := io.Pipe()
	replies, fromAdapter := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		err := benchadapter.Serve(toAdapter, fromAdapter)
		toAdapter.CloseWithError(io.ErrClosedPipe)
		fromAdapter.CloseWithError(io.EOF)
		ended <- err
	}()
	ask := func(frame []byte) (count uint32, body []byte, err error) {
		if _, err := frames.Write(frame); err != nil {
			return 0, nil, err
		}
		var head [8]byte
		if _, err := io.ReadFull(replies, head[:]); err != nil {
			return 0, nil, err
		}
		body = make([]byte, binary.LittleEndian.Uint32(head[4:]))
		_, err = io.ReadFull(replies, body)
		return binary.LittleEndian.Uint32(head[:]), body, err
	}
	for i := range 1 + b.random.IntN(3) {
		r := &scriptInstance{number: uint32(i*5 + 1)}
		b.instances = append(b.instances, r)
		b.at(scriptStart+microseconds(i)*300_000, func() { b.start(r) })
	}
	b.scheduleRollouts()
	b.at(scriptStart+second, b.sideEvents)
	for b.now = scriptStart - batchGap; b.now < scriptStart+scriptSpan; b.now += batchGap {
		if b.next != nil {
			b.next()
			b.next = nil
		}
		for len(b.pending) > 0 && b.pending[0].at <= b.now {
			next := b.pending[0]
			b.pending = b.pending[1:]
			next.do()
		}
		if b.records == 0 && b.now > scriptStart {
			continue // after scriptStart, a batch without records is not sent
		}
		count, body, err := ask(b.frame())
		if err != nil {
			t.Fatalf("at %v s: %v; the adapter returned %v", b.now.seconds(), err, <-ended)
		}
		b.handleReply(count, body)
	}
	if seed%2 == 1 { // half of the scripts end with a malformed frame
		go func() {
			_, _ = frames.Write(b.malformedFrame(seed / 2))
			_ = frames.Close()
		}()
		rest, err := io.ReadAll(replies)
		if err != nil {
			t.Fatal(err)
		}
		b.replyHash.Write(rest)
	} else {
		_ = frames.Close()
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "seed %d: %d replies;", seed, b.replies)
	for code := wireSend; code < wireActionsEnd; code++ {
		fmt.Fprintf(&text, " %d:%d", code, b.actions[code])
	}
	fmt.Fprintf(&text, "; sha256 %x; end: %v", b.replyHash.Sum(nil), <-ended)
	return text.String(), b
}

// TestServe_MatchesGoldenTrace guards against a change of the adapter's replies, and checks that the scripts contain every event
// and cause every action that the balancer uses.
func TestServe_MatchesGoldenTrace(t *testing.T) {
	var lines []string
	var events [wireEventCount]int
	var actions [wireActionsEnd]int
	for seed := range uint64(goldenSeeds) {
		line, b := runScript(t, seed)
		lines = append(lines, line)
		for code, n := range b.events {
			events[code] += n
		}
		for code, n := range b.actions {
			actions[code] += n
		}
	}
	for code, n := range events {
		if n == 0 {
			t.Errorf("no script contains event %d", code)
		}
	}
	for code, n := range actions[wireSend:] {
		// No script can cause these actions. The balancer never sends a probe, closes an idle connection or fetches the
		// endpoint list. A FAULT record would come with an error that ends the run.
		never := []int{wireTouch, wireClose, wireFault, wirePull}
		if n == 0 && !slices.Contains(never, wireSend+code) {
			t.Errorf("no script causes action %d", wireSend+code)
		}
	}
	golden.Lines(t, goldenFile, lines)
}
