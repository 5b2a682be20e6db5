// Package controllerclient has the words of the keepers' calls, and the client that edge units, relays and tools make them
// with. It is lean; a keeper itself is in package keeper.
package controllerclient

import (
	"encoding/json"
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"silvercove/internal/tick"
)

// Version of the calls. A later one is refused with 400.
const Version = 1

// MostBody is how many bytes a call may have.
const MostBody = 256 << 10

// LeaseAsk asks for a lease, or renews it.
type LeaseAsk struct {
	V        int                      `json:"v"`
	Unit     string                   `json:"unit"`
	Run      uint64                   `json:"run"` // larger at each start of the process
	Report   json.RawMessage          `json:"report,omitempty"`
	Commands string                   `json:"commands,omitempty"` // HOST:PORT
	Zone     string                   `json:"zone,omitempty"`
	Build    uint16                   `json:"build,omitempty"`
	BornMS   int64                    `json:"born_ms,omitempty"` // start of its process, for lists; no decision rests on it
	Draining bool                     `json:"draining,omitempty"`
	Back     bool                     `json:"going_back,omitempty"` // its build is on the way back, as a keeper told it last
	Cold     bool                     `json:"cold,omitempty"`
	Fresh    bool                     `json:"fresh,omitempty"`  // this run began without the copies of the one before
	Kept     uint64                   `json:"kept,omitempty"`   // records that its disk has ever taken (instances.Store.Count); 0: not known
	Doubts   []replica.UnverifiedCopy `json:"doubts,omitempty"` // what it goes on with though effects may be missing
}

// MostDoubts is how many of them one call tells; the others follow with the next one.
const MostDoubts = 64

// Report is what a keeper reads of LeaseAsk.Report, the report of the unit's strength; the rest is handed on.
type Report struct {
	State   string   `json:"state"` // see the states below
	Share   float64  `json:"share"`
	Danger  float64  `json:"danger"`
	Room    int      `json:"room"`
	Reasons []string `json:"reasons,omitempty"`
}

// States of a unit's strength.
const (
	Accepts = "accepts"
	Trickle = "trickle"
	Keeps   = "keeps"
	HandsOn = "hands-on"
	Leaves  = "leaves"
)

// LeaseAnswer grants. A unit whose earlier lease was over, or that had none, begins to act only once it has the places
// of this version or a later one: it may have lost some meanwhile.
type LeaseAnswer struct {
	Granted bool   `json:"granted"`
	Keeper  string `json:"keeper"`
	Back    bool   `json:"going_back,omitempty"` // the unit's build is on the way back: told again to whoever leads next
	Places  uint64 `json:"places"`
	Kept    uint64 `json:"kept,omitempty"`   // the greatest of LeaseAsk.Kept that was known of this unit until then
	Doubts  int    `json:"doubts,omitempty"` // so many of LeaseAsk.Doubts are agreed, the first ones
	Line
}

// Line is which line of placement a keeper speaks for. The generation is raised where placement was rebuilt after a loss
// of disks: what is of a smaller one stops. Birth names the beginning of the log: the same generation with another
// birth is that of keepers whose disks were all emptied, and is not believed either.
type Line struct {
	Generation uint64 `json:"generation"`
	Birth      string `json:"birth"`
}

// Fault is the body of all answers but 200.
type Fault struct {
	Error  string                `json:"error,omitempty"`
	Place  *placement.Assignment `json:"place,omitempty"`  // what stands instead
	Leader string                `json:"leader,omitempty"` // with 421
}

// Places are those that changed since a version, or all of them.
type Places struct {
	Version uint64 `json:"version"`
	Line
	Whole  bool                   `json:"whole"`
	Places []placement.Assignment `json:"places"`
	Gone   []string               `json:"gone,omitempty"`
}

// Unit is an edge unit as the leading keeper has it.
type Unit struct {
	Name     string   `json:"name"`
	Zone     string   `json:"zone,omitempty"`
	Run      uint64   `json:"run,omitempty"`
	Held     bool     `json:"held"` // its lease is not over
	State    string   `json:"state,omitempty"`
	Accepts  bool     `json:"accepts"`
	Share    float64  `json:"share"`
	Danger   float64  `json:"danger,omitempty"`
	Room     int      `json:"room,omitempty"`
	Reasons  []string `json:"reasons,omitempty"`
	BornMS   int64    `json:"born_ms,omitempty"`
	Build    uint16   `json:"build,omitempty"`
	Commands string   `json:"commands,omitempty"`
	Draining bool     `json:"draining,omitempty"`
}

// Units are all edge units.
type Units struct {
	Version uint64 `json:"version"`
	Units   []Unit `json:"units"`
}

// MostOutcomes is how many of one unit's in one call count; the rest says no more.
const MostOutcomes = 64

