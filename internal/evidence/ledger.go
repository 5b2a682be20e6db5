// Package ledger keeps what a relay knows of each build: outcomes by op type, wave and source, flags by how late they
// came, and each vote with the bounds that led to it. It is bounded whatever the number of builds, op types and
// units, and outlives a restart as a snapshot where there is a lasting disk.
//
// The bounds are a confidence sequence: they hold at every moment at once with the level that is asked for, so that
// a vote may look at any time (Shekhar and Ramdas, definition 1.1; the mixture is Robbins's, with a Beta(1/2, 1/2)
// prior).
//
// Kind: state
package evidence

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/google/renameio/v2"

	"silvercove/balancer"
)

// Bounds of what is kept.
const (
	mostBuilds = 8
	mostWaves  = 16
	mostVotes  = 64
	mostOps    = 256
)

// Errors of a snapshot.
var (
	ErrCorrupt      = errors.New("damaged")
	ErrNewerVersion = errors.New("written by a later version of this program")
)

// Source tells where an outcome was seen.
type Source uint8

// The sources. Flags and the platform's counts may be of outcomes that this relay saw itself: they are told beside
// its own, and no bound is taken from them.
const (
	SourceRelay Source = iota
	SourceFlag
	SourcePlatform
	sources
)

// Count counts outcomes of one op type in one wave from one source.
type Count struct {
	Class    int     `json:"op"`
	Wave     int     `json:"wave"`
	Source   Source  `json:"from"`
	Outcomes float64 `json:"n"`
	Failures float64 `json:"bad"`
}

// FlagDelays counts flags by how late they came: within 1 s, 10 s, 1 min, 10 min, and later.
type FlagDelays [5]int64

var delaySteps = [4]balancer.Tick{balancer.Second, 10 * balancer.Second, 60 * balancer.Second, 600 * balancer.Second}

// Vote is one vote as it was cast.
type Vote struct {
	At        balancer.Tick `json:"at"`
	Stage     int           `json:"stage"`
	Verdict   string        `json:"verdict"`
	Reason    string        `json:"why"`
	Estimates []Estimate    `json:"known"`
}

// Estimate is what was known of one op type, and bounds on its share of failures.
type Estimate struct {
	Class    string  `json:"op"`
	Outcomes float64 `json:"n"`
	Failures float64 `json:"bad"`
	Low      float64 `json:"low"`
	High     float64 `json:"high"`
}

// Version is what is kept of one build.
type Version struct {
	Number        uint16            `json:"build"`
	FirstSeen     balancer.Tick     `json:"first"`
	LastSeen      balancer.Tick     `json:"last"`
	State         string            `json:"state"`
	Counts        map[string]*Count `json:"cells"` // by op type, wave and source
	FlagDelays    FlagDelays        `json:"late"`
	Votes         []Vote            `json:"votes"`
	DroppedVotes  int64             `json:"dropped"`  // votes beyond what is kept
	FlagsAfterEnd int64             `json:"afterend"` // flags that came after it was sent back
}

// Store is what one relay keeps. One goroutine at a time may use it.
type Store struct {
	ops       []string
	level     float64
	builds    []*Version // oldest first
	Orphans   int64      // reports on builds that are not kept
	LoadError string     // why an earlier snapshot could not be had; "" if it could, or there was none
}

// level is the chance that any of the bounds that are told is ever wrong, shared out among the op types.
const level = 0.05

// New makes a ledger of the op types.
func New(ops []string) *Store {
	return &Store{ops: ops[:min(len(ops), mostOps)], level: level / float64(max(1, len(ops)))}
}

func key(op int, wave int, s Source) string {
	return strconv.Itoa(op) + "/" + strconv.Itoa(min(max(0, wave), mostWaves-1)) + "/" + strconv.Itoa(int(s))
}

// find gives the build of a number, nil if it isn't kept.
func (l *Store) find(number uint16) *Version {
	for _, b := range l.builds {
		if b.Number == number {
			return b
		}
	}
	return nil
}

