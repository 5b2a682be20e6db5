package membership

import (
	"context"
	"errors"
	"io"
	"log"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/renameio/v2"
	"golang.org/x/sync/errgroup"

	"silvercove/internal/peertransport"
	"silvercove/internal/tick"
)

// gossip is the library of membership as the board uses it. Its calls may block; none is made with the board's lock held.
type gossip interface {
	Ping(name string) (time.Duration, error)                       // at most the time of a ping
	Spread(name string, record []byte)                             // to all, in place of an earlier one of the name
	Renew(name string)                                             // its kept connection may be lost
	Leave(within time.Duration)                                    // says goodbye
	Close()                                                        // and waits for its goroutines
	Sync(ctx context.Context, names []string, every time.Duration) // whole states, with those who are not heard
}

// heard is what the library calls.
type heard interface {
	record(raw []byte)
	all() [][]byte
	up(name string)
	down(name string, left bool)
}

const (
	pings   = 16                     // under way at once
	goodbye = 500 * time.Millisecond // for it to be heard
)

// Agent is the fleet's members as one process sees them. Its methods never wait for others.
type Agent struct {
	net     *peertransport.Network
	log     func(Member)
	start   time.Time
	library gossip
	changed chan struct{}
	outrun  chan struct{}

	mu    sync.Mutex
	table *Table
	own   uint64          // number of the own record that was spread last
	asked map[string]bool // pings under way
}

// NextIncarnation draws the number of a process's start from a folder, where it counts on, and tells whether the process is fresh:
// nothing of an earlier start is in the folder. Without a folder the day's clock gives the number.
func NextIncarnation(folder string, now time.Time) (run uint64, fresh bool, err error) {
	run = uint64(max(1, now.UnixMilli()))
	if folder == "" {
		return run, true, nil
	}
	path := filepath.Join(folder, "run")
	text, err := os.ReadFile(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		fresh = true
	case err != nil:
		return 0, false, err
	default:
		old, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
		if err != nil {
			return 0, false, errors.New(path + ": damaged: no number of a start; where it is removed, this start counts as a fresh one")
		}
		run = max(run, old+1)
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return 0, false, err
	}
	return run, fresh, renameio.WriteFile(path, []byte(strconv.FormatUint(run, 10)+"\n"), 0o600)
}

// Open makes a board for the processes that a file names; Run has to be called. set has fleet.silence. log, if any, is
// called for each change of a member's state, on the board's own goroutine.
func Open(net *peertransport.Network, run uint64, fresh bool, set map[string]any, log func(Member)) (*Agent, error) {
	self := net.Self()
	me := Record{Name: self.Name, Role: self.Role, Zone: self.Zone, Incarnation: run, StartedEmpty: fresh}
	var others []Record
	for _, p := range net.Peers("") {
		others = append(others, Record{Name: p.Name, Role: p.Role, Zone: p.Zone})
	}
	b := &Agent{net: net, log: log, start: time.Now(), changed: make(chan struct{}, 1), outrun: make(chan struct{}),
		asked: map[string]bool{}}
	b.table = NewTable(0, me, others, set)
	lib, err := newLibrary(net, b.table.SilenceTimeout().Duration(), len(others)+1, b)
	if err != nil {
		return nil, err
	}
	b.library = lib
	return b, nil
}

// Now is the clock of Since and Heard.
func (b *Agent) Now() tick.Tick { return tick.FromDuration(time.Since(b.start)) }

// Publish has own news of a kind told to all from now on, in place of earlier news of that kind. It is an error to tell more
// than MostKinds kinds or MostNews bytes; nothing has changed then.
func (b *Agent) Publish(kind string, data []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Publish(kind, data) // spread at the next turn, so that much news costs no more than its newest
}

// Members are all members, this process included, by name.
func (b *Agent) Members() []Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Members(b.Now())
}

// Changed has something once a member's state or news has changed. One reader is served.
func (b *Agent) Changed() <-chan struct{} { return b.changed }

// Superseded is closed once a later start of this process's name is known: this one is an old copy, and is to end.
func (b *Agent) Superseded() <-chan struct{} { return b.outrun }

// Run hears and tells until the context ends, then says goodbye and waits for its goroutines.
func (b *Agent) Run(ctx context.Context) error {
	var group errgroup.Group
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer func() { stop(); b.library.Close(); _ = group.Wait() }()
	var names []string
	for _, p := range b.net.Peers("") {
		names = append(names, p.Name)
	}
	group.Go(func() error { b.library.Sync(inner, names, b.table.SilenceTimeout().Duration()); return nil })
	clock := time.NewTicker(b.table.ProbeInterval().Duration())
	defer clock.Stop()
	outrun := false
	for {
		select {
		case <-ctx.Done():
			b.mu.Lock()
			b.table.Leave()
			b.mu.Unlock()
			b.spread()
			b.library.Leave(goodbye)
			return nil
		case <-clock.C:
		}
		b.mu.Lock()
		now := b.Now()
		b.table.Reassess(now)
		b.table.Heartbeat(now)
		ask := slices.DeleteFunc(b.table.ProbeTargets(), func(name string) bool { return b.asked[name] })
		ask = ask[:min(len(ask), pings-len(b.asked))]
		for _, name := range ask {
			b.asked[name] = true
		}
		changes, old := b.table.Changes(), b.table.Superseded()
		b.mu.Unlock()
		if len(changes) > 0 {
			b.wake()
		}
		for _, m := range changes {
			if b.log != nil {
				b.log(m)
			}
		}
		if old && !outrun {
			outrun = true
			close(b.outrun)
		}
		b.spread()
		for _, name := range ask {
			group.Go(func() error { b.ping(name); return nil })
		}
	}
}

func (b *Agent) ping(name string) {
	took, err := b.library.Ping(name)
	b.mu.Lock()
	delete(b.asked, name)
	if err != nil {
		b.table.RecordTimeout(b.Now(), name)
	} else {
		b.table.RecordAck(b.Now(), name, tick.FromDuration(took))
	}
	b.mu.Unlock()
	if err != nil {
		b.library.Renew(name)
	}
}

// spread passes the own record on if it is newer than what was spread.
func (b *Agent) spread() {
	b.mu.Lock()
	n, raw := b.table.self.Sequence, b.table.OwnRecord()
	news := n != b.own
	b.own = n
	b.mu.Unlock()
	if news {
		b.library.Spread(b.table.self.Name, raw)
	}
}

func (b *Agent) wake() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// record takes a record that came, and passes it on if it is news.
func (b *Agent) record(raw []byte) {
	b.mu.Lock()
	err := b.table.Merge(b.Now(), raw)
	b.mu.Unlock()
	if err != nil {
		return
	}
	b.wake()
	if name := nameOf(raw); name != "" {
		b.library.Spread(name, raw)
	}
}

func (b *Agent) all() [][]byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Records()
}

func (b *Agent) up(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.MarkUp(b.Now(), name)
}

func (b *Agent) down(name string, left bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.MarkDown(b.Now(), name, left)
}

// quietLog is for the library, whose lines have no events.
func quietLog() *log.Logger { return log.New(io.Discard, "", 0) }
