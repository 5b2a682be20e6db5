package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"silvercove/balancer"
	"silvercove/internal/discovery"
	"silvercove/internal/dispatch"
	"silvercove/internal/operatorconfig"
	"silvercove/internal/releaseapi"
	"silvercove/internal/settings"
)

// The most of each limit that makes sense: more is a slip of the pen, and would leave the whole numbers below.
const (
	mostCores    = 4096
	mostMemoryMB = 1 << 30
	mostSockets  = 1 << 20
)

// Config is what a relay is told at its start.
type Config struct {
	signals                           chan os.Signal // that have come since the program began; nil: they are heard from Run on
	name, listen, discovery, platform string
	seed                              uint64
	cores                             float64
	memory                            int64 // bytes
	sockets                           int
	news                              dispatch.RolloutStage
	seq                               int64
	known                             []dispatch.Endpoint
	site                              settings.Site
	verdicts                          map[string]any // of the operator's own file; nil without one

	// FollowsPlacements: the list of units and where instances run come from a fleet's keepers, by a part beside the relay. Shed
	// is then what the fleet decides, and Turn waits for this relay's turn to take clients in.
	FollowsPlacements bool
	LoadShedder       dispatch.LoadShedder
	WaitTurn          func(context.Context)
	OnStage           func(dispatch.RolloutStage) // hears what the platform tells of builds
}

// ReadConfig reads the environment and the configuration that it names.
func ReadConfig(env func(string) string) (Config, error) { return readTold(env, false) }

// ReadFleetConfig does the same for a relay of a fleet: the list comes from keepers, and there may be no platform.
func ReadFleetConfig(env func(string) string) (Config, error) { return readTold(env, true) }

func readTold(env func(string) string, follows bool) (t Config, err error) {
	t.FollowsPlacements = follows
	needed := map[string]*string{"NODE_NAME": &t.name, "NODE_LISTEN": &t.listen}
	if !follows {
		needed["NODE_DISCOVERY"] = &t.discovery
	}
	for name, to := range needed {
		if *to = env(name); *to == "" {
			return t, fmt.Errorf("%s is not set", name)
		}
		if name == "NODE_NAME" {
			continue
		}
		if _, _, err := net.SplitHostPort(*to); err != nil {
			return t, fmt.Errorf("%s: %w", name, err)
		}
	}
	path := env("NODE_CONFIG")
	if path == "" {
		return t, fmt.Errorf("NODE_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return t, fmt.Errorf("NODE_CONFIG: %w", err)
	}
	if err := t.read(text); err != nil {
		return t, fmt.Errorf("NODE_CONFIG %s: %w", path, err)
	}
	if follows { // the relays of a fleet may share the file, but not their chance
		t.seed ^= xxhash.Sum64String(t.name)
	}
	return t, t.operator(env("NODE_OPERATOR"))
}

// Seed is that of the relay's chance.
func (t Config) Seed() uint64 { return t.seed }

// Limits are the cores and the bytes of memory that the relay has.
func (t Config) Limits() (cores float64, memory int64) { return t.cores, t.memory }

// operator reads the operator's own file, if one is named. What it says of verdicts joins the settings.
func (t *Config) operator(path string) error {
	if path == "" {
		return nil
	}
	all, err := operatorconfig.Operators.Read(path)
	if err != nil {
		return fmt.Errorf("NODE_OPERATOR: %w", err)
	}
	if t.verdicts, _ = all["verdicts"].(map[string]any); t.verdicts == nil {
		return nil
	}
	seconds := func(name string) balancer.Seconds { s, _ := t.verdicts[name].(float64); return balancer.Seconds(s) }
	t.site.Balancer.Rollout.EvidenceWait = seconds("evidence_wait")
	t.site.Balancer.Rollout.ReportWithin = seconds("report_within")
	if file, ok := t.verdicts["ledger"].(string); ok && !filepath.IsAbs(file) {
		t.verdicts["ledger"] = filepath.Join(filepath.Dir(path), file)
	}
	return nil
}

func (t *Config) read(text []byte) error {
	var c struct {
		Discovery string
		Seed      string
		Limits    struct {
			Cores    float64
			MemoryMB int64 `json:"memory_mb"`
			Sockets  int
		}
		Release struct {
			Address string
			News    json.RawMessage
		} `json:"release_api"`
		Known    json.RawMessage
		Settings json.RawMessage
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return err
	}
	var err error
	if t.seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	switch l := c.Limits; {
	case l.Cores <= 0 || l.Cores > mostCores:
		return fmt.Errorf("limits.cores: %v, above 0 and up to %d are allowed", l.Cores, mostCores)
	case l.MemoryMB <= 0 || l.MemoryMB > mostMemoryMB:
		return fmt.Errorf("limits.memory_mb: %d, 1 to %d are allowed", l.MemoryMB, mostMemoryMB)
	case l.Sockets < leastSockets || l.Sockets > mostSockets:
		return fmt.Errorf("limits.sockets: %d, %d to %d are allowed", l.Sockets, leastSockets, mostSockets)
	}
	t.cores, t.memory, t.sockets = c.Limits.Cores, c.Limits.MemoryMB<<20, c.Limits.Sockets
	if c.Discovery != "" { // the file is newer than the environment once it was replaced
		t.discovery = c.Discovery
	}
	if _, _, err := net.SplitHostPort(t.discovery); err != nil && !t.FollowsPlacements {
		return fmt.Errorf("discovery: %w", err)
	}
	t.platform = c.Release.Address
	if _, _, err := net.SplitHostPort(t.platform); err != nil && (!t.FollowsPlacements || t.platform != "") {
		return fmt.Errorf("release_api.address: %w", err)
	}
	if t.news, err = releaseapi.ParseStage(c.Release.News); err != nil {
		return fmt.Errorf("release_api.news: %w", err)
	}
	page, err := discovery.ParsePage(c.Known)
	if t.seq, t.known = page.Version, page.Endpoints; err != nil && (!t.FollowsPlacements || c.Known != nil) {
		return fmt.Errorf("known: %w", err)
	}
	t.site, err = settings.Read(c.Settings)
	return err
}
