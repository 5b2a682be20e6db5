// Package fleet reads what an operator's file says of the fleet that a process belongs to. It maps the file's directives,
// which keep their names, to typed fields; the settings of the decision packages go on by name (File.Settings).
package fleet

import (
	"fmt"
	"path/filepath"

	"silvercove/internal/operatorconfig"
	"silvercove/internal/peertransport"
)

// File is the block fleet of an operator's file.
type File struct {
	FleetName string // its name
	Self      peertransport.Peer
	Peers     []peertransport.Peer // in the file's order

	DataDir  string // "": none
	PowerDir string // in the layout of package devicepower, "": none
	LogLevel string // of the least log lines that are written

	ClientAddress   string // of a relay: where its clients connect, HOST:PORT
	SettingsPath    string // of a relay: its JSON file
	MetricsAddress  string // where metrics are served, HOST:PORT; "": nowhere
	SoftwareVersion uint16 // of an edge node: what it runs

	// Settings are what decision packages are handed: spans in seconds, shares as fractions, named "fleet.lease" and so on
	// as the directives are; "fleet.moves.unit", ".link" and ".all"; "fleet.keepers", "fleet.relays" and "fleet.edges" count
	// processes, this one included. Each value is a float64.
	Settings map[string]any
}

// block is the block fleet as operatorconfig has read and checked it.
type block map[string]any

// Read reads a file. It fails where the file can't be read, contradicts itself, or has no block fleet.
func Read(path string) (*File, error) {
	directives, err := operatorconfig.Operators.Read(path)
	if err != nil {
		return nil, err
	}
	fields, ok := directives["fleet"].(map[string]any)
	if !ok {
		return nil, fmt.Errorf("%s: no block fleet", path)
	}
	b := block(fields)
	requestAddresses := b.requestAddresses()
	self := peertransport.Peer{Name: b.text("node"), Role: b.text("role"), Zone: b.text("zone"), Address: b.text("listen")}
	self.RequestAddress = requestAddresses[self.Name]
	version, _ := b["build"].(float64)
	f := &File{
		FleetName:       b.text("name"),
		Self:            self,
		Peers:           b.peers(requestAddresses),
		DataDir:         b.path("data", filepath.Dir(path)),
		PowerDir:        b.path("power", filepath.Dir(path)),
		ClientAddress:   b.text("clients"),
		SettingsPath:    b.path("settings", filepath.Dir(path)),
		MetricsAddress:  b.text("metrics"),
		SoftwareVersion: uint16(version),
	}
	f.LogLevel, _ = directives["log_level"].(string)
	f.Settings = b.settings(f)
	return f, nil
}

// ReadRole reads a file for a process of a role, and fails where it is for another one.
func ReadRole(path, role string) (*File, error) {
	f, err := Read(path)
	if err == nil && f.Self.Role != role {
		return nil, fmt.Errorf("%s: it is for a process of role %s, this is one of role %s", path, f.Self.Role, role)
	}
	return f, err
}

// text is a directive's word, "" where it is not there.
func (b block) text(name string) string {
	text, _ := b[name].(string)
	return text
}

// path is a directive's path, "" where it is not there. One that is relative begins at a folder.
func (b block) path(name, dir string) string {
	path := b.text(name)
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(dir, path)
}

// rows are the words of each line of a directive that may stand on several. Operatorconfig has checked their number and kinds.
func (b block) rows(name string) (rows [][]any) {
	list, _ := b[name].([]any)
	for _, row := range list {
		rows = append(rows, row.([]any))
	}
	return rows
}

// requestAddresses are the edge nodes' addresses for requests, by node.
func (b block) requestAddresses() map[string]string {
	addresses := map[string]string{}
	for _, row := range b.rows("commands") {
		addresses[row[0].(string)] = row[1].(string)
	}
	return addresses
}

// peers are the other processes.
func (b block) peers(requestAddresses map[string]string) (peers []peertransport.Peer) {
	for _, row := range b.rows("peer") {
		name := row[0].(string)
		peers = append(peers, peertransport.Peer{
			Name:           name,
			Role:           row[1].(string),
			Zone:           row[2].(string),
			Address:        row[3].(string),
			RequestAddress: requestAddresses[name],
		})
	}
	return peers
}

// settings are File.Settings.
func (b block) settings(f *File) map[string]any {
	settings := map[string]any{}
	for name, value := range b {
		if number, ok := value.(float64); ok {
			settings["fleet."+name] = number
		}
	}
	for i, part := range []string{"unit", "link", "all"} {
		settings["fleet.moves."+part] = b["moves"].([]any)[i]
	}
	counts := map[string]float64{f.Self.Role: 1}
	for _, peer := range f.Peers {
		counts[peer.Role]++
	}
	settings["fleet.keepers"] = counts[peertransport.RoleController]
	settings["fleet.relays"] = counts[peertransport.RoleRelay]
	settings["fleet.edges"] = counts[peertransport.RoleEdge]
	return settings
}
