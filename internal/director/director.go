// Package director implements the Director repository of Uptane: it issues signed metadata for each server of a fleet. The
// metadata name the package that the server must install. Package stagedrollout decides which version each server is assigned;
// the stages of the release API and the votes decide how many servers may be assigned a new version. Package director signs the
// metadata, gives them a version number and records the assignment.
//
// All servers share the Director's root chain. Each server has its own timestamp, snapshot and targets, which have the same
// version number.
//
// An issue is one version of a server's metadata.
//
// Invariant: the version number, the assigned version and the expiry of an issue are recorded durably before the issue can be
// fetched. After a restart the Director continues the version numbers, and it knows which versions each server may still install
// from metadata that have not expired.
//
// Kind: state (see docs/architecture.md)
package director

import (
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"silvercove/internal/dispatch"
	"silvercove/internal/keys"
	"silvercove/internal/logging"
	"silvercove/internal/monotonic"
	"silvercove/internal/stagedrollout"
	"silvercove/internal/tufverify"
	"silvercove/internal/wakeup"
)

// Errors that methods of a Director return, possibly wrapped.
var (
	ErrUnknownServer = errors.New("no such server")
	ErrUnknownFile   = errors.New("no such file")
	ErrUnavailable   = errors.New("not available now") // the image repository or the version store cannot be used, or no package is configured for the assigned version
)

// minLifetime is the minimum lifetime of issued metadata.
const minLifetime = 2 * time.Second

// releasedKey is the key of the released version in the version store. issuedPrefix, followed by a server's name, is the key
// of the server's last issue.
const (
	releasedKey  = "director/released"
	issuedPrefix = "issued/"
)

// ImageLookup looks up a target in the image repository, without waiting for a mirror. It returns the target, or a refusal if
// the image repository does not list the target or cannot be asked now.
type ImageLookup func(path string) (*tufverify.Target, *tufverify.RefusalError)

// VersionStore stores the state of a Director that must survive a restart: the last issue to each server, the released version
// and the trusted time.
type VersionStore interface {
	tufverify.VersionStore
	Entries() []monotonic.Entry
}

// Config configures a Director. All fields but InitialVersion are required.
type Config struct {
	Chain          map[string][]byte // files of the root chain, keyed by file name
	Keys           []*keys.Key       // online keys for targets, snapshots and timestamps
	Store          VersionStore
	LookUpImage    ImageLookup
	Now            func() time.Time
	Lifetime       time.Duration     // lifetime of issued metadata, truncated to whole seconds; must be at least minLifetime
	Packages       map[uint16]string // path of each version's package in the image repository, keyed by version
	InitialVersion uint16            // version that is treated as released unless a newer released version is recorded; 0 for none
	Log            logging.Func
}

// Director issues the metadata of one fleet. Its methods are safe for concurrent use. Locks are acquired in the order
// server.mu, Director.mu, rootMu, cachedTargetsMu.
type Director struct {
	store       VersionStore
	lookUpImage ImageLookup
	now         func() time.Time
	lifetime    time.Duration // lifetime of issued metadata
	packages    map[uint16]string
	log         logging.Func
	waker       *wakeup.Waker

	rootMu     sync.RWMutex // guards root, chain and onlineKeys
	root       *metadata.Metadata[metadata.RootType]
	chain      map[string][]byte
	onlineKeys map[string][]*keys.Key // keyed by role

	cachedTargetsMu sync.Mutex                   // guards cachedTargets
	cachedTargets   map[string]*tufverify.Target // last target that the image repository returned for each path

	mu                   sync.Mutex // guards the fields below
	rollout              *stagedrollout.Rollout
	servers              map[string]*server // keyed by server name
	stage                dispatch.RolloutStage
	stageKinds           []string               // hardware kinds that the package of stage.Version supports; empty for all
	loggedMissingVersion uint16                 // version whose package was last logged as missing, 0 for none
	deferredStage        *dispatch.RolloutStage // stage of a version whose package the image repository does not have yet; nil for none
	released             uint16                 // newest released version, 0 for none
	timerAt              stagedrollout.Tick     // time at which Run must call the rollout's OnTimer, 0 for none
	pendingIssues        []*server              // servers whose metadata Run must issue again

	Issued             int64     // how many times metadata were issued to a server since the process started
	Assignments        int64     // number of assignments that the rollout has made since the process started
	Reports            int64     // number of reports from known servers since the process started
	LastChangeIssuedAt time.Time // when runDue last finished a pass over a non-empty list pendingIssues, with or without errors
}

