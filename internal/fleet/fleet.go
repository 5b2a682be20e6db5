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
	Fleet string
	Self  peertransport.Peer
	Peers []peertransport.Peer
	Data  string // folder, "" for none
	Power string // folder, "" for none
	Level string // of log lines

	Clients, Settings string // of a relay: where its clients connect; its JSON file
	Metrics           string // where they are served, "" for nowhere
	Build             uint16 // of an edge unit: what it runs

	// What decision modules are handed: spans in seconds, shares in parts of 1, named fleet.lease and so on as the
	// directives are; fleet.moves.unit, .link and .all; fleet.keepers, fleet.relays and fleet.edges count processes,
	// this one included.
	Set map[string]any
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
		Address: word("listen")}, Set: map[string]any{}}
	f.Level, _ = all["log_level"].(string)
	f.Clients, f.Metrics = word("clients"), word("metrics")
	for name, to := range map[string]*string{"data": &f.Data, "power": &f.Power, "settings": &f.Settings} {
		if *to = word(name); *to != "" && !filepath.IsAbs(*to) {
			*to = filepath.Join(filepath.Dir(path), *to)
		}
	}
	for name, v := range b {
		if n, ok := v.(float64); ok {
			f.Set["fleet."+name] = n
		}
	}
	n, _ := b["build"].(float64)
	f.Build = uint16(n)
	for i, part := range []string{"unit", "link", "all"} {
		f.Set["fleet.moves."+part] = b["moves"].([]any)[i]
	}
	commands := map[string]string{}
	list, _ := b["commands"].([]any)
	for _, v := range list {
		c := v.([]any)
		commands[c[0].(string)] = c[1].(string)
	}
	f.Self.Commands = commands[f.Self.Name]
	counts := map[string]float64{f.Self.Role: 1}
	list, _ = b["peer"].([]any)
	for _, v := range list {
		p := v.([]any)
		name := p[0].(string)
		f.Peers = append(f.Peers, peertransport.Peer{Name: name, Role: p[1].(string), Zone: p[2].(string),
			Address: p[3].(string), Commands: commands[name]})
		counts[p[1].(string)]++
	}
	for role, name := range map[string]string{"keeper": "keepers", "relay": "relays", "edge": "edges"} {
		f.Set["fleet."+name] = counts[role]
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
