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

// How the limits are shared out.
const (
	// reservedSockets are the standard files, the poller, the listener, and the connections to discovery and the platform.
	reservedSockets = 24
	minSockets      = 3 * reservedSockets
	// backendSocketsDivisor: a sixth of the other sockets are for backends, the rest for clients.
	backendSocketsDivisor = 6
	// bufferMemoryDivisor: half of the memory is for the buffers of connections.
	bufferMemoryDivisor = 2
	// minCallTimeout is the least time that a client has for a message, and discovery and the platform for an answer.
	minCallTimeout = time.Second
	// maxKillDelay: SIGKILL comes 0.7 s after the longest deadline of a request, or after this.
	maxKillDelay = 3 * time.Second
)

// relay is the parts of the program. Its fields are set by newRelay and do not change; each part is safe for concurrent use.
type relay struct {
	log              zerolog.Logger // component relay
	buffers          *transport.BufferBudget
	dispatcher       *dispatch.Dispatcher
	pool             *upstream.Pool
	server           *downstream.Server
	watcher          *discovery.Watcher
	releaseClient    *releaseapi.Client
	evidence         *evidenceSaver // nil where none is kept
	discoveryAddress *transport.Address
	platformAddress  *transport.Address
	stopTimeout      time.Duration // from SIGTERM until every request has to be answered
}

// newRelay puts the parts together and hands the balancer what is known at the start. It starts no goroutine.
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

func longestDeadline(site settings.Site) time.Duration {
	longest := time.Duration(0)
	for _, class := range site.Balancer.Classes {
		longest = max(longest, class.Deadline.Duration())
	}
	return longest
}

// createPeerClients makes what speaks with discovery and the platform.
func (r *relay) createPeerClients(config Config, root zerolog.Logger) {
	callTimeout := max(minCallTimeout, config.site.Balancer.Rollout.VoteTimeout.Duration())
	// A watch that fell silent is found out before a drain that it should have announced is past its grace.
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

// createDispatcher makes the dispatcher and what it acts with. The pool is made after it, and used through r.
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