// server is the state of one server of the fleet: its state in the rollout (see stagedrollout.Server), and the metadata
// last issued to it.
type server struct {
	stagedrollout.Server      // guarded by Director.mu
	needsReissue         bool // guarded by Director.mu; the metadata must be issued again before they are served

	mu          sync.Mutex // guards the fields below; held while metadata are issued
	version     int64      // version number of the metadata last issued to the server, 0 for none
	issueRecord            // record of the metadata last issued
	issuedAt    tufverify.Tick
	target      *tufverify.Target // target that the metadata last issued name, nil for none
	files       map[string][]byte // metadata files last issued, keyed by file name; nil until the process first issues metadata to the server
}

// New returns a Director with the state that its version store has recorded.
func New(config Config) (*Director, error) {
	d := &Director{
		store:         config.Store,
		lookUpImage:   config.LookUpImage,
		now:           config.Now,
		lifetime:      config.Lifetime.Truncate(time.Second),
		packages:      config.Packages,
		log:           config.Log,
		waker:         wakeup.New(),
		cachedTargets: map[string]*tufverify.Target{},
		servers:       map[string]*server{},
		released:      config.InitialVersion,
	}
	if recorded, _ := d.store.Recorded(releasedKey); recorded > 0 {
		d.released = max(uint16(recorded), config.InitialVersion)
	}
	if d.lifetime < minLifetime {
		return nil, fmt.Errorf("director: metadata lifetime %v is too short", config.Lifetime)
	}
	if err := d.Keys(config.Chain, config.Keys); err != nil {
		return nil, err
	}
	lifetime := stagedrollout.Tick(d.lifetime/time.Second) * stagedrollout.Second
	d.rollout = stagedrollout.New(rolloutHost{d}, lifetime, d.released)
	d.restore()
	return d, nil
}

// restore adds each server that has a recorded issue, with the version that its last issue assigned. The record of that
// issue can also name a version that an earlier issue assigned (see issueRecord.previous). If this version is later
// than the assigned one, the server may still install it until previousUntil, and restore passes this time to the
// rollout.
func (d *Director) restore() {
	for _, e := range d.store.Entries() {
		name, ok := strings.CutPrefix(e.Key, issuedPrefix)
		if !ok {
			continue
		}
		s := &server{version: e.Version, issueRecord: decodeIssue(e.Sum), needsReissue: true}
		s.Name = name
		d.servers[name] = s
		mayInstallUntil := tufverify.Tick(0)
		if s.previous > s.assigned {
			mayInstallUntil = s.previousUntil
		}
		d.rollout.Restore(d.tick(), &s.Server, s.assigned, stagedrollout.Tick(mayInstallUntil))
	}
}

// tickLength is the duration of a tufverify.Tick and of a stagedrollout.Tick.
const tickLength = time.Second / time.Duration(tufverify.Second)

func (d *Director) tick() stagedrollout.Tick { return stagedrollout.Tick(tufverify.FromTime(d.now())) }

// rolloutHost implements stagedrollout.Host for a Director. The rollout calls it with Director.mu held.
type rolloutHost struct {
	director *Director
}

// Assign schedules a new issue of a server's metadata.
func (h rolloutHost) Assign(s *stagedrollout.Server, _ uint16) {
	h.director.Assignments++
	if assigned := h.director.servers[s.Name]; assigned != nil {
		h.director.markForReissue(assigned)
	}
}

// SetTimer makes Run call the rollout's OnTimer at the given time, or at the time already set if that is earlier.
func (h rolloutHost) SetTimer(at stagedrollout.Tick) { h.director.setTimer(at) }

// Log writes a log line of the rollout.
func (h rolloutHost) Log(level slog.Level, message string, fields ...slog.Attr) {
	h.director.log(level, message, fields...)
}

func (d *Director) setTimer(at stagedrollout.Tick) {
	if d.timerAt == 0 || at < d.timerAt {
		d.timerAt = at
		d.waker.Wake()
	}
}

// markForReissue makes Run issue a server's metadata again. The caller holds Director.mu.
func (d *Director) markForReissue(s *server) {
	if s.needsReissue {
		return
	}
	s.needsReissue = true
	d.pendingIssues = append(d.pendingIssues, s)
	d.waker.Wake()
}
