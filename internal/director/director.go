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