// UpdateVersion takes where a build stands; one that is new is kept from then on, in place of the oldest if need be.
func (l *Store) UpdateVersion(now balancer.Tick, number uint16, state string) {
	b := l.find(number)
	if b == nil {
		if len(l.builds) >= mostBuilds {
			l.builds = slices.Delete(l.builds, 0, 1)
		}
		b = &Version{Number: number, FirstSeen: now, Counts: map[string]*Count{}}
		l.builds = append(l.builds, b)
	}
	b.LastSeen, b.State = now, state
}

// RecordOutcome takes an outcome of this relay's own, of an op type at a build.
func (l *Store) RecordOutcome(now balancer.Tick, number uint16, op, wave int, bad bool) {
	x := 0.0
	if bad {
		x = 1
	}
	if b := l.of(now, number, op); b != nil {
		b.add(op, wave, SourceRelay, 1, x)
	}
}

// RecordPlatformCount takes what the platform counted at a build.
func (l *Store) RecordPlatformCount(now balancer.Tick, number uint16, op, wave, many, failed int) {
	if b := l.of(now, number, op); b != nil && many > 0 && failed >= 0 && failed <= many {
		b.add(op, wave, SourcePlatform, float64(many), float64(failed))
	}
}

// of gives the build that a report belongs to; one on a build that is not kept is an orphan.
func (l *Store) of(now balancer.Tick, number uint16, op int) *Version {
	b := l.find(number)
	if b == nil || op < 0 || op >= len(l.ops) {
		l.Orphans++
		return nil
	}
	b.LastSeen = now
	return b
}

func (b *Version) add(op, wave int, from Source, n, bad float64) {
	k := key(op, wave, from)
	c := b.Counts[k]
	if c == nil {
		c = &Count{Class: op, Wave: min(max(0, wave), mostWaves-1), Source: from}
		b.Counts[k] = c
	}
	c.Outcomes += n
	c.Failures += bad
}

// RecordFlag takes a wrong answer that was found so long after it was given. It belongs to the build that gave it, also
// after that was judged; one of a build that is not kept is an orphan.
func (l *Store) RecordFlag(now balancer.Tick, number uint16, op, wave int, delay balancer.Tick) {
	b := l.of(now, number, op)
	if b == nil {
		return
	}
	step := 0
	for step < len(delaySteps) && delay > delaySteps[step] {
		step++
	}
	b.FlagDelays[step]++
	b.add(op, wave, SourceFlag, 1, 1)
	if b.State == "recalling" || b.State == "recalled" {
		b.FlagsAfterEnd++
	}
}

// RecordVote keeps a vote with what was known when it was cast.
func (l *Store) RecordVote(now balancer.Tick, number uint16, stage int, verdict, why string) {
	v := Vote{At: now, Stage: stage, Verdict: verdict, Reason: why, Estimates: l.Estimates(number)}
	b := l.find(number)
	if b == nil {
		l.Orphans++
		return
	}
	if len(b.Votes) >= mostVotes {
		b.Votes = slices.Delete(b.Votes, 0, 1)
		b.DroppedVotes++
	}
	b.Votes = append(b.Votes, v)
}

// Estimates tells what this relay itself has seen of each op type at a build, over all waves.
func (l *Store) Estimates(number uint16) (all []Estimate) {
	b := l.find(number)
	if b == nil {
		return nil
	}
	all = make([]Estimate, len(l.ops))
	for _, c := range b.Counts {
		if c.Source == SourceRelay {
			all[c.Class].Outcomes += c.Outcomes
			all[c.Class].Failures += c.Failures
		}
	}
	for op, name := range l.ops {
		k := &all[op]
		k.Class = name
		k.Low, k.High = ConfidenceBounds(k.Failures, k.Outcomes, l.level)
	}
	return all
}

