// Package director implements the Director repository of Uptane: it issues signed metadata for each server of a fleet. The
// metadata name the package that the server must install. Package stagedrollout decides which version each server is
// assigned; the release API and the votes decide how many servers may get a version. This package signs, numbers and records
// the result.
//
// All servers share the Director's root chain. Each server has its own timestamp, snapshot and targets, which have the same
// version number.
//
// An issue is one version of a server's metadata.
//
// Invariant: the version number, the assigned version and the expiry of an issue are recorded durably before the issue can
// be fetched. After a restart the numbering continues, and the Director knows which version each server may still act on.
//
// Kind: state
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

// Errors of a Director.
var (
	ErrUnknownServer = errors.New("no such server")
	ErrUnknownFile   = errors.New("no such file")
	ErrUnavailable   = errors.New("not available now") // the image repository or the version store is not available
)

// minLifetime is the minimum lifetime of issued metadata.
const minLifetime = 2 * time.Second

// releasedKey is the key of the released version in the version store. issuedPrefix, followed by a server's name, is the key
// of the server's last issue.
const (
	releasedKey  = "director/released"
	issuedPrefix = "issued/"
)

// ImageLookup looks up a target in the image repository, without waiting for a mirror.
type ImageLookup func(path string) (*tufverify.Target, *tufverify.RefusalError)

// VersionStore stores the state that must survive a restart.
type VersionStore interface {
	tufverify.VersionStore
	Entries() []monotonic.Entry
}

// Config configures a Director. All fields but InitialVersion are required.
type Config struct {
	Chain          map[string][]byte // root chain, by file name
	Keys           []*keys.Key       // online keys for targets, snapshots and timestamps
	Store          VersionStore
	LookUpImage    ImageLookup
	Now            func() time.Time
	Lifetime       time.Duration     // lifetime of issued metadata; truncated to whole seconds, at least two
	Packages       map[uint16]string // paths in the image repository, by version
	InitialVersion uint16            // version that every server runs if no released version is recorded; 0 means none
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
	onlineKeys map[string][]*keys.Key // by role

	cachedTargetsMu sync.Mutex                   // guards cachedTargets
	cachedTargets   map[string]*tufverify.Target // last targets that the image repository returned, by path

	mu                   sync.Mutex // guards the fields below
	rollout              *stagedrollout.Rollout
	servers              map[string]*server // by name
	stage                dispatch.RolloutStage
	stageKinds           []string               // kinds of hardware that the package of the stage's version fits
	loggedMissingVersion uint16                 // version whose package was last logged as missing
	deferredStage        *dispatch.RolloutStage // stage whose package the image repository does not have yet; nil for none
	released             uint16                 // newest released version, 0 for none
	timerAt              stagedrollout.Tick     // time of the rollout's timer, 0 for none
	pendingIssues        []*server              // servers whose metadata Run must issue again

	Issued             int64     // versions of servers' metadata issued
	Assignments        int64     // assignments that the rollout has made
	Reports            int64     // reports of known servers
	LastChangeIssuedAt time.Time // when Run last finished a pass over the servers whose metadata had to be issued
}

// server is one server of the fleet.
type server struct {
	stagedrollout.Server      // guarded by Director.mu
	needsReissue         bool // guarded by Director.mu; the assignment has changed since the last issue

	mu          sync.Mutex // guards the fields below; held while metadata are issued
	version     int64      // version of the last issue, 0 for none
	issueRecord            // record of the last issue
	issuedAt    tufverify.Tick
	target      *tufverify.Target // target that the last issue names, nil for none
	files       map[string][]byte // files of the last issue by name, nil if the process has restarted since the issue
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

// restore adds the servers whose last issue is recorded, and the versions that they may still act on.
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
	if own := h.director.servers[s.Name]; own != nil {
		h.director.markForReissue(own)
	}
}

// SetTimer makes Run call the rollout's OnTimer at a time.
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
