// Package downstream serves the sessions of clients: one goroutine reads a session's queries, each command
// has one of its own, and the answers go out in the order of the queries.
package downstream

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

	"silvercove/internal/dispatch"
	"silvercove/internal/overload"
	"silvercove/internal/pgwire"
	"silvercove/internal/transport"
	"silvercove/internal/upstream"
)

// Server takes in connections of clients.
type Server struct {
	gate  *dispatch.Dispatcher
	pools *upstream.Pool
	room  *transport.BufferBudget
	parts overload.ListenerLimits
	limit time.Duration // of a message's coming whole, and of a client's reading its answer
	back  string        // for nacks for lack of places, in milliseconds

	mu      sync.Mutex
	freed   sync.Cond           // a session has ended, or has no command
	open    int                 // sessions
	ids     map[string]struct{} // of the open commands
	idle    list.List           // sessions that wait for a command, the longest first
	young   list.List           // sessions that have sent a part of a message or of their startup
	closing bool                // all close between commands
	until   time.Time           // by when all has to be answered; zero where nothing ends

	Accepted, Malformed, RejectedForSpace, Evicted atomic.Int64
}

// session is one connection of a client. What is above the blank line is its reader's.
type session struct {
	*Server
	*transport.Conn
	came     time.Time     // when the last bytes did
	last     chan struct{} // closed with the last answer that is owed
	owed     chan struct{} // one for each answer that is
	commands errgroup.Group
	over     bool // it came when there was no place: its commands are nacked
	refused  bool // what comes up to the end of an extended query is skipped

	// Guarded by Front.mu.
	since   time.Time                   // when it came, was greeted, its last command ended, or a further message began
	served  bool                        // it has had a command
	open    map[*dispatch.Call]struct{} // commands in work
	waiting bool                        // for the first byte of a message
	close   bool                        // to be closed between commands
	cut     bool                        // it does not take its answers: to be closed at once
	in      *list.List                  // idle, young or none
	place   *list.Element
}

// New makes a front whose places are shared out so. A client has limit for each message, and as long to
// read an answer. Who is nacked for lack of places is told to stay away for back.
func New(g *dispatch.Dispatcher, pools *upstream.Pool, room *transport.BufferBudget, parts overload.ListenerLimits, limit, back time.Duration) *Server {
	f := &Server{gate: g, pools: pools, room: room, parts: parts, limit: limit, ids: map[string]struct{}{}}
	if back > 0 {
		f.back = strconv.FormatInt(back.Milliseconds(), 10)
	}
	f.freed.L = &f.mu
	return f
}

// lastLook is how long a listener whose deadline has passed is asked for what the kernel has accepted by then.
const lastLook = 50 * time.Millisecond

// Serve takes in connections until the listener is closed or its deadline passes, and waits for all sessions. At the
// deadline what the kernel has accepted is still taken in: a closed listener resets it, and requests may have come there.
func (f *Server) Serve(listener net.Listener) error {
	var group errgroup.Group
	defer func() { _ = group.Wait() }()
	var last time.Time // when the deadline has passed, to the end of the looks
	for {
		conn, err := listener.Accept()
		switch l, ok := listener.(interface{ SetDeadline(time.Time) error }); {
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded) && ok && last.IsZero():
			last = time.Now().Add(f.parts.ContendedTimeout)
			_ = l.SetDeadline(time.Now().Add(lastLook)) // past its deadline it would not be looked
			continue
		case errors.Is(err, os.ErrDeadlineExceeded):
			_ = listener.Close()
			return nil
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ENOBUFS),
			errors.Is(err, syscall.ENOMEM):
			if !f.makeRoom() { // others have the descriptors: to ask again at once would spin
				time.Sleep(f.parts.ContendedTimeout / 10)
			}
			continue
		case errors.Is(err, syscall.ECONNABORTED), errors.Is(err, syscall.EPROTO), errors.Is(err, syscall.ENETDOWN),
			errors.Is(err, syscall.ENETUNREACH), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ETIMEDOUT):
			continue // what accept(2) tells of a connection that is gone again
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

// enter makes a session. Where all places are taken, one that has no command has to go; where there
// is none, the new one is there to be nacked. It waits only while the spare places are taken too.
func (f *Server) enter(conn net.Conn) *session {
	s := &session{Server: f, Conn: transport.NewConn(conn, f.room), last: make(chan struct{}), open: map[*dispatch.Call]struct{}{},
		owed: make(chan struct{}, f.parts.MaxPipelined)}
	close(s.last)
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.open >= f.parts.MaxSessions+f.parts.SpareSessions {
		f.yield()
		f.await()
	}
	s.since = time.Now()
	s.over = f.open >= f.parts.MaxSessions && !f.yield()
	f.open++
	s.sort()
	return s
}

