package metadatarefresh

import (
	"silvercove/internal/tufverify"
)

// Limits of a metadata proxy, in addition to those of package tufverify.
const (
	MaxRootsPerRequest  = 64                    // maximum number of root files that are fetched for one request
	MaxFilesPerRefresh  = 8                     // maximum number of files that one refresh fetches, including files that are fetched again after a change of keys
	SurveyConcurrency   = 4                     // maximum number of mirrors that a survey asks concurrently
	MaxIdleMirrorConns  = 8                     // maximum number of idle connections per mirror
	MirrorIdleTimeout   = 10 * tufverify.Second // time until an idle connection to a mirror is closed
	ClientHeaderTimeout = 5 * tufverify.Second  // maximum time to receive the header of a client's request
	ClientBodyTimeout   = 30 * tufverify.Second // maximum time to receive a client's request with its body
	ClientIdleTimeout   = 30 * tufverify.Second // time until an idle connection of a client is closed
)
