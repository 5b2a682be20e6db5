// Package drill joins the decision module to the bench's wire: what it reads
// becomes calls on the module, and the module's calls on its host become messages.
// It decides nothing.
package benchadapter

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"

	"silvercove/balancer"
	"silvercove/internal/settings"
)

// Codes of the records that come in.
const (
	evBorn = iota
	evRosterChange
	evSubmit
	evStreaming
	evFinished
	evLeft
	evAlarm
	evEcho
	evMemo
	evDetach
	evPromotion
	evDigest
	evDisputed
	evCatalog
)

// Codes of the records that go out.
const (
	acSend = 64 + iota
	acBounce
	acSurrender
	acAbortAttempt
	acWakeAt
	acTouch
	acClose
	acMemoTo
	acSayLog
	acFault
	acTrack
	acPull
	acOpinion
)

// Kinds of news of the list.
const (
	listFull   = 0
	listFailed = 1
	listCached = 2
	listDelta  = 3
)

// mostPages is how many numbered lists there can be.
const mostPages = 16

type entry struct {
	unit    uint32
	listing balancer.Endpoint
}

// server is one process of the adapter, which may host several relays.
type server struct {
	relays map[uint32]*relay
	pages  [mostPages][]entry
	listed [mostPages]bool
	out    writer
}

// relay holds one instance of the module and the names by which the wire calls
// what the module points to.
type relay struct {
	number  uint32
	out     *writer
	module  *balancer.Balancer
	opTypes int
	cmds    map[uint64]*held
	units   map[uint32]*balancer.Backend
	order   []uint32 // units in the order in which they were first named
}

// held is a command that the wire may still speak of.
type held struct {
	cmd      *balancer.Request
	sent     []*balancer.Attempt
	out      int
	answered bool
}

// Serve answers batches until the input ends.
func Serve(in io.Reader, out io.Writer) error {
	s := &server{relays: map[uint32]*relay{}}
	br, bw := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	var buf []byte
	for {
		var head [4]byte
		if _, err := io.ReadFull(br, head[:]); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("frame length: %w", err)
		}
		var err error
		if buf, err = readBody(br, buf[:0], int64(binary.LittleEndian.Uint32(head[:]))); err != nil {
			return err
		}
		reply, fatal := s.batch(buf)
		if reply != nil {
			if _, err := bw.Write(reply); err != nil {
				return fmt.Errorf("reply: %w", err)
			}
			if err := bw.Flush(); err != nil {
				return fmt.Errorf("reply: %w", err)
			}
		}
		if fatal != nil {
			return fatal
		}
	}
}

// readBody reads n bytes in pieces, so that a false length costs no more memory
// than the bytes that really come.
func readBody(in io.Reader, buf []byte, n int64) ([]byte, error) {
	const piece = 1 << 20
	for n > 0 {
		m := int(min(n, piece))
		at := len(buf)
		buf = slices.Grow(buf, m)[:at+m]
		if got, err := io.ReadFull(in, buf[at:]); err != nil {
			return nil, fmt.Errorf("frame cut short: %d bytes missing: %w", n-int64(got), err)
		}
		n -= int64(m)
	}
	return buf, nil
}

// batch handles one frame. A failure of the module goes out as a fault.
func (s *server) batch(buf []byte) (reply []byte, err error) {
	r := &reader{buf: buf}
	now := r.tick("clock")
	count := r.u32("record count")
	s.out.begin()
	var number uint32
	defer func() {
		if p := recover(); p != nil {
			s.out.record(acFault, number)
			s.out.bytes(fmt.Appendf(nil, "%v", p))
			reply, err = s.out.finish(), fmt.Errorf("the module failed: %v", p)
		}
	}()
	for i := uint32(0); i < count && r.err == nil; i++ {
		if err := s.event(r, now, &number); err != nil {
			return nil, fmt.Errorf("record %d: %w", i, err)
		}
		if r.err != nil {
			return nil, fmt.Errorf("record %d: %w", i, r.err)
		}
	}
	if r.err != nil {
		return nil, fmt.Errorf("header: %w", r.err)
	}
	if r.at != len(buf) {
		return nil, fmt.Errorf("%d bytes follow the last record", len(buf)-r.at)
	}
	return s.out.finish(), nil
}

