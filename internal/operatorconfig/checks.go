package operatorconfig

import (
	"fmt"
	"strings"
)

// checkFleet are the checks of a fleet's block.
func checkFleet(all map[string]any) (directive, fault string) {
	f, ok := all["fleet"].(map[string]any)
	if !ok {
		return "", ""
	}
	node, _ := f["node"].(string)
	role := f["role"].(string)
	seen, keepers := map[string]bool{node: true}, 0
	peers, _ := f["peer"].([]any)
	for _, v := range peers {
		p := v.([]any)
		if name := p[0].(string); seen[name] {
			return "fleet.peer", "two processes are named " + name
		} else if seen[name] = true; p[1] == "keeper" {
			keepers++
		}
	}
	commands, _ := f["commands"].([]any)
	own := false
	for _, v := range commands {
		name := v.([]any)[0].(string)
		if !seen[name] {
			return "fleet.commands", "no process named " + name + " is in this file"
		}
		own = own || name == node
	}
	switch {
	case role == "keeper" && f["data"] == nil:
		return "fleet.data", "a keeper needs a folder for its log"
	case role == "relay" && f["clients"] == nil:
		return "fleet.clients", "a relay's file says where its clients connect"
	case role == "relay" && f["settings"] == nil:
		return "fleet.settings", "a relay needs its JSON file"
	case role != "keeper" && keepers == 0:
		return "fleet.peer", "no keeper is named"
	case role == "edge" && !own:
		return "fleet.commands", "an edge unit's file says where it takes commands: commands " + node + " HOST:PORT"
	case f["drift"].(float64) >= 0.5:
		return "fleet.drift", "allowed: less than 50%"
	case f["away"].(float64) > f["copies"].(float64):
		return "fleet.away", fmt.Sprintf("%v holders in another zone are more than copies, which is %v", f["away"], f["copies"])
	}
	return "", ""
}

// checkMetadata are the checks between directives.
func checkMetadata(all map[string]any) (directive, fault string) {
	m, ok := all["metadata"].(map[string]any)
	if !ok {
		return "", ""
	}
	if m["connect_timeout"].(float64) >= 1 {
		return "metadata.connect_timeout", "a connection that takes longer than the grace of drains, 1s, could reach a " +
			"mirror that was drained meanwhile; allowed: less than 1s"
	}
	for _, name := range []string{"root", "timestamp", "snapshot", "targets", "package"} {
		if op := m[name].([]any); op[0].(float64) > op[1].(float64) {
			return "metadata." + name, "its target is longer than its timeout"
		}
	}
	if m["refresh"].(float64) > m["unconfirmed"].(float64) && m["unconfirmed"].(float64) > 0 {
		return "metadata.unconfirmed", "shorter than refresh; allowed: 0s, or no shorter than refresh"
	}
	repos := map[string]bool{}
	for _, v := range m["repository"].([]any) {
		name := v.(map[string]any)["name"].(string)
		if repos[name] {
			return "metadata.repository", fmt.Sprintf("%s is given twice", name)
		}
		repos[name] = true
	}
	for _, v := range m["repository"].([]any) {
		r := v.(map[string]any)
		mirrors, _ := r["mirror"].([]any)
		if (len(mirrors) == 0) == (r["discovery"] == nil) {
			return "metadata.repository", fmt.Sprintf("%s: either mirror lines or discovery are wanted", r["name"])
		}
		if twice := firstDuplicate(mirrors); twice != "" {
			return "metadata.repository.mirror", fmt.Sprintf("%s is given twice", twice)
		}
		if image, ok := r["agree"].(string); ok && (!repos[image] || image == r["name"]) {
			return "metadata.repository.agree", fmt.Sprintf("%s is no other repository of this file", image)
		}
	}
	d, ok := m["director"].(map[string]any)
	if !ok {
		return "", ""
	}
	servers, _ := d["server"].([]any)
	packages, _ := d["package"].([]any)
	switch twiceServer, twiceBuild := firstDuplicate(servers), firstDuplicate(packages); {
	case !repos[d["image"].(string)]:
		return "metadata.director.image", fmt.Sprintf("%s is no repository of this file", d["image"])
	case twiceServer != "":
		return "metadata.director.server", twiceServer + " is given twice"
	case twiceBuild != "":
		return "metadata.director.package", "build " + twiceBuild + " is given twice"
	case d["platform"] != nil && d["wave"] != nil:
		return "metadata.director.wave", "contradicts platform: only one of them may say how far a build goes"
	case d["platform"] == nil && d["wave"] == nil:
		return "metadata.director", "either platform or wave is wanted"
	case m["floor"] == nil:
		return "metadata.director", "a Director needs a floor: without one it would give version numbers twice"
	}
	if w, ok := d["wave"].([]any); ok && !containsFirst(packages, w[0]) {
		return "metadata.director.wave", fmt.Sprintf("build %v has no package", w[0])
	}
	if b := d["running"]; b != nil && !containsFirst(packages, b) {
		return "metadata.director.running", fmt.Sprintf("build %v has no package", b)
	}
	return "", ""
}

// firstDuplicate finds a directive whose first value comes twice.
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

func containsFirst(list []any, first any) bool {
	for _, v := range list {
		if v.([]any)[0] == first {
			return true
		}
	}
	return false
}
