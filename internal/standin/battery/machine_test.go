package battery

import (
	"context"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestNew_RefusesInvalidScripts(t *testing.T) {
	for script, fault := range map[string]string{
		"x load 1":                         "line 1: seconds",
		"0 load 1\n-1 load 1":              "line 2: seconds",
		"NaN load 1":                       "seconds",
		"0 fly":                            `invalid event "fly"`,
		"0":                                "invalid event",
		"0 load much":                      "invalid event",
		"0 mains maybe":                    "invalid event",
		"0 miss ../x":                      "invalid event",
		"0 write /etc/x y":                 "invalid event",
		"0 lie age 3":                      "invalid event",
		"0 lie charge":                     "invalid event",
		"0 swing 1 0 3":                    "swing PART SECONDS COUNT",
		"0 swing 1 10 99999999":            "swing PART SECONDS COUNT",
		"# a word\n\n0 load 1\n1 load 2 3": "line 4",
	} {
		if _, err := New(1, script); err == nil || !strings.Contains(err.Error(), fault) {
			t.Errorf("%q: %v", script, err)
		}
	}
}

func TestMachine_SameSeedSameReadings(t *testing.T) {
	run := func(seed uint64) (all []map[string]string) {
		v, err := New(seed, "0 load 0.5\n10 swing 1 20 3\n50 mains on")
		if err != nil {
			t.Fatal(err)
		}
		for range 100 {
			v.Step(time.Second)
			all = append(all, v.VisibleFiles())
		}
		return all
	}
	if !reflect.DeepEqual(run(1), run(1)) {
		t.Error("the same seed gave different readings")
	}
	if reflect.DeepEqual(run(1), run(2)) {
		t.Error("different seeds gave the same readings")
	}
}

// A battery of 60 Wh must last two hours at 30 W, and an hour and a half at 40 W must fill the battery.
func TestMachine_BatteryDrainsAndCharges(t *testing.T) {
	v, err := New(1, "0 load 1\n7100 mains on")
	if err != nil {
		t.Fatal(err)
	}
	empty, full := 0, 0
	for s := 1; s < 20000; s++ {
		if v.Step(time.Second); v.Charge < 0.02 && empty == 0 {
			empty = s
		}
		if empty > 0 && v.Charge == 1 && full == 0 {
			full = s
		}
	}
	if empty < 7000 || empty > 7100 || full < 12400 || full > 12600 {
		t.Errorf("nearly empty at %d s, full at %d s", empty, full)
	}
	v, _ = New(1, "0 load 1\n0 charge 0.001")
	for range 30 {
		v.Step(time.Second)
	}
	if !v.Dead() || v.VisibleFiles() != nil {
		t.Errorf("a machine with an empty battery is not dead: %+v", v)
	}
}

func TestRun_RealTime(t *testing.T) {
	defer goleak.VerifyNone(t)
	v, err := New(1, "0 load 1\n600 miss thermal")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- v.Run(ctx, dir, time.Millisecond, 2000) }()
	there := false
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		_, err := os.Stat(filepath.Join(dir, "thermal/thermal_zone0/temp"))
		if there = there || err == nil; there && os.IsNotExist(err) {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the scripted fault did not take effect")
		}
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
