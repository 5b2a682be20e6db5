package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"

	"silvercove/balancer"
	"silvercove/internal/dispatch"
	"silvercove/internal/operatorconfig"
	"silvercove/internal/settings"
)

// The environment variables that a relay reads.
const (
	envName      = "NODE_NAME"
	envListen    = "NODE_LISTEN"    // host:port at which the relay accepts clients
	envDiscovery = "NODE_DISCOVERY" // host:port of the discovery agent, which serves the endpoint list
	envConfig    = "NODE_CONFIG"    // path of the JSON configuration file
	envOperator  = "NODE_OPERATOR"  // path of the operator's file; empty if there is none
)

// ErrNotSet is the error for an environment variable that is missing or empty.
var ErrNotSet = errors.New("not set")

// Config holds the configuration of a relay. ReadConfig and ReadFleetConfig create it.
type Config struct {
	signals          chan os.Signal // channel that receives signals from the start of the program on; if nil, Run creates one
	name             string
	listen           string // address at which the relay accepts clients, as host:port
	discovery        string // address of the discovery agent, as host:port; may be empty for a relay of a fleet
	platform         string // address of the release platform, as host:port; may be empty for a relay of a fleet
	seed             uint64
	cores            float64
	memoryBytes      int64
	sockets          int // number of descriptors that the process may have open
	stage            dispatch.RolloutStage
	listVersion      int64               // version that discovery gave the list in the field endpoints
	endpoints        []dispatch.Endpoint // endpoint list that the relay uses until discovery has answered
	site             settings.Site
	evidenceSettings *evidenceSettings // nil without a verdicts block in the operator's file; no evidence is then kept

	// FollowsPlacements is set for a relay of a fleet. The endpoint list and the placements of instances then come from
	// the fleet's controllers, through a component that is passed to Run. Such a relay does not watch discovery.
	FollowsPlacements bool
	// FleetPolicy makes the decisions of the fleet on shedding, retries and probes. It is nil for a relay that belongs to
	// no fleet.
	FleetPolicy dispatch.FleetPolicy
	// WaitTurn blocks until this relay may accept clients, or until the context ends. It keeps the relays of a fleet from
	// all starting at once. If it is nil, the relay accepts clients without waiting.
	WaitTurn func(context.Context)
	// OnStage, if not nil, is called with each stage that the release API announces.
	OnStage func(dispatch.RolloutStage)
}

// evidenceSettings holds the settings for keeping and saving the evidence of each version.
type evidenceSettings struct {
	path         string        // path of the evidence file; empty if evidence does not outlive the process
	saveInterval time.Duration // interval between two writes of the evidence file
	halfLife     balancer.Tick // after a restart, the saved counts are halved for each halfLife since the last outcome
}

// ReadConfig reads the environment variables, and the configuration file and operator's file that they name. An error
// names the variable or the configuration key at fault. The error for a missing variable wraps ErrNotSet.
func ReadConfig(env func(string) string) (Config, error) { return readConfig(env, false) }

// ReadFleetConfig is like ReadConfig, but for a relay that belongs to a fleet. The endpoint list of such a relay comes
// from the fleet's controllers, so discovery and the release platform are optional.
func ReadFleetConfig(env func(string) string) (Config, error) { return readConfig(env, true) }

func readConfig(env func(string) string, fleet bool) (Config, error) {
	c := Config{FollowsPlacements: fleet}
	if err := c.readEnvironment(env); err != nil {
		return c, err
	}
	path := env(envConfig)
	if path == "" {
		return c, fmt.Errorf("%s is %w", envConfig, ErrNotSet)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return c, fmt.Errorf("%s: %w", envConfig, err)
	}
	if err := c.parse(text); err != nil {
		return c, fmt.Errorf("%s %s: %w", envConfig, path, err)
	}
	// Relays of a fleet may share the configuration file and so its seed. Each of them needs its own sequence of random
	// numbers, so the relay's name is mixed into the seed.
	if fleet {
		c.seed ^= xxhash.Sum64String(c.name)
	}
	return c, c.readOperatorFile(env(envOperator))
}

func (c *Config) readEnvironment(env func(string) string) error {
	if c.name = env(envName); c.name == "" {
		return fmt.Errorf("%s is %w", envName, ErrNotSet)
	}
	var err error
	if c.listen, err = environmentAddress(env, envListen); err != nil || c.FollowsPlacements {
		return err
	}
	c.discovery, err = environmentAddress(env, envDiscovery)
	return err
}

// environmentAddress returns the value of an environment variable, which must have the form host:port.
func environmentAddress(env func(string) string, name string) (string, error) {
	address := env(name)
	if address == "" {
		return "", fmt.Errorf("%s is %w", name, ErrNotSet)
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		return "", fmt.Errorf("%s: %w", name, err)
	}
	return address, nil
}

// Seed returns the seed of the relay's random number generators.
func (c Config) Seed() uint64 { return c.seed }

// Limits returns the number of cores and the bytes of memory that the relay may use.
func (c Config) Limits() (cores float64, memoryBytes int64) { return c.cores, c.memoryBytes }

// readOperatorFile reads the operator's file, if path is not empty. The file's verdicts block sets the evidence settings
// and two settings of the rollout.
func (c *Config) readOperatorFile(path string) error {
	if path == "" {
		return nil
	}
	file, err := operatorconfig.OperatorTable.Read(path)
	if err != nil {
		return fmt.Errorf("%s: %w", envOperator, err)
	}
	verdicts, ok := file["verdicts"].(map[string]any)
	if !ok || verdicts == nil {
		return nil
	}
	seconds := func(name string) float64 {
		value, _ := verdicts[name].(float64)
		return value
	}
	c.site.Balancer.Rollout.EvidenceWait = balancer.Seconds(seconds("evidence_wait"))
	c.site.Balancer.Rollout.ReportWithin = balancer.Seconds(seconds("report_within"))
	c.evidenceSettings = &evidenceSettings{
		saveInterval: time.Duration(seconds("save") * float64(time.Second)),
		halfLife:     balancer.Tick(seconds("half_life") * float64(balancer.Second)),
	}
	if stored, ok := verdicts["ledger"].(string); ok {
		if !filepath.IsAbs(stored) {
			stored = filepath.Join(filepath.Dir(path), stored)
		}
		c.evidenceSettings.path = stored
	}
	return nil
}
