package tufverify_test

import (
	"bytes"
	"crypto"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"
	"pgregory.net/rapid"

	"silvercove/internal/keys"
	"silvercove/internal/tufverify"
)

func TestRoots(t *testing.T) {
	for _, c := range []struct {
		name string
		make func(b *bench) []byte
		want any
	}{
		{"the next", func(b *bench) []byte { return b.root(2, 365*day) }, nil},
		{"the same again", func(b *bench) []byte { return b.root(1, 365*day) }, tufverify.ReasonAlreadyHeld},
		{"the same version, other content", func(b *bench) []byte { return b.root(1, 364*day) }, tufverify.ReasonOlderVersion},
		{"one left out", func(b *bench) []byte { return b.root(3, 365*day) }, tufverify.ReasonVersionMismatch},
		{"other keys, not signed by the old", func(b *bench) []byte {
			b.keys["root"] = []*keys.Key{b.key(), b.key()}
			return b.root(2, 365*day)
		}, tufverify.ReasonUnknownKey},
		{"other keys, signed by one of two old", func(b *bench) []byte {
			old := b.keys["root"]
			b.keys["root"] = []*keys.Key{b.key(), b.key()}
			return b.root(2, 365*day, old[0])
		}, tufverify.ReasonBelowThreshold},
		{"other keys, signed by both", func(b *bench) []byte {
			old := b.keys["root"]
			b.keys["root"] = []*keys.Key{b.key(), b.key()}
			return b.root(2, 365*day, old...)
		}, nil},
		{"a signature that does not fit", func(b *bench) []byte {
			text := b.root(2, 365*day)
			at := bytes.Index(text, []byte(`"sig":"`)) + 7
			if text[at]++; text[at] != '1' { // another digit
				text[at] = '0'
			}
			return text
		}, tufverify.ReasonBadSignature},
		{"a role without keys", func(b *bench) []byte {
			b.keys["snapshot"] = nil
			return b.root(2, 365*day)
		}, tufverify.ReasonMalformed},
		{"no JSON", func(b *bench) []byte { return []byte("{") }, tufverify.ReasonMalformed},
		{"too long", func(b *bench) []byte { return make([]byte, tufverify.MaxRootSize+1) }, tufverify.ReasonTooLarge},
		{"a timestamp", func(b *bench) []byte { return b.timestamp(2, day, 1, nil) }, tufverify.ReasonMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.want(c.want, b.repo.UpdateRoot(at(0), c.make(b)))
			wanted := int64(1)
			if c.want == nil {
				wanted = 2
			}
			if v := b.repo.Version("root"); v != wanted {
				t.Errorf("root %d is held", v)
			}
		})
	}
}

func TestTimestamps(t *testing.T) {
	for _, c := range []struct {
		name string
		make func(b *bench) []byte
		want any
	}{
		{"newer", func(b *bench) []byte { return b.timestamp(6, day, 6, nil) }, nil},
		{"the same again", func(b *bench) []byte { return b.timestamp(5, day, 5, nil) }, tufverify.ReasonAlreadyHeld},
		{"the same version, other content", func(b *bench) []byte { return b.timestamp(5, 2*day, 5, nil) }, tufverify.ReasonConflict},
		{"older", func(b *bench) []byte { return b.timestamp(4, day, 5, nil) }, tufverify.ReasonOlderVersion},
		{"newer, but with an older snapshot", func(b *bench) []byte { return b.timestamp(6, day, 4, nil) }, tufverify.ReasonOlderVersion},
		{"expired", func(b *bench) []byte { return b.timestamp(6, 0, 6, nil) }, tufverify.ReasonExpired},
		{"of another repository", func(b *bench) []byte { return b.timestamp(6, day, 6, nil, b.keys["extra"]...) }, tufverify.ReasonUnknownKey},
		{"version 0", func(b *bench) []byte { return b.timestamp(0, day, 6, nil) }, tufverify.ReasonMalformed},
		{"without a snapshot", func(b *bench) []byte {
			m := metadata.Timestamp(start.Add(day))
			m.Signed.Version, m.Signed.Meta = 6, nil
			return sign(b, m, b.keys["timestamp"]...)
		}, tufverify.ReasonMalformed},
		{"a member twice", func(b *bench) []byte {
			return bytes.Replace(b.timestamp(6, day, 6, nil), []byte(`"version":6}`), []byte(`"version":6,"version":6}`), 1)
		}, tufverify.ReasonMalformed},
		{"a member that only case parts from another", func(b *bench) []byte {
			text := b.timestamp(6, day, 6, nil)
			return bytes.Replace(text, []byte(`"signed":{`), []byte(`"signed":{"Version":9,`), 1)
		}, tufverify.ReasonBadSignature},
		{"the same behind it", func(b *bench) []byte {
			return bytes.Replace(b.timestamp(6, day, 6, nil), []byte(`"version":6}`), []byte(`"version":6,"Version":9}`), 1)
		}, tufverify.ReasonMalformed},
		{"a second signed part", func(b *bench) []byte {
			text := b.timestamp(6, day, 6, nil)
			return append(text[:len(text)-1], []byte(`,"Signed":{"_type":"timestamp","version":9}}`)...)
		}, tufverify.ReasonMalformed},
		{"bytes behind its end", func(b *bench) []byte { return append(b.timestamp(6, day, 6, nil), "{}"...) }, tufverify.ReasonMalformed},
		{"too long", func(b *bench) []byte { return bytes.Repeat([]byte(" "), tufverify.MaxTimestampSize+1) }, tufverify.ReasonTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.set(5)
			b.want(c.want, b.repo.UpdateTimestamp(at(0), c.make(b)))
			if c.want != nil && b.repo.Version("timestamp") != 5 {
				t.Error("it is held")
			}
		})
	}
}

