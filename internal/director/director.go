// Package director issues signed metadata for each server of a fleet, as Uptane's Director: which package the
// server is to run. What each is told is decided by package waves, how far a package goes by the platform
// and the votes; here it is signed, numbered and kept from going back.
//
// A server's root chain is the Director's; its timestamp, snapshot and targets are its own, all of one version
// number. The number, the build and the end of each issue are durable before anyone can see it: after a
// restart the next number follows, and what a server may still hold is known.
//
// Kind: state
package director

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"
	"golang.org/x/sync/errgroup"

	"silvercove/internal/dispatch"
	"silvercove/internal/keys"
	"silvercove/internal/logging"
	"silvercove/internal/metadatarefresh"
	"silvercove/internal/monotonic"
	"silvercove/internal/stagedrollout"
	"silvercove/internal/tufverify"
	"silvercove/internal/wakeup"
)

// Errors of a Director.
var (
	ErrUnknownServer = errors.New("no such server")
	ErrUnknownFile   = errors.New("no such file")
	ErrUnavailable   = errors.New("not to be had now")
)

// ImageLookup looks up what the Image repository vouches for.
type ImageLookup func(path string) (*tufverify.Target, *tufverify.RefusalError)

// VersionStore is where what must outlive a restart is kept.
type VersionStore interface {
	tufverify.VersionStore
	Entries() []monotonic.Entry
}

// Director issues for one fleet.
type Director struct {
	store       VersionStore
	lookUpImage ImageLookup
	now         func() time.Time
	lifetime    time.Duration // that issued metadata last
	packages    map[uint16]string
	log         logging.Func

	rootMu     sync.RWMutex
	root       *metadata.Metadata[metadata.RootType]
	chain      map[string][]byte
	onlineKeys map[string][]*keys.Key

	answersMu sync.Mutex
	answers   map[string]*tufverify.Target // what the Image repository said last, by path

	mu             sync.Mutex // guards what follows and the module
	rollout        *stagedrollout.Rollout
	servers        map[string]*server
	stage          dispatch.RolloutStage
	stageKinds     []string               // that its package fits
	waitingVersion uint16                 // the build that was logged to wait
	deferredStage  *dispatch.RolloutStage // news of a package that the Image repository does not know yet
	released       uint16
	timerAt        stagedrollout.Tick
	waker          *wakeup.Waker
	pendingIssues  []*server

	Issued, Assignments, Reports int64
	Changed                      time.Time // when the last change was told to all it concerns
}

type server struct {
	stagedrollout.Server

	mu          sync.Mutex // one issue at a time
	version     int64
	issueRecord // the last one
	issuedAt    tufverify.Tick
	target      *tufverify.Target // that the last issue names
	files       map[string][]byte
	reissue     bool // guarded by Director.mu: it was told something else since its last issue
}

// New makes a Director with its root chain by file name and its online keys. A metadata file lasts as long
// as last, whole seconds; packages are paths by build; running is what all servers are on if nothing is known.
func New(chain map[string][]byte, online []*keys.Key, f VersionStore, image ImageLookup, now func() time.Time, last time.Duration,
	packages map[uint16]string, running uint16, log logging.Func) (*Director, error) {
	d := &Director{store: f, lookUpImage: image, now: now, lifetime: last.Truncate(time.Second), packages: packages, log: log,
		answers: map[string]*tufverify.Target{}, servers: map[string]*server{}, waker: wakeup.New(), released: running}
	if v, _ := f.Recorded("director/released"); v > 0 {
		d.released = max(uint16(v), running)
	}
	if d.lifetime < 2*time.Second {
		return nil, fmt.Errorf("director: metadata that last %v", last)
	}
	if err := d.Keys(chain, online); err != nil {
		return nil, err
	}
	d.rollout = stagedrollout.New(d, stagedrollout.Tick(tufverify.Tick(d.lifetime/time.Second)*tufverify.Second), d.released)
	for _, e := range f.Entries() { // what may be out there
		name, ok := strings.CutPrefix(e.Key, "issued/")
		if !ok {
			continue
		}
		s := &server{version: e.Version, issueRecord: decodeIssue(e.Sum), reissue: true}
		s.Name = name
		d.servers[name] = s
		holds := tufverify.Tick(0)
		if s.previous > s.assigned {
			holds = s.previousUntil
		}
		d.rollout.Restore(d.tick(), &s.Server, s.assigned, stagedrollout.Tick(holds))
	}
	return d, nil
}

