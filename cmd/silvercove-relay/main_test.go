package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestDependencies_ExcludeLargePackages checks that silvercove-relay links none of the large packages that only silvercovectl
// needs.
func TestDependencies_ExcludeLargePackages(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, heavy := range []string{"google.golang.org/grpc", "envoyproxy", "gonum.org", "go-tuf", "sigstore", "hdrhistogram",
		"kong", "internal/metadataproxy", "internal/lab", "internal/standin", "hashicorp", "bbolt",
		"VictoriaMetrics", "internal/controllerclient", "internal/membership", "internal/edgenode"} {
		if strings.Contains(string(out), heavy) {
			t.Errorf("silvercove-relay depends on %s", heavy)
		}
	}
}

func TestRunSubcommand_Check(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.conf")
	if err := os.WriteFile(bad, []byte("metadat {\n}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		code int
	}{{[]string{"check", "../../deploy/metadata.conf"}, 0}, {[]string{"check", bad}, 1}, {[]string{"check"}, 2},
		{[]string{"help"}, 2}, {[]string{"check", "nowhere"}, 1}} {
		if got := runSubcommand(c.args); got != c.code {
			t.Errorf("%v: exit %d, want %d", c.args, got, c.code)
		}
	}
}
