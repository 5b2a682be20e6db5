package overload

import (
	"testing"
	"time"
)

// TestShares: the shares are those that fronts have had so far.
func TestShares(t *testing.T) {
	for places, want := range map[int]Front{
		0:    {Owed: 64, Keep: 2 * time.Second, Brief: time.Second / 4},
		1:    {Places: 1, Commands: 4, Owed: 64, Keep: 2 * time.Second, Brief: time.Second / 4},
		8:    {Places: 7, Spare: 1, Idle: 1, Commands: 28, Owed: 64, Keep: 2 * time.Second, Brief: time.Second / 4},
		1000: {Places: 875, Spare: 125, Idle: 218, Commands: 3500, Owed: 64, Keep: 2 * time.Second, Brief: time.Second / 4},
	} {
		if got := Shares(places); got != want {
			t.Errorf("%d places: %+v, want %+v", places, got, want)
		}
	}
}
