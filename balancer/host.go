package balancer

// Tick is a point or a span of time in whole tenths of a millisecond.
type Tick int64

// Second is one second in ticks.
const Second Tick = 10000

// Host is what the module acts through. Every call takes effect at the time of
// the event that is being handled.
type Host interface {
	Deliver(d *Delivery, stopAt Tick)              // starts a delivery, the next number of its command
	Nack(cmd *Command, comeBack Tick)              // final answer: trying again is harmless
	Fail(cmd *Command)                             // final answer: no promise about the effect
	Cancel(d *Delivery)                            // stops waiting for one delivery
	WakeAt(at Tick, tag uint32)                    // Alarm(tag) at or after the time
	Probe(u *Unit)                                 // checks a unit, where the settings allow it
	CloseIdle(u *Unit)                             // closes idle connections to a unit
	Tell(peer uint32, data []byte)                 // a message to one relay, AllPeers for every one
	Log(text string)                               // a line for the people on call
	Watch(on bool)                                 // asks for changes of the list of units
	Fetch()                                        // asks for the whole list of units once
	Vote(build uint16, stage int, verdict Verdict) // casts this relay's vote
}

// AllPeers names every relay of the tier in Tell.
const AllPeers = ^uint32(0)

// Verdict is what a vote says of a build.
type Verdict uint8

// The verdicts of a vote.
const (
	NoVote Verdict = iota
	GoOn
	Hold
	GoBack
)

// Ending tells how a delivery, a probe or a vote ended.
type Ending uint8

// The endings.
const (
	Acked Ending = 1 + iota
	Errored
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	Moot
)

// Phase is where a build stands.
type Phase uint8

// The phases of a build.
const (
	OnTrial Phase = iota
	RollingBack
	Released
	Withdrawn
)

// State is what the list says of a unit.
type State uint8

// The states of a unit.
const (
	Gone State = iota
	Ready
	Draining
)

// Command is one command that the relay has taken. The exported fields are set by
// the front that took it; Door is that front's own name for it.
type Command struct {
	Door     uint64
	OpType   int
	Customer int
	Key      uint64
	NotAfter Tick
	Work     Tick // 0: not known
	Repeated bool
	Write    bool
	Tied     bool  // only the unit that its instance runs at may get it
	At       *Unit // that unit; nil while it is not known

	taken      Tick
	deliveries []*Delivery
	answered   bool
	hopeless   bool      // it failed at two units
	suspect    *Delivery // its error waits for the next answer
	streaming  bool
	spared     bool // it is tried though it seems hopeless
	granted    bool // the fleet has allowed a delivery that has not gone out yet
	held       bool
	rank       float64 // among the held
	end        Tick    // when it loses its use
}

// Delivery is one try of a command at a unit.
type Delivery struct {
	Cmd *Command
	No  int
	To  *Unit

	sent      Tick
	counted   Tick // when it last was, towards exposure and the cold budget
	exposed   bool // by the first
	cold      bool // and by the second
	due       Tick // when it counts as slow for the build
	late      Tick // and for its unit
	build     uint16
	since     Tick // To's start as it was known when this was sent
	first     bool
	ended     bool
	marked    bool // its unit's silence was counted before it ended
	slow      bool // counted as slow before it ended
	cancelled bool
	ending    Ending
}

// Listing is what the list of units says of one unit.
type Listing struct {
	Zone, Cell, Kind int
	State            State
	Nominal          float64
	Start            Tick // 0: long ago
	Build            uint16
}

// Unit is a server. Door is the front's own name for it.
type Unit struct {
	Door uint32
	Listing

	known    bool
	inFlight int
	oldest   Tick      // when the relay began to wait for any answer of this unit
	heard    Tick      // the last answer
	acks     []Tick    // times of the last acked deliveries
	sends    []Tick    // sends within the cold window
	coldFrom Tick      // the last of them, or when this process was first listed
	coldDue  float64   // part of a budget's delivery that must come due since
	failed   Tick      // the last time
	marks    []float64 // the last outcomes, 1 for a failure
	paces    []float64 // how long the last ones took, in parts of what was due
	doubt    float64
	aside    bool
	gap      Tick // between the deliveries of the trickle
	nextTry  Tick
	shunned  Tick // up to then, for other relays' sake
}

// StageNews is what the platform says of the newest build.
type StageNews struct {
	Build  uint16
	Stage  int
	Phase  Phase
	Answer bool // the answer to a vote of this relay
	Ending Ending
	Cap    float64
	Age    Tick
}

// Relay decides for one instance.
type Relay struct {
	host     Host
	set      map[string]any
	opTypes  []map[string]any
	now      Tick
	born     Tick
	alone    bool   // nearly every unit is in doubt
	x, carry uint32 // chance

	listed  bool        // the first list has ended
	units   []*Unit     // those listed as ready, in this relay's own order, the nearest first
	limit   float64     // open deliveries that it allows itself
	rescues float64     // that may be made now
	own     []float64   // of the last commands answered or failed at two units, 1 for a failure
	near    int         // how many of them it chooses from
	held    []*Command  // those without a unit, in the order of their end
	marks   []float64   // the last outcomes at any unit, 1 for a failure
	out     []*Delivery // not ended, oldest first
	acks    []Tick      // of the last seconds
	asked   []Tick      // commands taken in them, repeats aside
	whole   float64     // units in use, by warmth
	perUnit float64     // acked a second at a warm unit, this relay's part
	fair    float64     // part of the commands that the units of the build on trial can take
	took    [][]Tick    // the last acked deliveries of each op type, at any build
	learned []Tick      // when the last of them came
	typical []Tick      // what one in ten of them exceeds
	middle  []Tick      // and half of them
	target  Tick        // the least service target

	tell   []byte // counts for the other relays: of each op type and of answers, all and bad
	tellAt Tick

	lanes   []lane // what the exposure rule counts: all, or one an op type
	news    StageNews
	told    bool
	since   Tick               // when the newest stage started
	recount Tick               // when a lower cap binds and the count starts anew
	forward map[uint16]*filter // the keys that a build has answered, of few builds

	base     *sample // of the earlier build
	compared Tick    // when it last gave an outcome
	counted  Tick    // when the platform last counted some of it
	judged   *trial
	ballot   ballot

	asking   bool
	askAgain Tick
	askGap   Tick
}

// lane is one count of the exposure rule.
type lane struct {
	taken, sent []Tick
	credit      float64 // first deliveries due to the trial build
}

// trial is the judging of one build.
type trial struct {
	build   uint16
	sample  *sample
	streams []stream  // all outcomes, one an op type, wrong answers
	out     []float64 // wealth against the effect, by op type, then for flags
	answers []Tick    // whose flags may be on their way
	inStage int       // outcomes in the stage
	stage   int       // that they were counted in
	past    int       // votes back found the stages before it passed
	places  float64   // units of earlier builds when this one came
	whole   float64   // units in use then, by warmth
	acked   float64   // in the last seconds when this one came
	before  float64   // the earlier build's failure share when this one came
	middle  []Tick    // and the middle time of each op type's deliveries
	alarm   string
}

// stream is the design's detector: a test started at each outcome.
type stream struct {
	level float64 // its part of the false-alarm budget
	n     int
	tests []test
}

// test is one one-sided betting test.
type test struct {
	start  int
	seen   float64
	bad    float64
	wealth float64
}

// ballot is this relay's vote.
type ballot struct {
	build   uint16
	stage   int
	verdict Verdict
	state   int
	at      Tick // when it goes out, stops being waited for, or no longer stands
}

const (
	noBallot = iota
	drawn
	cast
	stands
)
