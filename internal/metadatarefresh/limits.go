package metadatarefresh

import (
	"silvercove/internal/tufverify"
)

// Limits of a metadata proxy, in addition to those of package tufverify.
const (
	MaxRootsPerRequest  = 64                    // root files that are fetched for one request
	MaxFilesPerRefresh  = 8                     // files that one refresh may fetch, including those fetched again after new keys
	SurveyConcurrency   = 4                     // mirrors that a survey asks concurrently
	MaxIdleMirrorConns  = 8                     // idle connections per mirror
	MirrorIdleTimeout   = 10 * tufverify.Second // time until an idle connection to a mirror is closed
	ClientHeaderTimeout = 5 * tufverify.Second  // maximum time to receive the header of a client's request
	ClientBodyTimeout   = 30 * tufverify.Second // maximum time to receive a client's request with its body
	ClientIdleTimeout   = 30 * tufverify.Second // time until an idle connection of a client is closed
)