// Keys takes a root chain and online keys, at the start or in service. Each role must have as many keys as
// its threshold. What was issued before is issued anew.
func (d *Director) Keys(chain map[string][]byte, online []*keys.Key) error {
	var newest *metadata.Metadata[metadata.RootType]
	for name, text := range chain {
		f, ok := tufverify.ParseFile(name)
		if !ok || f.Role != metadata.ROOT {
			continue
		}
		root, err := (&metadata.Metadata[metadata.RootType]{}).FromBytes(text)
		if err != nil {
			return fmt.Errorf("director: %s: %w", name, err)
		}
		if newest == nil || root.Signed.Version > newest.Signed.Version {
			newest = root
		}
	}
	if newest == nil {
		return errors.New("director: no root")
	}
	by := map[string][]*keys.Key{}
	for _, role := range []string{metadata.TARGETS, metadata.SNAPSHOT, metadata.TIMESTAMP} {
		is := newest.Signed.Roles[role]
		if is == nil {
			return fmt.Errorf("director: root %d has no role %s", newest.Signed.Version, role)
		}
		for _, k := range online {
			if slices.Contains(is.KeyIDs, k.ID) {
				by[role] = append(by[role], k)
			}
		}
		if len(by[role]) < is.Threshold {
			return fmt.Errorf("director: %d online keys for %s, its threshold is %d", len(by[role]), role, is.Threshold)
		}
	}
	d.rootMu.Lock()
	changed := d.root != nil && d.root.Signed.Version != newest.Signed.Version
	d.root, d.chain, d.onlineKeys = newest, chain, by
	d.rootMu.Unlock()
	if changed {
		d.mu.Lock()
		for _, s := range d.servers {
			d.markForReissue(s)
		}
		d.mu.Unlock()
	}
	return nil
}

// issueRecord is what must outlive a restart of one issue: the build that it names and when it ends, and the build
// that the issue before named, if the server may still act on that, and until when.
type issueRecord struct {
	assigned, previous       uint16
	expiresAt, previousUntil tufverify.Tick
}

// digest puts it into the front of the issue's sum; the rest of the sum tells contents apart.
func (i issueRecord) digest(content []byte) (sum tufverify.Digest) {
	sum = sha256.Sum256(content)
	binary.BigEndian.PutUint16(sum[:], i.assigned)
	binary.BigEndian.PutUint64(sum[2:], uint64(i.expiresAt))
	binary.BigEndian.PutUint16(sum[10:], i.previous)
	binary.BigEndian.PutUint64(sum[12:], uint64(i.previousUntil))
	return sum
}

func decodeIssue(sum tufverify.Digest) issueRecord {
	return issueRecord{binary.BigEndian.Uint16(sum[:]), binary.BigEndian.Uint16(sum[10:]),
		tufverify.Tick(binary.BigEndian.Uint64(sum[2:])), tufverify.Tick(binary.BigEndian.Uint64(sum[12:]))}
}

// tickLength is one tick of the modules.
const tickLength = time.Second / time.Duration(tufverify.Second)

func (d *Director) tick() stagedrollout.Tick { return stagedrollout.Tick(tufverify.FromTime(d.now())) }

// Assign is the module's word that a server is to be told a build.
func (d *Director) Assign(s *stagedrollout.Server, build uint16) {
	d.Assignments++
	if own := d.servers[s.Name]; own != nil {
		d.markForReissue(own)
	}
}

// markForReissue has a server's metadata issued anew.
func (d *Director) markForReissue(s *server) {
	if s.reissue {
		return
	}
	s.reissue = true
	d.pendingIssues = append(d.pendingIssues, s)
	d.waker.Wake()
}