func TestSnapshotsAndTargets(t *testing.T) {
	two := map[string]int64{"targets": 5, "extra": 3}
	for _, c := range []struct {
		name string
		run  func(b *bench) *tufverify.RefusalError
		want any
	}{
		{"another hash than the timestamp says", func(b *bench) *tufverify.RefusalError {
			b.want(nil, b.repo.UpdateTimestamp(at(0), b.timestamp(6, day, 6, []byte("x"))))
			return b.repo.UpdateSnapshot(at(0), b.snapshot(6, day, two))
		}, tufverify.ReasonHashMismatch},
		{"another version than the timestamp says", func(b *bench) *tufverify.RefusalError {
			b.want(nil, b.repo.UpdateTimestamp(at(0), b.timestamp(6, day, 6, nil)))
			return b.repo.UpdateSnapshot(at(0), b.snapshot(7, day, two))
		}, tufverify.ReasonVersionMismatch},
		{"a file less", func(b *bench) *tufverify.RefusalError {
			b.want(nil, b.repo.UpdateTimestamp(at(0), b.timestamp(6, day, 6, nil)))
			return b.repo.UpdateSnapshot(at(0), b.snapshot(6, day, map[string]int64{"targets": 5}))
		}, tufverify.ReasonOlderVersion},
		{"a file gone back", func(b *bench) *tufverify.RefusalError {
			b.want(nil, b.repo.UpdateTimestamp(at(0), b.timestamp(6, day, 6, nil)))
			return b.repo.UpdateSnapshot(at(0), b.snapshot(6, day, map[string]int64{"targets": 5, "extra": 2}))
		}, tufverify.ReasonOlderVersion},
		{"expired", func(b *bench) *tufverify.RefusalError {
			b.want(nil, b.repo.UpdateTimestamp(at(0), b.timestamp(6, day, 6, nil)))
			return b.repo.UpdateSnapshot(at(0), b.snapshot(6, -day, two))
		}, tufverify.ReasonExpired},
		{"after the timestamp expired", func(b *bench) *tufverify.RefusalError {
			b.want(nil, b.repo.UpdateTimestamp(at(0), b.timestamp(6, time.Hour, 6, nil)))
			return b.repo.UpdateSnapshot(at(time.Hour), b.snapshot(6, day, two))
		}, tufverify.ReasonExpired},
		{"targets of another version", func(b *bench) *tufverify.RefusalError {
			return b.repo.UpdateTargets(at(0), "targets", b.targets(6, day, nil))
		}, tufverify.ReasonVersionMismatch},
		{"targets that the snapshot does not name", func(b *bench) *tufverify.RefusalError {
			return b.repo.UpdateTargets(at(0), "other", b.targets(1, day, nil))
		}, tufverify.ReasonUnnamed},
		{"targets that nothing delegates to", func(b *bench) *tufverify.RefusalError {
			return b.repo.UpdateTargets(at(0), "extra", b.targets(3, day, nil))
		}, tufverify.ReasonMissing},
		{"targets without a hash", func(b *bench) *tufverify.RefusalError {
			return b.repo.UpdateTargets(at(0), "targets", b.targets(5, day, func(m *metadata.TargetsType) {
				m.Targets["a"] = metadata.TargetFile()
			}))
		}, tufverify.ReasonMalformed},
		{"expired targets", func(b *bench) *tufverify.RefusalError {
			b.want(nil, b.repo.UpdateTimestamp(at(0), b.timestamp(6, day, 6, nil)))
			b.want(nil, b.repo.UpdateSnapshot(at(0), b.snapshot(6, day, map[string]int64{"targets": 6, "extra": 3})))
			return b.repo.UpdateTargets(at(0), "targets", b.targets(6, 0, nil))
		}, tufverify.ReasonExpired},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.want(nil, b.repo.UpdateTimestamp(at(0), b.timestamp(5, day, 5, nil)))
			b.want(nil, b.repo.UpdateSnapshot(at(0), b.snapshot(5, 7*day, two)))
			b.want(nil, b.repo.UpdateTargets(at(0), "targets", b.targets(5, 30*day, nil)))
			b.want(c.want, c.run(b))
		})
	}
}

