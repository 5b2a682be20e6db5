package controllerclient

import (
	"encoding/json"
	"fmt"

	"silvercove/internal/placement"
	"silvercove/internal/replica"
)

// Version is the version of the API. A controller answers a call that has another version with status 400.
const Version = 1

// MaxBodyBytes is the maximum size of the body of a request to a controller.
const MaxBodyBytes = 256 << 10

// LeaseRequest asks for a lease or renews it. The JSON names of all types in this file are part of the wire protocol and must
// not change, even where they differ from the Go names. The field RecordCount is the result of Store.RecordCount in package
// instancestore.
type LeaseRequest struct {
	Version         int                      `json:"v"`
	Node            string                   `json:"unit"`
	Incarnation     uint64                   `json:"run"` // incarnation of the process: above 0, and greater at each start
	Report          json.RawMessage          `json:"report,omitempty"`
	RequestAddress  string                   `json:"commands,omitempty"` // address at which the node accepts requests, HOST:PORT
	Zone            string                   `json:"zone,omitempty"`
	SoftwareVersion uint16                   `json:"build,omitempty"`
	StartedAtMS     int64                    `json:"born_ms,omitempty"` // Unix time at the start of the process, passed on in Node
	Draining        bool                     `json:"draining,omitempty"`
	RollingBack     bool                     `json:"going_back,omitempty"` // RollingBack of the last LeaseResponse that the node received
	WarmingUp       bool                     `json:"cold,omitempty"`
	LostCopies      bool                     `json:"fresh,omitempty"`  // this incarnation started without the copies of the previous one
	RecordCount     uint64                   `json:"kept,omitempty"`   // number of records ever written to the node's disk; 0: unknown
	Unverified      []replica.UnverifiedCopy `json:"doubts,omitempty"` // copies that the node serves although entries may be missing
}

// MaxUnverified is the maximum number of unverified copies in one LeaseRequest; a node reports further copies in its next
// request.
const MaxUnverified = 64

// HealthReport contains the fields of LeaseRequest.Report that a controller needs for the node's status and for the node's
// entry in NodeList. The full report is a devicehealth.Report. A controller checks the full report against OutcomeReports, and
// computes the LastResortPlan from it.
type HealthReport struct {
	State          string   `json:"state"` // one of the State constants
	AcceptFraction float64  `json:"share"`
	Risk           float64  `json:"danger"`
	SpareCapacity  int      `json:"room"`
	Reasons        []string `json:"reasons,omitempty"`
}

// The values of HealthReport.State.
const (
	StateAccepting    = "accepts"
	StateLimited      = "trickle"
	StateHolding      = "keeps"
	StateEvacuating   = "hands-on"
	StateShuttingDown = "leaves"
)

// LeaseResponse grants a lease. A node that had no lease, or whose previous lease had expired, starts to serve only once it has
// the assignments of AssignmentsVersion or a later version: while the node had no lease, instances may have been assigned to
// other nodes.
type LeaseResponse struct {
	Granted    bool   `json:"granted"`
	Controller string `json:"keeper"`
	// RollingBack means that the node's version is being rolled back or was withdrawn. The node repeats the value in
	// LeaseRequest.RollingBack.
	RollingBack        bool   `json:"going_back,omitempty"`
	AssignmentsVersion uint64 `json:"places"`
	RecordCount        uint64 `json:"kept,omitempty"`   // greatest LeaseRequest.RecordCount of the node before this request
	AcceptedUnverified int    `json:"doubts,omitempty"` // number of copies, from the start of LeaseRequest.Unverified, that were agreed
	Lineage
}

// Lineage identifies the history of the assignments that a controller has. Generation is raised when the assignments are
// rebuilt after a loss of disks; assignments of a lower generation are no longer valid. OriginID is the identity of the log's
// origin (LogOrigin). If OriginID changes and Generation does not, the disks of all controllers were emptied, and the
// controllers' assignments are not valid either.
type Lineage struct {
	Generation uint64 `json:"generation"`
	OriginID   string `json:"birth"`
}

// ErrorBody is the body of every answer with a status other than 200.
type ErrorBody struct {
	Error      string                `json:"error,omitempty"`
	Assignment *placement.Assignment `json:"place,omitempty"`  // of a refused operation: the current assignment, if any
	Leader     string                `json:"leader,omitempty"` // with status 421: the leading controller, "" if unknown
}

// AssignmentChanges contains the assignments that changed after the version that the caller has. If Complete is set, it
// contains all assignments, and an instance that is not among them was deleted.
type AssignmentChanges struct {
	Version uint64 `json:"version"`
	Lineage
	Complete    bool                   `json:"whole"`
	Assignments []placement.Assignment `json:"places"`
	Deleted     []string               `json:"gone,omitempty"`
}

