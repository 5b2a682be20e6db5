package controller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"silvercove/internal/controllerclient"
	"silvercove/internal/peertransport"
)

// born waits until this disk may take part in the agreed log; old says that it must not, as it lacks what was confirmed
// on it.
//
// It guards against a majority of emptied or old disks that agrees on another past. A disk that has not begun begins
// only with all other keepers of the file, none of which has begun, or if the birth names its identity; else the
// leading keeper lets it in, which first takes its former disk out of the agreed voters: for that a majority of those
// that are left have to have their logs. A disk that has begun asks as many others as make a majority with it, without
// which it could do nothing anyway. What it can't see: all that knew better are away or restarted. Then the log goes
// back behind what another keeper has carried out, which that one tells, and ends (ErrBack).
func (k *Controller) born(ctx context.Context, last controllerclient.LogPosition) (old bool, err error) {
	m := k.disk.now()
	begins := func(b *controllerclient.LogOrigin, found bool, line uint64) error {
		m.Birth, m.Found, m.Line = b, found, line
		return k.disk.put(m)
	}
	if len(k.peers) == 0 && m.Birth == nil {
		return false, begins(&controllerclient.LogOrigin{ID: identity(), Stores: map[string]string{k.self: m.Store}}, true, 0)
	}
	defer k.waits("")
	for ; ; k.rest(ctx) {
		if ctx.Err() != nil {
			return false, ctx.Err()
		}
		all, silent := k.ask(ctx)
		if m.Birth != nil {
			// One of before a rebuild, which was stopped or cut off through it, has no say, and must not keep this one from
			// its start; it ends at its own.
			all = slices.DeleteFunc(all, func(s controllerclient.Status) bool {
				return s.Origin != nil && s.Origin.ID != m.Birth.ID && s.Generation < m.Line
			})
			for _, s := range all {
				switch {
				case s.Origin != nil && s.Origin.ID != m.Birth.ID:
					return false, fmt.Errorf("%s is of a log that began as %s, this disk's began as %s: one of them is not of "+
						"this fleet", s.Node, s.Origin.ID, m.Birth.ID)
				case s.StoreIDs[k.self] != "" && s.StoreIDs[k.self] != m.Store, s.LogPositions[k.self].Later(last):
					return true, nil
				}
			}
			if need := (len(k.peers)+1)/2 + 1; len(all)+1 >= need {
				return false, nil
			}
			k.waits("for word of a majority of keepers: " + strings.Join(silent, ", "))
			continue
		}
		var birth *controllerclient.LogOrigin
		var line uint64
		for _, s := range all {
			if s.Origin != nil && s.Generation >= line {
				birth, line = s.Origin, s.Generation
			}
		}
		switch {
		case birth != nil && birth.Stores[k.self] == m.Store:
			return false, begins(birth, true, line)
		case birth != nil:
			answer, err := k.letIn(ctx, false)
			if err != nil {
				k.waits("this disk is empty, and the fleet has begun: to be let in again: " + err.Error())
				continue
			}
			k.least = answer.Term
			return false, begins(answer.Origin, false, answer.Generation)
		case len(silent) > 0:
			k.waits("to begin with all keepers: " + strings.Join(silent, ", "))
			continue
		}
		names := append([]string{k.self}, k.peers...)
		slices.Sort(names)
		stores := map[string]string{k.self: m.Store}
		for _, s := range all {
			if stores[s.Node] = s.StoreID; !slices.Equal(s.Controllers, names) {
				k.waits(fmt.Sprintf("to begin: %s has a file with the keepers %v, this one has %v", s.Node, s.Controllers, names))
				stores = nil
				break
			}
		}
		switch {
		case stores == nil:
		case names[0] == k.self: // one alone draws the birth, and the others find themselves in it
			return false, begins(&controllerclient.LogOrigin{ID: identity(), Stores: stores}, true, 0)
		default:
			k.waits("for " + names[0] + " to begin")
		}
	}
}

