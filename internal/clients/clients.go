// Package clients serves the sessions of clients: one goroutine each, one command at a time, answers
// in the order of the queries.
package clients

import (
	"bytes"
	"container/list"
	"errors"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"silvercove/internal/gate"
	"silvercove/internal/link"
	"silvercove/internal/pgwire"
	"silvercove/internal/units"
)

// answerRoom is what an answer may take on its way: once as it came and once as it goes.
const answerRoom = 2 * (pgwire.MostValue + 4<<10)

// Front takes in connections of clients.
type Front struct {
	gate  *gate.Gate
	pools *units.Pools
	room  *link.Room
	most  int           // sessions at once
	spare int           // beyond that, to be answered with a nack or to end
	limit time.Duration // of a startup, and of a client's reading its answer
	back  string        // for nacks for lack of places, in milliseconds

	mu      sync.Mutex
	ended   sync.Cond // a session has
	open    int       // sessions
	taken   int       // commands that wait for their answer
	idle    list.List // those that wait for a command, the longest first
	closing bool      // all close between commands

	Accepted, Malformed, Crowded, Evicted atomic.Int64
}

type session struct {
	*Front
	*link.Link
	place *list.Element // among the idle; guarded by Front.mu
	close bool          // to be closed between commands
	over  bool          // it came when there was no place: its commands are nacked

	refused bool // what comes up to the end of an extended query is skipped
}

// New makes a front for so many sessions at once. A client has limit for its startup, and as long
// to read an answer. Who is nacked for lack of places is told to stay away for back.
func New(g *gate.Gate, pools *units.Pools, room *link.Room, most int, limit, back time.Duration) *Front {
	f := &Front{gate: g, pools: pools, room: room, most: most - most/spareOf, spare: most / spareOf, limit: limit}
	if back > 0 {
		f.back = strconv.FormatInt(back.Milliseconds(), 10)
	}
	f.ended.L = &f.mu
	return f
}

const (
	spareOf = 8 // one place in so many is spare
	takenOf = 5 // and one in so many may hold a command
)

// Serve takes in connections until the listener is closed or its deadline passes, and waits for all
// sessions.
func (f *Front) Serve(listener net.Listener) error {
	var group errgroup.Group
	defer group.Wait()
	for {
		conn, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			return nil
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
			f.makeRoom()
			continue
		case errors.Is(err, syscall.ECONNABORTED):
			continue
		case err != nil:
			return err
		}
		f.Accepted.Add(1)
		s := f.enter(conn)
		group.Go(func() error {
			defer f.leave(s)
			s.serve()
			return nil
		})
	}
}

// enter makes a session. Where all places are taken, the one idle the longest has to go; where none
// is idle, the new one is there to be nacked. It waits only while the spare places are taken too.
func (f *Front) enter(conn net.Conn) *session {
	s := &session{Front: f, Link: link.New(conn, f.room)}
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.open >= f.most+f.spare {
		f.evict()
		f.ended.Wait()
	}
	s.over = f.open >= f.most && !f.evict()
	f.open++
	return s
}

// evict has the session end that is idle the longest.
func (f *Front) evict() bool {
	first := f.idle.Front()
	if first == nil {
		return false
	}
	s := f.idle.Remove(first).(*session)
	s.place, s.close = nil, true
	s.Interrupt()
	f.Evicted.Add(1)
	return true
}

// makeRoom ends one session and waits for it.
func (f *Front) makeRoom() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.evict(); f.open > 0 {
		f.ended.Wait()
	}
}

func (f *Front) leave(s *session) {
	s.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open--
	f.ended.Signal()
}

// Wind closes all sessions between commands from now on.
func (f *Front) Wind() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closing = true
	for f.evict() {
	}
}

// InUse tells how many sessions there are.
func (f *Front) InUse() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open
}