// SetTimer sets the module's alarm.
func (d *Director) SetTimer(at stagedrollout.Tick) {
	if d.timerAt == 0 || at < d.timerAt {
		d.timerAt = at
		d.waker.Wake()
	}
}

// Log writes a line of the rollout.
func (d *Director) Log(level slog.Level, message string, fields ...slog.Attr) {
	d.log(level, message, fields...)
}

// UpdateServers takes the list of servers, or changes of it.
func (d *Director) UpdateServers(whole bool, hosts []dispatch.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, named := d.tick(), map[string]bool{}
	for _, h := range hosts {
		named[h.Name] = true
		s := d.servers[h.Name]
		fresh := s == nil
		if fresh {
			s = &server{}
			s.Name = h.Name
			d.servers[h.Name] = s
		}
		s.Zone, s.Kind = h.Zone, h.MachineKind
		if here := h.State != "removed"; here || !fresh {
			d.rollout.OnListed(now, &s.Server, here)
		}
	}
	for name, s := range d.servers {
		if whole && !named[name] {
			d.rollout.OnListed(now, &s.Server, false)
		}
	}
	d.rollout.OnListComplete(now)
}

var phases = map[string]stagedrollout.Phase{"testing": stagedrollout.Canary, "recalling": stagedrollout.RollingBack,
	"live": stagedrollout.Released, "recalled": stagedrollout.Withdrawn}

// OnStage takes what the platform says of the newest build. News of a build that went before is left aside.
func (d *Director) OnStage(is dispatch.RolloutStage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if is.Version < d.stage.Version || !is.Valid() {
		return
	}
	if is.Version <= d.released && is.Phase != "live" {
		return // it was released before a restart, and is no longer news
	}
	fits, known := d.hardwareKinds(is)
	if d.stage.Phase == "live" && d.stage.Version != is.Version {
		d.recordReleased(d.stage.Version)
	}
	d.stage, d.stageKinds, d.deferredStage = is, fits, nil
	now := d.tick()
	if !known { // told ones may go back, nobody new is told
		d.deferredStage = &is
		d.SetTimer(now + stagedrollout.Tick(metadatarefresh.IssueRetryDelay))
	}
	if is.Version == d.released { // nothing newer is out
		d.rollout.OnStage(now, is.Version, is.Version, stagedrollout.Released, 1, fits)
		return
	}
	d.rollout.OnStage(now, is.Version, d.released, phases[is.Phase], is.ExposureCap, fits)
}

// hardwareKinds tells which kinds of hardware a build's package fits. Until the Image repository says so it is none.
func (d *Director) hardwareKinds(is dispatch.RolloutStage) (kinds []string, known bool) {
	if is.Version == d.stage.Version && d.deferredStage == nil {
		return d.stageKinds, true
	}
	t, refusal := d.lookUp(d.packages[is.Version])
	if refusal == nil {
		return t.Custom.Kinds, true
	}
	if d.waitingVersion != is.Version {
		d.waitingVersion = is.Version
		d.log(slog.LevelWarn, "package waits for the image repository", append([]slog.Attr{slog.Int("version", int(is.Version))},
			refusal.LogFields()...)...)
	}
	return []string{""}, false
}

// recordReleased makes durable that a build was released.
func (d *Director) recordReleased(build uint16) {
	if build <= d.released {
		return
	}
	if err := d.store.Record("director/released", int64(build), tufverify.Digest{}); err != nil {
		d.log(slog.LevelError, "released version could not be recorded", slog.Int("version", int(build)), slog.String("error", err.Error()))
	}
	d.released = build
}

// OnVote takes a vote of this installation's own: nobody new is told while one to hold or go back stands.
func (d *Director) OnVote(v dispatch.Vote) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v.Version == d.stage.Version && (v.Verdict == "HOLD" || v.Verdict == "ROLLBACK") {
		d.rollout.Pause(d.tick())
	}
}

