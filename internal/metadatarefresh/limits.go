package metadatarefresh

import (
	"silvercove/internal/tufverify"
)

// Limits of a metadata proxy, beside those of tufverify.
const (
	MaxRootsPerRequest  = 64                    // roots of a chain that are fetched for one request
	MaxFilesPerRefresh  = 8                     // files in which a set must be complete, though new keys may begin it again
	SurveyConcurrency   = 4                     // mirrors asked at once in a survey
	MaxIdleMirrorConns  = 8                     // idle connections to a mirror
	MirrorIdleTimeout   = 10 * tufverify.Second // of such a connection
	ClientHeaderTimeout = 5 * tufverify.Second  // until the header of a client's request has come
	ClientBodyTimeout   = 30 * tufverify.Second // until its body has come
	ClientIdleTimeout   = 30 * tufverify.Second // of a client's idle connection
)
