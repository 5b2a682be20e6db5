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
	envListen    = "NODE_LISTEN"    // host:port for clients
	envDiscovery = "NODE_DISCOVERY" // host:port of the agent that has the endpoint list
	envConfig    = "NODE_CONFIG"    // path of the configuration
	envOperator  = "NODE_OPERATOR"  // path of the operator's file; empty for none
)

// ErrNotSet tells that a variable of the environment is missing or empty.
var ErrNotSet = errors.New("not set")

// Config is what a relay is started with. ReadConfig and ReadFleetConfig make one.
type Config struct {
	signals          chan os.Signal // that have come since the program began; nil: they are caught from Run on
	name             string
	listen           string // host:port
	discovery        string // host:port
	platform         string // host:port; empty for a relay of a fleet without one
	seed             uint64
	cores            float64
	memoryBytes      int64
	sockets          int // descriptors of the process
	stage            dispatch.RolloutStage
	listVersion      int64               // of the endpoints
	endpoints        []dispatch.Endpoint // that are known before discovery has answered
	site             settings.Site
	evidenceSettings *evidenceSettings // nil: no evidence is kept

	// FollowsPlacements: the endpoint list and where instances run come from a fleet's controllers, by a part that runs beside
	// the relay.
	FollowsPlacements bool
	// FleetPolicy decides for the fleet what is shed, retried and probed; nil for a relay on its own.
	FleetPolicy dispatch.FleetPolicy
	// WaitTurn blocks until this relay may accept clients, or the context ends; nil: at once.
	WaitTurn func(context.Context)
	// OnStage hears the stages that the release API announces; nil: nobody does.
	OnStage func(dispatch.RolloutStage)
}

// evidenceSettings tell how what was seen of each version is kept.
type evidenceSettings struct {
	path         string        // of the file that outlives the process; empty: none is written
	saveInterval time.Duration // between two writes
	halfLife     balancer.Tick // by which outcomes from before a restart count less
}

// ReadConfig reads the environment and the configuration that it names. Its errors name the variable, or the
// configuration's key, that is wrong; one that is missing is ErrNotSet.
func ReadConfig(env func(string) string) (Config, error) { return readConfig(env, false) }

// ReadFleetConfig does the same for a relay of a fleet: the endpoint list comes from controllers, and there may be no platform.
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
	if fleet { // the relays of a fleet may share the file, but not their random numbers
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

// environmentAddress reads a variable that holds host:port.
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

// Seed is that of the relay's random numbers.
func (c Config) Seed() uint64 { return c.seed }

// Limits are the cores and the bytes of memory that the relay has.
func (c Config) Limits() (cores float64, memoryBytes int64) { return c.cores, c.memoryBytes }

// readOperatorFile reads the operator's own file, if one is named. What its verdicts block says joins the settings.
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
