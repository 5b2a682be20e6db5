package devicehealth_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"silvercove/internal/devicehealth"
	"silvercove/internal/fleet"
	"silvercove/internal/migration"
	"silvercove/internal/tick"
)

const second = tick.Second

// The mains of a whole zone goes off on four nearly empty vans. Their readings bear it out, so all count
// as tired, and the floor says who serves what on.
func TestAllUnitsOfOneZoneTiredWithinTwoSeconds(t *testing.T) {
	var vans []*edge
	for i := range 4 {
		e := newEdge(t, uint64(i+1), fmt.Sprintf("0 charge 0.05%d\n0 load 0.9\n0 mains on\n20 mains off", 5+i), nil)
		e.unit.Holds(0, 3, 3*64<<10)
		vans = append(vans, e)
	}
	b := devicehealth.NewBeliever(0, nil)
	var picture strings.Builder
	fmt.Fprintf(&picture, "%4s  %-9s %-9s %-9s %-9s all tired\n", "s", "north-1", "north-2", "north-3", "north-4")
	first, last := 0, 0
	var was string
	reports := map[string]devicehealth.Report{}
	for s := 1; s <= 40; s++ {
		line := ""
		for i, e := range vans {
			name := fmt.Sprintf("north-%d", i+1)
			own := e.step(t)
			r := b.Report(tick.Of(e.van.Now), name, "north", own)
			if r.State != own.State {
				t.Errorf("%d s: %s says %s %v, but %s counts: %v", s, name, own.State, own.Reasons, r.State, r.Reasons[0])
			}
			reports[name] = r
			line += fmt.Sprintf("%-9s ", r.State)
			if r.Tired() && first == 0 {
				first = s
			}
		}
		all := devicehealth.AllTired(reports)
		if all && last == 0 {
			last = s
		}
		if line += fmt.Sprint(all); line != was {
			fmt.Fprintf(&picture, "%4d  %s\n", s, line)
		}
		was = line
	}
	if first == 0 || last == 0 || last-first > 2 {
		t.Errorf("the first was tired at %d s, all at %d s", first, last)
	}
	var instances []devicehealth.Served
	for i := range 12 {
		instances = append(instances, devicehealth.Served{Name: fmt.Sprintf("camera-%02d", i+1), Unit: fmt.Sprintf("north-%d", i%4+1),
			Weight: float64(1 + 10*(i%5))})
	}
	fmt.Fprintf(&picture, "\nthe floor at 40 s\n")
	for _, i := range devicehealth.Floor(reports, instances) {
		fmt.Fprintf(&picture, "%-10s importance %2.0f  %s\n", i.Name, i.Weight, map[bool]string{true: i.Unit, false: "not served"}[i.Unit != ""])
	}
	expect(t, "all units of one zone tired within 2 s", picture.String())
}

func TestTheFloorServesTheMostImportantAndAtLeastOneAUnit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := map[string]devicehealth.Report{}
		places := 0
		for i := range rapid.IntRange(1, 5).Draw(t, "units") {
			r := devicehealth.Report{V: 1, State: devicehealth.HandsOn, Danger: rapid.Float64Range(0, 1).Draw(t, "danger"),
				Serves: rapid.IntRange(1, 4).Draw(t, "serves")}
			places += r.Serves
			reports[fmt.Sprint("u", i)] = r
		}
		var all []devicehealth.Served
		for i := range rapid.IntRange(0, 20).Draw(t, "instances") {
			all = append(all, devicehealth.Served{Name: fmt.Sprint("i", i), Unit: fmt.Sprint("u", rapid.IntRange(0, 6).Draw(t, "at")),
				Weight: float64(rapid.IntRange(1, 100).Draw(t, "weight"))})
		}
		ranked := devicehealth.Floor(reports, all)
		if len(ranked) != len(all) {
			t.Fatalf("%d of %d are ranked", len(ranked), len(all))
		}
		at, least := map[string]int{}, 101.0
		for i, s := range ranked {
			if (s.Unit != "") != (i < places) {
				t.Fatalf("place %d of %d: %+v", i, places, s)
			}
			if s.Weight > least {
				t.Fatalf("%+v stands after one of importance %v", s, least)
			}
			least = s.Weight
			if at[s.Unit]++; s.Unit != "" && at[s.Unit] > reports[s.Unit].Serves {
				t.Fatalf("%s has %d", s.Unit, at[s.Unit])
			}
		}
	})
}

