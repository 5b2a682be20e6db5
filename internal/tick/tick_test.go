package tick

import (
	"testing"
	"time"
)

func TestTicksAndSpans(t *testing.T) {
	for span, want := range map[time.Duration]Tick{time.Second: Second, 100 * time.Microsecond: 1, 199 * time.Microsecond: 1,
		99 * time.Microsecond: 0, -time.Second: -Second} {
		if got := FromDuration(span); got != want {
			t.Errorf("%v: %d ticks, wanted %d", span, got, want)
		}
	}
	if got := (3 * Second).Duration(); got != 3*time.Second {
		t.Errorf("a span of %v", got)
	}
}