func TestNewKeysLetVersionsCountAnew(t *testing.T) {
	b := newBench(t)
	b.set(1000) // a stolen key signed far ahead
	old := b.keys["timestamp"][0]
	b.keys["timestamp"] = []*keys.Key{b.key()}
	b.want(nil, b.repo.UpdateRoot(at(0), b.root(2, 365*day)))
	if _, refusal := b.repo.Current(at(0), tufverify.File{Role: "timestamp"}); refusal == nil {
		t.Error("what the old key signed is passed on")
	}
	b.want(tufverify.ReasonUnknownKey, b.repo.UpdateTimestamp(at(0), b.timestamp(1001, day, 1001, nil, old)))
	b.set(3)
	if _, refusal := b.repo.Current(at(0), tufverify.File{Role: "timestamp"}); refusal != nil {
		t.Error(refusal)
	}
}

func TestRevokedTargetsKeyCountsNoMore(t *testing.T) {
	b := newBench(t)
	b.set(5)
	b.keys["targets"] = []*keys.Key{b.key()}
	b.want(nil, b.repo.UpdateRoot(at(0), b.root(2, 365*day)))
	if _, refusal := b.repo.Current(at(0), tufverify.File{Role: "targets", Version: 5}); refusal == nil {
		t.Error("targets of a revoked key are passed on")
	}
}

func TestNothingIsHeldThatCannotBeKept(t *testing.T) {
	b := newBench(t)
	b.set(5)
	b.host.fails = true
	b.want(tufverify.ReasonNotDurable, b.repo.UpdateTimestamp(at(0), b.timestamp(6, day, 6, nil)))
	if _, refusal := b.repo.Current(at(0), tufverify.File{Role: "timestamp"}); refusal != nil {
		t.Error(refusal)
	}
	b.want(tufverify.ReasonNotDurable, b.repo.UpdateRoot(at(0), b.root(2, 365*day)))
	b.host.fails = false
	b.want(nil, b.repo.UpdateTimestamp(at(0), b.timestamp(6, day, 6, nil)))
}

func TestRestartKnowsWhatWasSeen(t *testing.T) {
	b := newBench(t)
	pinned := b.root(1, 365*day)
	old := b.timestamp(4, day, 4, nil)
	b.set(5)
	b.want(nil, b.repo.UpdateRoot(at(0), b.root(2, 364*day)))
	b.open(pinned)
	b.want(tufverify.ReasonMissing, b.repo.UpdateTimestamp(at(0), b.timestamp(6, day, 6, nil))) // root 2 was seen
	b.want(nil, b.repo.UpdateRoot(at(0), b.root(2, 364*day)))
	b.want(tufverify.ReasonOlderVersion, b.repo.UpdateTimestamp(at(0), old))
	b.want(nil, b.repo.UpdateTimestamp(at(0), b.timestamp(5, day, 5, nil)))
	b.want(tufverify.ReasonOlderVersion, b.repo.UpdateTimestamp(at(0), old))
	b.open(pinned)
	b.want(tufverify.ReasonConflict, b.repo.UpdateRoot(at(0), b.root(2, 363*day)))
}