// sort puts a session into the list that it belongs to now. Where that grows too long its first has to go:
// clients have few connections, and the idle ones stand in the way of their commands.
func (s *session) sort() {
	in := &s.young
	switch {
	case len(s.open) > 0 || s.close:
		in = nil
	case s.waiting && s.served: // else its first command may be on its way
		in = &s.idle
	}
	if in == s.in {
		return
	}
	if s.in != nil {
		s.in.Remove(s.place)
	}
	if s.in = in; in == nil {
		return
	}
	s.place = in.PushBack(s)
	s.freed.Signal()
	for in.Len() > s.parts.MaxIdle && s.evict(in) {
	}
}

// yield has a session end: the one idle the longest, else the one whose message has been coming the
// longest. Guards against clients that connect by the hundreds and say nothing, or a part.
func (f *Server) yield() bool { return f.evict(&f.idle) || f.evict(&f.young) }

// evict has the first session of a list end, unless its first message may still be on its way.
func (f *Server) evict(of *list.List) bool {
	if of.Len() == 0 {
		return false
	}
	s := of.Front().Value.(*session)
	if of == &f.young && time.Since(s.since) < f.parts.ContendedTimeout {
		return false
	}
	s.close = true
	s.sort()
	s.InterruptRead()
	f.Evicted.Add(1)
	return true
}

// makeRoom ends one session and waits for it; false: there is none.
func (f *Server) makeRoom() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open == 0 {
		return false
	}
	f.yield()
	f.await()
	return true
}

// await waits until a session has ended or has no command, or until one more may have been silent for too long.
func (f *Server) await() {
	wake := time.AfterFunc(f.parts.ContendedTimeout/10, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.freed.Broadcast()
	})
	defer wake.Stop()
	f.freed.Wait()
}

func (f *Server) leave(s *session) {
	s.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	s.close = true
	s.sort()
	f.open--
	f.freed.Signal()
}

// StopBefore tells that the program may be killed soon after a time. What still comes is answered by then.
func (f *Server) StopBefore(by time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.until = by
}

// CloseIdleSessions closes all sessions between commands from now on. New ones have a moment for their first.
func (f *Server) CloseIdleSessions() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closing = true
	for _, in := range []*list.List{&f.idle, &f.young} {
		for e := in.Front(); e != nil; e = e.Next() {
			if s := e.Value.(*session); s.waiting {
				s.SetReadDeadline(s.stays())
			}
		}
	}
}

// Sessions tells how many sessions there are.
func (f *Server) Sessions() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open
}

// serve reads a session's messages to its end and waits for its commands. A client that closes has gone.
func (s *session) serve() {
	s.read()
	s.finish()
}

func (s *session) read() {
	if !s.greet() {
		return
	}
	for {
		kind, size, ok := s.next()
		if !ok || !s.mayOwe() {
			return
		}
		switch kind {
		case 'Q':
			ok = s.query(size)
		case 'X':
			s.gone()
			return
		case 'P', 'B', 'D', 'E', 'C', 'H', 'F', 'S':
			ok = s.extended(kind, size)
		case 'd', 'c', 'f':
			ok = s.skip(size) // left from a copy that never began
		default:
			s.Malformed.Add(1)
			s.say(pgwire.ErrorResponse("FATAL", pgwire.StateProtocolViolation, "unknown message", ""))
			return
		}
		if !ok {
			return
		}
	}
}

// finish waits for the answers that are owed. What still comes is dropped, to see the client go.
func (s *session) finish() {
	s.mu.Lock()
	s.close = true
	s.sort()
	s.SetReadDeadline(time.Time{})
	if s.cut {
		s.InterruptRead()
	}
	s.mu.Unlock()
	var watch errgroup.Group
	select {
	case <-s.last:
	default:
		watch.Go(func() error {
			end := s.Fill(0)
			for ; !end.Closed(); end = s.Fill(0) {
				s.Discard(len(s.Buffered()))
			}
			s.gone()
			return nil
		})
	}
	_ = s.commands.Wait()
	s.InterruptRead()
	_ = watch.Wait()
	s.settle()
}

