package testcluster

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rs/zerolog"

	"silvercove/internal/peertransport"
)

// relaySettings is the content of a relay's JSON settings file, with format verbs for the address of the release platform and for
// the number of relays. Its only request class is the one that Client uses.
const relaySettings = `{"seed": "8c1f30d27a5be964",
	"limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
	"release_api": {%s"news": {"Revision": 1, "Wave": 0, "State": "live", "MaxShare": 1.0, "AgeMs": 0}},
	"settings": {"balancers": %d, "limits": {"send_cap": 6, "connect_timeout": 0.3, "idle_close": 5.0, "retry_after": true,
		"max_retry_after": 1.0, "may_cancel": true},
	"grades": [{"name": "a", "semantics": "idempotency_key", "dedup_scope": "all", "window": 60.0, "on_time": 1.0,
		"deadline": 2.0, "worth": 1.0}]}}
`

// writeFiles adds the links and writes the configuration files of the processes.
func (c *Cluster) writeFiles(lines []string) error {
	relays := 0
	for _, p := range c.nodes {
		if p.Role == "relay" {
			relays++
		}
	}
	for _, p := range c.nodes {
		if p.Role == "relay" {
			platform := ""
			if p.Platform != "" {
				platform = fmt.Sprintf("%q: %q, ", "address", p.Platform)
			}
			path := filepath.Join(c.dir, p.Name+".json")
			if err := os.WriteFile(path, fmt.Appendf(nil, relaySettings, platform, relays), 0o600); err != nil {
				return err
			}
		}
		var b strings.Builder
		fmt.Fprintf(&b, "fleet {\n  name %s\n  node %s\n  role %s\n  zone %s\n  listen %s\n", c.fleetName, p.Name, p.Role, p.Zone,
			net.JoinHostPort(p.address, fleetPort))
		for _, line := range append(slices.Clone(lines), p.Directives...) {
			fmt.Fprintf(&b, "  %s\n", line)
		}
		if !p.Diskless && p.Role != "relay" {
			fmt.Fprintf(&b, "  data %s\n", p.dataDir)
		}
		if p.Role == "relay" {
			fmt.Fprintf(&b, "  clients %s\n  settings %s.json\n", net.JoinHostPort(p.address, requestPort), p.Name)
		}
		for _, q := range c.nodes {
			at := net.JoinHostPort(q.address, requestPort)
			if p != q {
				l, err := c.Links.AddLink(p.Name, q.Name, net.JoinHostPort(q.address, fleetPort))
				if err != nil {
					return err
				}
				fmt.Fprintf(&b, "  peer %s %s %s %s\n", q.Name, q.Role, q.Zone, l.Address())
				if q.Role == "edge" {
					if at, err = c.addRequestLink(p.Name, q); err != nil {
						return err
					}
				}
			}
			if q.Role == "edge" {
				fmt.Fprintf(&b, "  commands %s %s\n", q.Name, at)
			}
		}
		if err := os.WriteFile(p.file, []byte(b.String()+"}\n"), 0o600); err != nil {
			return err
		}
	}
	return c.openNetwork()
}

// addRequestLink adds the link over which a process, or the test, sends requests to another process.
func (c *Cluster) addRequestLink(from string, q *process) (address string, err error) {
	l, err := c.Links.AddLink(from, q.Name, net.JoinHostPort(q.address, requestPort))
	if err != nil {
		return "", err
	}
	q.requestLinks[from] = l
	return l.Address(), nil
}

// openNetwork connects the test to the controllers over links of its own. A process accepts connections only from the peers in
// its configuration file, which does not list the test. The test therefore uses the name of a process that is not a controller.
func (c *Cluster) openNetwork() (err error) {
	self := c.nodes[len(c.nodes)-1]
	var controllers []peertransport.Peer
	for _, q := range c.nodes {
		if q.Role != "keeper" {
			self = q
			if _, err := c.addRequestLink(TestNode, q); err != nil {
				return err
			}
			continue
		}
		l, err := c.Links.AddLink(TestNode, q.Name, net.JoinHostPort(q.address, fleetPort))
		if err != nil {
			return err
		}
		if q != self {
			controllers = append(controllers, peertransport.Peer{Name: q.Name, Role: q.Role, Zone: q.Zone, Address: l.Address()})
		}
	}
	c.network, err = peertransport.Open(c.fleetName, peertransport.Peer{Name: self.Name, Role: self.Role, Zone: self.Zone, Address: "127.0.0.1:0"}, controllers,
		zerolog.Nop())
	return err
}