func (k *Controller) rest(ctx context.Context) {
	timer := time.NewTimer(k.spans.ConfirmTimeout.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// waits notes why this keeper does not take part yet.
func (k *Controller) waits(why string) {
	k.mu.Lock()
	was := k.why
	k.why = why
	k.mu.Unlock()
	if why != was && why != "" {
		k.Log.Info().Str("event", "waits").Msg("waits " + why)
	}
}

// ask has the status of all other keepers, and why others are silent.
func (k *Controller) ask(ctx context.Context) (all []controllerclient.Status, silent []string) {
	ctx, cancel := context.WithTimeout(ctx, k.spans.ConfirmTimeout.Duration())
	defer cancel()
	got := make([]controllerclient.Status, len(k.peers))
	errs := make([]error, len(k.peers))
	var group sync.WaitGroup
	for i, name := range k.peers {
		group.Go(func() { got[i], errs[i] = k.client.Status(ctx, name) })
	}
	group.Wait()
	for i, name := range k.peers {
		if errs[i] != nil {
			silent = append(silent, name+" is silent")
		} else {
			all = append(all, got[i])
		}
	}
	return all, silent
}

func (k *Controller) letIn(ctx context.Context, ready bool) (controllerclient.JoinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*k.spans.ProposalTimeout.Duration())
	defer cancel()
	return k.client.Join(ctx, controllerclient.JoinRequest{Node: k.self, StoreID: k.disk.now().Store, CaughtUp: ready})
}

// join has a disk that was let in catch up and get its vote.
func (k *Controller) join(ctx context.Context, r *raft.Raft) {
	if k.disk.now().Found {
		return
	}
	var need uint64
	for ; ctx.Err() == nil; k.rest(ctx) {
		f := r.GetConfiguration()
		m := k.disk.now()
		if f.Error() == nil && m.Begun && slices.ContainsFunc(f.Configuration().Servers, func(s raft.Server) bool {
			return s.ID == raft.ServerID(k.self) && s.Suffrage == raft.Voter
		}) {
			return
		}
		ready := need > 0 && r.AppliedIndex()+mostJoins >= need && r.LastIndex() > 0
		if ready && !m.Begun { // before it is given a vote: an empty log is a damaged one from now on
			m.Begun = true
			if err := k.disk.put(m); err != nil {
				k.full(plain(err))
				continue
			}
		}
		answer, err := k.letIn(ctx, ready)
		if err != nil {
			k.Log.Warn().Err(err).Str("event", "waits").Msg("waits to be given its vote")
			continue
		}
		if answer.Voter && m.Begun {
			k.Log.Info().Str("event", "votes").Msg("this disk has caught up and votes")
			return
		}
		need = answer.Index
	}
}

// takeIn is the leading keeper's part: a former disk of the name is taken out of the voters, the new one follows
// without a vote, and gets it when it has caught up.
func (k *Controller) takeIn(r *raft.Raft, term uint64, j controllerclient.JoinRequest) (answer controllerclient.JoinResponse, err error) {
	k.joining.Lock()
	defer k.joining.Unlock()
	f := r.GetConfiguration()
	if err := f.Error(); err != nil {
		return answer, err
	}
	var there *raft.Server
	for _, s := range f.Configuration().Servers {
		if s.ID == raft.ServerID(j.Node) {
			there = &s
		}
	}
	id, at, limit := raft.ServerID(j.Node), raft.ServerAddress(j.Node), k.spans.ProposalTimeout.Duration()
	if k.machine.stores()[j.Node] != j.StoreID {
		if there != nil {
			if err := r.RemoveServer(id, 0, limit).Error(); err != nil {
				return answer, err
			}
			there = nil
		}
		if _, err := k.apply(order{Term: term, Node: j.Node, Store: j.StoreID}); err != nil {
			return answer, err
		}
		k.mu.Lock()
		delete(k.marks, j.Node)
		k.mu.Unlock()
		k.Log.Info().Str("event", "disk").Str("keeper", j.Node).Msg("another disk: it follows without a vote until it has caught up")
	}
	switch {
	case there == nil:
		err = r.AddNonvoter(id, at, 0, limit).Error()
	case there.Suffrage == raft.Voter:
		answer.Voter = true
	case j.CaughtUp:
		err = r.AddVoter(id, at, 0, limit).Error()
		answer.Voter = err == nil
	}
	answer.Index, answer.Origin, answer.Term, answer.Generation = r.CommitIndex(), k.disk.now().Birth, term, k.machine.line().Generation
	return answer, err
}

// stream carries raft's calls over the fleet's connections. Addresses are names: each process finds another one by its
// own file.
type stream struct{ k *Controller }

type name string

func (n name) Network() string { return "fleet" }
func (n name) String() string  { return string(n) }

// Addr is this keeper's name.
func (s stream) Addr() net.Addr { return name(s.k.self) }

// Close ends Accept.
func (s stream) Close() error { return s.k.Net.Listener(peertransport.KindLog).Close() }

// Accept waits for a keeper's connection; those of others are closed.
func (s stream) Accept() (net.Conn, error) {
	for {
		conn, err := s.k.Net.Listener(peertransport.KindLog).Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := conn.(*peertransport.Conn); !ok || !slices.Contains(s.k.peers, c.From) {
			s.k.Log.Warn().Str("event", "refused").Msg("a connection for the agreed log from a process that is no keeper")
			_ = conn.Close()
			continue
		}
		return conn, nil
	}
}

// Dial connects to a keeper.
func (s stream) Dial(to raft.ServerAddress, limit time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return s.k.Net.Dial(ctx, string(to), peertransport.KindLog)
}

// marking notes what other keepers confirmed to have on their disks, before it counts as agreed.
type marking struct {
	*raft.NetworkTransport
	k *Controller
}

func (m marking) note(id raft.ServerID, last controllerclient.LogPosition) {
	m.k.mu.Lock()
	defer m.k.mu.Unlock()
	if last.Later(m.k.marks[string(id)]) {
		m.k.marks[string(id)] = last
	}
}

// AppendEntries sends entries.
func (m marking) AppendEntries(id raft.ServerID, to raft.ServerAddress, ask *raft.AppendEntriesRequest,
	answer *raft.AppendEntriesResponse) error {

	err := m.NetworkTransport.AppendEntries(id, to, ask, answer)
	if n := len(ask.Entries); err == nil && answer.Success && n > 0 {
		m.note(id, controllerclient.LogPosition{Term: ask.Entries[n-1].Term, Index: ask.Entries[n-1].Index})
	}
	return err
}

// AppendEntriesPipeline is not spoken: each answer is noted first.
func (m marking) AppendEntriesPipeline(raft.ServerID, raft.ServerAddress) (raft.AppendPipeline, error) {
	return nil, raft.ErrPipelineReplicationNotSupported
}

// InstallSnapshot sends a snapshot.
func (m marking) InstallSnapshot(id raft.ServerID, to raft.ServerAddress, ask *raft.InstallSnapshotRequest,
	answer *raft.InstallSnapshotResponse, data io.Reader) error {

	err := m.NetworkTransport.InstallSnapshot(id, to, ask, answer, data)
	if err == nil && answer.Success {
		m.note(id, controllerclient.LogPosition{Term: ask.LastLogTerm, Index: ask.LastLogIndex})
	}
	return err
}

// confirmer finds out whether a majority still follows this keeper's lead, for many units at once. raft's VerifyLeader
// counts an answer to an earlier message, too, which a slow link may hold back until after another one was elected;
// here each keeper is asked after the unit's request came: a keeper that is in this term then has not voted for
// another leader before. It costs a round trip between keepers a lease.
type confirmer struct {
	k *Controller

	mu      sync.Mutex
	want    uint64                   // number of the last question
	said    map[string]said          // by keeper: the last question that was asked before its answer
	asked   map[string]chan struct{} // rings the keeper's goroutine
	changed chan struct{}
	waiting int
}

type said struct{ question, term uint64 }

func newConfirmer(k *Controller) *confirmer {
	c := &confirmer{k: k, said: map[string]said{}, asked: map[string]chan struct{}{}, changed: make(chan struct{})}
	for _, name := range k.peers {
		c.asked[name] = make(chan struct{}, 1)
	}
	return c
}

// run asks; one question at a time is under way to each keeper.
func (c *confirmer) run(ctx context.Context) {
	var group sync.WaitGroup
	for _, name := range c.k.peers {
		group.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case <-c.asked[name]:
				}
				c.mu.Lock()
				s := said{question: c.want}
				c.mu.Unlock()
				each, cancel := context.WithTimeout(ctx, c.k.spans.ConfirmTimeout.Duration())
				term, err := c.k.client.Confirm(each, name, c.k.raft.Load().CurrentTerm())
				cancel()
				c.mu.Lock()
				if err != nil {
					again := c.waiting > 0
					c.mu.Unlock()
					select {
					case <-ctx.Done():
						return
					case <-time.After(c.k.spans.CommitInterval.Duration()):
					}
					if again {
						c.ring(name)
					}
					continue
				}
				s.term = term
				c.said[name] = s
				close(c.changed)
				c.changed = make(chan struct{})
				c.mu.Unlock()
			}
		})
	}
	group.Wait()
}

