package tick

import (
	"testing"
	"time"
)

func TestTick_ConvertsDurations(t *testing.T) {
	for span, want := range map[time.Duration]Tick{time.Second: Second, 100 * time.Microsecond: 1, 199 * time.Microsecond: 1,
		99 * time.Microsecond: 0, -time.Second: -Second} {
		if got := FromDuration(span); got != want {
			t.Errorf("FromDuration(%v) is %d, want %d", span, got, want)
		}
	}
	if got := (3 * Second).Duration(); got != 3*time.Second {
		t.Errorf("three seconds in ticks are %v", got)
	}
}

func TestTick_ConvertsSeconds(t *testing.T) {
	for seconds, want := range map[float64]Tick{0: 0, 1.5: 15000, 0.00019: 1, -0.00019: -1, 3600: 36000000} {
		if got := FromSeconds(seconds); got != want {
			t.Errorf("FromSeconds(%v) is %d, want %d", seconds, got, want)
		}
	}
	if got := (15 * Second / 10).Seconds(); got != 1.5 {
		t.Errorf("1.5 s are %v", got)
	}
}