func claim(state string) devicehealth.Report {
	return devicehealth.Report{V: 1, State: state, Share: 1, Room: 4, Serves: 1, Empty: devicehealth.Never, Hot: devicehealth.Never,
		Need: 60 * second, Reasons: []string{"so it says"}}
}

func TestAClaimAloneNeverShedsAZone(t *testing.T) {
	for n := 1; n <= 8; n++ {
		b := devicehealth.NewBeliever(0, nil)
		for i := range n {
			b.Report(0, fmt.Sprint("u", i), "north", claim(devicehealth.Accepts))
		}
		tired := func() (all int) {
			for i := range n {
				if r, _ := b.Counts(0, fmt.Sprint("u", i)); r.Tired() {
					all++
				} else if r.State == devicehealth.Keeps && !strings.Contains(r.Reasons[0], "without readings or outcomes") {
					t.Errorf("%v", r.Reasons)
				}
			}
			return all
		}
		for i := range n {
			b.Report(second, fmt.Sprint("u", i), "north", claim(devicehealth.Leaves))
		}
		if got := tired(); got != n/2 {
			t.Errorf("%d of %d units are tired by claim alone", got, n)
		}
		// Taking turns is no way round it.
		for i := range n {
			b.Report(2*second, fmt.Sprint("u", i), "north", claim(devicehealth.Accepts))
		}
		for i := range n {
			b.Report(3*second, fmt.Sprint("u", n-1-i), "north", claim(devicehealth.HandsOn))
		}
		if got := tired(); got != 0 {
			t.Errorf("%d of %d more are, in turns", got, n)
		}
		for i := range n {
			b.Report(700*second, fmt.Sprint("u", i), "north", claim(devicehealth.Accepts))
			b.Report(1400*second, fmt.Sprint("u", i), "north", claim(devicehealth.HandsOn))
		}
	}
}

func TestReadingsAndOutcomesBearAClaimOut(t *testing.T) {
	f := func(v float64) *float64 { return &v }
	hot := claim(devicehealth.HandsOn)
	hot.Hot, hot.Shown = 100*second, devicehealth.Shown{Temp: f(79), Limit: f(85)}
	far := hot
	far.Shown.Temp = f(50)
	empty := claim(devicehealth.HandsOn)
	empty.Shown = devicehealth.Shown{Charge: f(0.01), Full: f(216000), Draw: f(30)}
	ends := claim(devicehealth.Leaves)
	ends.Ends = true
	for _, c := range []struct {
		name   string
		before *devicehealth.Report
		r      devicehealth.Report
		bad    int // outcomes
		want   string
	}{
		{"hot", nil, hot, 0, devicehealth.HandsOn},
		{"hot, far from its limit", nil, far, 0, devicehealth.Keeps},
		{"empty", nil, empty, 0, devicehealth.HandsOn},
		{"empty by a jump", &devicehealth.Report{V: 1, State: devicehealth.Accepts, Shown: devicehealth.Shown{Charge: f(0.9)}}, empty, 0, devicehealth.Keeps},
		{"told to end", nil, ends, 0, devicehealth.Leaves},
		{"by claim alone", nil, claim(devicehealth.HandsOn), 0, devicehealth.Keeps},
		{"by claim, and it fails", nil, claim(devicehealth.HandsOn), 8, devicehealth.HandsOn},
	} {
		b := devicehealth.NewBeliever(0, nil)
		if c.before == nil {
			c.before = &devicehealth.Report{V: 1, State: devicehealth.Accepts}
		}
		b.Report(0, "u", "north", *c.before)
		for range c.bad {
			b.Outcome(second, "u", false)
		}
		if r := b.Report(2*second, "u", "north", c.r); r.State != c.want {
			t.Errorf("%s: %s, %v", c.name, r.State, r.Reasons)
		}
	}
}