// Outcomes are how commands at units ended, as a relay saw them since it told last. Refusals are none.
type Outcomes struct {
	V     int       `json:"v"`
	Units []Outcome `json:"units"`
	Build uint16    `json:"build,omitempty"` // the newest of which the platform told the relay, and where it stands
	State string    `json:"state,omitempty"` // in the platform's words; "" where it told nothing
}

// States of a build that is on its way back, or has been taken back.
const (
	Recalling = "recalling"
	Recalled  = "recalled"
)

// Outcome counts those of one unit.
type Outcome struct {
	Unit string `json:"unit"`
	Good int    `json:"good"`
	Bad  int    `json:"bad"`
}

// Floor is what is served on in zones whose units are all tired, the most important first.
type Floor struct {
	Zones []FloorZone `json:"zones"`
}

// FloorZone is one of them.
type FloorZone struct {
	Zone      string          `json:"zone"`
	Instances []FloorInstance `json:"instances"`
}

// FloorInstance is one instance; Unit is "" where none serves it on.
type FloorInstance struct {
	Name   string  `json:"name"`
	Unit   string  `json:"unit"`
	Weight float64 `json:"weight"`
}

// Device says where an instance's device is now.
type Device struct {
	V    int    `json:"v"`
	Name string `json:"name"`
	Zone string `json:"zone"`
}

// Birth is the beginning of a fleet's log: which disks it began on.
type Birth struct {
	ID     string            `json:"id"`
	Stores map[string]string `json:"stores"` // identity of the disk of each keeper
}

// Join is an emptied keeper's wish to be let in again, or that one let in has caught up.
type Join struct {
	V     int    `json:"v"`
	Node  string `json:"node"`
	Store string `json:"store"`
	Ready bool   `json:"ready,omitempty"` // it has all up to the Index of an earlier answer
}

// Joined says how a keeper takes part.
type Joined struct {
	Votes bool   `json:"votes"`
	Index uint64 `json:"index"`          // of the log, which it needs before it votes
	Term  uint64 `json:"term,omitempty"` // in which it was let in; it takes nothing of an earlier one
	Birth *Birth `json:"birth"`
	Line  uint64 `json:"line,omitempty"` // generation of the log
}

// Holds is what an edge unit has, whatever the keepers say: its answer to GET /v1/holds.
type Holds struct {
	V     int                  `json:"v"`
	Unit  string               `json:"unit"`
	Run   uint64               `json:"run"`
	Line  Line                 `json:"line"`
	Holds []replica.CopyStatus `json:"holds"`
}

// Confirm asks a keeper whether it knows of a later term; its answer has the term that it is in.
type Confirm struct {
	V    int    `json:"v"`
	Term uint64 `json:"term"`
}

// Mark is the last entry of the log that a keeper is known to have had on its disk.
type Mark struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// Later says whether a log that ends here is later than one that ends at n, as raft compares them.
func (m Mark) Later(n Mark) bool { return m.Term > n.Term || m.Term == n.Term && m.Index > n.Index }

// Status of a keeper.
type Status struct {
	V          int               `json:"v"`
	Node       string            `json:"node"`
	Role       string            `json:"role"` // waits, follower, candidate, leader
	Why        string            `json:"why,omitempty"`
	Leader     string            `json:"leader,omitempty"`
	Term       uint64            `json:"term"`
	Applied    uint64            `json:"applied"`
	Last       Mark              `json:"last"`
	Places     int               `json:"places"`
	Moves      int               `json:"moves"` // handovers under way
	Reasons    []string          `json:"reasons,omitempty"`
	Generation uint64            `json:"generation"`
	Birth      *Birth            `json:"birth,omitempty"`
	Store      string            `json:"store"`            // identity of its disk
	Stores     map[string]string `json:"stores,omitempty"` // as agreed
	Keepers    []string          `json:"keepers"`          // of its file, sorted
	Marks      map[string]Mark   `json:"marks,omitempty"`  // what it knows to be on other keepers' disks
	Disk       *Disk             `json:"disk,omitempty"`   // none: not known, or of an earlier version
}

// Disk is the room of the disk that has a keeper's folder, in bytes.
type Disk struct {
	Free  uint64 `json:"free"`
	Total uint64 `json:"total"`
	Short bool   `json:"short,omitempty"` // of room: it cuts its log sooner, and leads only where no other one has room
}

// Share is the part that is free.
func (d Disk) Share() float64 { return float64(d.Free) / float64(max(1, d.Total)) }

// String is for those who read: "41% free", "4.2% free, short of room".
func (d Disk) String() string {
	switch share := 100 * d.Share(); {
	case d.Total == 0:
		return ""
	case d.Short:
		return fmt.Sprintf("%.1f%% free, short of room", share)
	default:
		return fmt.Sprintf("%.0f%% free", share)
	}
}

// Now is this machine's time since its start, its sleep included, by which leases are counted.
func Now() tick.Tick {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) // it can't fail with a clock that Linux has had since 2.6.39
	return tick.FromDuration(time.Duration(t.Nano()))
}
