package devicehealth_test

import (
	"encoding/json"
	"reflect"
	"testing"

	"silvercove/internal/devicehealth"
	"silvercove/internal/migration"
)

func TestReport_KeepsUnknownFields(t *testing.T) {
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
	for text, into := range map[string]*map[string]any{string(b): &got, text: &want} {
		if err := json.Unmarshal([]byte(text), into); err != nil {
			t.Fatal(err)
		}
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %s, want %s", b, text)
	}
	for _, bad := range []string{`{}`, `{"v":1,"state":"great"}`, `{"v":1,"state":"keeps","share":2}`, `[`, `7`,
		`{"v":1,"state":"keeps","room":-1}`, `{"v":1,"state":"keeps","danger":-0.1}`} {
		if err := json.Unmarshal([]byte(bad), &r); err == nil {
			t.Errorf("%s is accepted", bad)
		}
	}
}

func FuzzReport_JSON(f *testing.F) {
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

func TestReport_ApplyTo(t *testing.T) {
	for _, c := range []struct {
		state devicehealth.State
		want  migration.NodeStatus
	}{
		{devicehealth.StateAccepting, migration.NodeStatus{Accepting: true}},
		{devicehealth.StateLimited, migration.NodeStatus{Accepting: true, Limited: true}},
		{devicehealth.StateHolding, migration.NodeStatus{}},
		{devicehealth.StateEvacuating, migration.NodeStatus{Evacuating: true}},
		{devicehealth.StateShuttingDown, migration.NodeStatus{Evacuating: true, ShuttingDown: true}},
	} {
		r := devicehealth.Report{Version: 1, State: c.state, Risk: 0.25, SpareCapacity: 3}
		c.want.Name, c.want.Risk, c.want.FreeSlots = "u", 0.25, 3
		status := migration.NodeStatus{Name: "u", Accepting: true, Limited: true, Evacuating: true, ShuttingDown: true} // all flags are true before the call, so that ApplyTo must clear those that the state does not set
		if r.ApplyTo(&status); status != c.want {
			t.Errorf("%s: got %+v", c.state, status)
		}
	}
}