// ConfidenceBounds are the ends of the confidence sequence for a share of failures at a level: with chance 1 − level they
// hold for all n at once.
func ConfidenceBounds(bad, n, level float64) (low, high float64) {
	if n <= 0 {
		return 0, 1
	}
	most := math.Log(1 / level)
	mix := logBeta(bad+0.5, n-bad+0.5) - logBeta(0.5, 0.5)
	inside := func(p float64) bool { return mix-logPow(p, bad)-logPow(1-p, n-bad) < most }
	at := bad / n
	return search(0, at, inside), 1 - search(0, 1-at, func(q float64) bool { return inside(1 - q) })
}

// search finds the least point up to inner that is inside; inner is.
func search(outer, inner float64, inside func(float64) bool) float64 {
	if inside(outer) {
		return outer
	}
	for range 60 {
		if mid := (outer + inner) / 2; inside(mid) {
			inner = mid
		} else {
			outer = mid
		}
	}
	return inner
}

func logPow(p, k float64) float64 {
	if k == 0 {
		return 0
	}
	return k * math.Log(p)
}

func logBeta(a, b float64) float64 {
	x, _ := math.Lgamma(a)
	y, _ := math.Lgamma(b)
	z, _ := math.Lgamma(a + b)
	return x + y - z
}

// DecayedCounts gives what is kept of a build as counts of each op type, all and bad, for a module that starts anew: halved
// for each span of a half-life that has passed since the last outcome, rounded down. A failure that is left over by
// rounding is kept: evidence against a build is not to be lost by a restart.
func (l *Store) DecayedCounts(now balancer.Tick, number uint16, half balancer.Tick) (n, bad []int) {
	b := l.find(number)
	if b == nil {
		return nil, nil
	}
	part := math.Pow(0.5, float64(max(0, now-b.LastSeen))/float64(max(1, half)))
	n, bad = make([]int, len(l.ops)), make([]int, len(l.ops))
	for i, k := range l.Estimates(number) {
		bad[i] = int(math.Ceil(k.Failures*part - 1e-9))
		n[i] = max(bad[i], int(k.Outcomes*part))
	}
	return n, bad
}

// snapshot is the form of the file.
type snapshot struct {
	Ops    []string   `json:"ops"`
	Builds []*Version `json:"builds"`
	Orphan int64      `json:"orphans"`
}

const (
	mark   = "silvercove-ledger"
	format = 1
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Snapshot gives the bytes of a snapshot: a line with format and checksum, then JSON.
func (l *Store) Snapshot() []byte {
	body, _ := json.Marshal(snapshot{l.ops, l.builds, l.Orphans})
	return append(fmt.Appendf(nil, "%s %d %08x %d\n", mark, format, crc32.Checksum(body, castagnoli), len(body)), body...)
}

// Restore takes a snapshot in place of what is held. What is damaged, of a later version, or of other op types is
// refused whole, and nothing changes.
func (l *Store) Restore(text []byte) error {
	head, body, ok := bytes.Cut(text, []byte("\n"))
	var v, size int
	var sum uint32
	if n, err := fmt.Sscanf(string(head), mark+" %d %08x %d", &v, &sum, &size); !ok || err != nil || n != 3 {
		return fmt.Errorf("ledger: its head: %w", ErrCorrupt)
	}
	if v > format {
		return fmt.Errorf("ledger: format %d: %w", v, ErrNewerVersion)
	}
	if v < 1 || len(body) != size || crc32.Checksum(body, castagnoli) != sum {
		return fmt.Errorf("ledger: its checksum: %w", ErrCorrupt)
	}
	var s snapshot
	if err := json.Unmarshal(body, &s); err != nil {
		return fmt.Errorf("ledger: %w", ErrCorrupt)
	}
	if !slices.Equal(s.Ops, l.ops) {
		return fmt.Errorf("ledger: it is of the op types %v: %w", s.Ops, ErrCorrupt)
	}
	if len(s.Builds) > mostBuilds {
		return fmt.Errorf("ledger: %d builds: %w", len(s.Builds), ErrCorrupt)
	}
	for _, b := range s.Builds {
		if b == nil || b.Counts == nil || len(b.Votes) > mostVotes || len(b.Counts) > mostOps*mostWaves*int(sources) {
			return fmt.Errorf("ledger: a build of it: %w", ErrCorrupt)
		}
		for _, c := range b.Counts {
			if c == nil || c.Class < 0 || c.Class >= len(l.ops) || c.Source >= sources || !(c.Outcomes >= 0 && c.Failures >= 0 && c.Failures <= c.Outcomes && c.Outcomes < 1e15) {
				return fmt.Errorf("ledger: a count of it: %w", ErrCorrupt)
			}
		}
	}
	l.builds, l.Orphans = s.Builds, s.Orphan
	return nil
}

// Load reads a snapshot's file; none is no error. One that can't be had is told in Lost, and the ledger starts afresh.
func (l *Store) Load(path string) {
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return
	}
	if err == nil {
		err = l.Restore(text)
	}
	if err != nil {
		l.LoadError = err.Error()
	}
}

