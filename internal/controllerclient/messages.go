package controllerclient

import (
	"encoding/json"
	"fmt"

	"silvercove/internal/placement"
	"silvercove/internal/replica"
)

// Version is the version of the calls. A controller refuses another one with 400.
const Version = 1

// MaxBodyBytes is how many bytes the body of a call may have.
const MaxBodyBytes = 256 << 10

// LeaseRequest asks for a lease, or renews it. Its JSON names are those of the wire, as are those of all types here.
type LeaseRequest struct {
	Version         int                      `json:"v"`
	Node            string                   `json:"unit"`
	Incarnation     uint64                   `json:"run"` // of the process, above 0 and greater at each start
	Report          json.RawMessage          `json:"report,omitempty"`
	RequestAddress  string                   `json:"commands,omitempty"` // where requests are taken, HOST:PORT
	Zone            string                   `json:"zone,omitempty"`
	SoftwareVersion uint16                   `json:"build,omitempty"`
	StartedAtMS     int64                    `json:"born_ms,omitempty"` // start of the process, ms since 1970, for lists; no decision rests on it
	Draining        bool                     `json:"draining,omitempty"`
	RollingBack     bool                     `json:"going_back,omitempty"` // its software version is rolled back, as a controller told it last
	WarmingUp       bool                     `json:"cold,omitempty"`
	LostCopies      bool                     `json:"fresh,omitempty"`  // this incarnation began without the copies of the one before
	RecordCount     uint64                   `json:"kept,omitempty"`   // records that its disk has ever taken (instancestore.Store.RecordCount); 0: not known
	Unverified      []replica.UnverifiedCopy `json:"doubts,omitempty"` // copies that it serves from though entries may be missing
}

// MaxUnverified is how many unverified copies one call tells; the others follow with the next one.
const MaxUnverified = 64

// HealthReport is what a controller reads of LeaseRequest.Report, which is a devicehealth.Report; the rest is passed on.
type HealthReport struct {
	State          string   `json:"state"` // one of the states below
	AcceptFraction float64  `json:"share"`
	Risk           float64  `json:"danger"`
	SpareCapacity  int      `json:"room"`
	Reasons        []string `json:"reasons,omitempty"`
}

// The states of a node's health.
const (
	StateAccepting    = "accepts"
	StateLimited      = "trickle"
	StateHolding      = "keeps"
	StateEvacuating   = "hands-on"
	StateShuttingDown = "leaves"
)

// LeaseResponse grants a lease. A node whose earlier lease was over, or that had none, begins to serve only once it has the
// assignments of AssignmentsVersion or a later one: it may have lost some meanwhile.
type LeaseResponse struct {
	Granted            bool   `json:"granted"`
	Controller         string `json:"keeper"`
	RollingBack        bool   `json:"going_back,omitempty"` // the node's software version is rolled back; the node tells it to whichever controller leads next
	AssignmentsVersion uint64 `json:"places"`
	RecordCount        uint64 `json:"kept,omitempty"`   // the greatest LeaseRequest.RecordCount of this node that was known until then
	AcceptedUnverified int    `json:"doubts,omitempty"` // so many of LeaseRequest.Unverified are agreed, the first ones
	Lineage
}

// Lineage is which line of assignments a controller speaks for. The generation is raised where the assignments were rebuilt
// after a loss of disks: what is of a smaller one stops. OriginID names the beginning of the log: the same generation with
// another origin is that of controllers whose disks were all emptied, and is not believed either.
type Lineage struct {
	Generation uint64 `json:"generation"`
	OriginID   string `json:"birth"`
}

// ErrorBody is the body of every answer but 200.
type ErrorBody struct {
	Error      string                `json:"error,omitempty"`
	Assignment *placement.Assignment `json:"place,omitempty"`  // the one that stands instead
	Leader     string                `json:"leader,omitempty"` // with 421: the controller that leads, "" where none is known
}

// AssignmentChanges are the assignments that changed since a version. Where Complete is set they are all that there are: what is
// not among them is deleted.
type AssignmentChanges struct {
	Version uint64 `json:"version"`
	Lineage
	Complete    bool                   `json:"whole"`
	Assignments []placement.Assignment `json:"places"`
	Deleted     []string               `json:"gone,omitempty"`
}

// Node is an edge node as the leading controller has it.
type Node struct {
	Name            string   `json:"name"`
	Zone            string   `json:"zone,omitempty"`
	Incarnation     uint64   `json:"run,omitempty"`
	HasLease        bool     `json:"held"` // its lease runs
	State           string   `json:"state,omitempty"`
	Accepting       bool     `json:"accepts"`
	AcceptFraction  float64  `json:"share"`
	Risk            float64  `json:"danger,omitempty"`
	SpareCapacity   int      `json:"room,omitempty"`
	Reasons         []string `json:"reasons,omitempty"`
	StartedAtMS     int64    `json:"born_ms,omitempty"`
	SoftwareVersion uint16   `json:"build,omitempty"`
	RequestAddress  string   `json:"commands,omitempty"`
	Draining        bool     `json:"draining,omitempty"`
}