// Node describes an edge node as the leading controller knows it.
type Node struct {
	Name            string   `json:"name"`
	Zone            string   `json:"zone,omitempty"`
	Incarnation     uint64   `json:"run,omitempty"`
	HasLease        bool     `json:"held"` // the node has a lease that has not expired
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

// NodeList lists all edge nodes.
type NodeList struct {
	Version uint64 `json:"version"`
	Nodes   []Node `json:"units"`
}

// MaxOutcomes is the maximum number of outcomes of one node that the leader records per OutcomeReport. If a report has more
// outcomes of the node, its successes and failures are scaled down in proportion.
const MaxOutcomes = 64

// OutcomeReport contains the outcomes of requests at edge nodes that a relay has observed since its previous report. Rejected
// requests are not counted.
type OutcomeReport struct {
	Version         int            `json:"v"`
	Nodes           []NodeOutcomes `json:"units"`
	SoftwareVersion uint16         `json:"build,omitempty"` // the newest version that the release API reported to the relay
	RolloutState    string         `json:"state,omitempty"` // state of SoftwareVersion, as the release API names it; "" if not known
}

// Values of OutcomeReport.RolloutState for a version that is being rolled back and for one that was withdrawn.
const (
	VersionRollingBack = "recalling"
	VersionWithdrawn   = "recalled"
)

// NodeOutcomes counts the outcomes of requests at one node.
type NodeOutcomes struct {
	Node      string `json:"unit"`
	Successes int    `json:"good"`
	Failures  int    `json:"bad"`
}

// LastResortPlan lists, for each zone whose nodes are all evacuating, the instances in descending order of their weight, and
// the nodes that continue to serve them.
type LastResortPlan struct {
	Zones []LastResortZone `json:"zones"`
}

// LastResortZone is the plan of one zone.
type LastResortZone struct {
	Zone      string               `json:"zone"`
	Instances []LastResortInstance `json:"instances"`
}

// LastResortInstance is one instance of a LastResortZone. Node is "" if no node continues to serve the instance.
type LastResortInstance struct {
	Name   string  `json:"name"`
	Node   string  `json:"unit"`
	Weight float64 `json:"weight"`
}

// DeviceRequest reports the zone that an instance's device has entered.
type DeviceRequest struct {
	Version int    `json:"v"`
	Name    string `json:"name"`
	Zone    string `json:"zone"`
}

// LogOrigin identifies the start of a fleet's agreed log, and the disks on which the log was created.
type LogOrigin struct {
	ID     string            `json:"id"`
	Stores map[string]string `json:"stores"` // by controller name: the identity of its disk
}

// JoinRequest asks the leader to admit a controller whose disk was emptied. If CaughtUp is set, it asks the leader to make the
// admitted controller a voter.
type JoinRequest struct {
	Version  int    `json:"v"`
	Node     string `json:"node"`
	StoreID  string `json:"store"`
	CaughtUp bool   `json:"ready,omitempty"` // the controller has nearly all entries up to JoinResponse.Index of an earlier response
}

// JoinResponse tells a controller whether it is a voter of the agreed log, and how far its log must reach before it becomes one.
type JoinResponse struct {
	Voter      bool       `json:"votes"`
	Index      uint64     `json:"index"`          // index that the log must nearly reach before the controller votes
	Term       uint64     `json:"term,omitempty"` // term of the admitting leader; the controller accepts no entry of an earlier term
	Origin     *LogOrigin `json:"birth"`
	Generation uint64     `json:"line,omitempty"` // generation of the log, see Lineage
}

// Inventory lists all copies on an edge node, whether they are assigned to the node or not. An edge node returns it for GET
// /v1/holds.
type Inventory struct {
	Version     int                  `json:"v"`
	Node        string               `json:"unit"`
	Incarnation uint64               `json:"run"`
	Lineage     Lineage              `json:"line"`
	Copies      []replica.CopyStatus `json:"holds"`
}

// ConfirmRequest asks a controller for its term, and contains the caller's term. The response has the same form and contains
// the called controller's term.
type ConfirmRequest struct {
	Version int    `json:"v"`
	Term    uint64 `json:"term"`
}

// LogPosition identifies the last entry of a log. The zero value is the position of an empty log.
type LogPosition struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// Later reports whether a log that ends at p is more up to date than a log that ends at other, by raft's comparison.
func (p LogPosition) Later(other LogPosition) bool {
	return p.Term > other.Term || p.Term == other.Term && p.Index > other.Index
}

// The values of Status.Role.
const (
	RoleWaiting   = "waits" // the controller has not started raft on its disk yet
	RoleFollower  = "follower"
	RoleCandidate = "candidate"
	RoleLeader    = "leader"
	RoleStopping  = "ends"
)

// Status is the status of one controller.
type Status struct {
	Version      int                    `json:"v"`
	Node         string                 `json:"node"`
	Role         string                 `json:"role"` // one of the Role constants
	Reason       string                 `json:"why,omitempty"`
	Leader       string                 `json:"leader,omitempty"`
	Term         uint64                 `json:"term"`
	Applied      uint64                 `json:"applied"`
	Last         LogPosition            `json:"last"`
	Assignments  int                    `json:"places"`
	Migrations   int                    `json:"moves"` // number of migrations in progress
	Reasons      []string               `json:"reasons,omitempty"`
	Generation   uint64                 `json:"generation"`
	Origin       *LogOrigin             `json:"birth,omitempty"`
	StoreID      string                 `json:"store"`            // identity of the controller's disk
	StoreIDs     map[string]string      `json:"stores,omitempty"` // by controller name: the agreed identity of its disk
	Controllers  []string               `json:"keepers"`          // names of all controllers in the controller's configuration file, sorted
	LogPositions map[string]LogPosition `json:"marks,omitempty"`  // by controller name: last entry that the controller acknowledged
	Disk         *DiskSpace             `json:"disk,omitempty"`   // nil: unknown, or the controller has an earlier version
}

// DiskSpace is the space, in bytes, of the file system that contains a controller's data directory.
type DiskSpace struct {
	Free  uint64 `json:"free"`
	Total uint64 `json:"total"`
	// LowOnSpace means that the disk is nearly full, by the limits of package controller. The log is then compacted sooner, and
	// a leader transfers the leadership to a controller with enough free space.
	LowOnSpace bool `json:"short,omitempty"`
}

// FreeFraction returns the free fraction of the disk, or 0 if the size is unknown.
func (d DiskSpace) FreeFraction() float64 { return float64(d.Free) / float64(max(1, d.Total)) }

// String returns the text that is shown to operators, such as "41% free" or "4.2% free, short of room". It is "" if the size is
// unknown.
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
