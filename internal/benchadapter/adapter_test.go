package benchadapter

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"math"
	"strings"
	"testing"

	"silvercove/balancer"
	"silvercove/internal/settings"
)

const settingsDocument = `{"balancers": 1, "discovery": "automatic", "new_key": {"deep": [1, {"x": null}]},
 "grades": [{"name": "a", "semantics": "read_like", "on_time": 1.0, "deadline": 4.0}],
 "family_info": {"most_shares": [0.17, 1.0], "counted_by": "per_lane"},
 "limits": {"send_cap": 3}, "rules": {"cold": 4.0, "cold_from": 0.3}}`

// The example records of the wire protocol's documentation, each under its name on the wire. LEFT has the instance
// number 5. All other records that have an instance number have the number 3.
const (
	submit  = "02 03000000 c4913a5d708d0e00 00 00000000 640ad2557c3bf091 cba145b6f34d2540 fa7e6abc7493883f 01"
	alarm   = "06 03000000 4d000000"
	left    = "05 05000000 192b6f0e346a0f00"
	catalog = "0d 00000000 02000000" +
		"074a1203 0000 00 0000 01 0000803f 0000000000000000 00002442" +
		"f211902c 0000 00 0000 01 0000c03f 6666666666661840 00002842"
	roster    = "01 03000000 02 29000000 00000000"
	finished  = "04 03000000 c4913a5d708d0e00 00 074a1203 01 8b6ce7fba9f1923f 01 01 00004040"
	promotion = "0a 03000000 2a00 02 00 01 01 0000003e d7a3703d0ad7d33f"
	digest    = "0b 03000000 2a00 00 b4000000 04000000 6abc74931804963f 000000000000f43f"
	disputed  = "0c 03000000 f211902c 00 3333333333330340"
)

func decodeHex(t *testing.T, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func startRecord(number uint32, settings string) string {
	b := []byte{0}
	b = binary.LittleEndian.AppendUint32(b, number)
	b = binary.LittleEndian.AppendUint64(b, 42)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(settings)))
	return hex.EncodeToString(append(b, settings...))
}

// frame encodes a batch at the example time of the wire protocol's documentation.
func frame(t *testing.T, records ...string) []byte {
	t.Helper()
	body := decodeHex(t, "508d976e12d32040")
	body = binary.LittleEndian.AppendUint32(body, uint32(len(records)))
	for _, r := range records {
		body = append(body, decodeHex(t, r)...)
	}
	return append(binary.LittleEndian.AppendUint32(nil, uint32(len(body))), body...)
}

func TestServe_EmptyBatch(t *testing.T) {
	var out bytes.Buffer
	if err := Serve(bytes.NewReader(decodeHex(t, "0c000000 508d976e12d32040 00000000")), &out); err != nil {
		t.Fatal(err)
	}
	if got := hex.EncodeToString(out.Bytes()); got != "0000000000000000" {
		t.Errorf("got reply %s, want an empty one", got)
	}
}

func TestServe_ExampleRecords(t *testing.T) {
	var out bytes.Buffer
	in := frame(t, startRecord(3, settingsDocument), catalog, roster, promotion, submit, alarm, digest, disputed, finished)
	in = append(in, frame(t, startRecord(5, settingsDocument), strings.Replace(left, "05 05", "05 03", 1), left)...)
	if err := Serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(out.Bytes(), decodeHex(t, "40 03000000 c4913a5d708d0e00")) {
		t.Errorf("no SEND in %x", out.Bytes())
	}
}

func TestInstance_WritesActionRecords(t *testing.T) {
	w := &writer{}
	i := &instance{number: 3, out: w, requests: map[uint64]*openRequest{}}
	request := &balancer.Request{ID: 0xe8d705d3a91c4}
	for _, c := range []struct {
		name string
		call func()
		want string
	}{
		{"SEND", func() {
			i.requests[request.ID] = &openRequest{request: request}
			i.StartAttempt(&balancer.Attempt{Request: request, Backend: &balancer.Backend{ID: 0x03124a07}}, 84900)
		}, "40 03000000 c4913a5d708d0e00 074a1203 7b14ae47e1fa2040"},
		{"WAKE_AT", func() { i.SetTimer(89122, 77) }, "44 03000000 89d2dee00bd32140 4d000000"},
		{"SAY_LOG", func() { i.Log("two servers known") }, "48 03000000 1100 74776f2073657276657273206b6e6f776e"},
		{"OPINION", func() { i.CastVote(42, 2, balancer.Promote) }, "4c 03000000 2a00 02 01"},
		{"MEMO_TO", func() { i.SendGossip(balancer.AllPeers, []byte("hi 7")) }, "47 03000000 ffffffff 0400 68692037"},
		{"ABORT_ATTEMPT", func() { i.CancelAttempt(&balancer.Attempt{Request: request, Number: 1}) }, "43 03000000 c4913a5d708d0e00 01"},
		{"TRACK", func() { i.WatchEndpoints(true) }, "4a 03000000 01"},
		{"PULL", i.FetchEndpoints, "4b 03000000"},
		{"SURRENDER", func() { i.Fail(request) }, "42 03000000 c4913a5d708d0e00"},
		{"BOUNCE", func() { i.Reject(request, balancer.Second) }, "41 03000000 c4913a5d708d0e00 000000000000f03f"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w.begin()
			c.call()
			if got := w.finish()[8:]; !bytes.Equal(got, decodeHex(t, c.want)) {
				t.Errorf("got %x, want %x", got, decodeHex(t, c.want))
			}
		})
	}
}