// settle waits until the last answer is with its client, as long as that may take to read it. What a client writes to a
// connection that is closed resets it, and what is still on its way is lost.
func (s *session) settle() {
	const look = 2 * time.Millisecond
	for end := time.Now().Add(s.limit); !s.Acknowledged() && time.Now().Before(end); time.Sleep(look) {
		if _, closed := s.LastReceived(); closed {
			return
		}
	}
}

// greet takes the startup, within the time limit.
func (s *session) greet() bool {
	until := s.since.Add(max(s.parts.IdleTimeout, s.limit))
	for {
		start, size, err := pgwire.ParseStartup(s.Buffered())
		switch {
		case err != nil:
			s.Malformed.Add(1)
			s.say(pgwire.ErrorResponse("FATAL", pgwire.StateProtocolViolation, "malformed startup", ""))
			return false
		case size == 0:
			if !s.more(0, until) {
				return false
			}
			continue
		}
		s.Discard(size)
		switch start {
		case pgwire.StartCancel:
			return false
		case pgwire.StartEncrypted:
			if !s.say(pgwire.EncryptionRefused()) {
				return false
			}
		default:
			s.Append(pgwire.AuthenticationOK())
			s.mu.Lock()
			s.since = time.Now()
			s.mu.Unlock()
			return len(s.Buffered()) > 0 || s.say() // with the first answer, if its query is here
		}
	}
}

// mayOwe waits until the answer to one more message may be owed. Meanwhile nothing is read; that the client goes is
// seen all the same.
func (s *session) mayOwe() bool {
	const look = 10 * time.Millisecond
	if len(s.owed) < cap(s.owed) {
		return true
	}
	for beat := time.NewTicker(look); ; {
		select {
		case s.owed <- struct{}{}: // only the reader takes one
			<-s.owed
			beat.Stop()
			return true
		case <-beat.C:
		}
		_, closed := s.LastReceived()
		s.mu.Lock()
		over := s.cut
		s.mu.Unlock()
		if closed || over {
			beat.Stop()
			s.gone()
			return false
		}
	}
}

// next turn among the answers: it has come once those before are written; done lets the one behind have its own.
func (s *session) turn() (come <-chan struct{}, done func()) {
	come, next := s.last, make(chan struct{})
	s.last = next
	s.owed <- struct{}{}
	return come, func() {
		<-s.owed
		close(next)
	}
}

// say answers behind the answers to what came before. The reader does not wait for those: it has to see the client go.
func (s *session) say(parts ...[]byte) bool {
	turn, done := s.turn()
	select {
	case <-turn:
		defer done()
		return s.send(parts...)
	default:
	}
	s.commands.Go(func() error {
		defer done()
		<-turn
		s.send(parts...)
		return nil
	})
	return true
}

// send writes in its turn. A client that does not read it loses its session.
func (s *session) send(parts ...[]byte) bool {
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	if cut {
		return false
	}
	s.Append(parts...)
	s.SetWriteDeadline(time.Now().Add(s.limit))
	if !s.Flush().Closed() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.close, s.cut = true, true
	s.sort()
	s.InterruptRead()
	return false
}

// by is when a message that begins now is to be whole.
func (s *session) by() time.Time { return time.Now().Add(s.limit) }

// next waits for the head of the next message.
func (s *session) next() (kind byte, size int, ok bool) {
	var until time.Time
	for {
		kind, size, err := pgwire.ClientHeader(s.Buffered())
		switch {
		case err != nil:
			s.Malformed.Add(1)
			if s.mayOwe() {
				s.say(pgwire.ErrorResponse("FATAL", pgwire.StateProtocolViolation, err.Error(), ""))
			}
			return 0, 0, false
		case size > 0:
			return kind, size, true
		case len(s.Buffered()) == 0:
			ok = s.wait()
			until = s.by()
		default:
			ok = s.more(0, until)
		}
		if !ok {
			return 0, 0, false
		}
	}
}

// wait waits for the first byte of a message. Only here a session without a command is closed by this
// side, and not if a byte has come by then.
func (s *session) wait() bool {
	for {
		s.mu.Lock()
		s.waiting = true
		s.sort()
		s.SetReadDeadline(s.stays())
		s.mu.Unlock()
		end := s.fill(0)
		begun := !end.Closed() || end.Reason == transport.DeadlineExceeded && s.Readable()
		s.mu.Lock()
		s.waiting = false
		stays, cut := time.Now().Before(s.stays()), s.cut
		if begun && s.served {
			s.since = time.Now()
		}
		s.sort()
		s.mu.Unlock()
		switch {
		case cut:
			return false
		case end.Reason != transport.DeadlineExceeded:
			return s.still(end)
		case begun:
			return s.more(0, s.by())
		case !stays:
			return false
		}
	}
}

