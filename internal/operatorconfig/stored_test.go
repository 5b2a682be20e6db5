package operatorconfig_test

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"silvercove/internal/lab"
	"silvercove/internal/operatorconfig"
)

var updateStored = flag.Bool("update", false, "write testdata/stored anew")

// TestTable_ReadsStoredFilesUnchanged guards against a change in how existing files are read. The stored files and the
// examples under deploy must yield the recorded values. Together, the files of OperatorTable must contain all its directives.
func TestTable_ReadsStoredFilesUnchanged(t *testing.T) {
	stored := filepath.Join("testdata", "stored")
	given := map[string]bool{} // paths of the directives that the files of OperatorTable contain
	for _, f := range []struct {
		name, path string
		table      *operatorconfig.Table
	}{
		{"metadata-waves", filepath.Join(stored, "metadata-waves.conf"), &operatorconfig.OperatorTable},
		{"metadata-platform", filepath.Join(stored, "metadata-platform.conf"), &operatorconfig.OperatorTable},
		{"fleet", filepath.Join(stored, "fleet.conf"), &operatorconfig.OperatorTable},
		{"fleet-keeper", filepath.Join(stored, "fleet-keeper.conf"), &operatorconfig.OperatorTable},
		{"deploy-metadata", filepath.Join("..", "..", "deploy", "metadata.conf"), &operatorconfig.OperatorTable},
		{"deploy-garbage", filepath.Join("..", "..", "deploy", "garbage.conf"), &lab.Experiments},
		{"deploy-loopback", filepath.Join("..", "..", "deploy", "loopback.conf"), &lab.Experiments},
		{"deploy-rollouts", filepath.Join("..", "..", "deploy", "rollouts.conf"), &lab.Experiments},
		{"deploy-thin", filepath.Join("..", "..", "deploy", "thin.conf"), &lab.Experiments},
	} {
		t.Run(f.name, func(t *testing.T) {
			all, err := f.table.Read(f.path)
			if err != nil {
				t.Fatal(err)
			}
			got, err := json.MarshalIndent(all, "", " ")
			if err != nil {
				t.Fatal(err)
			}
			golden := filepath.Join(stored, f.name+".json")
			if *updateStored {
				if err := os.WriteFile(golden, append(got, '\n'), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if string(got)+"\n" != string(want) {
				t.Errorf("got\n%s\nwant\n%s", got, want)
			}
			if f.table == &operatorconfig.OperatorTable {
				collectPaths(given, "", all)
			}
		})
	}
	for _, d := range operatorconfig.OperatorTable.Directives {
		if path := strings.TrimPrefix(d.Parent+"."+d.Name, "."); !given[path] {
			t.Errorf("directive %s is in none of the files", path)
		}
	}
}

// collectPaths adds the paths of all values of a block, and of the blocks in it, to the parameter given. The parameter in is
// the path of the block, and the parameter all holds the block's values.
func collectPaths(given map[string]bool, in string, all map[string]any) {
	for name, value := range all {
		path := strings.TrimPrefix(in+"."+name, ".")
		given[path] = true
		switch value := value.(type) {
		case map[string]any:
			collectPaths(given, path, value)
		case []any:
			for _, element := range value {
				if block, ok := element.(map[string]any); ok {
					collectPaths(given, path, block)
				}
			}
		}
	}
}
