package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// fleetExampleCmd is the sub-command that writes the files of an example fleet.
type fleetExampleCmd struct {
	Folder      string `arg:"" help:"Folder for the files; it must not exist."`
	Controllers int    `name:"keepers" default:"3" help:"Number of controllers: 1, 3 or 5."`
	Nodes       int    `name:"edges" default:"4" help:"Number of edge nodes, half of them in zone north and half in zone south."`
	Relays      int    `default:"2" help:"Number of relays."`
	Port        int    `default:"17000" help:"The ports on loopback follow this one."`
}

// exampleSettings is the JSON file of the settings that the relays share, with the request classes of an image service.
// Times are in seconds. The verb %d stands for the number of relays.
const exampleSettings = `{
  "seed": "8c1f30d27a5be964",
  "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
  "release_api": {"news": {"Revision": 1, "Wave": 0, "State": "live", "MaxShare": 1.0, "AgeMs": 0}},
  "settings": {
    "balancers": %d,
    "limits": {"send_cap": 6, "connect_timeout": 0.5, "idle_close": 5.0, "retry_after": true, "max_retry_after": 1.0, "may_cancel": true},
    "grades": [
      {"name": "crop", "semantics": "idempotency_key", "dedup_scope": "all", "window": 60.0, "on_time": 1.0, "deadline": 2.0, "worth": 4.0},
      {"name": "caption", "semantics": "idempotency_key", "dedup_scope": "all", "window": 60.0, "on_time": 1.0, "deadline": 2.0, "worth": 2.0},
      {"name": "look", "semantics": "read_like", "on_time": 0.5, "deadline": 1.0, "worth": 1.0}
    ]
  }
}
`

// Run writes the files of a small fleet on loopback: one configuration file for each process, and the settings that the
// relays share.
func (c *fleetExampleCmd) Run() error {
	if c.Controllers != 1 && c.Controllers != 3 && c.Controllers != 5 {
		return fmt.Errorf("%d controllers: allowed are 1, 3 or 5", c.Controllers)
	}
	if c.Nodes < 1 || c.Relays < 1 || c.Nodes+c.Relays > 200 || c.Port < 1024 || c.Port > 60000 {
		return fmt.Errorf("allowed: at least one edge node and one relay, at most 200 of both together, ports from 1024 to 60000")
	}
	if err := os.Mkdir(c.Folder, 0o755); err != nil {
		return err
	}
	type process struct{ name, role, zone, address, extraLines string }
	var all []process
	port := c.Port
	address := func() string {
		port++
		return net.JoinHostPort("127.0.0.1", fmt.Sprint(port))
	}
	var commands strings.Builder
	zones := []string{"north", "south"}
	for i := range c.Controllers {
		name := fmt.Sprintf("keeper-%d", i+1)
		all = append(all, process{name, "keeper", zones[i%2], address(), "  data " + name + "\n"})
	}
	for i := range c.Nodes {
		name := fmt.Sprintf("edge-%c", 'a'+i%26)
		if i >= 26 {
			name += fmt.Sprint(i / 26)
		}
		all = append(all, process{name, "edge", zones[i*2/c.Nodes], address(), "  data " + name + "\n"})
		fmt.Fprintf(&commands, "  commands %s %s\n", name, address())
	}
	for i := range c.Relays {
		name := fmt.Sprintf("relay-%d", i+1)
		all = append(all, process{name, "relay", zones[i%2], address(), fmt.Sprintf("  clients %s\n  settings relay.json\n", address())})
	}
	for _, p := range all {
		var b strings.Builder
		fmt.Fprintf(&b, "fleet {\n  name vans\n  node %s\n  role %s\n  zone %s\n  listen %s\n  away 1\n%s", p.name, p.role, p.zone, p.address, p.extraLines)
		for _, o := range all {
			if o.name != p.name {
				fmt.Fprintf(&b, "  peer %s %s %s %s\n", o.name, o.role, o.zone, o.address)
			}
		}
		b.WriteString(commands.String() + "}\n")
		if err := os.WriteFile(filepath.Join(c.Folder, p.name+".conf"), []byte(b.String()), 0o644); err != nil {
			return withDiskFull(err)
		}
	}
	err := os.WriteFile(filepath.Join(c.Folder, "relay.json"), fmt.Appendf(nil, exampleSettings, c.Relays), 0o644)
	return withDiskFull(err)
}