// NodeList is all edge nodes.
type NodeList struct {
	Version uint64 `json:"version"`
	Nodes   []Node `json:"units"`
}

// MaxOutcomes is how many outcomes of one node count in one call; more are scaled down.
const MaxOutcomes = 64

// OutcomeReport is how requests at edge nodes ended, as a relay saw them since its last report. Rejections don't count.
type OutcomeReport struct {
	Version         int            `json:"v"`
	Nodes           []NodeOutcomes `json:"units"`
	SoftwareVersion uint16         `json:"build,omitempty"` // the newest of which the release API told the relay
	RolloutState    string         `json:"state,omitempty"` // of that version, as the release API names it; "" where it told nothing
}

// The rollout states of a version that is being rolled back, and that was withdrawn.
const (
	VersionRollingBack = "recalling"
	VersionWithdrawn   = "recalled"
)

// NodeOutcomes counts the outcomes at one node.
type NodeOutcomes struct {
	Node      string `json:"unit"`
	Successes int    `json:"good"`
	Failures  int    `json:"bad"`
}

// LastResortPlan is what is served on in zones whose nodes are all draining, the greatest weight first.
type LastResortPlan struct {
	Zones []LastResortZone `json:"zones"`
}

// LastResortZone is the plan of one zone.
type LastResortZone struct {
	Zone      string               `json:"zone"`
	Instances []LastResortInstance `json:"instances"`
}

// LastResortInstance is one instance; Node is "" where none serves it on.
type LastResortInstance struct {
	Name   string  `json:"name"`
	Node   string  `json:"unit"`
	Weight float64 `json:"weight"`
}

// DeviceRequest says in which zone an instance's device is now.
type DeviceRequest struct {
	Version int    `json:"v"`
	Name    string `json:"name"`
	Zone    string `json:"zone"`
}

// LogOrigin is the beginning of a fleet's log, and which disks it began on.
type LogOrigin struct {
	ID     string            `json:"id"`
	Stores map[string]string `json:"stores"` // by controller: the identity of its disk
}

// JoinRequest asks that a controller's emptied disk be admitted, or says that it has caught up.
type JoinRequest struct {
	Version  int    `json:"v"`
	Node     string `json:"node"`
	StoreID  string `json:"store"`
	CaughtUp bool   `json:"ready,omitempty"` // it has all entries up to the Index of an earlier answer
}

// JoinResponse says how a controller takes part in the log.
type JoinResponse struct {
	Voter      bool       `json:"votes"`
	Index      uint64     `json:"index"`          // of the last entry that it needs before it votes
	Term       uint64     `json:"term,omitempty"` // in which it was admitted; it takes no entry of an earlier one
	Origin     *LogOrigin `json:"birth"`
	Generation uint64     `json:"line,omitempty"` // generation of the log
}

// Inventory is what an edge node has, whatever the controllers say: its answer to GET /v1/holds.
type Inventory struct {
	Version     int                  `json:"v"`
	Node        string               `json:"unit"`
	Incarnation uint64               `json:"run"`
	Lineage     Lineage              `json:"line"`
	Copies      []replica.CopyStatus `json:"holds"`
}

// ConfirmRequest asks a controller for its term; the answer is of the same form.
type ConfirmRequest struct {
	Version int    `json:"v"`
	Term    uint64 `json:"term"`
}

// LogPosition is the last entry of a log. The zero value is that of an empty one.
type LogPosition struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// Later reports whether a log that ends here is later than one that ends at other, as raft compares them.
func (p LogPosition) Later(other LogPosition) bool {
	return p.Term > other.Term || p.Term == other.Term && p.Index > other.Index
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
	Migrations   int                    `json:"moves"` // under way
	Reasons      []string               `json:"reasons,omitempty"`
	Generation   uint64                 `json:"generation"`
	Origin       *LogOrigin             `json:"birth,omitempty"`
	StoreID      string                 `json:"store"`            // identity of its disk
	StoreIDs     map[string]string      `json:"stores,omitempty"` // by controller: the identity of its disk that is agreed
	Controllers  []string               `json:"keepers"`          // in its file, sorted
	LogPositions map[string]LogPosition `json:"marks,omitempty"`  // by controller: what it is known to have on its disk
	Disk         *DiskSpace             `json:"disk,omitempty"`   // nil: not known, or of an earlier version
}

// DiskSpace is the space of the disk that has a controller's data directory, in bytes.
type DiskSpace struct {
	Free       uint64 `json:"free"`
	Total      uint64 `json:"total"`
	LowOnSpace bool   `json:"short,omitempty"` // the log is compacted sooner, and the controller leads only where no other has space
}

// FreeFraction is the part of the disk that is free, 0 where the size is not known.
func (d DiskSpace) FreeFraction() float64 { return float64(d.Free) / float64(max(1, d.Total)) }

// String is for operators: "41% free", "4.2% free, short of room", or "" where the size is not known.
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
