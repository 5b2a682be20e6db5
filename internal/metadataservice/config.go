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
	freshFor            time.Duration // how long a timestamp counts as current
	unconfirmedFor      time.Duration // how long a timestamp counts as current while no mirror can be asked
	survey              bool          // require the timestamps of a majority of the mirrors after the start
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
		listen:              text(directives["listen"]),
		maxConnections:      int(number(directives["connections"])),
		maxInFlight:         int(number(directives["waiting"])),
		versionStorePaths:   texts(directives["floor"]),
		versionStoreEntries: int(number(directives["floor_entries"])),
		freshFor:            seconds(directives["refresh"]),
		unconfirmedFor:      seconds(directives["unconfirmed"]),
		survey:              text(directives["survey"]) == "always",
		proxyCount:          number(directives["relays"]),
		connectTimeout:      number(directives["connect_timeout"]),
		maxRetryAfter:       number(directives["max_come_back"]),
		directives:          directives,
	}
	for _, name := range metadataproxy.RequestClasses {
		values := list(directives[name])
		c.classes = append(c.classes, balancer.RequestClass{
			Name:             name,
			LatencyObjective: balancer.Seconds(number(values[0])),
			Deadline:         balancer.Seconds(number(values[1])),
			PriorityWeight:   number(values[2]),
		})
	}
	c.packageDeadline = seconds(list(directives["package"])[1])
	for _, repository := range list(directives["repository"]) {
		c.repositories = append(c.repositories, newRepositoryConfig(repository.(map[string]any)))
	}
	if director, ok := directives["director"].(map[string]any); ok {
		c.director = newDirectorConfig(director)
	}
	return c
}

func newRepositoryConfig(directives map[string]any) repositoryConfig {
	c := repositoryConfig{
		name:             text(directives["name"]),
		rootPath:         text(directives["root"]),
		imageRepository:  text(directives["agree"]),
		discoveryAddress: text(directives["discovery"]),
	}
	for _, line := range list(directives["mirror"]) {
		values := texts(line)
		c.mirrors = append(c.mirrors, dispatch.Endpoint{Name: values[0], Address: values[1], Zone: values[2], State: values[3],
			Weight: 1, Version: 1})
	}
	return c
}

func newDirectorConfig(directives map[string]any) *directorConfig {
	c := &directorConfig{
		imageRepository:   text(directives["image"]),
		chainDir:          text(directives["chain"]),
		keyPaths:          texts(directives["key"]),
		lifetime:          seconds(directives["lasts"]),
		initialVersion:    uint16(number(directives["running"])),
		discoveryAddress:  text(directives["discovery"]),
		releaseAPIAddress: text(directives["platform"]),
	}
	for _, line := range list(directives["package"]) {
		values := list(line)
		c.packages = append(c.packages, packageConfig{version: uint16(number(values[0])), path: text(values[1])})
	}
	for _, line := range list(directives["server"]) {
		values := texts(line)
		c.servers = append(c.servers, serverConfig{name: values[0], zone: values[1], hardware: values[2], keyPath: values[3]})
	}
	if values := list(directives["wave"]); values != nil {
		c.stage = &dispatch.RolloutStage{Version: uint16(number(values[0])), Phase: text(values[1]), ExposureCap: number(values[2])}
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

// markNew sets the start time of each mirror that is not in the earlier list to now, so that the mirror is warmed up.
// The name and the address identify a mirror.
func markNew(mirrors, earlier []dispatch.Endpoint, now time.Time) {
	type mirror struct{ name, address string }
	known := map[mirror]bool{}
	for _, e := range earlier {
		known[mirror{e.Name, e.Address}] = true
	}
	for i := range mirrors {
		if !known[mirror{mirrors[i].Name, mirrors[i].Address}] {
			mirrors[i].StartedAtMs = now.UnixMilli()
		}
	}
}

// text returns a value of a directive as a string, or "" if the directive is not given.
func text(value any) string {
	s, _ := value.(string)
	return s
}

// number returns a value of a directive as a number, or 0 if the directive is not given.
func number(value any) float64 {
	f, _ := value.(float64)
	return f
}

// seconds converts a value of a directive in seconds to a duration; it is 0 if the directive is not given.
func seconds(value any) time.Duration { return time.Duration(number(value) * float64(time.Second)) }

// list returns the values of a directive, or nil if the directive is not given.
func list(value any) []any {
	values, _ := value.([]any)
	return values
}

// texts returns the values of a directive as strings.
func texts(value any) []string {
	var all []string
	for _, v := range list(value) {
		all = append(all, text(v))
	}
	return all
}
