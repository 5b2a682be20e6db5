package operatorconfig

import (
	"fmt"
	"strings"
)

var (
	requestClassValues = []Value{{Name: "target", Kind: Duration, Min: 0.001, Max: 600},
		{Name: "timeout", Kind: Duration, Min: 0.001, Max: 3600}, {Name: "importance", Kind: Number, Min: 1, Max: 100}}
	buildValue = Value{Name: "build", Kind: Number, Min: 1, Max: 65535}
)

// Operators is the table of the operator's own file. Nothing is switched on without it.
var Operators = Table{Directives: []Directive{
	{Name: "log_level", Values: []Value{{Name: "level", Kind: Choice, Choices: []string{"debug", "info", "warn", "error"}}},
		Default: "info", Text: "The least level of log lines."},
	{Name: "metadata", Block: true, Text: "The metadata front: TUF and Uptane metadata and packages for servers."},

	{Name: "verdicts", Block: true, Text: "How a relay judges new packages, and what it keeps of that. For bin/silvercove-relay, by NODE_OPERATOR."},

	{Parent: "verdicts", Name: "evidence_wait", Values: []Value{{Name: "span", Kind: Duration, Min: 0, Max: 86400}}, Default: "0s",
		Text: "How long a stage waits for evidence on op types that lack it, before the clock decides."},
	{Parent: "verdicts", Name: "report_within", Values: []Value{{Name: "span", Kind: Duration, Min: 0, Max: 86400}}, Default: "0s",
		Text: "Within which flags on wrong answers are held to come; 0s: a vote does not wait for them."},
	{Parent: "verdicts", Name: "ledger", Values: []Value{{Name: "path", Kind: Path}},
		Text: "Where what is known of builds outlives a restart. Without: it does not."},
	{Parent: "verdicts", Name: "save", Values: []Value{{Name: "every", Kind: Duration, Min: 0.1, Max: 3600}}, Default: "2s",
		Text: "How often the ledger is written; what came since is lost with the process."},
	{Parent: "verdicts", Name: "half_life", Values: []Value{{Name: "span", Kind: Duration, Min: 1, Max: 86400}}, Default: "10m",
		Text: "After a restart outcomes count half for each such span that has passed."},

	{Name: "fleet", Block: true, Text: "What this process is in a fleet whose processes talk with one another. For silvercovectl fleet."},

	{Parent: "fleet", Name: "name", Values: []Value{{Name: "name", Kind: Name}}, Required: true,
		Text: "The fleet. A process of another one is turned away."},
	{Parent: "fleet", Name: "node", Values: []Value{{Name: "name", Kind: Name}}, Required: true,
		Text: "This process's own name; no other one of the fleet has it."},
	{Parent: "fleet", Name: "role", Values: []Value{{Name: "role", Kind: Choice, Choices: []string{"relay", "edge", "keeper"}}}, Required: true,
		Text: "What it does."},
	{Parent: "fleet", Name: "zone", Values: []Value{{Name: "name", Kind: Name}}, Required: true, Text: "Where it is."},
	{Parent: "fleet", Name: "listen", Values: []Value{{Name: "address", Kind: Address}}, Required: true,
		Text: "Where the fleet's other processes reach it."},
	{Parent: "fleet", Name: "peer", Repeatable: true, Values: []Value{{Name: "name", Kind: Name},
		{Name: "role", Kind: Choice, Choices: []string{"relay", "edge", "keeper"}}, {Name: "zone", Kind: Name},
		{Name: "address", Kind: Address}}, Text: "Another process, and where this one reaches it."},
	{Parent: "fleet", Name: "commands", Repeatable: true, Values: []Value{{Name: "unit", Kind: Name}, {Name: "address", Kind: Address}},
		Text: "Where an edge unit takes commands as this process reaches it; its own: where it listens for them."},
	{Parent: "fleet", Name: "build", Values: []Value{buildValue}, Default: "1", Text: "What an edge unit runs."},
	{Parent: "fleet", Name: "metrics", Values: []Value{{Name: "address", Kind: Address}},
		Text: "Where metrics are served, as GET /metrics in the text format of Prometheus. Without: nowhere."},
	{Parent: "fleet", Name: "data", Values: []Value{{Name: "folder", Kind: Path}},
		Text: "What outlives a restart: a keeper's log, an edge unit's instances. Without: memory alone (edge units)."},
	{Parent: "fleet", Name: "clients", Values: []Value{{Name: "address", Kind: Address}}, Text: "Where a relay's clients connect."},
	{Parent: "fleet", Name: "settings", Values: []Value{{Name: "path", Kind: Path}},
		Text: "A relay's JSON file, as NODE_CONFIG names it elsewhere; discovery, release_api.address and known may be absent."},
	{Parent: "fleet", Name: "power", Values: []Value{{Name: "folder", Kind: Path}},
		Text: "Where an edge unit reads its strength: folders power_supply and thermal in Linux's layout of classes."},
	{Parent: "fleet", Name: "reserve", Values: []Value{{Name: "span", Kind: Duration, Min: 1, Max: 3600}}, Default: "60s",
		Text: "The least time that an edge unit keeps to hand on all its instances before it is empty or too hot."},
	{Parent: "fleet", Name: "hot", Values: []Value{{Name: "degrees", Kind: Decimal, Min: 40, Max: 120}}, Default: "85",
		Text: "Degrees C that no sensor of an edge unit may reach; the machine's own limit where that is lower."},
	{Parent: "fleet", Name: "empty", Values: []Value{{Name: "share", Kind: Fraction}}, Default: "5%",
		Text: "The charge at which an edge unit's battery counts as empty."},
	{Parent: "fleet", Name: "places", Values: []Value{{Name: "number", Kind: Number, Min: 1, Max: 10000}}, Default: "8",
		Text: "Instances that an edge unit serves at most."},
	{Parent: "fleet", Name: "lease", Values: []Value{{Name: "span", Kind: Duration, Min: 0.1, Max: 60}}, Default: "1s",
		Text: "For how long an edge unit may act on a keeper's word. The same at all processes."},
	{Parent: "fleet", Name: "drift", Values: []Value{{Name: "share", Kind: Fraction}}, Default: "2%",
		Text: "By how much one process's clock may run faster than another's."},
	{Parent: "fleet", Name: "silence", Values: []Value{{Name: "span", Kind: Duration, Min: 0.05, Max: 600}}, Default: "1s",
		Text: "After so long without a sign a member is suspected; after three times as long it is held to be dead."},
	{Parent: "fleet", Name: "copies", Values: []Value{{Name: "number", Kind: Number, Min: 0, Max: 4}}, Default: "1",
		Text: "Holders of each instance beside its owner, where there are units for it."},
	{Parent: "fleet", Name: "away", Values: []Value{{Name: "number", Kind: Number, Min: 0, Max: 4}}, Default: "0",
		Text: "Of these, holders in another zone than its owner, where one has a unit for it; at most copies. The same at all processes."},
	{Parent: "fleet", Name: "moves", Values: []Value{{Name: "unit", Kind: Number, Min: 1, Max: 1000},
		{Name: "link", Kind: Number, Min: 1, Max: 1000}, {Name: "all", Kind: Number, Min: 1, Max: 100000}},
		Default: "8 4 64", Text: "Handovers under way at most: at one unit, between two zones, in all."},
	{Parent: "fleet", Name: "dwell", Values: []Value{{Name: "span", Kind: Duration, Min: 0, Max: 3600}}, Default: "5s",
		Text: "An instance stays at least so long before it follows its device again, each time in a row twice as long."},
	{Parent: "fleet", Name: "restart_after", Values: []Value{{Name: "span", Kind: Duration, Min: 0.1, Max: 86400}}, Default: "10s",
		Text: "A lost instance goes on from an older copy after so long; what it lacks is told."},
	{Parent: "fleet", Name: "state", Values: []Value{{Name: "most", Kind: Size, Min: 1, Max: 16 << 20}}, Default: "1M",
		Text: "The most bytes of an instance's state; an effect beyond it is refused and nothing is lost."},
	{Parent: "fleet", Name: "falls", Values: []Value{{Name: "number", Kind: Number, Min: 2, Max: 100}}, Default: "3",
		Text: "Owners in a row that fall while they run an instance; then it is quarantined."},
	{Parent: "fleet", Name: "repeats", Values: []Value{{Name: "share", Kind: Fraction}}, Default: "10%",
		Text: "Repeated deliveries of the whole fleet, in parts of the first ones."},
	{Parent: "fleet", Name: "floor", Values: []Value{{Name: "share", Kind: Fraction}}, Default: "5%",
		Text: "The part of each op type's commands that is taken in however much is shed."},
	{Parent: "fleet", Name: "probes", Values: []Value{{Name: "a_second", Kind: Decimal, Min: 0.01, Max: 1000}}, Default: "2",
		Text: "Probes a second at a sick unit, of all relays together."},
	{Parent: "fleet", Name: "ramp", Values: []Value{{Name: "span", Kind: Duration, Min: 0, Max: 600}}, Default: "3s",
		Text: "Over how long starts, list calls and connections spread after a common restart."},

	{Parent: "metadata", Name: "listen", Values: []Value{{Name: "address", Kind: Address}}, Required: true,
		Text: "Where servers connect."},
	{Parent: "metadata", Name: "floor", Values: []Value{{Name: "paths", Kind: Words}},
		Text: "One file, or copies on different disks, that keep what may only grow. Without: memory alone."},
	{Parent: "metadata", Name: "floor_entries", Values: []Value{{Name: "most", Kind: Number, Min: 1000, Max: 1e8}},
		Default: "1200000", Text: "The most entries of the floor; one for each server and role."},
	{Parent: "metadata", Name: "connections", Values: []Value{{Name: "most", Kind: Number, Min: 1, Max: 1e6}},
		Default: "8192", Text: "Connections of servers that are open at once; more wait to be accepted."},
	{Parent: "metadata", Name: "waiting", Values: []Value{{Name: "most", Kind: Number, Min: 1, Max: 1e6}},
		Default: "4096", Text: "Requests that wait for mirrors or are being passed a package; more are answered 503."},
	{Parent: "metadata", Name: "relays", Values: []Value{{Name: "number", Kind: Number, Min: 1, Max: 10000}},
		Default: "1", Text: "How many such programs share the mirrors: the cold budget is divided among them."},
	{Parent: "metadata", Name: "refresh", Values: []Value{{Name: "every", Kind: Duration, Min: 0.02, Max: 3600}},
		Default: "1s", Text: "A timestamp is taken for the newest for so long, then mirrors are asked."},
	{Parent: "metadata", Name: "unconfirmed", Values: []Value{{Name: "span", Kind: Duration, Min: 0, Max: 86400}},
		Default: "30s", Text: "For so long it is also passed on while no mirror can be asked; never past its end."},
	{Parent: "metadata", Name: "survey", Values: []Value{{Name: "when", Kind: Choice, Choices: []string{"always", "never"}}},
		Default: "always", Text: "Whether a majority of mirrors must show its timestamp after a start."},
	{Parent: "metadata", Name: "connect_timeout", Values: []Value{{Name: "span", Kind: Duration, Min: 0.001, Max: 60}},
		Default: "300ms", Text: "How long a new connection to a mirror may take; less than the grace of drains, 1s."},
	{Parent: "metadata", Name: "max_come_back", Values: []Value{{Name: "span", Kind: Duration, Min: 0.1, Max: 3600}},
		Default: "10s", Text: "The longest time to come back that is told."},
	{Parent: "metadata", Name: "root", Values: requestClassValues, Default: "300ms 2s 4", Text: "Op type: the next root."},
	{Parent: "metadata", Name: "timestamp", Values: requestClassValues, Default: "300ms 2s 4", Text: "Op type: a timestamp."},
	{Parent: "metadata", Name: "snapshot", Values: requestClassValues, Default: "500ms 2s 3", Text: "Op type: a snapshot."},
	{Parent: "metadata", Name: "targets", Values: requestClassValues, Default: "500ms 2s 2", Text: "Op type: targets of any role."},
	{Parent: "metadata", Name: "package", Values: requestClassValues, Default: "60s 120s 1", Text: "Op type: the bytes of a package."},
	{Parent: "metadata", Name: "repository", Values: []Value{{Name: "name", Kind: Name}}, Repeatable: true, Block: true, Required: true,
		Text: "A repository that is carried, under /r/NAME/."},
	{Parent: "metadata", Name: "director", Block: true, Text: "Tells each server which package it is to run."},

	{Parent: "metadata.repository", Name: "root", Values: []Value{{Name: "path", Kind: Path}}, Required: true,
		Text: "The pinned root: a file that is trusted as it is. Later roots come by the chain."},
	{Parent: "metadata.repository", Name: "mirror", Repeatable: true, TakesEffect: "at SIGHUP", Values: []Value{{Name: "name", Kind: Name},
		{Name: "address", Kind: Address}, {Name: "zone", Kind: Name},
		{Name: "state", Kind: Choice, Choices: []string{"up", "draining"}}}, Text: "A mirror of it."},
	{Parent: "metadata.repository", Name: "discovery", Values: []Value{{Name: "address", Kind: Address}},
		Text: "An agent that tells the list of mirrors, in place of mirror."},
	{Parent: "metadata.repository", Name: "agree", Values: []Value{{Name: "image", Kind: Name}},
		Text: "It is a Director's: its targets are passed on only where this other repository agrees."},

	{Parent: "metadata.director", Name: "image", Values: []Value{{Name: "repository", Kind: Name}}, Required: true,
		Text: "The repository that its packages are of."},
	{Parent: "metadata.director", Name: "chain", Values: []Value{{Name: "folder", Kind: Path}}, Required: true,
		TakesEffect: "at SIGHUP", Text: "Where its root chain stands, as silvercovectl tuf publishes it."},
	{Parent: "metadata.director", Name: "key", Values: []Value{{Name: "path", Kind: Path}}, Repeatable: true, Required: true,
		TakesEffect: "at SIGHUP", Text: "An online key for its targets, snapshots or timestamps."},
	{Parent: "metadata.director", Name: "lasts", Values: []Value{{Name: "span", Kind: Duration, Min: 2, Max: 7 * 86400}},
		Default: "60s", Text: "How long what a server was told lasts, whole seconds."},
	{Parent: "metadata.director", Name: "running", Values: []Value{buildValue}, Text: "The build that all servers run at first."},
	{Parent: "metadata.director", Name: "package", Values: []Value{buildValue, {Name: "path", Kind: Path}}, Repeatable: true, Required: true,
		Text: "The path of a build's package in the image repository."},
	{Parent: "metadata.director", Name: "server", Repeatable: true, TakesEffect: "at SIGHUP", Values: []Value{{Name: "name", Kind: Name},
		{Name: "zone", Kind: Name}, {Name: "kind", Kind: Name}, {Name: "key", Kind: Path}},
		Text: "A server of the fleet, and the public key that its reports are signed with."},
	{Parent: "metadata.director", Name: "discovery", Values: []Value{{Name: "address", Kind: Address}},
		Text: "An agent that tells which servers are there; server lines then give keys only."},
	{Parent: "metadata.director", Name: "platform", Values: []Value{{Name: "address", Kind: Address}},
		Text: "The platform that tells how far a build may go."},
	{Parent: "metadata.director", Name: "wave", TakesEffect: "at SIGHUP", Values: []Value{buildValue,
		{Name: "state", Kind: Choice, Choices: []string{"testing", "recalling", "live", "recalled"}}, {Name: "cap", Kind: Fraction}},
		Text: "How far a build may go, in place of platform."},
}, Rules: []Rule{checkMetadata, checkFleet}}

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
