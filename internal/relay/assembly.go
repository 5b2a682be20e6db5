package relay

import (
	"os"
	"time"

	"github.com/rs/zerolog"

	"silvercove/internal/discovery"
	"silvercove/internal/dispatch"
	"silvercove/internal/downstream"
	"silvercove/internal/logging"
	"silvercove/internal/overload"
	"silvercove/internal/releaseapi"
	"silvercove/internal/settings"
	"silvercove/internal/transport"
	"silvercove/internal/upstream"
)

// The constants below divide the process's limits among the components.
const (
	// reservedSockets is the number of descriptors that are kept for the standard files, the poller, the listener, and the
	// connections to discovery and the platform.
	reservedSockets = 24
	// minSockets is the smallest number of descriptors that a configuration may allow a relay.
	minSockets = 3 * reservedSockets
	// backendSocketsDivisor sets the backends' part of the descriptors that are not reserved: one sixth. The rest are for
	// clients.
	backendSocketsDivisor = 6
	// bufferMemoryDivisor sets the part of the relay's memory that buffers of connections may use: one half.
	bufferMemoryDivisor = 2
	// minCallTimeout is the smallest value that two timeouts may have. One is the time that a client may take for one
	// message. The other is the time that the release platform, or discovery when a watch begins, may take for one
	// response.
	minCallTimeout = time.Second
	// maxKillDelay limits how far a long request deadline delays SIGKILL. SIGKILL follows SIGTERM after 0.7 s plus the
	// longest deadline of all request classes, or after 0.7 s plus maxKillDelay if that is shorter.
	maxKillDelay = 3 * time.Second
)

// relay holds the components of one relay. newRelay sets the fields, which do not change afterwards. Each component is
// safe for concurrent use.
type relay struct {
	log              zerolog.Logger // writes log lines with the component "relay"
	buffers          *transport.BufferBudget
	dispatcher       *dispatch.Dispatcher
	pool             *upstream.Pool
	server           *downstream.Server
	watcher          *discovery.Watcher
	releaseClient    *releaseapi.Client
	evidence         *evidenceSaver // nil if the configuration has no evidence settings
	discoveryAddress *transport.Address
	platformAddress  *transport.Address
	stopTimeout      time.Duration // time from SIGTERM until every request must be answered
}

// newRelay creates the components. It passes the endpoint list and the stage in the configuration to the dispatcher. It
// starts no goroutine.
func newRelay(config Config) *relay {
	root := zerolog.New(os.Stderr).With().Timestamp().Logger()
	r := &relay{
		log:              root.With().Str("component", "relay").Logger(),
		buffers:          transport.NewBufferBudget(config.memoryBytes / bufferMemoryDivisor),
		discoveryAddress: transport.NewAddress(config.discovery),
		platformAddress:  transport.NewAddress(config.platform),
	}
	longest := longestDeadline(config.site)
	r.stopTimeout = min(longest, maxKillDelay) + acceptGrace
	r.createPeerClients(config, root)
	r.createDispatcher(config, root)
	limits := config.site.Balancer.Limits
	retryAfter := time.Duration(0)
	if limits.RetryAfter {
		retryAfter = limits.MaxRetryAfter.Duration()
	}
	backendSockets := (config.sockets - reservedSockets) / backendSocketsDivisor
	r.pool = upstream.New(r.buffers, backendSockets, limits.ConnectTimeout.Duration(), limits.IdleTimeout.Duration(), r.dispatcher)
	r.server = downstream.New(r.dispatcher, r.pool, r.buffers, overload.LimitsFor(config.sockets-reservedSockets-backendSockets),
		max(minCallTimeout, longest), retryAfter)
	r.dispatcher.UpdateEndpoints(true, config.endpoints)
	r.dispatcher.UpdateStage(config.stage)
	if r.evidence != nil {
		r.evidence.prepareRestore(config.stage)
	}
	return r
}

// longestDeadline returns the longest deadline of all request classes.
func longestDeadline(site settings.Site) time.Duration {
	longest := time.Duration(0)
	for _, class := range site.Balancer.Classes {
		longest = max(longest, class.Deadline.Duration())
	}
	return longest
}

// createPeerClients creates the clients of discovery and the release platform.
func (r *relay) createPeerClients(config Config, root zerolog.Logger) {
	callTimeout := max(minCallTimeout, config.site.Balancer.Rollout.VoteTimeout.Duration())
	// A watch whose agent stops responding may miss the announcement that a backend drains. The time to detect such a
	// watch is therefore derived from the drain grace period: PollWait is equal to it, and AnswerTimeout is half of it.
	grace := config.site.Balancer.Endpoints.DrainGrace.Duration()
	if grace == 0 {
		grace = callTimeout
	}
	r.watcher = discovery.New(discovery.Config{
		Address:       r.discoveryAddress,
		Version:       config.listVersion,
		PollWait:      grace,
		AnswerTimeout: grace / 2,
		OpenTimeout:   callTimeout,
		Buffers:       r.buffers,
		Log:           logging.Component(root, "discovery"),
	})
	r.releaseClient = releaseapi.New(releaseapi.Config{
		Address: r.platformAddress,
		Timeout: callTimeout,
		Buffers: r.buffers,
		Log:     logging.Component(root, "releaseapi"),
	})
}

// createDispatcher creates the evidence saver and the dispatcher with its callbacks. The pool is created after the
// dispatcher, so the callbacks read r.pool when they are called.
func (r *relay) createDispatcher(config Config, root zerolog.Logger) {
	callbacks := dispatch.Callbacks{
		Vote:           r.releaseClient.Vote,
		WatchEndpoints: r.watcher.SetWatching,
		FetchEndpoints: r.watcher.Fetch,
		Probe:          func(backend dispatch.Backend) { r.pool.Probe(backend) },
		CloseIdle:      func(backend string) { r.pool.CloseIdle(backend) },
		Log:            logging.Component(root, "dispatch"),
		OnStage:        config.OnStage,
		FleetPolicy:    config.FleetPolicy,
	}
	if config.evidenceSettings != nil {
		r.evidence = newEvidenceSaver(config, root.With().Str("component", "evidence").Logger())
		callbacks.Evidence = r.evidence.store
	}
	r.dispatcher = dispatch.New(config.seed, config.site, callbacks)
	if r.evidence != nil {
		r.evidence.dispatcher = r.dispatcher
	}
}
