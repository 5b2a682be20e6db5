package metadataproxy

import (
	"time"

	"silvercove/internal/tufverify"
)

func toDuration(t tufverify.Tick) time.Duration { return time.Duration(t) * (100 * time.Microsecond) }
