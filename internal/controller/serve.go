package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/raft"

	"silvercove/internal/controllerclient"
	"silvercove/internal/devicehealth"
	"silvercove/internal/leases"
	"silvercove/internal/migration"
	"silvercove/internal/peertransport"
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// fault is an answer that says no.
type fault struct {
	code int
	controllerclient.ErrorBody
}

func (f *fault) Error() string { return f.ErrorBody.Error }

func no(code int, format string, args ...any) *fault {
	return &fault{code, controllerclient.ErrorBody{Error: fmt.Sprintf(format, args...)}}
}

type fromKey struct{}

// call is one call of the page of calls: in is its body, asked its query.
type call[In any] struct {
	ctx   context.Context
	from  string // the process that calls
	asked url.Values
	in    In
}

// handle reads a call, bounded in its size, and writes what became of it.
func handle[In any](f func(call[In]) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := call[In]{ctx: r.Context(), asked: r.URL.Query()}
		c.from, _ = r.Context().Value(fromKey{}).(string)
		var answer any
		var err error
		if r.Method == http.MethodPost {
			if err = json.NewDecoder(http.MaxBytesReader(w, r.Body, controllerclient.MaxBody)).Decode(&c.in); err != nil {
				err = no(http.StatusBadRequest, "the call can't be read: %v", err)
			}
		}
		if err == nil {
			answer, err = f(c)
		}
		code := http.StatusOK
		if err != nil {
			var f *fault
			if !errors.As(err, &f) { // raft's, or an ended context
				f = no(http.StatusServiceUnavailable, "%v", err)
			}
			code, answer = f.code, f.ErrorBody
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(code)
		_ = json.NewEncoder(w).Encode(answer) // a caller that went away needs nothing
	}
}

// serve answers calls until the context ends.
func (k *Controller) serve(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/lease", handle(k.lease))
	mux.HandleFunc("POST /v1/step", handle(k.step))
	mux.HandleFunc("POST /v1/device", handle(k.device))
	mux.HandleFunc("POST /v1/join", handle(k.joins))
	mux.HandleFunc("POST /v1/confirm", handle(k.confirms))
	mux.HandleFunc("GET /v1/places", handle(k.places))
	mux.HandleFunc("GET /v1/units", handle(k.units))
	mux.HandleFunc("POST /v1/outcomes", handle(k.outcomes))
	mux.HandleFunc("GET /v1/floor", handle(k.floor))
	mux.HandleFunc("GET /v1/status", handle(k.status))
	mux.HandleFunc("GET /v1/backup", k.backup)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second,
		IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10, ErrorLog: nil,
		BaseContext: func(net.Listener) context.Context { return ctx },
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, fromKey{}, conn.(*peertransport.Conn).From)
		}}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	listener := k.Net.Listener(peertransport.KindHTTP)
	listener.Admit(k.crowd.admit)
	err := server.Serve(listener)
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) { // the latter: the process's connections have ended
		return nil
	}
	return err
}

// take is the present lead, or where it is.
func (k *Controller) take() (*lead, *raft.Raft, error) {
	r := k.raft.Load()
	k.mu.Lock()
	defer k.mu.Unlock()
	if r == nil {
		return nil, nil, no(http.StatusServiceUnavailable, "%s waits %s", k.self, k.why)
	}
	if l := k.leading(); l != nil {
		return l, r, nil
	}
	_, leader := r.LeaderWithID()
	if string(leader) == k.self {
		return nil, nil, no(http.StatusServiceUnavailable, "%s begins to lead", k.self)
	}
	f := no(http.StatusMisdirectedRequest, "%s does not lead", k.self)
	f.Leader = string(leader)
	return nil, nil, f
}

// version refuses a call of a later version.
func version(v int) error {
	if v != controllerclient.Version {
		return no(http.StatusBadRequest, "version %d of the call is not spoken here, %d is", v, controllerclient.Version)
	}
	return nil
}

