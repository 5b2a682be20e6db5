package metadataservice

import (
	"time"

	"silvercove/balancer"
	"silvercove/internal/dispatch"
	"silvercove/internal/metadataproxy"
)

// config is the metadata block of the operator's configuration file. Relative paths are unresolved: see Service.resolvePath.
type config struct {
	listen              string // HOST:PORT
	maxConnections      int
	maxInFlight         int // maximum number of requests that are waiting for mirrors or downloading a package
	versionStorePaths   []string
	versionStoreEntries int
	freshFor            time.Duration // how long a timestamp is served without asking a mirror again
	unconfirmedFor      time.Duration // how long a timestamp is served while no mirror can be asked
	survey              bool          // after the start, serve only roots until a majority of the mirrors have shown their timestamps
	proxyCount          float64       // number of processes that share the mirrors
	connectTimeout      float64       // seconds
	maxRetryAfter       float64       // seconds
	classes             []balancer.RequestClass
	packageDeadline     time.Duration
	repositories        []repositoryConfig
	director            *directorConfig // nil if there is none

	directives map[string]any // directives of the block as read from the file; Reload compares them with those of the changed file
}

// repositoryConfig is one repository block.
type repositoryConfig struct {
	name             string
	rootPath         string // path of the pinned root
	imageRepository  string // name of the image repository that must list the same targets; empty if none is required
	discoveryAddress string // HOST:PORT of the discovery agent that lists the mirrors; empty if the file lists them
	mirrors          []dispatch.Endpoint
}

// directorConfig is the director block.
type directorConfig struct {
	imageRepository   string // name of the image repository
	chainDir          string // directory of the root chain
	keyPaths          []string
	lifetime          time.Duration // lifetime of issued metadata
	initialVersion    uint16        // version that every server runs if no released version is recorded; 0 means none
	packages          []packageConfig
	servers           []serverConfig
	discoveryAddress  string                 // HOST:PORT of the discovery agent that lists the servers; empty if the file lists them
	releaseAPIAddress string                 // HOST:PORT of the release API; empty if the file gives the stage
	stage             *dispatch.RolloutStage // nil if the release API gives the stage
}

// packageConfig is the package of one version.
type packageConfig struct {
	version uint16
	path    string // path in the image repository
}

// serverConfig is one server of the fleet.
type serverConfig struct {
	name     string
	zone     string
	hardware string
	keyPath  string // path of the public key file
}

// newConfig converts a metadata block that operatorconfig has validated.
func newConfig(directives map[string]any) *config {
	c := &config{
		listen:              stringValue(directives["listen"]),
		maxConnections:      int(numberValue(directives["connections"])),
		maxInFlight:         int(numberValue(directives["waiting"])),
		versionStorePaths:   stringValues(directives["floor"]),
		versionStoreEntries: int(numberValue(directives["floor_entries"])),
		freshFor:            durationValue(directives["refresh"]),
		unconfirmedFor:      durationValue(directives["unconfirmed"]),
		survey:              stringValue(directives["survey"]) == "always",
		proxyCount:          numberValue(directives["relays"]),
		connectTimeout:      numberValue(directives["connect_timeout"]),
		maxRetryAfter:       numberValue(directives["max_come_back"]),
		directives:          directives,
	}
	for _, name := range metadataproxy.RequestClasses {
		values := listValue(directives[name])
		c.classes = append(c.classes, balancer.RequestClass{
			Name:             name,
			LatencyObjective: balancer.Seconds(numberValue(values[0])),
			Deadline:         balancer.Seconds(numberValue(values[1])),
			PriorityWeight:   numberValue(values[2]),
		})
	}
	c.packageDeadline = durationValue(listValue(directives["package"])[1])
	for _, repository := range listValue(directives["repository"]) {
		c.repositories = append(c.repositories, newRepositoryConfig(repository.(map[string]any)))
	}
	if director, ok := directives["director"].(map[string]any); ok {
		c.director = newDirectorConfig(director)
	}
	return c
}

func newRepositoryConfig(directives map[string]any) repositoryConfig {
	c := repositoryConfig{
		name:             stringValue(directives["name"]),
		rootPath:         stringValue(directives["root"]),
		imageRepository:  stringValue(directives["agree"]),
		discoveryAddress: stringValue(directives["discovery"]),
	}
	for _, line := range listValue(directives["mirror"]) {
		values := stringValues(line)
		c.mirrors = append(c.mirrors, dispatch.Endpoint{Name: values[0], Address: values[1], Zone: values[2], State: values[3],
			Weight: 1, Version: 1})
	}
	return c
}

func newDirectorConfig(directives map[string]any) *directorConfig {
	c := &directorConfig{
		imageRepository:   stringValue(directives["image"]),
		chainDir:          stringValue(directives["chain"]),
		keyPaths:          stringValues(directives["key"]),
		lifetime:          durationValue(directives["lasts"]),
		initialVersion:    uint16(numberValue(directives["running"])),
		discoveryAddress:  stringValue(directives["discovery"]),
		releaseAPIAddress: stringValue(directives["platform"]),
	}
	for _, line := range listValue(directives["package"]) {
		values := listValue(line)
		c.packages = append(c.packages, packageConfig{version: uint16(numberValue(values[0])), path: stringValue(values[1])})
	}
	for _, line := range listValue(directives["server"]) {
		values := stringValues(line)
		c.servers = append(c.servers, serverConfig{name: values[0], zone: values[1], hardware: values[2], keyPath: values[3]})
	}
	if values := listValue(directives["wave"]); values != nil {
		c.stage = &dispatch.RolloutStage{Version: uint16(numberValue(values[0])), Phase: stringValue(values[1]), ExposureCap: numberValue(values[2])}
	}
	return c
}

// endpoints returns the servers of the file as an endpoint list in which each server is up.
func (c *directorConfig) endpoints() []dispatch.Endpoint {
	var endpoints []dispatch.Endpoint
	for _, server := range c.servers {
		endpoints = append(endpoints, dispatch.Endpoint{Name: server.name, Address: "-", Zone: server.zone,
			MachineKind: server.hardware, State: "up"})
	}
	return endpoints
}

// markNew sets the start time of each new mirror to now, so that the mirror is warmed up. A mirror is new if the
// parameter earlier has no mirror of the same name and address.
func markNew(mirrors, earlier []dispatch.Endpoint, now time.Time) {
	type mirror struct{ name, address string }
	listedEarlier := map[mirror]bool{}
	for _, e := range earlier {
		listedEarlier[mirror{e.Name, e.Address}] = true
	}
	for i := range mirrors {
		if !listedEarlier[mirror{mirrors[i].Name, mirrors[i].Address}] {
			mirrors[i].StartedAtMs = now.UnixMilli()
		}
	}
}

// stringValue returns a value of a directive as a string, or "" if the directive is not given.
func stringValue(value any) string {
	s, _ := value.(string)
	return s
}

// numberValue returns a value of a directive as a number, or 0 if the directive is not given.
func numberValue(value any) float64 {
	f, _ := value.(float64)
	return f
}

// durationValue returns a value of a directive, given in seconds, as a duration, or 0 if the directive is not given.
func durationValue(value any) time.Duration {
	return time.Duration(numberValue(value) * float64(time.Second))
}

// listValue returns the values of a directive, or nil if the directive is not given.
func listValue(value any) []any {
	values, _ := value.([]any)
	return values
}

// stringValues returns the values of a directive as strings.
func stringValues(value any) []string {
	var values []string
	for _, v := range listValue(value) {
		values = append(values, stringValue(v))
	}
	return values
}