// OnReport takes a report that was found good.
func (d *Director) OnReport(r *tufverify.Report) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[r.Server]
	if s == nil {
		return ErrUnknownServer
	}
	d.Reports++
	if r.Attack != "" {
		d.log(slog.LevelWarn, "server refused metadata", slog.String("server", r.Server), slog.String("detail", r.Attack))
	}
	tried, ended := uint16(0), map[string]stagedrollout.InstallResult{"ok": stagedrollout.InstallSucceeded, "failed": stagedrollout.InstallFailed,
		"declined": stagedrollout.InstallDeclined}[r.Installed]
	for build, path := range d.packages {
		if path == r.Tried && path != "" {
			tried = build
		}
	}
	d.rollout.OnReport(d.tick(), &s.Server, r.Build, tried, ended)
	return nil
}

// Kind tells what kind of hardware a server is listed as.
func (d *Director) Kind(name string) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[name]
	if s == nil {
		return "", false
	}
	return s.Kind, true
}

// File gives a metadata file of a server as it is to be passed on now.
func (d *Director) File(name string, f tufverify.File) ([]byte, error) {
	if f.Role == metadata.ROOT {
		d.rootMu.RLock()
		defer d.rootMu.RUnlock()
		if text := d.chain[f.String()]; text != nil {
			return text, nil
		}
		return nil, ErrUnknownFile
	}
	d.mu.Lock()
	s := d.servers[name]
	if s == nil {
		d.mu.Unlock()
		return nil, ErrUnknownServer
	}
	stale := s.reissue
	d.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := tufverify.FromTime(d.now())
	held := metadatarefresh.Issue{Held: s.files != nil, IssuedAt: s.issuedAt, ExpiresAt: s.expiresAt, Assigned: !stale, ImageAgrees: d.imageAgrees(s)}
	if held.MustRenew(now) {
		if err := d.issue(s, now); err != nil && !held.MayServeStale(now) {
			return nil, err // nothing older is given in its place
		}
	}
	text := s.files[f.String()]
	if text == nil {
		return nil, ErrUnknownFile
	}
	if f.Role == metadata.TARGETS {
		d.mu.Lock()
		s.previousUntil = 0
		d.rollout.OnFetched(stagedrollout.Tick(now), &s.Server, s.assigned)
		d.mu.Unlock()
	}
	return text, nil
}

// imageAgrees: the Image repository still says of the issued target what it said, or can't say anything now.
func (d *Director) imageAgrees(s *server) bool {
	if s.target == nil {
		return true
	}
	is, refusal := d.lookUpImage(s.target.Path)
	return refusal != nil || is.Sum == s.target.Sum && is.Length == s.target.Length
}

// issue signs the next version of a server's metadata, and makes it durable before anyone sees it.
func (d *Director) issue(s *server, now tufverify.Tick) error {
	d.mu.Lock()
	build, kind := s.Assigned(), s.Kind
	s.reissue = false
	d.mu.Unlock()
	again := func(err error) error { // what is owed stays owed
		d.mu.Lock()
		s.reissue = true
		d.mu.Unlock()
		return err
	}
	if metadatarefresh.PersistTime(now, d.store.TrustedTime()) {
		if err := d.store.AdvanceTime(now); err != nil {
			return again(fmt.Errorf("%w: the time is not kept: %w", ErrUnavailable, err))
		}
	}
	now = max(now, d.store.TrustedTime()) // a clock that was set back does not shorten what servers hold
	end := now + tufverify.Tick(d.lifetime/time.Second)*tufverify.Second
	target, err := d.assignedTarget(s.Name, kind, build)
	if err != nil {
		return again(err)
	}
	d.rootMu.RLock()
	online := d.onlineKeys
	d.rootMu.RUnlock()
	version := s.version + 1
	files, err := sign(online, version, end.Time(), target)
	if err != nil {
		return again(err)
	}
	next := issueRecord{assigned: build, expiresAt: end}
	switch {
	case s.version > 0 && s.assigned != build:
		next.previous, next.previousUntil = s.assigned, s.expiresAt
	case now < s.previousUntil:
		next.previous, next.previousUntil = s.previous, s.previousUntil
	}
	if err := d.store.Record("issued/"+s.Name, version, next.digest(files["timestamp.json"])); err != nil {
		return again(fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
	s.version, s.issueRecord, s.issuedAt, s.files, s.target = version, next, now, files, target
	d.mu.Lock()
	d.Issued++
	d.mu.Unlock()
	return nil
}

// assignedTarget is what a server is told: the Image repository's word on the package of its build, for this server.
func (d *Director) assignedTarget(name, kind string, build uint16) (*tufverify.Target, error) {
	if build == 0 {
		return nil, nil
	}
	path := d.packages[build]
	if path == "" {
		return nil, fmt.Errorf("%w: no package is named for build %d", ErrUnavailable, build)
	}
	is, refusal := d.lookUp(path)
	if refusal != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, refusal)
	}
	t := *is
	t.Custom.ECUs = map[string]string{name: kind}
	t.Custom.Kinds, t.Custom.Build = nil, build
	return &t, nil
}

