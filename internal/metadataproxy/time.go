package metadataproxy

import (
	"time"

	"silvercove/internal/tufverify"
)

// tickLength is the duration of a tufverify.Tick.
const tickLength = 100 * time.Microsecond

func toDuration(t tufverify.Tick) time.Duration { return time.Duration(t) * tickLength }

func toTicks(d time.Duration) tufverify.Tick { return tufverify.Tick(d / tickLength) }