// edge says whether a process is an edge unit of this keeper's file.
func (k *Controller) edge(name string) bool {
	p, ok := k.Net.Peer(name)
	return ok && p.Role == "edge"
}

// lease grants a lease, or renews it.
func (k *Controller) lease(c call[controllerclient.LeaseRequest]) (any, error) {
	came, a := k.Now(), c.in
	if err := version(a.Version); err != nil {
		return nil, err
	}
	switch {
	case a.Node != c.from:
		return nil, no(http.StatusBadRequest, "%s asks for a lease of %s", c.from, a.Node)
	case !k.edge(a.Node):
		return nil, no(http.StatusBadRequest, "%s is no edge unit in the file of %s", a.Node, k.self)
	case a.RecordCount > math.MaxInt64:
		return nil, no(http.StatusBadRequest, "kept: %d is beyond any count", a.RecordCount)
	case a.Incarnation == 0:
		return nil, no(http.StatusBadRequest, "run: the number of the process's start, above 0")
	}
	l, r, err := k.take()
	if err != nil {
		return nil, err
	}
	k.mu.Lock()
	verdict, err := l.book.Request(k.Now(), a.Node, a.Incarnation)
	k.mu.Unlock()
	if err != nil {
		return nil, notGranted(a.Node, err)
	}
	if verdict == leases.ProposeIncarnation {
		_, err := k.apply(order{Term: l.term, Unit: a.Node, Run: a.Incarnation})
		k.mu.Lock()
		switch {
		case err == nil:
			l.book.OnIncarnationAgreed(a.Node, a.Incarnation)
		case never(err), errors.Is(err, errTerm), errors.Is(err, leases.ErrStaleIncarnation):
			l.book.OnIncarnationDropped(a.Node)
		} // else it is not known, and the lead is over
		k.mu.Unlock()
		if errors.Is(err, leases.ErrStaleIncarnation) {
			return nil, no(http.StatusConflict, "%s: %v", a.Node, err)
		} else if err != nil {
			return nil, err
		}
	}
	if err := k.confirm.leads(c.ctx, r, l.term); err != nil {
		return nil, err
	}
	if len(a.Unverified) > controllerclient.MaxUnverified {
		return nil, no(http.StatusBadRequest, "%d doubts, allowed are %d", len(a.Unverified), controllerclient.MaxUnverified)
	}
	if len(a.Unverified) > 0 { // a unit tells each until its lease is granted with it
		if _, err := k.apply(order{Term: l.term, Doubts: a.Unverified}); err != nil {
			return nil, err
		}
		for _, d := range a.Unverified {
			k.Log.Warn().Str("event", "doubts").Str("instance", d.Instance).Uint64("epoch", d.Epoch).Str("from", a.Node).
				Str("why", d.Reason).Send()
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for k.leading() == l && l.pending[a.Node] > 0 {
		settled := l.settled
		k.mu.Unlock()
		select {
		case <-settled:
		case <-l.over:
		case <-c.ctx.Done():
		}
		k.mu.Lock()
		if err := c.ctx.Err(); err != nil {
			return nil, err
		}
	}
	if k.leading() != l {
		return nil, raft.ErrLeadershipLost
	}
	now := k.Now()
	until, err := l.book.Grant(now, came, a.Node, a.Incarnation)
	if err != nil {
		return nil, notGranted(a.Node, err)
	}
	kept, doubts := l.marks.Report(a.Node, a.RecordCount), len(a.Unverified)
	a.Unverified = nil
	a = l.believed(now, k.zone(a), a)
	if back, known := l.back[a.SoftwareVersion]; known { // else the unit says what an earlier leader told it
		a.RollingBack = back
	}
	u := k.unit(a)
	u.LeaseEnd = until
	metrics.GetOrCreateCounter("cove_keeper_leases_granted_total").Inc()
	l.planner.OnNodeStatus(now, u)
	before := l.units[a.Node]
	if l.units[a.Node] = &a; before == nil || !alike(shown(a), shown(*before)) {
		l.news()
	}
	k.bell.Wake()
	return controllerclient.LeaseResponse{Granted: true, Controller: k.self, AssignmentsVersion: k.machine.version(), RecordCount: kept, AcceptedUnverified: doubts,
		Lineage: k.machine.line(), RollingBack: a.RollingBack}, nil
}

// notGranted refuses a lease: for good, or so that the unit asks again at once.
func notGranted(unit string, err error) error {
	if errors.Is(err, leases.ErrExpired) || errors.Is(err, leases.ErrIncarnationPending) {
		return no(http.StatusServiceUnavailable, "%s: %v", unit, err)
	}
	return no(http.StatusConflict, "%s: %v", unit, err)
}

// zone is where a unit is: as it says, or else as this keeper's file does.
func (k *Controller) zone(a controllerclient.LeaseRequest) string {
	if a.Zone != "" {
		return a.Zone
	}
	p, _ := k.Net.Peer(a.Node)
	return p.Zone
}

// believed puts what counts of a unit's report in the place of what it says.
func (l *lead) believed(now tick.Tick, zone string, a controllerclient.LeaseRequest) controllerclient.LeaseRequest {
	var r devicehealth.Report
	if json.Unmarshal(a.Report, &r) != nil {
		return a // read says what becomes of that
	}
	if text, err := json.Marshal(l.claims.Verify(now, a.Node, zone, r)); err == nil {
		a.Report = text
	}
	return a
}

const (
	mostCount  = 1 << 20 // of outcomes that are told at once
	mostBuilds = 64      // that are taken back at once
)

// outcomes takes how commands at units ended, as a relay saw them. What a unit says of itself is judged by it.
func (k *Controller) outcomes(c call[controllerclient.OutcomeReport]) (any, error) {
	if err := version(c.in.Version); err != nil {
		return nil, err
	}
	if p, ok := k.Net.Peer(c.from); !ok || p.Role != "relay" {
		return nil, no(http.StatusBadRequest, "%s is no relay in the file of %s", c.from, k.self)
	}
	l, _, err := k.take()
	if err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	if s := c.in.RolloutState; s != "" {
		k.stands(l, now, c.from, c.in.SoftwareVersion, s == controllerclient.VersionRollingBack || s == controllerclient.VersionWithdrawn)
	}
	for _, o := range c.in.Nodes {
		if !k.edge(o.Node) || o.Successes < 0 || o.Failures < 0 {
			return nil, no(http.StatusBadRequest, "outcomes of %.40q: %d good, %d bad", o.Node, o.Successes, o.Failures)
		}
		total := min(o.Successes, mostCount) + min(o.Failures, mostCount)
		n := min(total, controllerclient.MaxOutcomes)
		bad := min(o.Failures, mostCount) * n / max(1, total)
		for i := range n { // spread evenly
			l.claims.RecordOutcome(now, o.Node, (i+1)*bad/n == i*bad/n)
		}
	}
	return struct{}{}, nil
}

// stands takes whether a build is on its way back. Units that run it are known as such from then on, not from their next
// lease: a third of a lease is long enough to hand them much. One relay's word is enough for that, and the last of those who
// said so ends it: a relay that is cut off from the platform goes on telling what it heard last.
func (k *Controller) stands(l *lead, now tick.Tick, relay string, build uint16, back bool) {
	l.says[relay] = stand{build, back}
	if !back {
		for _, s := range l.says {
			if s == (stand{build, true}) {
				return
			}
		}
	}
	was, known := l.back[build]
	if known && was == back {
		return
	}
	if !known && len(l.back) == mostBuilds {
		for _, b := range slices.Sorted(maps.Keys(l.back)) {
			if !l.back[b] {
				delete(l.back, b)
				break
			}
		}
		if len(l.back) == mostBuilds {
			return
		}
	}
	if l.back[build] = back; back != was {
		k.Log.Info().Str("event", "build").Str("state", map[bool]string{true: "back", false: "stays"}[back]).
			Str("why", fmt.Sprintf("build %d, say the relays", build)).Send()
	}
	changed := false
	for _, name := range slices.Sorted(maps.Keys(l.units)) {
		a := *l.units[name]
		until, held := l.book.LeaseEnd(now, name)
		if a.SoftwareVersion != build || a.RollingBack == back || !held {
			continue
		}
		a.RollingBack, changed = back, true
		l.units[name] = &a
		u := k.unit(a)
		u.LeaseEnd = until
		l.planner.OnNodeStatus(now, u)
	}
	if changed {
		l.news()
	}
	k.bell.Wake()
}

// floor tells for each zone whose units are all tired what is served on there, the most important first.
func (k *Controller) floor(c call[struct{}]) (any, error) {
	l, _, err := k.take()
	if err != nil {
		return nil, err
	}
	k.mu.Lock()
	zones := map[string]map[string]devicehealth.Report{}
	for name, a := range l.units {
		var r devicehealth.Report
		if _, held := l.book.LeaseEnd(k.Now(), name); !held || json.Unmarshal(a.Report, &r) != nil {
			continue
		}
		z := k.zone(*a)
		if zones[z] == nil {
			zones[z] = map[string]devicehealth.Report{}
		}
		zones[z][name] = r
	}
	k.mu.Unlock()
	out := controllerclient.LastResortPlan{Zones: []controllerclient.LastResortZone{}}
	var all []placement.Assignment
	for _, z := range slices.Sorted(maps.Keys(zones)) {
		if !devicehealth.AllDraining(zones[z]) {
			continue
		}
		if all == nil {
			all = k.machine.all()
		}
		var there []devicehealth.Instance
		for _, p := range all {
			if _, ours := zones[z][p.Primary]; ours && p.State == placement.Running {
				there = append(there, devicehealth.Instance{Name: p.Instance, Node: p.Primary, PriorityWeight: p.Weight})
			}
		}
		one := controllerclient.LastResortZone{Zone: z, Instances: []controllerclient.LastResortInstance{}}
		for _, s := range devicehealth.LastResort(zones[z], there) {
			one.Instances = append(one.Instances, controllerclient.LastResortInstance{Name: s.Name, Node: s.Node, Weight: s.PriorityWeight})
		}
		out.Zones = append(out.Zones, one)
	}
	return out, nil
}

// unit is a unit in the planner's words. One whose report can't be read takes nothing new, and keeps what it has.
func (k *Controller) unit(a controllerclient.LeaseRequest) migration.NodeStatus {
	r := read(a)
	u := migration.NodeStatus{Name: a.Node, Incarnation: a.Incarnation, Risk: r.Risk, FreeSlots: r.SpareCapacity, Draining: a.Draining,
		Version: a.SoftwareVersion, RollingBack: a.RollingBack, WarmingUp: a.WarmingUp, LostCopies: a.LostCopies}
	u.Zone = k.zone(a)
	u.Accepting, u.Limited = r.State == controllerclient.StateAccepting || r.State == controllerclient.StateLimited, r.State == controllerclient.StateLimited
	u.Evacuating, u.ShuttingDown = r.State == controllerclient.StateDraining || r.State == controllerclient.StateLeaving, r.State == controllerclient.StateLeaving
	return u
}

func read(a controllerclient.LeaseRequest) controllerclient.HealthReport {
	var r controllerclient.HealthReport
	if err := json.Unmarshal(a.Report, &r); err != nil {
		return controllerclient.HealthReport{State: controllerclient.StateHolding, Reasons: []string{"its report can't be read"}}
	}
	return r
}

// shown is a unit as it is told.
func shown(a controllerclient.LeaseRequest) controllerclient.Node {
	r := read(a)
	return controllerclient.Node{Name: a.Node, Zone: a.Zone, Incarnation: a.Incarnation, State: r.State, AcceptFraction: r.AcceptFraction, Risk: r.Risk, SpareCapacity: r.SpareCapacity,
		Reasons: r.Reasons, StartedAtMS: a.StartedAtMS, SoftwareVersion: a.SoftwareVersion, Commands: a.Commands, Draining: a.Draining || a.RollingBack,
		Accepting: r.State == controllerclient.StateAccepting || r.State == controllerclient.StateLimited}
}

// alike tells whether what relays go by is the same.
func alike(a, b controllerclient.Node) bool {
	a.Reasons, b.Reasons, a.Risk, b.Risk = nil, nil, 0, 0
	return a.Name == b.Name && a.Zone == b.Zone && a.Incarnation == b.Incarnation && a.State == b.State && a.AcceptFraction == b.AcceptFraction &&
		a.SpareCapacity == b.SpareCapacity && a.SoftwareVersion == b.SoftwareVersion && a.Commands == b.Commands && a.Draining == b.Draining && a.StartedAtMS == b.StartedAtMS
}

// answered is what became of a step that was agreed on.
func answered(answer any, err error) (any, error) {
	if err != nil {
		return nil, err
	}
	all, _ := answer.([]result)
	if len(all) != 1 {
		return nil, raft.ErrRaftShutdown
	}
	r := all[0]
	if r.err == nil {
		return r.place, nil
	}
	code := http.StatusConflict
	switch {
	case errors.Is(r.err, placement.ErrNotFound):
		code = http.StatusNotFound
	case errors.Is(r.err, placement.ErrInvalid), errors.Is(r.err, placement.ErrUnsupportedVersion):
		code = http.StatusBadRequest
	}
	f := no(code, "%v", r.err)
	if r.place.Instance != "" {
		f.Assignment = &r.place
	}
	return nil, f
}

// step has an owner's or an operator's entry agreed. The planner's own kinds are not taken from outside.
func (k *Controller) step(c call[placement.Operation]) (any, error) {
	e := c.in
	if e.Version != placement.FormatVersion {
		return nil, no(http.StatusBadRequest, "%v: version %d of the entry is not known here, %d is", placement.ErrUnsupportedVersion, e.Version,
			placement.FormatVersion)
	}
	l, _, err := k.take()
	if err != nil {
		return nil, err
	}
	o := order{Steps: []placement.Operation{e}}
	switch e.Kind {
	case placement.OpReplicaReady, placement.OpDropReplica, placement.OpCutOver, placement.OpCancelCopy, placement.OpMarkServed,
		placement.OpReportIncomplete:
		if e.Node != c.from {
			return nil, no(http.StatusBadRequest, "%s: a step of %s that is by %q", c.from, e.Kind, e.Node)
		}
	case placement.OpCreate, placement.OpRelease:
		if !k.edge(e.Target) {
			return nil, no(http.StatusBadRequest, "%s is no edge unit in the file of %s", e.Target, k.self)
		}
	case placement.OpDelete, placement.OpQuarantine:
		p, ok := k.machine.get(e.Instance)
		if !ok {
			return nil, no(http.StatusNotFound, "%v", placement.ErrNotFound)
		}
		if e.Epoch == 0 {
			e.Epoch = p.Epoch
		}
		if e.Node = p.Primary; p.Primary != "" { // its owner must not act any more
			k.mu.Lock()
			err := l.rest(k.Now(), p.Primary)
			k.mu.Unlock()
			if err != nil {
				f := no(http.StatusConflict, "%s runs at %s: %v", e.Instance, p.Primary, err)
				f.Assignment = &p
				return nil, f
			}
			defer func() {
				k.mu.Lock()
				l.settle(p.Primary)
				k.mu.Unlock()
			}()
			o.Term = l.term
		}
		o.Steps[0] = e
	default:
		return nil, no(http.StatusBadRequest, "steps of kind %q are made by the leading keeper alone", e.Kind)
	}
	return answered(k.apply(o))
}

// device says where an instance's device is.
func (k *Controller) device(c call[controllerclient.DeviceRequest]) (any, error) {
	if err := version(c.in.Version); err != nil {
		return nil, err
	}
	l, _, err := k.take()
	if err != nil {
		return nil, err
	}
	p, ok := k.machine.get(c.in.Name)
	if !ok {
		return nil, no(http.StatusNotFound, "%v: %s", placement.ErrNotFound, c.in.Name)
	}
	answer, err := answered(k.apply(order{Steps: []placement.Operation{{Version: placement.FormatVersion, Kind: placement.OpMoveDevice, Instance: p.Instance,
		Epoch: p.Epoch, Zone: c.in.Zone}}}))
	if err == nil {
		k.mu.Lock()
		if k.leading() == l {
			l.planner.OnDeviceMoved(k.Now(), c.in.Name, c.in.Zone)
		}
		k.mu.Unlock()
		k.bell.Wake()
	}
	return answer, err
}

// mostWait is how long a call may wait for news.
const mostWait = time.Minute

// waits reads since and timeout_ms, and takes a place among those that wait; done gives it back.
func (k *Controller) poll(c call[struct{}]) (since uint64, timer *time.Timer, done func(), err error) {
	number := func(name string) (n uint64) {
		if text := c.asked.Get(name); text != "" && err == nil {
			if n, err = strconv.ParseUint(text, 10, 63); err != nil {
				err = no(http.StatusBadRequest, "%s: a number is wanted, not %.40q", name, text)
			}
		}
		return n
	}
	since, wait := number("since"), number("timeout_ms")
	if err != nil {
		return 0, nil, nil, err
	}
	select {
	case k.waiters <- struct{}{}:
	default:
		return 0, nil, nil, no(http.StatusServiceUnavailable, "as many calls wait for news as may")
	}
	timer = time.NewTimer(min(time.Duration(min(wait, uint64(mostWait.Milliseconds())))*time.Millisecond, mostWait))
	return since, timer, func() { timer.Stop(); <-k.waiters }, nil
}

// places tells those that changed.
func (k *Controller) places(c call[struct{}]) (any, error) {
	l, _, err := k.take()
	if err != nil {
		return nil, err
	}
	since, timer, done, err := k.poll(c)
	if err != nil {
		return nil, err
	}
	defer done()
	for {
		birth := k.machine.line().OriginID
		if c.asked.Has("birth") {
			birth = c.asked.Get("birth")
		}
		p, changed := k.machine.since(since, birth)
		if p.Version != since || birth != p.OriginID {
			return p, nil
		}
		select {
		case <-changed: // what changes within a moment is told together
			timer.Reset(k.spans.AssignmentUpdateInterval.Duration())
			select {
			case <-timer.C:
			case <-c.ctx.Done():
			}
		case <-timer.C:
			p.Complete, p.Assignments = false, []placement.Assignment{}
			return p, nil
		case <-l.over:
			_, _, err := k.take()
			return p, err
		case <-c.ctx.Done():
			return nil, c.ctx.Err()
		}
	}
}

// units tells all edge units.
func (k *Controller) units(c call[struct{}]) (any, error) {
	l, _, err := k.take()
	if err != nil {
		return nil, err
	}
	since, timer, done, err := k.poll(c)
	if err != nil {
		return nil, err
	}
	defer done()
	for gathered := false; ; {
		k.mu.Lock()
		if l.version != since || gathered {
			u := k.known(l)
			k.mu.Unlock()
			return u, nil
		}
		changed := l.changed
		k.mu.Unlock()
		select {
		case <-changed: // what changes within a moment is told together
			timer.Reset(min(k.spans.NodeUpdateInterval.Duration(), mostWait))
			gathered = true
			select {
			case <-timer.C:
			case <-c.ctx.Done():
			}
		case <-timer.C:
			gathered = true
		case <-l.over:
			if _, _, err := k.take(); err != nil {
				return nil, err
			}
			return nil, raft.ErrLeadershipLost
		case <-c.ctx.Done():
			return nil, c.ctx.Err()
		}
	}
}

// known are all edge units of the file. It is called with mu.
func (k *Controller) known(l *lead) controllerclient.NodeList {
	u := controllerclient.NodeList{Version: l.version, Nodes: []controllerclient.Node{}}
	now := k.Now()
	for _, p := range k.Net.Peers("edge") {
		one := controllerclient.Node{Name: p.Name, Zone: p.Zone}
		if a := l.units[p.Name]; a != nil {
			if one = shown(*a); one.Zone == "" {
				one.Zone = p.Zone
			}
		}
		_, one.HasLease = l.book.LeaseEnd(now, p.Name)
		if one.Accepting = one.Accepting && one.HasLease; one.Commands == "" {
			one.Commands = p.Commands
		}
		u.Nodes = append(u.Nodes, one)
	}
	slices.SortFunc(u.Nodes, func(a, b controllerclient.Node) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return u
}

// status says how this keeper stands, whatever it does.
func (k *Controller) status(call[struct{}]) (any, error) {
	m := k.disk.now()
	s := controllerclient.Status{Version: controllerclient.Version, Node: k.self, Role: "waits", Origin: m.Birth, StoreID: m.Store,
		Controllers: append([]string{k.self}, k.peers...), LogPositions: map[string]controllerclient.LogPosition{},
		Generation: max(m.Line, k.machine.line().Generation), StoreIDs: k.machine.stores()}
	slices.Sort(s.Controllers)
	if r := k.raft.Load(); r != nil {
		_, leader := r.LeaderWithID()
		s.Role, s.Leader, s.Term, s.Applied, s.Last = map[raft.RaftState]string{raft.Follower: "follower",
			raft.Candidate: "candidate", raft.Leader: "leader", raft.Shutdown: "ends"}[r.State()], string(leader),
			r.CurrentTerm(), r.AppliedIndex(), k.store.mark()
	}
	for _, p := range k.machine.all() {
		s.Assignments++
		if p.CutOver {
			s.Migrations++
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, mark := range k.marks {
		s.LogPositions[name] = mark
	}
	if k.space.Total > 0 {
		d := k.space
		s.Disk = &d
	}
	if s.Reason = k.ill; s.Reason == "" {
		s.Reason = k.why
	}
	if l := k.lead; l != nil {
		s.Reasons = slices.Clone(l.reasons)
	}
	return s, nil
}

// joins lets a keeper's disk in.
func (k *Controller) joins(c call[controllerclient.JoinRequest]) (any, error) {
	if err := version(c.in.Version); err != nil {
		return nil, err
	}
	l, r, err := k.take()
	if err != nil {
		return nil, err
	}
	if c.in.Node != c.from || !slices.Contains(k.peers, c.from) || c.in.StoreID == "" {
		return nil, no(http.StatusBadRequest, "%s is no keeper in the file of %s, or speaks for another", c.from, k.self)
	}
	return k.takeIn(r, l.term, c.in)
}

// confirms says in which term this keeper is.
func (k *Controller) confirms(c call[controllerclient.ConfirmRequest]) (any, error) {
	if err := version(c.in.Version); err != nil {
		return nil, err
	}
	r := k.raft.Load()
	if r == nil {
		return nil, no(http.StatusServiceUnavailable, "%s waits", k.self)
	}
	return controllerclient.ConfirmRequest{Version: controllerclient.Version, Term: r.CurrentTerm()}, nil
}

// backup writes a snapshot of what is agreed.
func (k *Controller) backup(w http.ResponseWriter, r *http.Request) {
	if _, _, err := k.take(); err != nil {
		handle(func(call[struct{}]) (any, error) { return nil, err })(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = k.machine.freeze().WriteTo(w) // a caller that went away needs nothing
}