func TestClocks(t *testing.T) {
	b := newBench(t)
	b.set(5)
	whole := []tufverify.File{{Role: "timestamp"}, {Role: "snapshot", Version: 5}, {Role: "targets", Version: 5}}
	for _, c := range []struct {
		at   time.Duration
		fine bool
	}{{0, true}, {day - 1, true}, {day, false}, {0, false}, {-1000 * day, false}} {
		for _, f := range whole {
			if _, refusal := b.repo.Current(at(c.at), f); (refusal == nil) != c.fine {
				t.Errorf("%v at %v: %v", f, c.at, refusal)
			}
		}
	}
	b.open(b.root(1, 365*day)) // also after a restart with the clock set back
	b.want(tufverify.ReasonExpired, b.repo.UpdateTimestamp(at(0), b.timestamp(5, day, 5, nil)))
	b.want(tufverify.ReasonExpired, b.repo.UpdateTimestamp(tufverify.Tick(0), b.timestamp(5, day, 5, nil)))
}

func TestFilesThatMayBePassedOn(t *testing.T) {
	b := newBench(t)
	b.set(5)
	b.want(nil, b.repo.UpdateRoot(at(0), b.root(2, 365*day)))
	for _, c := range []struct {
		name string
		want any
	}{
		{"1.root.json", nil}, {"2.root.json", nil}, {"root.json", nil}, {"3.root.json", tufverify.ReasonMissing},
		{"timestamp.json", nil}, {"5.timestamp.json", tufverify.ReasonUnnamed},
		{"5.snapshot.json", nil}, {"4.snapshot.json", tufverify.ReasonOlderVersion}, {"6.snapshot.json", tufverify.ReasonMissing},
		{"snapshot.json", tufverify.ReasonMissing}, {"5.targets.json", nil}, {"4.targets.json", tufverify.ReasonOlderVersion},
		{"1.other.json", tufverify.ReasonUnnamed},
	} {
		f, ok := tufverify.ParseFile(c.name)
		if !ok || f.String() != c.name {
			t.Errorf("%s reads as %v", c.name, f)
		}
		_, refusal := b.repo.Current(at(0), f)
		b.want(c.want, refusal)
	}
	for _, name := range []string{"", ".json", "root", "01.root.json", "0.root.json", "1..json", "a%2fb.json", "%zz.json",
		"99999999999999999999.root.json"} {
		if f, ok := tufverify.ParseFile(name); ok {
			t.Errorf("%q reads as %v", name, f)
		}
	}
}

// delegated makes targets that delegate in a stated order.
func delegated(k *keys.Key, to ...metadata.DelegatedRole) func(m *metadata.TargetsType) {
	return func(m *metadata.TargetsType) {
		id, _ := k.Public.ID()
		m.Delegations = &metadata.Delegations{Keys: map[string]*metadata.Key{id: k.Public}}
		for _, d := range to {
			d.KeyIDs, d.Threshold = []string{id}, 1
			m.Delegations.Roles = append(m.Delegations.Roles, d)
		}
	}
}

func file(path string) func(m *metadata.TargetsType) {
	return func(m *metadata.TargetsType) {
		t := metadata.TargetFile()
		sum := sha256.Sum256([]byte(path))
		t.Length, t.Hashes["sha256"] = 1, sum[:]
		m.Targets[path] = t
	}
}

func prefixOf(path string) string {
	sum := sha256.Sum256([]byte(path))
	return hex.EncodeToString(sum[:1])
}

