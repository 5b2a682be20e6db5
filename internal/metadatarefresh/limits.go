package metadatarefresh

import (
	"silvercove/internal/tufverify"
)

// Limits of a front's exchanges, beside those of trust.
const (
	MaxRootsPerRequest  = 64                    // of a chain, for one request
	MaxRounds           = 8                     // in which a whole set must be had, though keys may change meanwhile
	SurveyWidth         = 4                     // mirrors asked at once after a start
	MaxIdleMirrorConns  = 8                     // connections to a mirror that are kept
	MirrorIdleTimeout   = 10 * tufverify.Second // for so long
	ClientHeaderTimeout = 5 * tufverify.Second  // a client's request may take to come
	ClientBodyTimeout   = 30 * tufverify.Second // and its report
	ClientIdleTimeout   = 30 * tufverify.Second // a client's connection may stand idle
)