// A unit that says it is well and fails is not believed; one in a zone where all fail is.
func TestAUnitThatLies(t *testing.T) {
	b := devicehealth.NewBeliever(0, nil)
	var picture strings.Builder
	fmt.Fprintf(&picture, "%6s  %-9s %s\n", "s", "counts as", "why")
	was, since := "", 0
	chance := rand.New(rand.NewPCG(5, 5))
	for s := 0; s < 2400; s++ {
		now := tick.Tick(s) * second
		for i := range 4 {
			name := fmt.Sprint("u", i)
			r := b.Report(now, name, "north", claim(devicehealth.Accepts))
			if i > 0 && r.State != devicehealth.Accepts {
				t.Fatalf("%d s: %s counts as %s: %v", s, name, r.State, r.Reasons)
			}
			if i == 0 && r.State != was {
				fmt.Fprintf(&picture, "%6d  %-9s %s\n", s, r.State, r.Reasons[0])
				if was, since = r.State, s; s > 300 && since == 0 {
					since = s
				}
			}
			for range 2 {
				lies := i == 0 && s >= 300 && s < 900
				share := 0.02
				if lies {
					share = 0.8
				}
				if i == 0 && r.Tired() {
					continue // it has no instances
				}
				b.Outcome(now, name, chance.Float64() >= share)
			}
		}
	}
	expect(t, "a unit that lies, at the keeper", picture.String())

	b = devicehealth.NewBeliever(0, nil)
	for s := range 600 {
		for i := range 4 {
			name := fmt.Sprint("u", i)
			if r := b.Report(tick.Tick(s)*second, name, "north", claim(devicehealth.Accepts)); s > 30 && r.State != devicehealth.Accepts {
				t.Fatalf("%d s: where all fail, %s is not believed: %v", s, name, r.Reasons)
			}
			b.Outcome(tick.Tick(s)*second, name, s < 30 || chance.Float64() >= 0.5)
		}
	}
}

func TestReadingsThatSpeakAgainstAUnit(t *testing.T) {
	b := devicehealth.NewBeliever(0, nil)
	v := func(v float64) *float64 { return &v }
	r := claim(devicehealth.Accepts)
	r.Shown = devicehealth.Shown{Charge: v(0.005), Full: v(216000), Draw: v(30)}
	if got := b.Report(0, "u", "north", r); got.State != devicehealth.Keeps || got.Share != 0 || got.Room != 0 {
		t.Errorf("%+v", got)
	}
	r.Shown = devicehealth.Shown{Temp: v(90), Limit: v(85)}
	if got := b.Report(0, "u2", "north", r); got.State != devicehealth.Keeps {
		t.Errorf("%+v", got)
	}
}

// Chance: 100 good units with 5% of failures, beside others with as many.
func TestFalseAlarmsOfClaims(t *testing.T) {
	alarms := 0
	for seed := range uint64(100) {
		chance := rand.New(rand.NewPCG(seed, 1))
		b := devicehealth.NewBeliever(0, nil)
		b.Report(0, "a", "north", claim(devicehealth.Accepts))
		b.Report(0, "b", "north", claim(devicehealth.Accepts))
		for range 2000 {
			b.Outcome(0, "a", chance.Float64() >= 0.05)
			b.Outcome(0, "b", chance.Float64() >= 0.05)
			if r, _ := b.Counts(0, "a"); r.State != devicehealth.Accepts {
				alarms++
				break
			}
		}
	}
	if alarms > 1 {
		t.Errorf("%d of 100 units with the usual failures are not believed; the test's level is 1%%", alarms)
	}
}