func TestDelegations(t *testing.T) {
	for _, c := range []struct {
		name  string
		first metadata.DelegatedRole
		path  string
		by    string // who vouches, "" for nobody
	}{
		{"the first that matches", metadata.DelegatedRole{Name: "a", Paths: []string{"app/*"}}, "app/x", "a"},
		{"one that does not match is passed over", metadata.DelegatedRole{Name: "a", Paths: []string{"lib/*"}}, "app/x", "b"},
		{"one that matches and lacks it is passed over", metadata.DelegatedRole{Name: "a", Paths: []string{"app/*"}}, "app/y", "b"},
		{"unless it is terminating", metadata.DelegatedRole{Name: "a", Paths: []string{"app/*"}, Terminating: true}, "app/y", ""},
		{"by the hash of its path, in hexadecimal", metadata.DelegatedRole{Name: "a",
			PathHashPrefixes: []string{prefixOf("app/x")}}, "app/x", "a"},
		{"not by another hash", metadata.DelegatedRole{Name: "a", PathHashPrefixes: []string{"zz"}}, "app/x", "b"},
		{"a star does not cross a folder", metadata.DelegatedRole{Name: "a", Paths: []string{"*"}}, "app/x", "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			k := b.keys["extra"][0]
			b.want(nil, b.repo.UpdateTimestamp(at(0), b.timestamp(1, day, 1, nil)))
			b.want(nil, b.repo.UpdateSnapshot(at(0), b.snapshot(1, day, map[string]int64{"targets": 1, "a": 1, "b": 1})))
			b.want(nil, b.repo.UpdateTargets(at(0), "targets", b.targets(1, day, delegated(k, c.first,
				metadata.DelegatedRole{Name: "b", Paths: []string{"app/*"}}))))
			for range 4 {
				found, need, refusal := b.repo.Find(at(0), c.path)
				switch {
				case need == "a":
					b.want(nil, b.repo.UpdateTargets(at(0), "a", b.targets(1, day, file("app/x"), k)))
				case need == "b":
					b.want(nil, b.repo.UpdateTargets(at(0), "b", b.targets(1, day, func(m *metadata.TargetsType) {
						file("app/x")(m)
						file("app/y")(m)
					}, k)))
				case c.by == "":
					b.want(tufverify.ReasonUnnamed, refusal)
					return
				case found != nil && found.Role == c.by:
					return
				default:
					t.Fatalf("%v %q %v", found, need, refusal)
				}
			}
			t.Error("it does not end")
		})
	}
	b := newBench(t)
	b.want(nil, b.repo.UpdateTimestamp(at(0), b.timestamp(1, day, 1, nil)))
	b.want(nil, b.repo.UpdateSnapshot(at(0), b.snapshot(1, day, map[string]int64{"targets": 1, "a": 1})))
	loop := delegated(b.keys["extra"][0], metadata.DelegatedRole{Name: "a", Paths: []string{"*"}})
	b.want(nil, b.repo.UpdateTargets(at(0), "targets", b.targets(1, day, loop)))
	b.want(nil, b.repo.UpdateTargets(at(0), "a", b.targets(1, day, loop, b.keys["extra"][0])))
	_, _, refusal := b.repo.Find(at(0), "x") // a delegates to itself
	b.want(tufverify.ReasonUnnamed, refusal)
}