// stays tells until when a session waits for a message: while commands are in work, always a little longer. Who has
// come just before the end of all sessions, and has asked nothing yet, is not turned away at once.
func (s *session) stays() time.Time {
	switch {
	case s.cut:
		return time.Unix(1, 0)
	case len(s.open) > 0:
		return time.Now().Add(s.parts.IdleTimeout)
	case s.close, s.closing && s.served:
		return time.Unix(1, 0)
	case s.closing:
		return s.since.Add(s.parts.ContendedTimeout)
	}
	return s.since.Add(s.parts.IdleTimeout)
}

// more waits for more of a message, of want bytes in all if that is known. A session that is to be
// closed meanwhile ends if nothing more has come by then.
func (s *session) more(want int, until time.Time) bool {
	s.mu.Lock()
	s.SetReadDeadline(until)
	if s.close {
		s.InterruptRead()
	}
	s.mu.Unlock()
	end := s.fill(want)
	s.mu.Lock()
	again := end.Reason == transport.DeadlineExceeded && !s.cut && s.Readable()
	if again {
		s.SetReadDeadline(time.Now().Add(s.limit))
	}
	s.mu.Unlock()
	if again {
		end = s.fill(want)
	}
	return s.still(end)
}

func (s *session) fill(want int) transport.CloseStatus {
	end := s.Fill(want)
	ago, closed := s.LastReceived()
	s.came = time.Now().Add(-ago)
	if closed { // also where it closed behind commands that are not read yet: nobody waits for those
		end.Reason = transport.ClosedByPeer
	}
	return end
}

// still tells whether a session goes on after a read. If the client has closed, it has gone away.
func (s *session) still(end transport.CloseStatus) bool {
	if end.Reason == transport.ClosedByPeer || end.Reason == transport.ConnectionReset {
		s.gone()
	}
	return !end.Closed()
}

// gone tells the gate that the client has left its commands.
func (s *session) gone() {
	s.mu.Lock()
	all := make([]*dispatch.Call, 0, len(s.open))
	for c := range s.open {
		all = append(all, c)
	}
	s.mu.Unlock()
	for _, c := range all {
		s.gate.Abandon(c)
	}
}

// skip drops a message that is not to be read whole.
func (s *session) skip(size int) bool {
	until := s.by()
	for {
		n := min(size, len(s.Buffered()))
		s.Discard(n)
		if size -= n; size == 0 {
			return true
		}
		if !s.more(0, until) {
			return false
		}
	}
}