// event reads one record and makes the call it stands for.
func (s *server) event(r *reader, now balancer.Tick, number *uint32) error {
	code := r.u8("code")
	if r.err == nil && code > evCatalog {
		return fmt.Errorf("unknown code %d at byte %d", code, r.at-1)
	}
	if code == evCatalog {
		return s.catalog(r)
	}
	*number = r.u32("relay_id")
	if r.err != nil {
		return nil // batch reports it
	}
	if code == evBorn {
		return s.born(r, now, *number)
	}
	rl := s.relays[*number]
	if rl == nil {
		return fmt.Errorf("unknown instance %d", *number)
	}
	switch code {
	case evRosterChange:
		return s.roster(r, now, rl)
	case evSubmit:
		return rl.submit(r, now)
	case evStreaming:
		h, no := rl.cmds[r.u64("corr")], int(r.u8("send_no"))
		r.u32("unit")
		r.tick("wait_time")
		if r.err == nil && h != nil && no < len(h.sent) {
			rl.module.OnStreamStart(now, h.sent[no])
		}
	case evFinished:
		rl.finished(r, now)
	case evLeft:
		corr := r.u64("corr")
		if h := rl.cmds[corr]; r.err == nil && h != nil {
			h.answered = true
			rl.module.OnClientGone(now, h.cmd)
			rl.forget(corr, h)
		}
	case evAlarm:
		if tag := r.u32("tag"); r.err == nil {
			rl.module.OnTimer(now, tag)
		}
	case evEcho:
		ending, took := balancer.Outcome(r.u8("state_code")), r.tick("wait_time")
		u, load := rl.units[r.u32("unit")], r.load()
		if r.err == nil && u != nil {
			rl.module.OnProbe(now, u, ending, took, load)
		}
	case evMemo:
		from := r.u32("sender")
		data := r.take(int(r.u16("data count")), "data")
		if r.err == nil {
			rl.module.OnGossip(now, from, data)
		}
	case evDetach:
		delete(s.relays, *number)
	case evPromotion:
		news := balancer.ReleaseStatus{Version: r.u16("ver"), Stage: int(r.u8("ring"))}
		news.Phase, news.VoteReply = balancer.RolloutPhase(r.u8("where_at")), r.u8("code") == 1
		news.Outcome, news.ExposureCap, news.Age = balancer.Outcome(r.u8("state_code")), r.f32("most_share"), r.tick("age")
		if r.err == nil {
			rl.module.OnReleaseStatus(now, news)
		}
	case evDigest:
		build, opType := r.u16("ver"), int(r.u8("band"))
		many, failed := int(r.u32("attempts")), int(r.u32("lost"))
		took, age := r.tick("wait_time"), r.tick("age")
		if r.err == nil && opType < rl.opTypes {
			rl.module.OnMetrics(now, build, opType, many, failed, took, age)
		}
	case evDisputed:
		u, opType, age := rl.units[r.u32("unit")], int(r.u8("band")), r.tick("age")
		if r.err == nil && u != nil && opType < rl.opTypes {
			rl.module.OnWrongAnswer(now, u, opType, age)
		}
	}
	return nil
}

func (s *server) born(r *reader, now balancer.Tick, number uint32) error {
	seed := r.u64("salt")
	text := r.take(int(r.u32("info count")), "info")
	if r.err != nil {
		return nil
	}
	site, err := settings.Read(text)
	if err != nil {
		return err
	}
	rl := &relay{number: number, out: &s.out, cmds: map[uint64]*held{}, units: map[uint32]*balancer.Backend{}}
	rl.opTypes = len(site.Balancer.Classes)
	s.relays[number] = rl
	rl.module = balancer.New(rl, now, seed, site.Balancer)
	return nil
}

func (s *server) catalog(r *reader) error {
	const size = 26
	page, count := r.u32("page"), int(r.u32("members_list count"))
	if r.err == nil && page >= mostPages {
		return fmt.Errorf("list number %d is over %d", page, mostPages-1)
	}
	if body := r.take(count*size, "members_list"); r.err != nil {
		return nil
	} else {
		r.at -= len(body)
	}
	entries := make([]entry, 0, count)
	for range count {
		e := entry{unit: r.u32("unit")}
		e.listing.Zone, e.listing.MachineKind = int(r.u16("dc")), int(r.u8("hw"))
		e.listing.Cell, e.listing.State = int(r.u16("cluster")), balancer.EndpointState(r.u8("health"))
		e.listing.NominalWeight, e.listing.StartedAt = r.f32("nominal"), r.tick("up_since")
		e.listing.Version = uint16(r.f32("release"))
		entries = append(entries, e)
	}
	s.pages[page], s.listed[page] = entries, true
	return nil
}

func (s *server) roster(r *reader, now balancer.Tick, rl *relay) error {
	how := r.u8("how")
	r.u32("seq_no")
	page := r.u32("page")
	if r.err != nil {
		return nil
	}
	switch how {
	case listFailed:
		rl.module.OnListSynced(now, false)
		return nil
	case listFull, listCached, listDelta:
	default:
		return fmt.Errorf("unknown kind of list %d", how)
	}
	if page >= mostPages || !s.listed[page] {
		return fmt.Errorf("list number %d was never given", page)
	}
	named := map[uint32]bool{}
	for _, e := range s.pages[page] {
		u := rl.units[e.unit]
		if u == nil {
			u = &balancer.Backend{ID: e.unit}
			rl.units[e.unit] = u
			rl.order = append(rl.order, e.unit)
		}
		named[e.unit] = true
		rl.module.OnEndpoint(now, u, e.listing)
	}
	if how != listDelta { // a unit that a full list leaves out has gone
		for _, id := range rl.order {
			if u := rl.units[id]; !named[id] && u.State != balancer.Removed {
				listing := u.Endpoint
				listing.State = balancer.Removed
				rl.module.OnEndpoint(now, u, listing)
			}
		}
	}
	rl.module.OnListSynced(now, true)
	return nil
}