func (c *confirmer) ring(name string) {
	select {
	case c.asked[name] <- struct{}{}:
	default: // it is rung already, and will ask with the latest number; a nil channel is no peer's
	}
}

var errNoMajority = errors.New("a majority of keepers has not confirmed the lead")

func (k *Controller) voters(r *raft.Raft) (names []string, err error) {
	f := r.GetConfiguration()
	if err := f.Error(); err != nil {
		return nil, err
	}
	for _, s := range f.Configuration().Servers {
		if s.Suffrage == raft.Voter {
			names = append(names, string(s.ID))
		}
	}
	return names, nil
}

// majority is how many voters have to confirm a lead. A rebuilt log begins with one voter: two keepers that were rebuilt by
// mistake, out of each other's sight, would both lead, each for those that hear it first; of the file's keepers only one of
// them can have a majority.
func (k *Controller) majority(voters []string) int { return max(len(voters), len(k.peers)+1)/2 + 1 }

// leads waits until a majority of the file's keepers, asked after this call began, is in the term.
func (c *confirmer) leads(ctx context.Context, r *raft.Raft, term uint64) error {
	voters, err := c.k.voters(r)
	if err != nil {
		return err
	}
	need := c.k.majority(voters)
	ctx, cancel := context.WithTimeout(ctx, c.k.spans.ConfirmTimeout.Duration())
	defer cancel()
	c.mu.Lock()
	c.want++
	mine := c.want
	c.waiting++
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.waiting--
		c.mu.Unlock()
	}()
	for _, name := range voters {
		c.ring(name)
	}
	for {
		c.mu.Lock()
		count, changed := 0, c.changed
		for _, name := range voters {
			if name == c.k.self || c.said[name].question >= mine && c.said[name].term == term {
				count++
			}
		}
		c.mu.Unlock()
		if count >= need {
			if !is(r, term) { // its own word is one of the majority's, and is given last
				return raft.ErrLeadershipLost
			}
			return nil
		}
		select {
		case <-ctx.Done():
			return errNoMajority
		case <-changed:
		}
	}
}