func TestHandleBatch_ResolvesListsInEventOrder(t *testing.T) {
	s := newServer()
	first := strings.Replace(catalog, "02000000", "01000000", 1)[:len("0d 00000000 02000000")+len("074a1203 0000 00 0000 01 0000803f 0000000000000000 00002442")]
	if _, err := s.handleBatch(frame(t, startRecord(3, settingsDocument), first, roster, catalog)[4:]); err != nil {
		t.Fatal(err)
	}
	if n := len(s.instances[3].backends); n != 1 {
		t.Errorf("got %d backends, want the one that the list had when the update referred to it", n)
	}
}

func TestToTick_RoundsDown(t *testing.T) {
	for seconds, want := range map[float64]balancer.Tick{1: 10000, 0.00019: 1, 0.0002: 2, 8.412249: 84122, 0.3: 3000} {
		if got := toTick(seconds); got != want {
			t.Errorf("%v s: got %d ticks, want %d", seconds, got, want)
		}
	}
}

func TestSettings_MapToStandardTerms(t *testing.T) {
	site, err := settings.Read([]byte(settingsDocument))
	if err != nil {
		t.Fatal(err)
	}
	class := site.Balancer.Classes[0]
	if class.Idempotency != balancer.Idempotent || class.LatencyObjective != 1 {
		t.Errorf("got class %+v", class)
	}
	if !site.Balancer.Rollout.ExposurePerClass || site.Balancer.Limits.MaxAttempts != 3 {
		t.Errorf("got settings %+v", site.Balancer)
	}
}

func TestServe_RejectsBadInput(t *testing.T) {
	whole := frame(t, startRecord(3, settingsDocument), submit)
	nan := binary.LittleEndian.AppendUint64([]byte{12, 0, 0, 0}, math.Float64bits(math.NaN()))
	for _, c := range []struct {
		name string
		in   []byte
		want string
	}{
		{"length cut short", []byte{1, 0}, "frame length"},
		{"frame cut short", whole[:len(whole)-3], "frame cut short"},
		{"false length", []byte{0xff, 0xff, 0xff, 0xff, 1}, "frame cut short"},
		{"unknown code", frame(t, "77"), "unknown code 119"},
		{"unknown instance", frame(t, alarm), "unknown instance 3"},
		{"count past the frame", frame(t, "0d 00000000 ffffffff"), "runs past"},
		{"record past the frame", frame(t, startRecord(3, settingsDocument), "02 03000000 c491"), "runs past"},
		{"more records than told", append(frame(t, startRecord(3, settingsDocument))[:12], 0, 0, 0, 0), "frame"},
		{"list never given", frame(t, startRecord(3, settingsDocument), roster), "never given"},
		{"list number", frame(t, "0d 10000000 00000000"), "list number 16"},
		{"class", frame(t, startRecord(3, settingsDocument), strings.Replace(submit, "0e00 00", "0e00 07", 1)), "class 7 of 1"},
		{"settings", frame(t, startRecord(3, "{")), "settings"},
		{"settings without classes", frame(t, startRecord(3, "{}")), "grades"},
		{"clock", append(nan, 0, 0, 0, 0), "no time"},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := Serve(bytes.NewReader(c.in), &bytes.Buffer{})
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want one line with %q", err, c.want)
			}
		})
	}
}

// TestHandleBatch_PanicBecomesFault checks a panic of the balancer. The reply must end with a FAULT record of the instance
// whose event was being handled. handleBatch must also return an error, which makes Serve end.
func TestHandleBatch_PanicBecomesFault(t *testing.T) {
	s := newServer()
	s.instances[3] = &instance{number: 3, out: &s.out} // the nil balancer panics at any event
	reply, err := s.handleBatch(frame(t, alarm)[4:])
	if err == nil || !strings.Contains(err.Error(), "the balancer failed") {
		t.Errorf("got error %v", err)
	}
	if !bytes.HasPrefix(reply[replyHeaderSize:], decodeHex(t, "49 03000000")) {
		t.Errorf("got reply %x, want a FAULT record of instance 3", reply)
	}
}
