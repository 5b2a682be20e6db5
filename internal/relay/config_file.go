package relay

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"

	"silvercove/internal/discovery"
	"silvercove/internal/releaseapi"
	"silvercove/internal/settings"
)

// The largest accepted values of the limits. A larger value can only be a typing error, and would overflow the integers
// that are computed from it.
const (
	maxCores    = 4096
	maxMemoryMB = 1 << 30
	maxSockets  = 1 << 20
)

// configFile is the content of the JSON configuration file.
type configFile struct {
	Discovery string `json:"discovery"` // address of the agent, as host:port
	Seed      string `json:"seed"`      // seed of the random numbers: a 64-bit number in hexadecimal
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	ReleaseAPI struct {
		Address string          `json:"address"` // address of the platform, as host:port
		Stage   json.RawMessage `json:"news"`    // stage of the newest version, see releaseapi.ParseStage
	} `json:"release_api"`
	Endpoints json.RawMessage `json:"known"`    // endpoint list, see discovery.ParsePage
	Settings  json.RawMessage `json:"settings"` // see settings.Read
}

// LimitError reports a limit in the configuration that is out of range.
type LimitError struct {
	Key     string
	Value   string // the rejected value
	Allowed string // the allowed range, in words
}

// Error names the key, the rejected value and the allowed range.
func (e *LimitError) Error() string {
	return fmt.Sprintf("%s: %s is out of range, must be %s", e.Key, e.Value, e.Allowed)
}

// parse sets the fields of c from the text of a configuration file.
func (c *Config) parse(text []byte) error {
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return err
	}
	var err error
	if c.seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	if err := c.setLimits(&file); err != nil {
		return err
	}
	if err := c.setAddresses(&file); err != nil {
		return err
	}
	if c.stage, err = releaseapi.ParseStage(file.ReleaseAPI.Stage); err != nil {
		return fmt.Errorf("release_api.news: %w", err)
	}
	page, err := discovery.ParsePage(file.Endpoints)
	if err != nil && (!c.FollowsPlacements || file.Endpoints != nil) {
		return fmt.Errorf("known: %w", err)
	}
	c.listVersion, c.endpoints = page.Version, page.Endpoints
	c.site, err = settings.Read(file.Settings)
	return err
}

// setLimits sets the limits of c from the file. It returns a *LimitError if one is out of range.
func (c *Config) setLimits(file *configFile) error {
	limits := file.Limits
	switch {
	case limits.Cores <= 0 || limits.Cores > maxCores:
		return &LimitError{
			Key:     "limits.cores",
			Value:   fmt.Sprint(limits.Cores),
			Allowed: fmt.Sprintf("above 0 and up to %d", maxCores),
		}
	case limits.MemoryMB <= 0 || limits.MemoryMB > maxMemoryMB:
		return &LimitError{
			Key:     "limits.memory_mb",
			Value:   fmt.Sprint(limits.MemoryMB),
			Allowed: fmt.Sprintf("1 to %d", maxMemoryMB),
		}
	case limits.Sockets < minSockets || limits.Sockets > maxSockets:
		return &LimitError{
			Key:     "limits.sockets",
			Value:   fmt.Sprint(limits.Sockets),
			Allowed: fmt.Sprintf("%d to %d", minSockets, maxSockets),
		}
	}
	c.cores, c.memoryBytes, c.sockets = limits.Cores, limits.MemoryMB<<20, limits.Sockets
	return nil
}

// setAddresses sets the addresses of discovery and the release platform. A relay of a fleet needs neither address.
func (c *Config) setAddresses(file *configFile) error {
	// The discovery address in the file overrides the one in the environment. The file can be replaced while the relay
	// runs, so its address may be newer.
	if file.Discovery != "" {
		c.discovery = file.Discovery
	}
	if _, _, err := net.SplitHostPort(c.discovery); err != nil && !c.FollowsPlacements {
		return fmt.Errorf("discovery: %w", err)
	}
	c.platform = file.ReleaseAPI.Address
	if _, _, err := net.SplitHostPort(c.platform); err != nil && (!c.FollowsPlacements || c.platform != "") {
		return fmt.Errorf("release_api.address: %w", err)
	}
	return nil
}
