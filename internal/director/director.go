// Package director is Uptane's Director: it issues signed metadata for each server of a fleet, which name the package that the
// server is to install. Package stagedrollout decides which version each server is assigned, the release API and the votes
// how far a version goes; here that is signed, numbered and recorded.
//
// A server's root chain is the Director's; its timestamp, snapshot and targets are its own, all of one version number.
//
// Invariant: version number, assigned version and expiry of an issue are recorded durably before anyone can see it. After a
// restart the next number follows, and what a server may still act on is known.
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
	ErrUnavailable   = errors.New("not to be had now") // the image repository, or the version store, is not available
)

// minLifetime is the shortest lifetime of issued metadata.
const minLifetime = 2 * time.Second

// releasedKey and issuedPrefix are keys in the version store: of the released version, and of each server's last issue.
const (
	releasedKey  = "director/released"
	issuedPrefix = "issued/"
)

// ImageLookup looks a target up in the image repository, without waiting for a mirror.
type ImageLookup func(path string) (*tufverify.Target, *tufverify.RefusalError)

// VersionStore keeps what must outlive a restart.
type VersionStore interface {
	tufverify.VersionStore
	Entries() []monotonic.Entry
}

// Config is what a Director is made from. All fields but Running are required.
type Config struct {
	Chain          map[string][]byte // the root chain, by file name
	Keys           []*keys.Key       // online keys for targets, snapshots and timestamps
	Store          VersionStore
	LookUpImage    ImageLookup
	Now            func() time.Time
	Lifetime       time.Duration     // of issued metadata, whole seconds, two at least
	Packages       map[uint16]string // path in the image repository, by version
	InitialVersion uint16            // version that every server runs if nothing is recorded, 0 for none
	Log            logging.Func
}

// Director issues the metadata of one fleet. Its methods are safe for concurrent use. Where several locks are held, they are
// taken in the order server.mu, Director.mu, rootMu, answersMu.
type Director struct {
	store       VersionStore
	lookUpImage ImageLookup
	now         func() time.Time
	lifetime    time.Duration // of issued metadata
	packages    map[uint16]string
	log         logging.Func
	waker       *wakeup.Waker

	rootMu     sync.RWMutex // guards root, chain and onlineKeys
	root       *metadata.Metadata[metadata.RootType]
	chain      map[string][]byte
	onlineKeys map[string][]*keys.Key // by role

	cachedTargetsMu sync.Mutex                   // guards answers
	cachedTargets   map[string]*tufverify.Target // last answers of the image repository, by path

	mu                   sync.Mutex // guards all below
	rollout              *stagedrollout.Rollout
	servers              map[string]*server
	stage                dispatch.RolloutStage
	stageKinds           []string               // kinds of hardware that the stage's package fits
	loggedMissingVersion uint16                 // the version whose package was logged to wait
	deferredStage        *dispatch.RolloutStage // of a version whose package the image repository does not have yet
	released             uint16
	timerAt              stagedrollout.Tick // of the rollout, 0 for none
	pendingIssues        []*server          // to be issued by run

	Issued             int64     // versions of servers' metadata issued
	Assignments        int64     // assignments that the rollout has made
	Reports            int64     // reports of known servers
	LastChangeIssuedAt time.Time // when the last change had been issued to all servers that it concerns
}

// server is one server of the fleet.
type server struct {
	stagedrollout.Server      // guarded by Director.mu
	needsReissue         bool // guarded by Director.mu: its assignment has changed since its last issue

	mu          sync.Mutex // guards all below; held while metadata are issued
	version     int64      // of the last issue, 0 for none
	issueRecord            // of the last issue
	issuedAt    tufverify.Tick
	target      *tufverify.Target // that the last issue names, nil for none
	files       map[string][]byte // of the last issue, nil if it was before a restart
}

// New makes a Director from what its version store has recorded.
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
		return nil, fmt.Errorf("director: metadata that last %v", config.Lifetime)
	}
	if err := d.Keys(config.Chain, config.Keys); err != nil {
		return nil, err
	}
	lifetime := stagedrollout.Tick(d.lifetime/time.Second) * stagedrollout.Second
	d.rollout = stagedrollout.New(rolloutHost{d}, lifetime, d.released)
	d.restore()
	return d, nil
}

// restore adds the servers whose last issue is recorded, and what they may still act on.
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

// tickLength is the length of a tufverify.Tick and of a stagedrollout.Tick.
const tickLength = time.Second / time.Duration(tufverify.Second)

func (d *Director) tick() stagedrollout.Tick { return stagedrollout.Tick(tufverify.FromTime(d.now())) }

// rolloutHost is the Director as its rollout sees it. The rollout calls it with Director.mu held.
type rolloutHost struct {
	director *Director
}

// Assign has a server's metadata issued anew.
func (h rolloutHost) Assign(s *stagedrollout.Server, _ uint16) {
	h.director.Assignments++
	if own := h.director.servers[s.Name]; own != nil {
		h.director.markForReissue(own)
	}
}

// SetTimer has run call the rollout's OnTimer.
func (h rolloutHost) SetTimer(at stagedrollout.Tick) { h.director.setTimer(at) }

// Log writes a line of the rollout.
func (h rolloutHost) Log(level slog.Level, message string, fields ...slog.Attr) {
	h.director.log(level, message, fields...)
}

func (d *Director) setTimer(at stagedrollout.Tick) {
	if d.timerAt == 0 || at < d.timerAt {
		d.timerAt = at
		d.waker.Wake()
	}
}

// markForReissue has run issue a server's metadata anew. Director.mu is held.
func (d *Director) markForReissue(s *server) {
	if s.needsReissue {
		return
	}
	s.needsReissue = true
	d.pendingIssues = append(d.pendingIssues, s)
	d.waker.Wake()
}
