package operatorconfig

import (
	"fmt"
	"strings"
)

// Roles of a process in a fleet, as the file names them.
const (
	roleController = "keeper"
	roleRelay      = "relay"
	roleEdge       = "edge"
)

// maxClockDrift is the exclusive upper bound of the directive drift, the fraction by which one process's clock may run
// faster than another's. A controller adds an allowance to the lease duration: 2 * drift * lease duration (see
// internal/leases). Below the bound, the allowance is shorter than the lease duration.
const maxClockDrift = 0.5

// checkFleet is the Rule of the fleet block.
func checkFleet(all map[string]any) (directive, fault string) {
	block, ok := all["fleet"].(map[string]any)
	if !ok {
		return "", ""
	}
	node, _ := block["node"].(string)
	role := block["role"].(string)
	nodes, controllers := map[string]bool{node: true}, 0
	peers, _ := block["peer"].([]any)
	for _, v := range peers {
		peer := v.([]any)
		name := peer[0].(string)
		if nodes[name] {
			return "fleet.peer", "two processes are named " + name
		}
		nodes[name] = true
		if peer[1] == roleController {
			controllers++
		}
	}
	addresses, _ := block["commands"].([]any)
	hasOwn := false
	for _, v := range addresses {
		name := v.([]any)[0].(string)
		if !nodes[name] {
			return "fleet.commands", "no process named " + name + " is in this file"
		}
		hasOwn = hasOwn || name == node
	}
	switch {
	case role == roleController && block["data"] == nil:
		return "fleet.data", "a keeper needs a folder for its log"
	case role == roleRelay && block["clients"] == nil:
		return "fleet.clients", "a relay needs the address where its clients connect"
	case role == roleRelay && block["settings"] == nil:
		return "fleet.settings", "a relay needs its JSON file"
	case role != roleController && controllers == 0:
		return "fleet.peer", "no keeper is named"
	case role == roleEdge && !hasOwn:
		return "fleet.commands", "an edge unit needs the address where it takes commands: commands " + node + " HOST:PORT"
	case block["drift"].(float64) >= maxClockDrift:
		return "fleet.drift", "allowed: less than 50%"
	case block["away"].(float64) > block["copies"].(float64):
		return "fleet.away", fmt.Sprintf("%v holders in another zone exceed copies, which is %v", block["away"], block["copies"])
	}
	return "", ""
}

// checkMetadata is the Rule of the metadata block.
func checkMetadata(all map[string]any) (directive, fault string) {
	block, ok := all["metadata"].(map[string]any)
	if !ok {
		return "", ""
	}
	if block["connect_timeout"].(float64) >= drainGraceSeconds {
		return "metadata.connect_timeout", "a connection that takes longer than the grace of drains, 1s, could reach a " +
			"mirror that has been drained in the meantime; allowed: less than 1s"
	}
	for _, name := range []string{"root", "timestamp", "snapshot", "targets", "package"} {
		if class := block[name].([]any); class[0].(float64) > class[1].(float64) {
			return "metadata." + name, "its target is longer than its timeout"
		}
	}
	refresh, unconfirmed := block["refresh"].(float64), block["unconfirmed"].(float64)
	if refresh > unconfirmed && unconfirmed > 0 {
		return "metadata.unconfirmed", "shorter than refresh; allowed: 0s, or no shorter than refresh"
	}
	repositories := block["repository"].([]any)
	names := map[string]bool{}
	for _, v := range repositories {
		name := v.(map[string]any)["name"].(string)
		if names[name] {
			return "metadata.repository", fmt.Sprintf("%s is given twice", name)
		}
		names[name] = true
	}
	for _, v := range repositories {
		if directive, fault = checkRepository(v.(map[string]any), names); fault != "" {
			return directive, fault
		}
	}
	if director, ok := block["director"].(map[string]any); ok {
		return checkDirector(director, names, block["floor"] != nil)
	}
	return "", ""
}

// drainGraceSeconds is the time, in seconds, for which requests may still reach a mirror after it starts to drain.
const drainGraceSeconds = 1

// checkRepository checks a repository block. Like a Rule, it returns the directive at fault and the fault. repositories
// holds the names of all repositories of the file.
func checkRepository(block map[string]any, repositories map[string]bool) (directive, fault string) {
	mirrors, _ := block["mirror"].([]any)
	if (len(mirrors) == 0) == (block["discovery"] == nil) {
		return "metadata.repository", fmt.Sprintf("%s: either mirror lines or discovery must be given", block["name"])
	}
	if mirror := firstDuplicate(mirrors); mirror != "" {
		return "metadata.repository.mirror", fmt.Sprintf("%s is given twice", mirror)
	}
	if image, ok := block["agree"].(string); ok && (!repositories[image] || image == block["name"]) {
		return "metadata.repository.agree", fmt.Sprintf("%s is not another repository of this file", image)
	}
	return "", ""
}

// checkDirector checks the director block. Like a Rule, it returns the directive at fault and the fault. repositories
// holds the names of all repositories of the file. versionStore reports whether the file has the directive floor, whose
// values are the paths of the version store.
func checkDirector(block map[string]any, repositories map[string]bool, versionStore bool) (directive, fault string) {
	servers, _ := block["server"].([]any)
	packages, _ := block["package"].([]any)
	switch server, version := firstDuplicate(servers), firstDuplicate(packages); {
	case !repositories[block["image"].(string)]:
		return "metadata.director.image", fmt.Sprintf("%s is not a repository of this file", block["image"])
	case server != "":
		return "metadata.director.server", server + " is given twice"
	case version != "":
		return "metadata.director.package", "build " + version + " is given twice"
	case block["platform"] != nil && block["wave"] != nil:
		return "metadata.director.wave", "contradicts platform: only one of them may determine how far a build goes"
	case block["platform"] == nil && block["wave"] == nil:
		return "metadata.director", "either platform or wave must be given"
	case !versionStore:
		return "metadata.director", "a Director needs a floor: without one it would use a version number twice after a restart"
	}
	if stage, ok := block["wave"].([]any); ok && !hasFirstValue(packages, stage[0]) {
		return "metadata.director.wave", fmt.Sprintf("build %v has no package", stage[0])
	}
	if running := block["running"]; running != nil && !hasFirstValue(packages, running) {
		return "metadata.director.running", fmt.Sprintf("build %v has no package", running)
	}
	return "", ""
}

// firstDuplicate compares the lines of a repeatable directive by their first value. It returns the first value that a
// line has in common with an earlier line, or "" if there is none.
func firstDuplicate(list []any) string {
	seen := map[string]bool{}
	for _, v := range list {
		name := strings.TrimSpace(fmt.Sprint(v.([]any)[0]))
		if seen[name] {
			return name
		}
		seen[name] = true
	}
	return ""
}

// hasFirstValue reports whether first is the first value of any line of a repeatable directive.
func hasFirstValue(list []any, first any) bool {
	for _, v := range list {
		if v.([]any)[0] == first {
			return true
		}
	}
	return false
}
