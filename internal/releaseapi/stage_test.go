package releaseapi

import (
	"strings"
	"testing"
	"time"

	"silvercove/internal/dispatch"
)

func TestParseStage(t *testing.T) {
	const good = `{"Revision":7,"Wave":1,"State":"testing","MaxShare":0.3,"AgeMs":1500}`
	is, err := ParseStage([]byte(good))
	if err != nil || is != (dispatch.RolloutStage{Version: 7, Stage: 1, Phase: "testing", ExposureCap: 0.3, Age: 1500 * time.Millisecond}) {
		t.Errorf("got stage %+v, error %v", is, err)
	}
	for _, c := range []struct{ old, put string }{{`"Revision":7,`, ""}, {"testing", "asleep"}, {"0.3", "1.3"}, {"0.3", "-1"},
		{`"Wave":1`, `"Wave":-1`}, {"1500", "-5"}, {`"Revision":7`, `"Revision":70000`}, {"}", ""}} {
		if _, err := ParseStage([]byte(strings.Replace(good, c.old, c.put, 1))); err == nil {
			t.Errorf("accepted with %s in place of %s", c.put, c.old)
		}
	}
}

func FuzzParseStage(f *testing.F) {
	f.Add([]byte(`{"Revision":7,"Wave":1,"State":"testing","MaxShare":0.3,"AgeMs":1500}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if s, err := ParseStage(text); err == nil && !s.Valid() {
			t.Errorf("an invalid stage is accepted: %+v", s)
		}
	})
}