func (s *session) serve() {
	if !s.greet() {
		return
	}
	for {
		kind, size, ok := s.next()
		if !ok {
			return
		}
		switch kind {
		case 'Q':
			if !s.query(size) {
				return
			}
		case 'X':
			return
		case 'P', 'B', 'D', 'E', 'C', 'H', 'F', 'S':
			if !s.extended(kind, size) {
				return
			}
		case 'd', 'c', 'f':
			s.Drop(size) // left from a copy that never began
		default:
			s.Malformed.Add(1)
			s.say(pgwire.Problem("FATAL", pgwire.Violation, "unknown message", ""))
			return
		}
	}
}

// greet takes the startup, within the time limit.
func (s *session) greet() bool {
	s.Until(time.Now().Add(s.limit))
	for {
		start, size, err := pgwire.Startup(s.Bytes())
		switch {
		case err != nil:
			s.Malformed.Add(1)
			s.say(pgwire.Problem("FATAL", pgwire.Violation, "malformed startup", ""))
			return false
		case size == 0: // not to be evicted: a command may be right behind
			if s.Fill(0).Over() {
				return false
			}
			continue
		}
		s.Drop(size)
		switch start {
		case pgwire.StartCancel:
			return false
		case pgwire.StartEncrypted:
			if !s.say(pgwire.NoEncryption()) {
				return false
			}
		default:
			s.Put(pgwire.Hello())
			return len(s.Bytes()) > 0 || s.say() // with the first answer, if its query is here
		}
	}
}

// say writes at once.
func (s *session) say(parts ...[]byte) bool {
	s.Put(parts...)
	s.Until(time.Now().Add(s.limit))
	return !s.Flush().Over()
}

// next waits for the head of the next message.
func (s *session) next() (kind byte, size int, ok bool) {
	for {
		kind, size, err := pgwire.FromClient(s.Bytes())
		switch {
		case err != nil:
			s.Malformed.Add(1)
			s.say(pgwire.Problem("FATAL", pgwire.Violation, err.Error(), ""))
			return 0, 0, false
		case size > 0:
			return kind, size, true
		case len(s.Bytes()) == 0:
			ok = s.wait()
		default:
			s.Until(time.Now().Add(s.limit))
			ok = !s.Fill(0).Over()
		}
		if !ok {
			return 0, 0, false
		}
	}
}

// wait waits for the first byte of a message. Only here a session is closed by this side, and not
// if a byte has come by then.
func (s *session) wait() bool {
	s.mu.Lock()
	s.Resume()
	if s.close || s.closing {
		s.Interrupt()
	} else {
		s.place = s.idle.PushBack(s)
	}
	s.mu.Unlock()
	end := s.Fill(0)
	s.mu.Lock()
	if s.place != nil {
		s.idle.Remove(s.place)
		s.place = nil
	}
	s.mu.Unlock()
	if end.How == link.Late && !s.Quiet() {
		s.Resume()
		end = s.Fill(0)
	}
	return !end.Over()
}

// skip drops a message that does not fit into the ring.
func (s *session) skip(size int) bool {
	for {
		n := min(size, len(s.Bytes()))
		s.Drop(n)
		if size -= n; size == 0 {
			return true
		}
		s.Until(time.Now().Add(s.limit))
		if s.Fill(0).Over() {
			return false
		}
	}
}

// whole reads a message to its end.
func (s *session) whole(size int) bool {
	s.Until(time.Now().Add(s.limit))
	for len(s.Bytes()) < size {
		if s.Fill(size).Over() {
			return false
		}
	}
	return true
}

// extended turns down what belongs to extended queries, up to their end.
func (s *session) extended(kind byte, size int) bool {
	if !s.skip(size) {
		return false
	}
	no := pgwire.Problem("ERROR", pgwire.NotSupported, "only simple queries are served", "")
	switch {
	case kind == 'S':
		s.refused = false
		return s.say(pgwire.Ready())
	case kind == 'F':
		return s.say(no, pgwire.Ready())
	case s.refused:
		return true
	}
	s.refused = true
	return s.say(no)
}