func TestUnitsComeAndGo(t *testing.T) {
	b := devicehealth.NewBeliever(0, nil)
	b.Outcome(0, "nobody", false)
	if _, ok := b.Counts(0, "nobody"); ok {
		t.Error("an unknown unit counts")
	}
	for i := range 6000 {
		name := fmt.Sprint("u", i)
		b.Report(0, name, fmt.Sprint("zone", i%7), claim(devicehealth.Accepts))
		b.Report(0, name, fmt.Sprint("zone", i%5), claim(devicehealth.Accepts))
		if i >= 100 {
			b.Gone(0, fmt.Sprint("u", i-100))
		}
	}
	for i := range 5000 {
		b.Report(0, fmt.Sprint("v", i), "north", claim(devicehealth.Accepts))
	}
	if r := b.Report(0, "one more", "north", claim(devicehealth.Accepts)); r.State != devicehealth.Keeps {
		t.Errorf("beyond the bound: %+v", r)
	}
}

func TestReportsOutliveVersions(t *testing.T) {
	text := `{"v":7,"state":"keeps","share":0,"danger":0.5,"room":0,"serves":2,"reasons":["x"],"empty":9,"hot":10,` +
		`"offered":8,"need":600000,"shown":{"charge":0.4},"wind":{"from":"west"},"tide":[1,2]}`
	var r devicehealth.Report
	if err := json.Unmarshal([]byte(text), &r); err != nil {
		t.Fatal(err)
	}
	b, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	var got, want map[string]any
	_ = json.Unmarshal(b, &got)
	_ = json.Unmarshal([]byte(text), &want)
	if !reflect.DeepEqual(got, want) {
		t.Errorf("is %s, was %s", b, text)
	}
	for _, bad := range []string{`{}`, `{"v":1,"state":"great"}`, `{"v":1,"state":"keeps","share":2}`, `[`, `7`,
		`{"v":1,"state":"keeps","room":-1}`, `{"v":1,"state":"keeps","danger":-0.1}`} {
		if err := json.Unmarshal([]byte(bad), &r); err == nil {
			t.Errorf("%s is read", bad)
		}
	}
}

func FuzzReport(f *testing.F) {
	f.Add([]byte(`{"v":1,"state":"accepts","share":1,"danger":0,"more":1}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var r, again devicehealth.Report
		if json.Unmarshal(b, &r) != nil {
			return
		}
		out, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(out, &again); err != nil {
			t.Fatalf("%s: %v", out, err)
		}
	})
}

func TestWordsOfOthers(t *testing.T) {
	for _, c := range []struct {
		state string
		u     migration.NodeStatus
	}{
		{devicehealth.Accepts, migration.NodeStatus{Accepting: true}},
		{devicehealth.Trickle, migration.NodeStatus{Accepting: true, Limited: true}},
		{devicehealth.Keeps, migration.NodeStatus{}},
		{devicehealth.HandsOn, migration.NodeStatus{Evacuating: true}},
		{devicehealth.Leaves, migration.NodeStatus{Evacuating: true, ShuttingDown: true}},
	} {
		r := devicehealth.Report{V: 1, State: c.state, Danger: 0.25, Room: 3}
		c.u.Name, c.u.Risk, c.u.FreeSlots = "u", 0.25, 3
		u := migration.NodeStatus{Name: "u", Accepting: true, Limited: true, Evacuating: true, ShuttingDown: true} // as it was before
		if r.Fill(&u); u != c.u {
			t.Errorf("%s: %+v", c.state, u)
		}
	}
}

func TestDefaultsAreTheFiles(t *testing.T) {
	f, err := fleet.Read("testdata/edge.conf")
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range devicehealth.Defaults() {
		if f.Set["fleet."+name] != want {
			t.Errorf("fleet.%s is %v in a file that does not say it, %v here", name, f.Set["fleet."+name], want)
		}
	}
}
