package operatorconfig

import (
	"fmt"
	"strings"
)

const most = 1 << 40 // a bound for sizes and numbers that have no other

var (
	opType = []Value{{Name: "target", Kind: Span, Least: 0.001, Most: 600},
		{Name: "timeout", Kind: Span, Least: 0.001, Most: 3600}, {Name: "importance", Kind: Number, Least: 1, Most: 100}}
	build = Value{Name: "build", Kind: Number, Least: 1, Most: 65535}
)

// Operators is the table of the operator's own file. Nothing is switched on without it.
var Operators = Table{Directives: []Directive{
	{Name: "log_level", Values: []Value{{Name: "level", Kind: Choice, Of: []string{"debug", "info", "warn", "error"}}},
		Default: "info", Text: "The least level of log lines."},
	{Name: "metadata", Block: true, Text: "The metadata front: TUF and Uptane metadata and packages for servers."},

	{Name: "verdicts", Block: true, Text: "How a relay judges new packages, and what it keeps of that. For bin/silvercove-relay, by NODE_OPERATOR."},

	{In: "verdicts", Name: "evidence_wait", Values: []Value{{Name: "span", Kind: Span, Least: 0, Most: 86400}}, Default: "0s",
		Text: "How long a stage waits for evidence on op types that lack it, before the clock decides."},
	{In: "verdicts", Name: "report_within", Values: []Value{{Name: "span", Kind: Span, Least: 0, Most: 86400}}, Default: "0s",
		Text: "Within which flags on wrong answers are held to come; 0s: a vote does not wait for them."},
	{In: "verdicts", Name: "ledger", Values: []Value{{Name: "path", Kind: Path}},
		Text: "Where what is known of builds outlives a restart. Without: it does not."},
	{In: "verdicts", Name: "save", Values: []Value{{Name: "every", Kind: Span, Least: 0.1, Most: 3600}}, Default: "2s",
		Text: "How often the ledger is written; what came since is lost with the process."},
	{In: "verdicts", Name: "half_life", Values: []Value{{Name: "span", Kind: Span, Least: 1, Most: 86400}}, Default: "10m",
		Text: "After a restart outcomes count half for each such span that has passed."},

	{Name: "fleet", Block: true, Text: "What this process is in a fleet whose processes talk with one another. For silvercovectl fleet."},

	{In: "fleet", Name: "name", Values: []Value{{Name: "name", Kind: Name}}, Needed: true,
		Text: "The fleet. A process of another one is turned away."},
	{In: "fleet", Name: "node", Values: []Value{{Name: "name", Kind: Name}}, Needed: true,
		Text: "This process's own name; no other one of the fleet has it."},
	{In: "fleet", Name: "role", Values: []Value{{Name: "role", Kind: Choice, Of: []string{"relay", "edge", "keeper"}}}, Needed: true,
		Text: "What it does."},
	{In: "fleet", Name: "zone", Values: []Value{{Name: "name", Kind: Name}}, Needed: true, Text: "Where it is."},
	{In: "fleet", Name: "listen", Values: []Value{{Name: "address", Kind: Address}}, Needed: true,
		Text: "Where the fleet's other processes reach it."},
	{In: "fleet", Name: "peer", More: true, Values: []Value{{Name: "name", Kind: Name},
		{Name: "role", Kind: Choice, Of: []string{"relay", "edge", "keeper"}}, {Name: "zone", Kind: Name},
		{Name: "address", Kind: Address}}, Text: "Another process, and where this one reaches it."},
	{In: "fleet", Name: "commands", More: true, Values: []Value{{Name: "unit", Kind: Name}, {Name: "address", Kind: Address}},
		Text: "Where an edge unit takes commands as this process reaches it; its own: where it listens for them."},
	{In: "fleet", Name: "build", Values: []Value{build}, Default: "1", Text: "What an edge unit runs."},
	{In: "fleet", Name: "metrics", Values: []Value{{Name: "address", Kind: Address}},
		Text: "Where metrics are served, as GET /metrics in the text format of Prometheus. Without: nowhere."},
	{In: "fleet", Name: "data", Values: []Value{{Name: "folder", Kind: Path}},
		Text: "What outlives a restart: a keeper's log, an edge unit's instances. Without: memory alone (edge units)."},
	{In: "fleet", Name: "clients", Values: []Value{{Name: "address", Kind: Address}}, Text: "Where a relay's clients connect."},
	{In: "fleet", Name: "settings", Values: []Value{{Name: "path", Kind: Path}},
		Text: "A relay's JSON file, as NODE_CONFIG names it elsewhere; discovery, release_api.address and known may be absent."},
	{In: "fleet", Name: "power", Values: []Value{{Name: "folder", Kind: Path}},
		Text: "Where an edge unit reads its strength: folders power_supply and thermal in Linux's layout of classes."},
	{In: "fleet", Name: "reserve", Values: []Value{{Name: "span", Kind: Span, Least: 1, Most: 3600}}, Default: "60s",
		Text: "The least time that an edge unit keeps to hand on all its instances before it is empty or too hot."},
	{In: "fleet", Name: "hot", Values: []Value{{Name: "degrees", Kind: Figure, Least: 40, Most: 120}}, Default: "85",
		Text: "Degrees C that no sensor of an edge unit may reach; the machine's own limit where that is lower."},
	{In: "fleet", Name: "empty", Values: []Value{{Name: "share", Kind: Share}}, Default: "5%",
		Text: "The charge at which an edge unit's battery counts as empty."},
	{In: "fleet", Name: "places", Values: []Value{{Name: "number", Kind: Number, Least: 1, Most: 10000}}, Default: "8",
		Text: "Instances that an edge unit serves at most."},
	{In: "fleet", Name: "lease", Values: []Value{{Name: "span", Kind: Span, Least: 0.1, Most: 60}}, Default: "1s",
		Text: "For how long an edge unit may act on a keeper's word. The same at all processes."},
	{In: "fleet", Name: "drift", Values: []Value{{Name: "share", Kind: Share}}, Default: "2%",
		Text: "By how much one process's clock may run faster than another's."},
	{In: "fleet", Name: "silence", Values: []Value{{Name: "span", Kind: Span, Least: 0.05, Most: 600}}, Default: "1s",
		Text: "After so long without a sign a member is suspected; after three times as long it is held to be dead."},
	{In: "fleet", Name: "copies", Values: []Value{{Name: "number", Kind: Number, Least: 0, Most: 4}}, Default: "1",
		Text: "Holders of each instance beside its owner, where there are units for it."},
	{In: "fleet", Name: "away", Values: []Value{{Name: "number", Kind: Number, Least: 0, Most: 4}}, Default: "0",
		Text: "Of these, holders in another zone than its owner, where one has a unit for it; at most copies. The same at all processes."},
	{In: "fleet", Name: "moves", Values: []Value{{Name: "unit", Kind: Number, Least: 1, Most: 1000},
		{Name: "link", Kind: Number, Least: 1, Most: 1000}, {Name: "all", Kind: Number, Least: 1, Most: 100000}},
		Default: "8 4 64", Text: "Handovers under way at most: at one unit, between two zones, in all."},
	{In: "fleet", Name: "dwell", Values: []Value{{Name: "span", Kind: Span, Least: 0, Most: 3600}}, Default: "5s",
		Text: "An instance stays at least so long before it follows its device again, each time in a row twice as long."},
	{In: "fleet", Name: "restart_after", Values: []Value{{Name: "span", Kind: Span, Least: 0.1, Most: 86400}}, Default: "10s",
		Text: "A lost instance goes on from an older copy after so long; what it lacks is told."},
	{In: "fleet", Name: "state", Values: []Value{{Name: "most", Kind: Size, Least: 1, Most: 16 << 20}}, Default: "1M",
		Text: "The most bytes of an instance's state; an effect beyond it is refused and nothing is lost."},
	{In: "fleet", Name: "falls", Values: []Value{{Name: "number", Kind: Number, Least: 2, Most: 100}}, Default: "3",
		Text: "Owners in a row that fall while they run an instance; then it is quarantined."},
	{In: "fleet", Name: "repeats", Values: []Value{{Name: "share", Kind: Share}}, Default: "10%",
		Text: "Repeated deliveries of the whole fleet, in parts of the first ones."},
	{In: "fleet", Name: "floor", Values: []Value{{Name: "share", Kind: Share}}, Default: "5%",
		Text: "The part of each op type's commands that is taken in however much is shed."},
	{In: "fleet", Name: "probes", Values: []Value{{Name: "a_second", Kind: Figure, Least: 0.01, Most: 1000}}, Default: "2",
		Text: "Probes a second at a sick unit, of all relays together."},
	{In: "fleet", Name: "ramp", Values: []Value{{Name: "span", Kind: Span, Least: 0, Most: 600}}, Default: "3s",
		Text: "Over how long starts, list calls and connections spread after a common restart."},

	{In: "metadata", Name: "listen", Values: []Value{{Name: "address", Kind: Address}}, Needed: true,
		Text: "Where servers connect."},
	{In: "metadata", Name: "floor", Values: []Value{{Name: "paths", Kind: Many}},
		Text: "One file, or copies on different disks, that keep what may only grow. Without: memory alone."},
	{In: "metadata", Name: "floor_entries", Values: []Value{{Name: "most", Kind: Number, Least: 1000, Most: 1e8}},
		Default: "1200000", Text: "The most entries of the floor; one for each server and role."},
	{In: "metadata", Name: "connections", Values: []Value{{Name: "most", Kind: Number, Least: 1, Most: 1e6}},
		Default: "8192", Text: "Connections of servers that are open at once; more wait to be accepted."},
	{In: "metadata", Name: "waiting", Values: []Value{{Name: "most", Kind: Number, Least: 1, Most: 1e6}},
		Default: "4096", Text: "Requests that wait for mirrors or are being passed a package; more are answered 503."},
	{In: "metadata", Name: "relays", Values: []Value{{Name: "number", Kind: Number, Least: 1, Most: 10000}},
		Default: "1", Text: "How many such programs share the mirrors: the cold budget is divided among them."},
	{In: "metadata", Name: "refresh", Values: []Value{{Name: "every", Kind: Span, Least: 0.02, Most: 3600}},
		Default: "1s", Text: "A timestamp is taken for the newest for so long, then mirrors are asked."},
	{In: "metadata", Name: "unconfirmed", Values: []Value{{Name: "span", Kind: Span, Least: 0, Most: 86400}},
		Default: "30s", Text: "For so long it is also passed on while no mirror can be asked; never past its end."},
	{In: "metadata", Name: "survey", Values: []Value{{Name: "when", Kind: Choice, Of: []string{"always", "never"}}},
		Default: "always", Text: "Whether a majority of mirrors must show its timestamp after a start."},
	{In: "metadata", Name: "connect_timeout", Values: []Value{{Name: "span", Kind: Span, Least: 0.001, Most: 60}},
		Default: "300ms", Text: "How long a new connection to a mirror may take; less than the grace of drains, 1s."},
	{In: "metadata", Name: "max_come_back", Values: []Value{{Name: "span", Kind: Span, Least: 0.1, Most: 3600}},
		Default: "10s", Text: "The longest time to come back that is told."},
	{In: "metadata", Name: "root", Values: opType, Default: "300ms 2s 4", Text: "Op type: the next root."},
	{In: "metadata", Name: "timestamp", Values: opType, Default: "300ms 2s 4", Text: "Op type: a timestamp."},
	{In: "metadata", Name: "snapshot", Values: opType, Default: "500ms 2s 3", Text: "Op type: a snapshot."},
	{In: "metadata", Name: "targets", Values: opType, Default: "500ms 2s 2", Text: "Op type: targets of any role."},
	{In: "metadata", Name: "package", Values: opType, Default: "60s 120s 1", Text: "Op type: the bytes of a package."},
	{In: "metadata", Name: "repository", Values: []Value{{Name: "name", Kind: Name}}, More: true, Block: true, Needed: true,
		Text: "A repository that is carried, under /r/NAME/."},
	{In: "metadata", Name: "director", Block: true, Text: "Tells each server which package it is to run."},

	{In: "metadata.repository", Name: "root", Values: []Value{{Name: "path", Kind: Path}}, Needed: true,
		Text: "The pinned root: a file that is trusted as it is. Later roots come by the chain."},
	{In: "metadata.repository", Name: "mirror", More: true, Takes: "at SIGHUP", Values: []Value{{Name: "name", Kind: Name},
		{Name: "address", Kind: Address}, {Name: "zone", Kind: Name},
		{Name: "state", Kind: Choice, Of: []string{"up", "draining"}}}, Text: "A mirror of it."},
	{In: "metadata.repository", Name: "discovery", Values: []Value{{Name: "address", Kind: Address}},
		Text: "An agent that tells the list of mirrors, in place of mirror."},
	{In: "metadata.repository", Name: "agree", Values: []Value{{Name: "image", Kind: Name}},
		Text: "It is a Director's: its targets are passed on only where this other repository agrees."},

	{In: "metadata.director", Name: "image", Values: []Value{{Name: "repository", Kind: Name}}, Needed: true,
		Text: "The repository that its packages are of."},
	{In: "metadata.director", Name: "chain", Values: []Value{{Name: "folder", Kind: Path}}, Needed: true,
		Takes: "at SIGHUP", Text: "Where its root chain stands, as silvercovectl tuf publishes it."},
	{In: "metadata.director", Name: "key", Values: []Value{{Name: "path", Kind: Path}}, More: true, Needed: true,
		Takes: "at SIGHUP", Text: "An online key for its targets, snapshots or timestamps."},
	{In: "metadata.director", Name: "lasts", Values: []Value{{Name: "span", Kind: Span, Least: 2, Most: 7 * 86400}},
		Default: "60s", Text: "How long what a server was told lasts, whole seconds."},
	{In: "metadata.director", Name: "running", Values: []Value{build}, Text: "The build that all servers run at first."},
	{In: "metadata.director", Name: "package", Values: []Value{build, {Name: "path", Kind: Path}}, More: true, Needed: true,
		Text: "The path of a build's package in the image repository."},
	{In: "metadata.director", Name: "server", More: true, Takes: "at SIGHUP", Values: []Value{{Name: "name", Kind: Name},
		{Name: "zone", Kind: Name}, {Name: "kind", Kind: Name}, {Name: "key", Kind: Path}},
		Text: "A server of the fleet, and the public key that its reports are signed with."},
	{In: "metadata.director", Name: "discovery", Values: []Value{{Name: "address", Kind: Address}},
		Text: "An agent that tells which servers are there; server lines then give keys only."},
	{In: "metadata.director", Name: "platform", Values: []Value{{Name: "address", Kind: Address}},
		Text: "The platform that tells how far a build may go."},
	{In: "metadata.director", Name: "wave", Takes: "at SIGHUP", Values: []Value{build,
		{Name: "state", Kind: Choice, Of: []string{"testing", "recalling", "live", "recalled"}}, {Name: "cap", Kind: Share}},
		Text: "How far a build may go, in place of platform."},
}, Rules: []Rule{sound, oneFleet}}

// oneFleet are the checks of a fleet's block.
func oneFleet(all map[string]any) (directive, fault string) {
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

// sound are the checks between directives.
func sound(all map[string]any) (directive, fault string) {
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
		if twice := doubled(mirrors); twice != "" {
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
	switch twiceServer, twiceBuild := doubled(servers), doubled(packages); {
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
	if w, ok := d["wave"].([]any); ok && !names(packages, w[0]) {
		return "metadata.director.wave", fmt.Sprintf("build %v has no package", w[0])
	}
	if b := d["running"]; b != nil && !names(packages, b) {
		return "metadata.director.running", fmt.Sprintf("build %v has no package", b)
	}
	return "", ""
}

// doubled finds a directive whose first value comes twice.
func doubled(list []any) string {
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

func names(list []any, first any) bool {
	for _, v := range list {
		if v.([]any)[0] == first {
			return true
		}
	}
	return false
}