// Bits of a command's opts.
const (
	optHint = 1 << iota
	optRepeated
	optWrite
)

func (rl *relay) submit(r *reader, now balancer.Tick) error {
	cmd := &balancer.Request{ID: r.u64("corr"), Class: int(r.u8("band"))}
	cmd.Tenant, cmd.Key = int(r.u32("project")), r.u64("name_key")
	cmd.Deadline = r.tick("not_after")
	work, opts := r.tick("work"), r.u8("opts")
	if r.err != nil {
		return nil
	}
	if cmd.Class >= rl.opTypes {
		return fmt.Errorf("class %d of %d", cmd.Class, rl.opTypes)
	}
	if opts&optHint != 0 {
		cmd.EstimatedWork = work
	}
	cmd.ClientRetry, cmd.Write = opts&optRepeated != 0, opts&optWrite != 0
	rl.cmds[cmd.ID] = &held{cmd: cmd}
	rl.module.OnRequest(now, cmd)
	return nil
}

func (rl *relay) finished(r *reader, now balancer.Tick) {
	corr, no := r.u64("corr"), int(r.u8("send_no"))
	r.u32("unit")
	ending, took := balancer.Outcome(r.u8("state_code")), r.tick("wait_time")
	settled, load := r.u8("settled") != 0, r.load()
	h := rl.cmds[corr]
	if r.err != nil || h == nil || no >= len(h.sent) {
		return
	}
	h.out--
	h.answered = h.answered || settled
	rl.module.OnOutcome(now, h.sent[no], ending, took, settled, load)
	rl.forget(corr, h)
}

// forget drops a command that the wire will not speak of again.
func (rl *relay) forget(corr uint64, h *held) {
	if h.answered && h.out <= 0 {
		delete(rl.cmds, corr)
	}
}

// StartAttempt writes SEND.
func (rl *relay) StartAttempt(d *balancer.Attempt, stopAt balancer.Tick) {
	h := rl.cmds[d.Request.ID]
	h.sent = append(h.sent, d)
	h.out++
	rl.out.record(acSend, rl.number)
	rl.out.u64(d.Request.ID)
	rl.out.u32(d.Backend.ID)
	rl.out.tick(stopAt)
}

// Reject writes BOUNCE.
func (rl *relay) Reject(cmd *balancer.Request, comeBack balancer.Tick) {
	rl.out.record(acBounce, rl.number)
	rl.out.u64(cmd.ID)
	rl.out.tick(comeBack)
	rl.end(cmd)
}

// Fail writes SURRENDER.
func (rl *relay) Fail(cmd *balancer.Request) {
	rl.out.record(acSurrender, rl.number)
	rl.out.u64(cmd.ID)
	rl.end(cmd)
}

func (rl *relay) end(cmd *balancer.Request) {
	if h := rl.cmds[cmd.ID]; h != nil {
		h.answered = true
		rl.forget(cmd.ID, h)
	}
}

// CancelAttempt writes ABORT_ATTEMPT.
func (rl *relay) CancelAttempt(d *balancer.Attempt) {
	rl.out.record(acAbortAttempt, rl.number)
	rl.out.u64(d.Request.ID)
	rl.out.u8(uint8(d.Number))
}

// SetTimer writes WAKE_AT.
func (rl *relay) SetTimer(at balancer.Tick, tag uint32) {
	rl.out.record(acWakeAt, rl.number)
	rl.out.tick(at)
	rl.out.u32(tag)
}

// Probe writes TOUCH.
func (rl *relay) Probe(u *balancer.Backend) {
	rl.out.record(acTouch, rl.number)
	rl.out.u32(u.ID)
}

// CloseIdle writes CLOSE.
func (rl *relay) CloseIdle(u *balancer.Backend) {
	rl.out.record(acClose, rl.number)
	rl.out.u32(u.ID)
}

// SendGossip writes MEMO_TO.
func (rl *relay) SendGossip(peer uint32, data []byte) {
	rl.out.record(acMemoTo, rl.number)
	rl.out.u32(peer)
	rl.out.bytes(data)
}

// Log writes SAY_LOG.
func (rl *relay) Log(message string, fields ...slog.Attr) {
	rl.out.record(acSayLog, rl.number)
	rl.out.bytes([]byte(balancer.LogLine(message, fields...)))
}

// WatchEndpoints writes TRACK.
func (rl *relay) WatchEndpoints(on bool) {
	rl.out.record(acTrack, rl.number)
	if on {
		rl.out.u8(1)
	} else {
		rl.out.u8(0)
	}
}

// FetchEndpoints writes PULL.
func (rl *relay) FetchEndpoints() {
	rl.out.record(acPull, rl.number)
}

// CastVote writes OPINION.
func (rl *relay) CastVote(build uint16, stage int, verdict balancer.Verdict) {
	rl.out.record(acOpinion, rl.number)
	rl.out.u16(build)
	rl.out.u8(uint8(stage))
	rl.out.u8(uint8(verdict))
}
