// Package fleet reads what an operator's file says of the fleet that a process belongs to.
package fleet

import (
	"fmt"
	"path/filepath"

	"silvercove/internal/operatorconfig"
	"silvercove/internal/peertransport"
)

// File is the block fleet of an operator's file.
type File struct {
	Fleet    string
	Self     peertransport.Peer
	Peers    []peertransport.Peer
	DataDir  string // folder, "" for none
	PowerDir string // folder, "" for none
	LogLevel string // of log lines

	ClientAddress, SettingsPath string // of a relay: where its clients connect; its JSON file
	MetricsAddress              string // where they are served, "" for nowhere
	SoftwareVersion             uint16 // of an edge unit: what it runs

	// What decision modules are handed: spans in seconds, shares in parts of 1, named fleet.lease and so on as the
	// directives are; fleet.moves.unit, .link and .all; fleet.keepers, fleet.relays and fleet.edges count processes,
	// this one included.
	Settings map[string]any
}

// Read reads a file. It has to have a block fleet.
func Read(path string) (*File, error) {
	all, err := operatorconfig.Operators.Read(path)
	if err != nil {
		return nil, err
	}
	b, ok := all["fleet"].(map[string]any)
	if !ok {
		return nil, fmt.Errorf("%s: no block fleet", path)
	}
	word := func(name string) string { s, _ := b[name].(string); return s }
	f := &File{Fleet: word("name"), Self: peertransport.Peer{Name: word("node"), Role: word("role"), Zone: word("zone"),
		Address: word("listen")}, Settings: map[string]any{}}
	f.LogLevel, _ = all["log_level"].(string)
	f.ClientAddress, f.MetricsAddress = word("clients"), word("metrics")
	for name, to := range map[string]*string{"data": &f.DataDir, "power": &f.PowerDir, "settings": &f.SettingsPath} {
		if *to = word(name); *to != "" && !filepath.IsAbs(*to) {
			*to = filepath.Join(filepath.Dir(path), *to)
		}
	}
	for name, v := range b {
		if n, ok := v.(float64); ok {
			f.Settings["fleet."+name] = n
		}
	}
	n, _ := b["build"].(float64)
	f.SoftwareVersion = uint16(n)
	for i, part := range []string{"unit", "link", "all"} {
		f.Settings["fleet.moves."+part] = b["moves"].([]any)[i]
	}
	commands := map[string]string{}
	list, _ := b["commands"].([]any)
	for _, v := range list {
		c := v.([]any)
		commands[c[0].(string)] = c[1].(string)
	}
	f.Self.RequestAddress = commands[f.Self.Name]
	counts := map[string]float64{f.Self.Role: 1}
	list, _ = b["peer"].([]any)
	for _, v := range list {
		p := v.([]any)
		name := p[0].(string)
		f.Peers = append(f.Peers, peertransport.Peer{Name: name, Role: p[1].(string), Zone: p[2].(string),
			Address: p[3].(string), RequestAddress: commands[name]})
		counts[p[1].(string)]++
	}
	for role, name := range map[string]string{"keeper": "keepers", "relay": "relays", "edge": "edges"} {
		f.Settings["fleet."+name] = counts[role]
	}
	return f, nil
}

// ReadRole reads a file for a process of a role; one of another role is an error.
func ReadRole(path, role string) (*File, error) {
	f, err := Read(path)
	if err == nil && f.Self.Role != role {
		return nil, fmt.Errorf("%s: it is for a process of role %s, this is one of role %s", path, f.Self.Role, role)
	}
	return f, err
}