// Save writes a snapshot's bytes in one step.
func Save(path string, text []byte) error {
	return renameio.WriteFile(path, text, 0o600, renameio.WithTempDir(filepath.Dir(path)))
}

// Explain tells in plain sentences what is known of each build and why each vote was cast.
func (l *Store) Explain() (out []string) {
	clock := func(t balancer.Tick) string {
		return time.UnixMicro(int64(t) * 100).UTC().Format("2006-01-02 15:04:05.000")
	}
	for _, b := range l.builds {
		out = append(out, fmt.Sprintf("Build %d, %s: first seen %s, last heard of %s.", b.Number, b.State, clock(b.FirstSeen),
			clock(b.LastSeen)))
		for _, k := range l.Estimates(b.Number) {
			if k.Outcomes > 0 {
				out = append(out, fmt.Sprintf("  %s: %g of %g outcomes failed; its share is between %.1f%% and %.1f%%.", k.Class, k.Failures, k.Outcomes,
					100*k.Low, 100*k.High))
			} else {
				out = append(out, fmt.Sprintf("  %s: nothing is known.", k.Class))
			}
		}
		many, failed := 0.0, 0.0
		for _, c := range b.Counts {
			if c.Source == SourcePlatform {
				many, failed = many+c.Outcomes, failed+c.Failures
			}
		}
		if many > 0 {
			out = append(out, fmt.Sprintf("  The platform counted %g failures among %g outcomes.", failed, many))
		}
		flags := int64(0)
		for _, n := range b.FlagDelays {
			flags += n
		}
		if flags > 0 {
			out = append(out, fmt.Sprintf("  %d wrong answers were flagged: %d within 1 s, %d within 10 s, %d within 1 min, "+
				"%d within 10 min, %d later; %d of them after it was sent back.", flags, b.FlagDelays[0], b.FlagDelays[1], b.FlagDelays[2], b.FlagDelays[3],
				b.FlagDelays[4], b.FlagsAfterEnd))
		}
		for _, v := range b.Votes {
			out = append(out, fmt.Sprintf("  %s: vote to %s at stage %d, because of %s.", clock(v.At), v.Verdict, v.Stage, v.Reason))
			for _, k := range v.Estimates {
				out = append(out, fmt.Sprintf("    then known of %s: %g of %g failed, between %.1f%% and %.1f%%.", k.Class, k.Failures, k.Outcomes,
					100*k.Low, 100*k.High))
			}
		}
		if b.DroppedVotes > 0 {
			out = append(out, fmt.Sprintf("  %d earlier votes are not kept.", b.DroppedVotes))
		}
	}
	if l.Orphans > 0 {
		out = append(out, fmt.Sprintf("%d reports were on builds that are not kept.", l.Orphans))
	}
	if len(out) == 0 {
		out = append(out, "No build was seen.")
	}
	return out
}

// ReadFile reads a snapshot's file for people, whatever its op types.
func ReadFile(path string) (*Store, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	_, body, _ := bytes.Cut(text, []byte("\n"))
	var s struct {
		Ops []string `json:"ops"`
	}
	_ = json.Unmarshal(body, &s) // what is wrong with it is told by Read
	l := New(s.Ops)
	return l, l.Restore(text)
}
