// Package benchadapter connects the balancer to the bench's wire protocol. It turns each event into a call of the balancer,
// and each call that the balancer makes to its host into an action. It makes no decisions of its own.
//
// This package and internal/settings are the only two places where the names of the wire protocol are mapped to the standard
// terms. Here, messages.go holds the mapping, with one type per record and the name on the wire in its comment. codec.go reads
// and writes the fields.
//
// A process of the adapter hosts several instances. They share only the endpoint lists that CATALOG records define (see
// endpointLists). Serve depends on its input alone: it uses no clock and no goroutine, so the same frames always produce
// the same replies.
package benchadapter

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"

	"silvercove/balancer"
)

const (
	bufferBytes  = 64 << 10 // size in bytes of the input buffer and of the output buffer
	maxReadBytes = 1 << 20  // maximum number of bytes of a frame that are read at once
)

// server holds the state of one adapter process.
type server struct {
	instances map[uint32]*instance
	lists     endpointLists
	out       writer
}

func newServer() *server { return &server{instances: map[uint32]*instance{}} }

// Serve writes one reply to each frame of in, until in ends. It returns an error if the input is malformed, a read or a
// write fails, or the balancer panics. It handles no further frame after an error.
func Serve(in io.Reader, out io.Writer) error {
	s := newServer()
	input := bufio.NewReaderSize(in, bufferBytes)
	output := bufio.NewWriterSize(out, bufferBytes)
	var frame []byte
	for {
		var err error
		if frame, err = readFrame(input, frame[:0]); errors.Is(err, errInputEnded) {
			return nil
		} else if err != nil {
			return err
		}
		reply, batchErr := s.handleBatch(frame)
		if err := writeReply(output, reply); err != nil {
			return err
		}
		if batchErr != nil {
			return batchErr
		}
	}
}

// errInputEnded is the error of readFrame if the input ends between two frames, which is its regular end.
var errInputEnded = errors.New("the input has ended")

// readFrame reads the length of a frame, and then appends the frame to buf. It allocates memory only if buf is too small.
func readFrame(in io.Reader, buf []byte) ([]byte, error) {
	var length [4]byte
	if _, err := io.ReadFull(in, length[:]); errors.Is(err, io.EOF) {
		return nil, errInputEnded
	} else if err != nil {
		return nil, fmt.Errorf("frame length: %w", err)
	}
	return readBody(in, buf, int64(binary.LittleEndian.Uint32(length[:])))
}

// readBody appends n bytes to buf. It reads them in parts of at most maxReadBytes, so that a false length allocates little
// more memory than the bytes that arrive.
func readBody(in io.Reader, buf []byte, n int64) ([]byte, error) {
	for n > 0 {
		chunk := int(min(n, maxReadBytes))
		start := len(buf)
		buf = slices.Grow(buf, chunk)[:start+chunk]
		if got, err := io.ReadFull(in, buf[start:]); err != nil {
			return nil, fmt.Errorf("frame cut short: %d bytes missing: %w", n-int64(got), err)
		}
		n -= int64(chunk)
	}
	return buf, nil
}

// writeReply writes and flushes a reply. A nil reply writes nothing.
func writeReply(out *bufio.Writer, reply []byte) error {
	if reply == nil {
		return nil
	}
	if _, err := out.Write(reply); err != nil {
		return fmt.Errorf("reply: %w", err)
	}
	if err := out.Flush(); err != nil {
		return fmt.Errorf("reply: %w", err)
	}
	return nil
}

// handleBatch handles the events of one frame and returns the reply. If the balancer panics, handleBatch returns both an
// error and a reply, which ends with a FAULT record.
func (s *server) handleBatch(frame []byte) (reply []byte, err error) {
	r := &reader{buf: frame}
	now := r.tick("clock")
	count := r.u32("record count")
	s.out.begin()
	var current uint32 // number of the instance whose event is being handled
	defer func() {
		if cause := recover(); cause != nil {
			s.out.fault(current, fmt.Sprint(cause))
			reply, err = s.out.finish(), fmt.Errorf("the balancer failed: %v", cause)
		}
	}()
	for i := uint32(0); i < count && r.err == nil; i++ {
		err := s.handleEvent(r, now, &current)
		if err == nil {
			err = r.err
		}
		if err != nil {
			return nil, fmt.Errorf("record %d: %w", i, err)
		}
	}
	if r.err != nil {
		return nil, fmt.Errorf("header: %w", r.err)
	}
	if r.offset != len(frame) {
		return nil, fmt.Errorf("%d bytes follow the last record", len(frame)-r.offset)
	}
	return s.out.finish(), nil
}

// handleEvent reads one record and passes the event to the balancer of its instance. A record that is cut short has no
// effect. handleEvent then returns nil, and the caller finds the error in r.err.
func (s *server) handleEvent(r *reader, now balancer.Tick, current *uint32) error {
	code := eventCode(r.u8("code"))
	if r.err == nil && code >= eventCodeCount {
		return fmt.Errorf("unknown code %d at byte %d", code, r.offset-1)
	}
	if code == eventEndpointList {
		return s.lists.read(r)
	}
	*current = r.u32("relay_id")
	if r.err != nil {
		return nil
	}
	switch code {
	case eventStart:
		return s.start(r, now, *current)
	case eventStop:
		if s.instances[*current] == nil {
			return unknownInstance(*current)
		}
		delete(s.instances, *current)
		return nil
	}
	i := s.instances[*current]
	if i == nil {
		return unknownInstance(*current)
	}
	return i.handle(r, now, code, &s.lists)
}

func unknownInstance(number uint32) error { return fmt.Errorf("unknown instance %d", number) }

// start creates the instance that a start event names. If an instance of the same number is running, the new one replaces
// it.
func (s *server) start(r *reader, now balancer.Tick, number uint32) error {
	event := r.startEvent()
	if r.err != nil {
		return nil
	}
	i, err := newInstance(&s.out, now, number, event)
	if err != nil {
		return err
	}
	s.instances[number] = i
	return nil
}