func TestBodies(t *testing.T) {
	whole := bytes.Repeat([]byte("0123456789abcdef"), 10_000)
	sum := sha256.Sum256(whole)
	pieces := func(size int) (c tufverify.Custom) {
		c.Piece = int64(size)
		for at := 0; at < len(whole); at += size {
			s := sha256.Sum256(whole[at:min(at+size, len(whole))])
			c.Pieces = append(c.Pieces, hex.EncodeToString(s[:]))
		}
		return c
	}
	for _, c := range []struct {
		name   string
		custom tufverify.Custom
		flip   int // byte that is wrong, -1 for none
		most   int // bytes that may be passed on then
		spoilt bool
	}{
		{"pieces, right", pieces(4096), -1, 0, false},
		{"pieces, wrong in the third", pieces(4096), 9000, 8192, false},
		{"no pieces, right", tufverify.Custom{}, -1, 0, false},
		{"no pieces, wrong", tufverify.Custom{}, 9000, len(whole) - 1, true},
		{"no pieces, wrong at the end", tufverify.Custom{}, len(whole) - 1, len(whole) - 1, true},
		{"pieces that are no hashes of it count for none", tufverify.Custom{Piece: 4096, Pieces: []string{"x"}}, -1, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			body := b.repo.Open(&tufverify.Target{Path: "p", Length: int64(len(whole)), Sum: sum, Custom: c.custom})
			sent := bytes.Clone(whole)
			if c.flip >= 0 {
				sent[c.flip] ^= 1
			}
			var got []byte
			pass := func(p []byte) error { got = append(got, p...); return nil }
			var err error
			for at := 0; at < len(sent) && err == nil; at += 1000 {
				err = body.Write(sent[at:min(at+1000, len(sent))], pass)
			}
			if c.flip < 0 {
				if err != nil || !body.Done() || !bytes.Equal(got, whole) {
					t.Errorf("%v, %d bytes", err, len(got))
				}
				return
			}
			if err == nil || len(got) > c.most || body.Corrupt() != c.spoilt || !bytes.Equal(got, sent[:len(got)]) {
				t.Fatalf("%v, %d bytes passed on, spoilt %v", err, len(got), body.Corrupt())
			}
			if c.spoilt {
				return
			}
			body.Resume() // another mirror goes on
			if err := body.Write(whole[body.NextOffset():], pass); err != nil || !bytes.Equal(got, whole) {
				t.Errorf("%v, %d bytes", err, len(got))
			}
		})
	}
	b := newBench(t)
	// A mirror that gives the wrong start of a piece and breaks off spoils what another adds to it; from then on each
	// piece is one mirror's alone, and the good one gets through.
	spliced := b.repo.Open(&tufverify.Target{Path: "p", Length: int64(len(whole)), Sum: sum, Custom: pieces(4096)})
	var got []byte
	pass := func(p []byte) error { got = append(got, p...); return nil }
	for try := range 2 {
		_ = spliced.Write([]byte("wrong"), pass)
		spliced.Resume()
		if err := spliced.Write(whole[spliced.NextOffset():], pass); (err == nil) != (try == 1) {
			t.Errorf("try %d: %v", try, err)
		}
	}
	if !bytes.Equal(got, whole) || !spliced.Done() {
		t.Errorf("%d bytes", len(got))
	}
	body := b.repo.Open(&tufverify.Target{Length: int64(len(whole)), Sum: sum})
	if err := body.Write(append(whole, 'x'), func([]byte) error { return nil }); err == nil || !body.Corrupt() {
		t.Error("endless data are not refused")
	}
}

func TestReports(t *testing.T) {
	b := newBench(t)
	k, other := b.keys["extra"][0], b.keys["targets"][0]
	fleet := tufverify.NewReportVerifier(b.host, map[string]crypto.PublicKey{"s": k.Private.Public(), "u": other.Private.Public()})
	build := func(server string, counter int64, by *keys.Key) []byte {
		text, err := tufverify.SignReport(tufverify.Report{Server: server, Counter: counter, At: start}, by.Private)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	for _, c := range []struct {
		name, as string
		text     []byte
		want     any
	}{
		{"the first", "s", build("s", 3, k), nil},
		{"the same again", "s", build("s", 3, k), tufverify.ReasonAlreadyHeld},
		{"an older", "s", build("s", 2, k), tufverify.ReasonOlderVersion},
		{"another's", "u", build("s", 4, k), tufverify.ReasonOtherServer},
		{"signed by another", "s", build("s", 4, other), tufverify.ReasonBadSignature},
		{"a stranger's", "x", build("x", 1, k), tufverify.ReasonUnknownKey},
		{"without a number", "s", build("s", 0, k), tufverify.ReasonMalformed},
		{"no report", "s", []byte(`{"signed":{},"signatures":[]}`), tufverify.ReasonMalformed},
		{"a member too many", "s", bytes.Replace(build("s", 5, k), []byte(`"counter"`), []byte(`"x":1,"counter"`), 1), tufverify.ReasonMalformed},
		{"too long", "s", bytes.Repeat([]byte(" "), tufverify.MaxReportSize+1), tufverify.ReasonTooLarge},
		{"the next", "s", build("s", 4, k), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, refusal := fleet.VerifyReport(c.as, c.text)
			(&bench{TB: t}).want(c.want, refusal)
		})
	}
	b.host.fails = true
	_, refusal := fleet.VerifyReport("s", build("s", 9, k))
	b.want(tufverify.ReasonNotDurable, refusal)
}

