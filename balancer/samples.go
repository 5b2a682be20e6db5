package balancer

import "strconv"

// streamKind is a kind of evidence about a version.
type streamKind uint8

const (
	allRequests    streamKind = iota // failures of requests of any class
	oneClass                         // failures of requests of one class
	wrongAnswers                     // reports of wrong answers, among answers
	slowness                         // slow attempts
	resets                           // connections that broke
	releaseMetrics                   // outcomes at all relays, as counted by the release API
)

// stream identifies one stream of outcomes.
type stream struct {
	kind  streamKind
	class int // index of the class; only for oneClass
}

// String returns the name of the stream in logs.
func (s stream) String() string {
	switch s.kind {
	case allRequests:
		return "all requests"
	case wrongAnswers:
		return "wrong answers"
	case slowness:
		return "slowness"
	case resets:
		return "resets"
	case releaseMetrics:
		return "fleet metrics"
	}
	return "request class " + strconv.Itoa(s.class)
}

// rareSampleSize is the number of outcomes that are kept of rare events, such as reports of wrong answers.
const rareSampleSize = 512

// samples holds the last outcomes at one version by stream, 1 for a bad outcome and 0 for a good one.
type samples struct {
	class   [][]float64
	wrong   []float64
	slow    []float64
	resets  []float64
	metrics []float64
}

func newSamples(classes int) *samples { return &samples{class: make([][]float64, classes)} }

// failures returns the number of bad outcomes and of all outcomes.
func failures(outcomes []float64) (bad, n float64) {
	n = float64(len(outcomes))
	return mean(outcomes) * n, n
}

// totalFailures returns the number of bad outcomes and of all outcomes of all classes together.
func (s *samples) totalFailures() (bad, n float64) {
	for _, outcomes := range s.class {
		b, m := failures(outcomes)
		bad, n = bad+b, n+m
	}
	return bad, n
}

// smoothedShare returns a share of bad outcomes that is never 0 or 1. Without any outcomes the share is one half.
func smoothedShare(bad, n float64) float64 { return (bad + 0.5) / (n + 1) }

// failureShare returns the share of bad outcomes among the outcomes of all classes, or of one class.
func (s *samples) failureShare(of stream) float64 {
	if of.kind == allRequests {
		return smoothedShare(s.totalFailures())
	}
	return smoothedShare(failures(s.class[of.class]))
}

func (s *samples) wrongShare() float64   { return smoothedShare(failures(s.wrong)) }
func (s *samples) slowShare() float64    { return smoothedShare(failures(s.slow)) }
func (s *samples) resetShare() float64   { return smoothedShare(failures(s.resets)) }
func (s *samples) metricsShare() float64 { return smoothedShare(failures(s.metrics)) }