// query reads one query and has it answered.
func (s *session) query(size int) bool {
	if size > pgwire.MostQuery {
		s.Malformed.Add(1)
		return s.skip(size) && s.say(pgwire.Problem("ERROR", pgwire.TooLong, "query too long", ""), pgwire.Ready())
	}
	if s.over || !s.begin() {
		return s.crowded(size)
	}
	defer s.end()
	if !s.room.Take(size) {
		return s.crowded(size)
	}
	defer s.room.Give(size)
	if !s.whole(size) {
		return false
	}
	if !s.room.Take(answerRoom) {
		return s.crowded(size)
	}
	defer s.room.Give(answerRoom)
	came := time.Now().Add(-s.Waited())
	text, ended := bytes.CutSuffix(s.Bytes()[pgwire.HeadSize:size], []byte{0})
	if ended && len(bytes.Trim(text, " ;\t\r\n")) == 0 {
		s.Drop(size)
		return s.say(pgwire.EmptyAnswer())
	}
	q, fault := pgwire.ParseQuery(text)
	if !ended || fault != nil {
		if fault == nil {
			fault = &pgwire.Fault{Code: pgwire.Violation, Text: "the query has no end"}
		}
		s.Malformed.Add(1)
		s.Drop(size)
		return s.say(pgwire.Problem("ERROR", fault.Code, fault.Text, ""), pgwire.Ready())
	}
	going := s.command(q, came)
	s.Drop(size)
	return going
}

// begin counts one more open command, if enough of the places are free of them. Clients open a
// connection for each command that waits; after a hiccup those thousands would cost more than the
// commands themselves, and it would never end.
func (s *session) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if takenOf*s.taken >= s.most {
		return false
	}
	s.taken++
	return true
}

func (s *session) end() {
	s.mu.Lock()
	s.taken--
	s.mu.Unlock()
}

// crowded nacks a query for which there are no buffers.
func (s *session) crowded(size int) bool {
	s.Crowded.Add(1)
	s.mu.Lock()
	s.close = s.close || s.over
	s.mu.Unlock()
	return s.skip(size) && s.say(pgwire.Problem("ERROR", pgwire.NoRoom, "no room", s.back), pgwire.Ready())
}

// command is the path of one command: as often as the module says, a delivery; then its answer.
func (s *session) command(q *pgwire.Query, came time.Time) bool {
	cmd, ok := s.gate.Take(gate.Ask{OpType: q.OpType, Customer: q.Customer, Key: q.Key, Came: came,
		Wait: time.Duration(q.WaitMs) * time.Millisecond, Work: time.Duration(q.WorkUs) * time.Microsecond,
		Write: q.Write, Repeated: q.Repeated})
	if !ok {
		s.Malformed.Add(1)
		return s.say(pgwire.Problem("ERROR", pgwire.BadParameter, "unknown op type", ""), pgwire.Ready())
	}
	stop := s.watch(cmd)
	step := s.gate.Pick(cmd)
	for acked := false; step.Delivery != nil && !acked; {
		r := s.pools.Deliver(step.Delivery, q)
		if acked = s.gate.Report(step.Delivery, r.State, r.End, r.Load); acked {
			s.Put(r.Rows...)
		}
		r.Done()
		if !acked {
			step = s.gate.Pick(cmd)
		}
	}
	stop()
	switch step.Final {
	case gate.Gone:
		return false
	case gate.Nacked:
		back := ""
		if step.ComeBack > 0 {
			back = strconv.FormatInt(step.ComeBack.Milliseconds(), 10)
		}
		s.Put(pgwire.Problem("ERROR", pgwire.NoRoom, "not now", back))
	case gate.Failed:
		s.Put(pgwire.Problem("ERROR", pgwire.Failed, "no answer; it may have run", ""))
	}
	return s.say(pgwire.Ready())
}

// watch tells the gate if the client closes its connection, until it is stopped.
func (s *session) watch(cmd *gate.Command) (stop func()) {
	s.Resume()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if s.Await() {
			s.gate.Leave(cmd)
		}
	}()
	return func() {
		s.Interrupt()
		<-done
		s.Resume()
	}
}
