// Package fleet reads a process's configuration file. The file's fleet block describes the fleet that the process belongs to.
// The package maps the block's directives to typed fields. Settings for packages such as leases and migration are passed on
// under the directives' names (File.Settings).
package fleet

import (
	"fmt"
	"path/filepath"

	"silvercove/internal/operatorconfig"
	"silvercove/internal/peertransport"
)

// File is the content of a configuration file: its fleet block and its log level.
type File struct {
	FleetName string
	Self      peertransport.Peer
	Peers     []peertransport.Peer // the fleet's other processes, in the file's order

	DataDir  string // data directory; "" if the file names none
	PowerDir string // directory in the layout that package devicepower reads; "" if the file names none
	LogLevel string // lowest level of the log lines that are written

	ClientAddress   string // of a relay: address at which the relay accepts clients, HOST:PORT
	SettingsPath    string // of a relay: path of the relay's JSON settings file
	MetricsAddress  string // address at which metrics are served, HOST:PORT; "" if they are not served
	SoftwareVersion uint16 // of an edge node: version of the software that the node runs

	// Settings are the settings of packages such as leases and migration. Each value is a float64: durations in seconds, shares
	// as fractions. Each key is "fleet." followed by the name of a directive of the fleet block, such as "fleet.lease". The
	// directive named moves is split into "fleet.moves.unit", "fleet.moves.link" and "fleet.moves.all". "fleet.keepers",
	// "fleet.relays" and "fleet.edges" are the numbers of controllers, relays and edge nodes, including this process.
	Settings map[string]any
}

// block contains the fleet block's directives by name, as package operatorconfig has read and validated them.
type block map[string]any

// Read reads a configuration file. It fails if the file cannot be read, is invalid or contradictory, or has no fleet block.
func Read(path string) (*File, error) {
	directives, err := operatorconfig.OperatorTable.Read(path)
	if err != nil {
		return nil, err
	}
	fields, ok := directives["fleet"].(map[string]any)
	if !ok {
		return nil, fmt.Errorf("%s: fleet block is missing", path)
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

// ReadRole reads the configuration file of a process with the given role, and fails if the file is for another role.
func ReadRole(path, role string) (*File, error) {
	f, err := Read(path)
	if err == nil && f.Self.Role != role {
		return nil, fmt.Errorf("%s: the file is for role %s, but this process has role %s", path, f.Self.Role, role)
	}
	return f, err
}

// text returns the text of a directive, or "" if the directive is missing.
func (b block) text(name string) string {
	text, _ := b[name].(string)
	return text
}

// path returns the path in a directive, or "" if the directive is missing. A relative path is joined to dir.
func (b block) path(name, dir string) string {
	path := b.text(name)
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(dir, path)
}

// rows returns the words of each line of a directive that may occur more than once. Package operatorconfig has already checked the
// number and types of the words.
func (b block) rows(name string) (rows [][]any) {
	list, _ := b[name].([]any)
	for _, row := range list {
		rows = append(rows, row.([]any))
	}
	return rows
}

// requestAddresses returns, by node name, the addresses at which edge nodes accept requests.
func (b block) requestAddresses() map[string]string {
	addresses := map[string]string{}
	for _, row := range b.rows("commands") {
		addresses[row[0].(string)] = row[1].(string)
	}
	return addresses
}

// peers returns the other processes of the fleet.
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

// settings returns the value of File.Settings.
func (b block) settings(f *File) map[string]any {
	settings := map[string]any{}
	for name, value := range b {
		if number, ok := value.(float64); ok {
			settings["fleet."+name] = number
		}
	}
	for i, scope := range []string{"unit", "link", "all"} {
		settings["fleet.moves."+scope] = b["moves"].([]any)[i]
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
