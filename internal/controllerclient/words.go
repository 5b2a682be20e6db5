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

// MaxBody is how many bytes a call may have.
const MaxBody = 256 << 10

// LeaseRequest asks for a lease, or renews it.
type LeaseRequest struct {
	Version         int                      `json:"v"`
	Node            string                   `json:"unit"`
	Incarnation     uint64                   `json:"run"` // larger at each start of the process
	Report          json.RawMessage          `json:"report,omitempty"`
	Commands        string                   `json:"commands,omitempty"` // HOST:PORT
	Zone            string                   `json:"zone,omitempty"`
	SoftwareVersion uint16                   `json:"build,omitempty"`
	StartedAtMS     int64                    `json:"born_ms,omitempty"` // start of its process, for lists; no decision rests on it
	Draining        bool                     `json:"draining,omitempty"`
	RollingBack     bool                     `json:"going_back,omitempty"` // its build is on the way back, as a keeper told it last
	WarmingUp       bool                     `json:"cold,omitempty"`
	LostCopies      bool                     `json:"fresh,omitempty"`  // this run began without the copies of the one before
	RecordCount     uint64                   `json:"kept,omitempty"`   // records that its disk has ever taken (instances.Store.Count); 0: not known
	Unverified      []replica.UnverifiedCopy `json:"doubts,omitempty"` // what it goes on with though effects may be missing
}

// MaxUnverified is how many of them one call tells; the others follow with the next one.
const MaxUnverified = 64

// HealthReport is what a keeper reads of LeaseAsk.Report, the report of the unit's strength; the rest is handed on.
type HealthReport struct {
	State          string   `json:"state"` // see the states below
	AcceptFraction float64  `json:"share"`
	Risk           float64  `json:"danger"`
	SpareCapacity  int      `json:"room"`
	Reasons        []string `json:"reasons,omitempty"`
}

// States of a unit's strength.
const (
	StateAccepting = "accepts"
	StateLimited   = "trickle"
	StateHolding   = "keeps"
	StateDraining  = "hands-on"
	StateLeaving   = "leaves"
)

// LeaseResponse grants. A unit whose earlier lease was over, or that had none, begins to act only once it has the places
// of this version or a later one: it may have lost some meanwhile.
type LeaseResponse struct {
	Granted            bool   `json:"granted"`
	Controller         string `json:"keeper"`
	RollingBack        bool   `json:"going_back,omitempty"` // the unit's build is on the way back: told again to whoever leads next
	AssignmentsVersion uint64 `json:"places"`
	RecordCount        uint64 `json:"kept,omitempty"`   // the greatest of LeaseAsk.Kept that was known of this unit until then
	AcceptedUnverified int    `json:"doubts,omitempty"` // so many of LeaseAsk.Doubts are agreed, the first ones
	Lineage
}

// Lineage is which line of placement a keeper speaks for. The generation is raised where placement was rebuilt after a loss
// of disks: what is of a smaller one stops. Birth names the beginning of the log: the same generation with another
// birth is that of keepers whose disks were all emptied, and is not believed either.
type Lineage struct {
	Generation uint64 `json:"generation"`
	OriginID   string `json:"birth"`
}

// ErrorBody is the body of all answers but 200.
type ErrorBody struct {
	Error      string                `json:"error,omitempty"`
	Assignment *placement.Assignment `json:"place,omitempty"`  // what stands instead
	Leader     string                `json:"leader,omitempty"` // with 421
}

// AssignmentChanges are those that changed since a version, or all of them.
type AssignmentChanges struct {
	Version uint64 `json:"version"`
	Lineage
	Complete    bool                   `json:"whole"`
	Assignments []placement.Assignment `json:"places"`
	Deleted     []string               `json:"gone,omitempty"`
}

// Node is an edge unit as the leading keeper has it.
type Node struct {
	Name            string   `json:"name"`
	Zone            string   `json:"zone,omitempty"`
	Incarnation     uint64   `json:"run,omitempty"`
	HasLease        bool     `json:"held"` // its lease is not over
	State           string   `json:"state,omitempty"`
	Accepting       bool     `json:"accepts"`
	AcceptFraction  float64  `json:"share"`
	Risk            float64  `json:"danger,omitempty"`
	SpareCapacity   int      `json:"room,omitempty"`
	Reasons         []string `json:"reasons,omitempty"`
	StartedAtMS     int64    `json:"born_ms,omitempty"`
	SoftwareVersion uint16   `json:"build,omitempty"`
	Commands        string   `json:"commands,omitempty"`
	Draining        bool     `json:"draining,omitempty"`
}

// NodeList are all edge units.
type NodeList struct {
	Version uint64 `json:"version"`
	Nodes   []Node `json:"units"`
}

// MaxOutcomes is how many of one unit's in one call count; the rest says no more.
const MaxOutcomes = 64

// OutcomeReport are how commands at units ended, as a relay saw them since it told last. Refusals are none.
type OutcomeReport struct {
	Version         int            `json:"v"`
	Nodes           []NodeOutcomes `json:"units"`
	SoftwareVersion uint16         `json:"build,omitempty"` // the newest of which the platform told the relay, and where it stands
	RolloutState    string         `json:"state,omitempty"` // in the platform's words; "" where it told nothing
}

