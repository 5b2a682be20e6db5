package lab

import (
	"silvercove/balancer"
)

// RequestClass is a request class of an experiment.
type RequestClass struct {
	Name        string
	Share       float64 // share of all requests that are of this class
	Idempotency string  // a key of idempotencyOf
}

// Stage is a stage of a rollout. Share is the share of the backends that run the package, and Cap is the exposure cap.
type Stage struct{ Share, Cap float64 }

// Package is a kind of package that is rolled out.
type Package struct {
	Name         string
	Bad          bool               // the package should be rolled back
	Errors       map[string]float64 // share of requests that fail, in addition to BaseFailures, by request class; the share of the key "all" is added for every class
	Wrong        float64            // share of answers that are wrong without an error
	SlowFactor   float64            // factor on the usual service time; 0: no change
	SilentShare  float64            // share of requests that are never answered
	FaultDelay   float64            // seconds from a backend's start until the faults show
	PriorPackage string             // name of a package that is rolled out before this one, and then rolled back or released; "": none
}

// Condition describes the faults and the changes of load during a rollout. In the experiment's file, "the first offer"
// is the start of the rollout of the first package.
type Condition struct {
	Name                                  string
	FlagDelay                             float64 // median delay of reports of wrong answers, in seconds
	LostFlags                             float64 // share of the reports of wrong answers that are lost
	BurstFactor, BurstFrom, BurstDuration float64 // BurstFactor: factor on the usual traffic during a burst; BurstFrom: seconds from the start of the first package's rollout to the burst; BurstDuration: duration of the burst in seconds
	BlindShare                            float64 // share of the relays that are notified late of stages, endpoints and the platform's counts
	RestartInterval                       float64 // seconds between two restarts of relays; the relays restart in turn; 0: no relay restarts
	ClumpShare                            float64 // share of a package's failures that occur at one backend of every six; 0: the failures are spread evenly
	GarbageRelays                         int     // number of relays that read every tenth outcome as an error, whichever version it came from
	GarbageFrom                           float64 // seconds from the start of the first package's rollout until GarbageRelays relays begin to misread outcomes
	MoreBaseFailures                      float64 // share of requests that fail at the stable version, in addition to BaseFailures
	SlowZoneFactor                        float64 // factor on the usual service time in zone 0; 0: no change
	SickShare, SickFailures               float64 // SickShare: share of the backends that are sick; SickFailures: share of the requests that a sick backend fails, at any version
	SickFrom                              float64 // seconds from the start of the first package's rollout until sick backends begin to fail requests
}

// Rollout holds the parameters of a rollout, which is either simulated or run with real relays on loopback.
type Rollout struct {
	Relays, Backends, Zones int
	Rate                    float64 // requests a second at all relays together
	Classes                 []RequestClass
	Stages                  []Stage
	Bake                    float64 // minimum duration of each stage in seconds
	BaseFailures            float64 // share of requests that fail whichever version a backend runs
	FoundShare              float64 // share of the wrong answers that clients detect and report
	WatchSpan               float64 // seconds for which the simulation continues after the release
	MaxSpan                 float64 // seconds from the start of the first package's rollout until a rollout without a verdict ends as undecided
	EvidenceWait            float64 // seconds that a stage lasts before relays may vote to promote without all evidence; see balancer.Rollout
	ReportWithin            float64 // seconds within which reports of wrong answers are expected
	MetricsPeriod           float64 // seconds between two reports of the platform's counts of outcomes; 0: the platform counts no outcomes
	MetricsShare            float64 // share of the outcomes that the platform counts
	Package                 Package
	EarlierPackages         []Package // packages that are rolled out before Package, in order
	Condition               Condition
	Seed                    uint64

	wrapHost hostWrapper
}

// hostWrapper returns a host that records the calls of a relay's balancer and forwards them to the relay's own host.
// Only tests set a hostWrapper; elsewhere it is nil.
type hostWrapper func(host balancer.Host, relay int, now func() balancer.Tick) balancer.Host

// apply returns the wrapped host, or the host itself if wrap is nil.
func (wrap hostWrapper) apply(host balancer.Host, relay int, now func() balancer.Tick) balancer.Host {
	if wrap == nil {
		return host
	}
	return wrap(host, relay, now)
}

// Result is the result of one rollout. Its JSON names are those in files of results.
type Result struct {
	Package         string  `json:"package"`
	Condition       string  `json:"condition"`
	Seed            uint64  `json:"seed"`
	Bad             bool    `json:"bad"`
	StagesPassed    int     `json:"waves"`    // stages that the package was advanced past
	Released        bool    `json:"released"` // the package was released at some time
	RolledBack      bool    `json:"back"`     // the package was rolled back
	VerdictSeconds  float64 `json:"verdict"`  // seconds from the offer to the release or the roll-back, whichever came first
	Undecided       bool    `json:"undecided"`
	Requests        int     `json:"commands"`
	Failed          int     `json:"failed"`           // requests that got an error, a rejection or no answer in time
	CanaryAttempts  int     `json:"trial"`            // attempts at the package before its release
	ExposureBreaks  int     `json:"broken"`           // violations of the exposure rule
	EarlierOutcomes string  `json:"before,omitempty"` // one word for each package before this one: "back" (rolled back) or "released"
}
