package fleet

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// validFile is a configuration file of an edge node.
const validFile = `fleet {
  name vans
  node edge-a
  role edge
  zone north
  listen 127.0.0.1:7001
  data state
  commands edge-a 127.0.0.1:5501
  commands edge-b 127.0.0.1:5502
  peer keeper-1 keeper north 127.0.0.1:7101
  peer edge-b edge south 127.0.0.1:7002
  lease 600ms
  moves 2 3 4
}
`

// readText writes text to a file and reads the file with Read. It checks that the relative data directory was joined to the
// file's directory.
func readText(t *testing.T, text string) (*File, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "edge.conf")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := Read(path)
	if err == nil && f.DataDir != filepath.Join(filepath.Dir(path), "state") {
		t.Errorf("data: %s", f.DataDir)
	}
	return f, err
}

func TestRead_EdgeNodeFile(t *testing.T) {
	f, err := readText(t, validFile)
	if err != nil {
		t.Fatal(err)
	}
	if f.FleetName != "vans" || f.Self.Name != "edge-a" || f.Self.RequestAddress != "127.0.0.1:5501" || len(f.Peers) != 2 ||
		f.Peers[1].RequestAddress != "127.0.0.1:5502" || f.Peers[1].Zone != "south" {
		t.Errorf("the file is read as %+v", f)
	}
	for name, want := range map[string]float64{"fleet.lease": 0.6, "fleet.drift": 0.02, "fleet.moves.link": 3,
		"fleet.away": 0, "fleet.edges": 2, "fleet.keepers": 1, "fleet.relays": 0, "fleet.repeats": 0.1} {
		if f.Settings[name] != want {
			t.Errorf("%s: %v, not %v", name, f.Settings[name], want)
		}
	}
}

func TestRead_RefusesContradictoryFile(t *testing.T) {
	for _, c := range []struct{ old, new, wantError string }{
		{"peer edge-b", "peer edge-a", "two processes are named edge-a"},
		{"commands edge-a", "commands edge-b", "an edge unit needs the address where it takes commands"},
		{"commands edge-b", "commands edge-x", "no process named edge-x"},
		{"peer keeper-1 keeper", "peer keeper-1 relay", "no keeper is named"},
		{"lease 600ms", "drift 50%", "less than 50%"},
		{"lease 600ms", "away 2", "away: 2 holders in another zone exceed copies, which is 1"},
		{"role edge", "role king", "role"},
		{"role edge", "role relay", "where its clients connect"},
		{"role edge", "role relay\n  clients 127.0.0.1:1", "needs its JSON file"},
		{"fleet {", "fleets {", "fleets"},
	} {
		if _, err := readText(t, strings.Replace(validFile, c.old, c.new, 1)); err == nil || !strings.Contains(err.Error(), c.wantError) {
			t.Errorf("%s: %v", c.new, err)
		}
	}
}
