package metadataservice

import (
	"context"
	"fmt"
	"hash/fnv"
	"os"
	"time"

	"silvercove/balancer"
	"silvercove/internal/discovery"
	"silvercove/internal/logging"
	"silvercove/internal/metadataproxy"
	"silvercove/internal/metadatarefresh"
	"silvercove/internal/transport"
)

// seedFrom tells relays and repositories apart by their names alone.
func seedFrom(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p + "/"))
	}
	return h.Sum64()
}

func (m *Service) repository(r map[string]any) (*metadataproxy.Repository, error) {
	name := r["name"].(string)
	pinned, err := os.ReadFile(m.resolvePath(r["root"]))
	if err != nil {
		return nil, fmt.Errorf("repository %s: %w", name, err)
	}
	var classes []balancer.RequestClass
	for _, op := range metadataproxy.RequestClasses {
		v := m.config[op].([]any)
		figure := func(i int) float64 { f, _ := v[i].(float64); return f }
		classes = append(classes, balancer.RequestClass{Name: op, LatencyObjective: balancer.Seconds(figure(0)),
			Deadline: balancer.Seconds(figure(1)), PriorityWeight: figure(2)})
	}
	hosts := mirrorEndpoints(r, nil, time.Now())
	host, _ := os.Hostname()
	rules := metadatarefresh.Rules(m.config["relays"].(float64), m.config["connect_timeout"].(float64),
		m.config["max_come_back"].(float64), classes)
	out, err := metadataproxy.NewRepository(name, pinned, m.store, metadataproxy.MirrorConfig{Seed: seedFrom(host, m.config["listen"].(string), name),
		Settings: rules, FreshFor: toDuration(m.config["refresh"]), UnconfirmedFor: toDuration(m.config["unconfirmed"]),
		Survey: m.config["survey"] == "always", Endpoints: hosts,
		DispatchLog: logging.Component(m.log.With().Str("repository", name).Logger(), "dispatch")}, m.now,
		logging.Leveled(m.log, "metadataproxy"))
	if err != nil {
		return nil, err
	}
	if address, ok := r["discovery"].(string); ok {
		watch := m.newWatcher(address)
		watch.Fetch()
		m.watches = append(m.watches, func(ctx context.Context) error { return watch.Run(ctx, out.Dispatcher(), discovery.Pushed) })
	}
	m.repositories[name] = out
	return out, nil
}

// newWatcher follows the list of servers that an agent at an address has.
func (m *Service) newWatcher(address string) *discovery.Watcher {
	return discovery.New(discovery.Config{
		Address:       transport.NewAddress(address),
		PollWait:      time.Second,
		AnswerTimeout: time.Second / 2,
		OpenTimeout:   time.Second,
		Buffers:       m.buffers,
		Log:           logging.Component(m.log, "discovery"),
	})
}