// whole reads a message to its end.
func (s *session) whole(size int) bool {
	until := s.by()
	for len(s.Buffered()) < size {
		if !s.more(size, until) {
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
	no := pgwire.ErrorResponse("ERROR", pgwire.StateNotSupported, "only simple queries are served", "")
	switch {
	case kind == 'S':
		s.refused = false
		return s.say(pgwire.ReadyForQuery())
	case kind == 'F':
		return s.say(no, pgwire.ReadyForQuery())
	case s.refused:
		return true
	}
	s.refused = true
	return s.say(no)
}

// query reads one query and has it answered.
func (s *session) query(size int) bool {
	if size > pgwire.MaxQuery {
		return s.skip(size) && s.wrong(pgwire.StateLimitExceeded, "query too long")
	}
	if s.over || !s.room.Reserve(size) {
		return s.skip(size) && s.crowded()
	}
	if !s.whole(size) {
		s.room.Release(size)
		return false
	}
	text, ended := bytes.CutSuffix(bytes.Clone(s.Buffered()[pgwire.HeaderSize:size]), []byte{0})
	s.Discard(size)
	started, going := s.begin(text, ended, size)
	if !started {
		s.room.Release(size)
	}
	return going
}

// begin starts a command, or answers what is none.
func (s *session) begin(text []byte, ended bool, size int) (started, going bool) {
	if ended && len(bytes.Trim(text, " ;\t\r\n")) == 0 {
		return false, s.say(pgwire.EmptyQueryResponse())
	}
	q, fault := pgwire.ParseQuery(text)
	switch {
	case fault != nil:
		return false, s.wrong(fault.SQLState, fault.Text)
	case !ended:
		return false, s.wrong(pgwire.StateProtocolViolation, "the query has no end")
	}
	wait := time.Duration(q.WaitMs) * time.Millisecond
	s.mu.Lock()
	if !s.until.IsZero() { // SIGKILL would find it unanswered
		wait = min(wait, s.until.Sub(s.came))
	}
	s.mu.Unlock()
	cmd, ok := s.gate.Accept(dispatch.Request{Class: q.Class, Tenant: q.Tenant, Key: q.Key, ReceivedAt: s.came,
		Timeout: wait, EstimatedWork: time.Duration(q.EstimatedWorkUs) * time.Microsecond,
		Write: q.Write, ClientRetry: q.ClientRetry, ClientClosed: s.PeerClosed})
	if !ok {
		return false, s.wrong(pgwire.StateInvalidParameter, "unknown op type")
	}
	s.mu.Lock()
	_, twice := s.ids[q.ID]
	full := len(s.ids) >= s.parts.MaxRequests
	if !twice && !full {
		s.ids[q.ID], s.open[cmd], s.served = struct{}{}, struct{}{}, true
		s.sort()
	}
	s.mu.Unlock()
	switch {
	case twice: // an answer must not go to whoever names another's command
		return false, s.wrong(pgwire.StateInvalidParameter, "a command of this id is open")
	case full:
		return false, s.crowded()
	}
	turn, done := s.turn()
	s.commands.Go(func() error {
		s.command(cmd, q, turn)
		done()
		s.end(cmd)
		s.room.Release(size)
		return nil
	})
	return true, true
}

// wrong answers what cannot be served.
func (s *session) wrong(code, text string) bool {
	s.Malformed.Add(1)
	return s.say(pgwire.ErrorResponse("ERROR", code, text, ""), pgwire.ReadyForQuery())
}

// crowded nacks a query for which there is no place or buffer.
func (s *session) crowded() bool {
	s.RejectedForSpace.Add(1)
	s.mu.Lock()
	s.close = s.close || s.over
	s.mu.Unlock()
	return s.say(pgwire.ErrorResponse("ERROR", pgwire.StateTooManyConnections, "no room", s.back), pgwire.ReadyForQuery())
}

// end takes a command off the open ones.
func (s *session) end(cmd *dispatch.Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, cmd)
	if len(s.open) > 0 {
		return
	}
	s.since = time.Now()
	if s.sort(); s.waiting && (s.close || s.closing) {
		s.InterruptRead()
	}
}

// command is the path of one command: as often as the module says, a delivery; then its answer, when
// those before it have been written.
func (s *session) command(cmd *dispatch.Call, q *pgwire.Query, turn <-chan struct{}) {
	step := s.gate.Next(cmd)
	for step.Attempt != nil {
		r := s.pools.Attempt(step.Attempt, q)
		if s.gate.Report(step.Attempt, r.SQLState, r.End, r.Load) {
			s.pass(q, r, turn)
			return
		}
		r.Release()
		step = s.gate.Next(cmd)
	}
	switch step.Answer {
	case dispatch.ClientGone:
		<-turn
		s.free(q)
	case dispatch.Rejected:
		back := ""
		if step.RetryAfter > 0 {
			back = strconv.FormatInt(step.RetryAfter.Milliseconds(), 10)
		}
		s.write(q, turn, pgwire.ErrorResponse("ERROR", pgwire.StateTooManyConnections, "not now", back))
	case dispatch.Failed:
		s.write(q, turn, pgwire.ErrorResponse("ERROR", pgwire.StateInternalError, "no answer; it may have run", ""))
	}
}

// pass passes an acked answer on. A unit's connection waits for the answers before it only where there
// is no room for a copy.
func (s *session) pass(q *pgwire.Query, r upstream.Reply, turn <-chan struct{}) {
	select {
	case <-turn:
	default:
		rows := bytes.Join(r.Rows, nil)
		if s.room.Reserve(len(rows)) {
			defer s.room.Release(len(rows))
			r.Release()
			s.write(q, turn, rows)
			return
		}
	}
	<-turn
	s.Append(r.Rows...)
	r.Release() // before the client has the answer, as it may then ask again at once
	s.write(q, turn)
}

// free lets the client use a command's id again: before it has the answer, as it may then do so at once.
func (s *session) free(q *pgwire.Query) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ids, q.ID)
}

// write writes an answer in its turn.
func (s *session) write(q *pgwire.Query, turn <-chan struct{}, parts ...[]byte) {
	<-turn
	s.free(q)
	s.send(append(parts, pgwire.ReadyForQuery())...)
}