// States of a build that is on its way back, or has been taken back.
const (
	VersionRollingBack = "recalling"
	VersionWithdrawn   = "recalled"
)

// NodeOutcomes counts those of one unit.
type NodeOutcomes struct {
	Node      string `json:"unit"`
	Successes int    `json:"good"`
	Failures  int    `json:"bad"`
}

// LastResortPlan is what is served on in zones whose units are all tired, the most important first.
type LastResortPlan struct {
	Zones []LastResortZone `json:"zones"`
}

// LastResortZone is one of them.
type LastResortZone struct {
	Zone      string               `json:"zone"`
	Instances []LastResortInstance `json:"instances"`
}

// LastResortInstance is one instance; Unit is "" where none serves it on.
type LastResortInstance struct {
	Name   string  `json:"name"`
	Node   string  `json:"unit"`
	Weight float64 `json:"weight"`
}

// DeviceRequest says where an instance's device is now.
type DeviceRequest struct {
	Version int    `json:"v"`
	Name    string `json:"name"`
	Zone    string `json:"zone"`
}

// LogOrigin is the beginning of a fleet's log: which disks it began on.
type LogOrigin struct {
	ID     string            `json:"id"`
	Stores map[string]string `json:"stores"` // identity of the disk of each keeper
}

// JoinRequest is an emptied keeper's wish to be let in again, or that one let in has caught up.
type JoinRequest struct {
	Version  int    `json:"v"`
	Node     string `json:"node"`
	StoreID  string `json:"store"`
	CaughtUp bool   `json:"ready,omitempty"` // it has all up to the Index of an earlier answer
}

// JoinResponse says how a keeper takes part.
type JoinResponse struct {
	Voter      bool       `json:"votes"`
	Index      uint64     `json:"index"`          // of the log, which it needs before it votes
	Term       uint64     `json:"term,omitempty"` // in which it was let in; it takes nothing of an earlier one
	Origin     *LogOrigin `json:"birth"`
	Generation uint64     `json:"line,omitempty"` // generation of the log
}

// Inventory is what an edge unit has, whatever the keepers say: its answer to GET /v1/holds.
type Inventory struct {
	Version     int                  `json:"v"`
	Node        string               `json:"unit"`
	Incarnation uint64               `json:"run"`
	Lineage     Lineage              `json:"line"`
	Copies      []replica.CopyStatus `json:"holds"`
}

// ConfirmRequest asks a keeper whether it knows of a later term; its answer has the term that it is in.
type ConfirmRequest struct {
	Version int    `json:"v"`
	Term    uint64 `json:"term"`
}

// LogPosition is the last entry of the log that a keeper is known to have had on its disk.
type LogPosition struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// Later says whether a log that ends here is later than one that ends at n, as raft compares them.
func (m LogPosition) Later(n LogPosition) bool {
	return m.Term > n.Term || m.Term == n.Term && m.Index > n.Index
}

// The roles of Status.
const (
	RoleWaiting   = "waits" // it does not take part in the log yet
	RoleFollower  = "follower"
	RoleCandidate = "candidate"
	RoleLeader    = "leader"
	RoleStopping  = "ends"
)

// Status of a controller.
type Status struct {
	Version      int                    `json:"v"`
	Node         string                 `json:"node"`
	Role         string                 `json:"role"` // see the roles above
	Reason       string                 `json:"why,omitempty"`
	Leader       string                 `json:"leader,omitempty"`
	Term         uint64                 `json:"term"`
	Applied      uint64                 `json:"applied"`
	Last         LogPosition            `json:"last"`
	Assignments  int                    `json:"places"`
	Migrations   int                    `json:"moves"` // handovers under way
	Reasons      []string               `json:"reasons,omitempty"`
	Generation   uint64                 `json:"generation"`
	Origin       *LogOrigin             `json:"birth,omitempty"`
	StoreID      string                 `json:"store"`            // identity of its disk
	StoreIDs     map[string]string      `json:"stores,omitempty"` // as agreed
	Controllers  []string               `json:"keepers"`          // of its file, sorted
	LogPositions map[string]LogPosition `json:"marks,omitempty"`  // what it knows to be on other keepers' disks
	Disk         *DiskSpace             `json:"disk,omitempty"`   // none: not known, or of an earlier version
}

// DiskSpace is the room of the disk that has a keeper's folder, in bytes.
type DiskSpace struct {
	Free       uint64 `json:"free"`
	Total      uint64 `json:"total"`
	LowOnSpace bool   `json:"short,omitempty"` // of room: it cuts its log sooner, and leads only where no other one has room
}

// FreeFraction is the part that is free.
func (d DiskSpace) FreeFraction() float64 { return float64(d.Free) / float64(max(1, d.Total)) }

// String is for those who read: "41% free", "4.2% free, short of room".
func (d DiskSpace) String() string {
	switch share := 100 * d.FreeFraction(); {
	case d.Total == 0:
		return ""
	case d.LowOnSpace:
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