func TestPartialVerification(t *testing.T) {
	b := newBench(t)
	root, err := (&metadata.Metadata[metadata.RootType]{}).FromBytes(b.root(1, day))
	if err != nil {
		t.Fatal(err)
	}
	forServer := func(server string) func(m *metadata.TargetsType) {
		return func(m *metadata.TargetsType) {
			file("app")(m)
			text, _ := json.Marshal(tufverify.Custom{ECUs: map[string]string{server: "large"}})
			raw := json.RawMessage(text)
			m.Targets["app"].Custom = &raw
		}
	}
	for _, c := range []struct {
		name string
		text []byte
		want any
	}{
		{"its own", b.targets(3, day, forServer("s")), nil},
		{"older", b.targets(2, day, forServer("s")), tufverify.ReasonOlderVersion},
		{"another's", b.targets(4, day, forServer("u")), tufverify.ReasonOtherServer},
		{"expired", b.targets(4, 0, forServer("s")), tufverify.ReasonExpired},
		{"foreign", b.targets(4, day, forServer("s"), b.keys["extra"]...), tufverify.ReasonUnknownKey},
		{"none", b.targets(4, day, nil), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, refusal := tufverify.VerifyPartial(at(0), b.host, "d", root, c.text, "s")
			(&bench{TB: t}).want(c.want, refusal)
		})
	}
}

// TestNeverBackUnderAnyOrder: whatever comes in whatever order, with clocks that jump and restarts, no file is
// passed on that is older than one passed on before, or that had expired at any time seen so far.
func TestNeverBackUnderAnyOrder(t *testing.T) {
	b := newBench(t)
	pinned := b.root(1, 365*day)
	const most = 5
	var stamps, snaps, targets [most + 1][]byte
	ends := map[string]time.Duration{}
	for v := int64(1); v <= most; v++ {
		ends["timestamp"] = time.Duration(v) * time.Hour
		stamps[v] = b.timestamp(v, time.Duration(v)*time.Hour, v, nil)
		snaps[v] = b.snapshot(v, 2*time.Duration(v)*time.Hour, map[string]int64{"targets": v})
		targets[v] = b.targets(v, 3*time.Duration(v)*time.Hour, nil)
	}
	rapid.Check(t, func(t *rapid.T) {
		b.host = newMemory()
		b.open(pinned)
		given, latest := map[string]int64{}, tufverify.Tick(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now := at(time.Duration(rapid.IntRange(-60, 360).Draw(t, "minutes")) * time.Minute)
			v := rapid.IntRange(1, most).Draw(t, "version")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				_ = b.repo.UpdateTimestamp(now, stamps[v])
			case 1:
				_ = b.repo.UpdateSnapshot(now, snaps[v])
			case 2:
				_ = b.repo.UpdateTargets(now, "targets", targets[v])
			case 3:
				b.repo.AdvanceTime(now)
				b.open(pinned)
			default:
				b.repo.AdvanceTime(now)
			}
			latest = max(latest, now)
			for role, life := range map[string]int{"timestamp": 1, "snapshot": 2, "targets": 3} {
				f := tufverify.File{Role: role}
				if role != "timestamp" {
					f.Version = b.repo.Version(role)
				}
				text, refusal := b.repo.Current(now, f)
				if refusal != nil {
					continue
				}
				var m struct{ Signed struct{ Version int64 } }
				_ = json.Unmarshal(text, &m)
				is := m.Signed.Version
				if is < given[role] {
					t.Fatalf("%s %d after %d", role, is, given[role])
				}
				given[role] = is
				if end := at(time.Duration(is) * time.Duration(life) * time.Hour); latest >= end {
					t.Fatalf("%s %d was passed on past its end", role, is)
				}
			}
		}
	})
}

// TestLibrary holds what the module relies on in the public library.
func TestLibrary(t *testing.T) {
	b := newBench(t)
	text := b.timestamp(1, day, 1, nil)
	spaced := bytes.Replace(text, []byte(`"signed":{`), []byte("\"signed\" : {\n "), 1)
	b.want(nil, b.repo.UpdateTimestamp(at(0), spaced)) // signatures are over the canonical form
	twice := bytes.Replace(b.timestamp(2, day, 2, nil), []byte(`"signatures":[`), []byte(`"signatures":[{"keyid":"`+
		b.keys["timestamp"][0].ID+`","sig":"00"},`), 1)
	b.want(tufverify.ReasonMalformed, b.repo.UpdateTimestamp(at(0), twice)) // one key can't sign twice
	if _, err := tufverify.New("r", newMemory(), at(0), []byte(strings.Replace(string(b.root(1, day)), "root", "boot", 1))); err == nil {
		t.Error("a root of another type is pinned")
	}
	var refusal *tufverify.RefusalError
	_, err := tufverify.New("r", newMemory(), at(0), b.timestamp(1, day, 1, nil))
	if !errors.As(err, &refusal) || refusal.Reason != tufverify.ReasonMalformed {
		t.Errorf("%v", err)
	}
}