// lookUp asks the Image repository for a target. While that can't be had, what it said last stands in, so
// that servers can be told back; they ask the Image repository themselves before they install anything.
func (d *Director) lookUp(path string) (*tufverify.Target, *tufverify.RefusalError) {
	t, refusal := d.lookUpImage(path)
	d.answersMu.Lock()
	defer d.answersMu.Unlock()
	if refusal == nil {
		d.answers[path] = t
	} else if was := d.answers[path]; was != nil && metadatarefresh.LastAnswerMayServe(refusal) {
		return was, nil
	}
	return t, refusal
}

// sign makes the three files of one version.
func sign(online map[string][]*keys.Key, version int64, end time.Time, t *tufverify.Target) (map[string][]byte, error) {
	targets := metadata.Targets(end)
	targets.Signed.Version = version
	if t != nil {
		file := metadata.TargetFile()
		file.Length, file.Path = t.Length, t.Path
		file.Hashes["sha256"] = t.Sum[:]
		custom, err := json.Marshal(t.Custom)
		if err != nil {
			return nil, err
		}
		raw := json.RawMessage(custom)
		file.Custom = &raw
		targets.Signed.Targets[t.Path] = file
	}
	out := map[string][]byte{}
	text, err := signed(targets, online[metadata.TARGETS])
	if err != nil {
		return nil, err
	}
	out[tufverify.File{Role: metadata.TARGETS, Version: version}.String()] = text
	snap := metadata.Snapshot(end)
	snap.Signed.Version = version
	snap.Signed.Meta["targets.json"] = metaFile(version, text)
	if text, err = signed(snap, online[metadata.SNAPSHOT]); err != nil {
		return nil, err
	}
	out[tufverify.File{Role: metadata.SNAPSHOT, Version: version}.String()] = text
	stamp := metadata.Timestamp(end)
	stamp.Signed.Version = version
	stamp.Signed.Meta["snapshot.json"] = metaFile(version, text)
	if text, err = signed(stamp, online[metadata.TIMESTAMP]); err != nil {
		return nil, err
	}
	out["timestamp.json"] = text
	return out, nil
}

func metaFile(version int64, text []byte) *metadata.MetaFiles {
	sum := sha256.Sum256(text)
	return &metadata.MetaFiles{Version: version, Length: int64(len(text)), Hashes: metadata.Hashes{"sha256": sum[:]}}
}

func signed[T metadata.Roles](m *metadata.Metadata[T], by []*keys.Key) ([]byte, error) {
	for _, k := range by {
		signer, err := k.Signer()
		if err != nil {
			return nil, err
		}
		if _, err := m.Sign(signer); err != nil {
			return nil, err
		}
	}
	return m.ToBytes(false)
}

// Run issues what is owed and rings the module's alarms until the context ends.
func (d *Director) Run(ctx context.Context) error { return d.waker.Run(ctx, d.runDue) }

