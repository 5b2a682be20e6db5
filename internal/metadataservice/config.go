package metadataservice

import (
	"time"

	"silvercove/balancer"
	"silvercove/internal/dispatch"
	"silvercove/internal/metadataproxy"
)

// config is the metadata block of an operator's file. Paths are as the file gives them: see Service.resolvePath.
type config struct {
	listen              string // HOST:PORT
	maxConnections      int
	maxInFlight         int // requests that wait for mirrors or are being sent a package
	versionStorePaths   []string
	versionStoreEntries int
	freshFor            time.Duration // a timestamp counts as current for so long
	unconfirmedFor      time.Duration // and for so long while no mirror can be asked
	survey              bool          // ask a majority of the mirrors after the start
	proxyCount          float64       // processes that share the mirrors
	connectTimeout      float64       // seconds
	maxRetryAfter       float64       // seconds
	classes             []balancer.RequestClass
	packageDeadline     time.Duration
	repositories        []repositoryConfig
	director            *directorConfig // nil without one

	directives map[string]any // the block as it was read, to find what differs in a later one
}

// repositoryConfig is one repository block.
type repositoryConfig struct {
	name             string
	rootPath         string // path of the pinned root
	imageRepository  string // image repository that must agree with its targets, empty for none
	discoveryAddress string // HOST:PORT of the agent that lists the mirrors, empty where the file lists them
	mirrors          []dispatch.Endpoint
}

// directorConfig is the director block.
type directorConfig struct {
	imageRepository   string // name of the image repository
	chainDir          string // folder with the chain of roots
	keyPaths          []string
	lifetime          time.Duration // of issued metadata
	initialVersion    uint16        // version that every server runs if nothing is known, 0 for none
	packages          []packageConfig
	servers           []serverConfig
	discoveryAddress  string                 // HOST:PORT of the agent that lists the servers, empty where the file lists them
	releaseAPIAddress string                 // HOST:PORT of the release API, empty where the file gives the stage
	stage             *dispatch.RolloutStage // nil where the release API gives it
}

// packageConfig names the package of a version.
type packageConfig struct {
	version uint16
	path    string // in the image repository
}

// serverConfig is one server of the fleet.
type serverConfig struct {
	name     string
	zone     string
	hardware string
	keyPath  string // path of its public key
}

// newConfig reads a metadata block that operatorconfig has checked.
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

// endpoints are the servers of the file as a list of those that are there.
func (c *directorConfig) endpoints() []dispatch.Endpoint {
	var endpoints []dispatch.Endpoint
	for _, server := range c.servers {
		endpoints = append(endpoints, dispatch.Endpoint{Name: server.name, Address: "-", Zone: server.zone,
			MachineKind: server.hardware, State: "up"})
	}
	return endpoints
}

// markNew sets the start of the mirrors that an earlier list did not have to now, so that they are warmed up.
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

// text is a word of a directive, empty for one that is not given.
func text(value any) string {
	s, _ := value.(string)
	return s
}

// number is a figure of a directive, 0 for one that is not given.
func number(value any) float64 {
	f, _ := value.(float64)
	return f
}

func seconds(value any) time.Duration { return time.Duration(number(value) * float64(time.Second)) }

func list(value any) []any {
	values, _ := value.([]any)
	return values
}

func texts(value any) []string {
	var all []string
	for _, v := range list(value) {
		all = append(all, text(v))
	}
	return all
}