func FuzzMetadata(f *testing.F) {
	b := newBench(f)
	f.Add(b.timestamp(1, day, 1, nil))
	f.Add(b.root(2, day))
	f.Add(b.targets(1, day, file("x")))
	f.Add([]byte(`{"signed":{"_type":"targets","delegations":{"keys":{"a":null},"roles":[{}]}},"signatures":null}`))
	pinned := b.root(1, day)
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := tufverify.New("r", newMemory(), at(0), pinned)
		if err != nil {
			t.Fatal(err)
		}
		for _, refusal := range []*tufverify.RefusalError{r.UpdateRoot(at(0), data), r.UpdateTimestamp(at(0), data), r.UpdateSnapshot(at(0), data),
			r.UpdateTargets(at(0), "targets", data)} {
			if refusal == nil && !bytes.Contains(data, []byte(b.keys["root"][0].ID)) &&
				!bytes.Contains(data, []byte(b.keys["timestamp"][0].ID)) {
				t.Error("it is believed without a key's signature")
			}
		}
		_, _ = tufverify.NewReportVerifier(newMemory(), map[string]crypto.PublicKey{"s": b.keys["extra"][0].Private.Public()}).VerifyReport("s", data)
	})
}

func FuzzParseFile(f *testing.F) {
	for _, s := range []string{"root.json", "1.root.json", "7.a%20b.json", "..json"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, name string) {
		is, ok := tufverify.ParseFile(name)
		if !ok {
			return
		}
		if again, ok := tufverify.ParseFile(is.String()); !ok || again != is {
			t.Errorf("%q is %v, which is %q", name, is, is.String())
		}
	})
}

func TestWalk(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(files map[string][]byte, b *bench)
		want   any // a reason, "not there", or nil
	}{
		{"whole", func(map[string][]byte, *bench) {}, nil},
		{"no timestamp", func(f map[string][]byte, _ *bench) { delete(f, "timestamp.json") }, "is not there"},
		{"no delegated role", func(f map[string][]byte, _ *bench) { delete(f, "1.a.json") }, "is not there"},
		{"a root that does not follow", func(f map[string][]byte, b *bench) { f["3.root.json"] = b.root(5, day) }, tufverify.ReasonVersionMismatch},
		{"targets of another", func(f map[string][]byte, b *bench) {
			f["1.targets.json"] = b.targets(1, day, nil, b.keys["extra"]...)
		}, tufverify.ReasonUnknownKey},
		{"the newest root has expired", func(f map[string][]byte, b *bench) { f["3.root.json"] = b.root(3, 0) }, tufverify.ReasonExpired},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			k := b.keys["extra"][0]
			files := map[string][]byte{"2.root.json": b.root(2, 365*day), "timestamp.json": b.timestamp(1, day, 1, nil),
				"1.snapshot.json": b.snapshot(1, day, map[string]int64{"targets": 1, "a": 1}),
				"1.targets.json":  b.targets(1, day, delegated(k, metadata.DelegatedRole{Name: "a", Paths: []string{"app/*"}})),
				"1.a.json":        b.targets(1, day, file("app/x"), k)}
			c.change(files, b)
			get := func(f tufverify.File) ([]byte, error) { return files[f.String()], nil }
			err := b.repo.Refresh(at(0), get)
			if err == nil {
				_, err = b.repo.LookUp(at(0), "app/x", get)
			}
			var refusal *tufverify.RefusalError
			switch want := c.want.(type) {
			case nil:
				if err != nil || b.repo.Version("root") != 2 {
					t.Errorf("root %d, %v", b.repo.Version("root"), err)
				}
			case string:
				if err == nil || !strings.Contains(err.Error(), want) {
					t.Errorf("%v", err)
				}
			case tufverify.Reason:
				if !errors.As(err, &refusal) || refusal.Reason != want {
					t.Errorf("%v", err)
				}
			}
			lost := errors.New("lost")
			if err := b.repo.Refresh(at(0), func(tufverify.File) ([]byte, error) { return nil, lost }); !errors.Is(err, lost) {
				t.Errorf("%v", err)
			}
		})
	}
}