// runDue rings the alarm that is due, issues what is owed, and tells how long it is until the next.
func (d *Director) runDue() time.Duration {
	d.mu.Lock()
	if now := d.tick(); d.timerAt != 0 && now >= d.timerAt {
		d.timerAt = 0
		d.rollout.OnTimer(now)
	}
	if later := d.deferredStage; later != nil {
		d.mu.Unlock()
		d.OnStage(*later)
		d.mu.Lock()
	}
	owed := d.pendingIssues
	d.pendingIssues = nil
	d.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for _, s := range owed {
		group.Go(func() error {
			s.mu.Lock()
			defer s.mu.Unlock()
			d.mu.Lock()
			stale := s.reissue
			d.mu.Unlock()
			if !stale || s.files == nil { // one that never asked is told when it does
				return nil
			}
			if err := d.issue(s, tufverify.FromTime(d.now())); err != nil {
				return err
			}
			return nil
		})
	}
	err := group.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(owed) > 0 {
		d.Changed = d.now()
	}
	next := time.Hour
	if err != nil {
		d.log(slog.LevelWarn, "metadata could not be issued and is retried", slog.String("error", err.Error()),
			slog.Duration("wait_ms", time.Duration(metadatarefresh.IssueRetryDelay)*tickLength))
		for _, s := range owed {
			if s.reissue && s.files != nil {
				d.pendingIssues = append(d.pendingIssues, s)
			}
		}
		next = time.Duration(metadatarefresh.IssueRetryDelay) * tickLength
	}
	if d.timerAt != 0 {
		next = min(next, max(0, time.Duration(d.timerAt-d.tick())*tickLength))
	}
	return next
}

// Count tells how many servers there are, how many are told the newest package, and how many may act on it.
func (d *Director) Count() (fleet, told, counted int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rollout.Count(d.tick())
}

// IssuedCount tells how many versions were issued.
func (d *Director) IssuedCount() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Issued
}

// Explain says in plain sentences why a server may run what it is told.
func (d *Director) Explain(name string) ([]string, error) {
	d.mu.Lock()
	s := d.servers[name]
	if s == nil {
		d.mu.Unlock()
		return nil, fmt.Errorf("%s: %w; known: %s", name, ErrUnknownServer, firstNames(d.servers))
	}
	now := d.tick()
	at := d.rollout.Explain(now, &s.Server)
	stage, released, zone, kind := d.stage, d.released, s.Zone, s.Kind
	d.mu.Unlock()
	s.mu.Lock()
	version, build, end := s.version, s.assigned, s.expiresAt
	s.mu.Unlock()
	out := []string{
		fmt.Sprintf("%s is in zone %s, of kind %s; it reported that it runs build %d.", name, zone, kind, at.Running),
		fmt.Sprintf("Build %d is released. The newest is build %d, %s, with a cap of %g.", released, stage.Version, stage.Phase,
			stage.ExposureCap),
		fmt.Sprintf("It is told build %d; it is number %d of %d in the order of build %d.", at.Assigned, at.Rank+1, at.Servers,
			stage.Version),
		fmt.Sprintf("The cap lets %d servers be told; %d are, or may still act on having been.", at.MaxAssigned, at.MayInstall),
	}
	if version > 0 {
		out = append(out, fmt.Sprintf("Its metadata have version %d, name build %d and last until %s.", version, build,
			end.Time().Format(time.RFC3339)))
	}
	if at.Failures > 0 {
		out = append(out, fmt.Sprintf("It failed to install the package %d times; it is put off until %s.", at.Failures,
			tufverify.Tick(at.NotBefore).Time().Format(time.RFC3339)))
	}
	if at.Excluded {
		out = append(out, "It is left out of this package for good.")
	}
	if tufverify.Tick(at.MayInstallUntil) > tufverify.Tick(now) {
		out = append(out, fmt.Sprintf("It was told back, and counts until it has fetched that or %s.",
			tufverify.Tick(at.MayInstallUntil).Time().Format(time.RFC3339)))
	}
	if path := d.packages[at.Assigned]; path != "" {
		if t, refusal := d.lookUpImage(path); refusal == nil {
			out = append(out, fmt.Sprintf("The Image repository vouches for %s: %d bytes, SHA-256 %x, by its role %s.", path,
				t.Length, t.Sum, t.Role))
		} else {
			out = append(out, fmt.Sprintf("The Image repository does not vouch for %s now: %v.", path, refusal))
		}
	}
	return out, nil
}

func firstNames(all map[string]*server) string {
	names := slices.Sorted(maps.Keys(all))
	if len(names) > 10 {
		names = append(names[:10], "...")
	}
	return strings.Join(names, ", ")
}
