package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeControllerFile writes the configuration file of a controller and returns the file's path. extraLines is inserted
// at the end of the block fleet.
func writeControllerFile(t *testing.T, extraLines string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "keeper.conf")
	text := fmt.Sprintf("fleet {\n name vans\n node keeper-1\n role keeper\n zone north\n listen 127.0.0.1:%s\n data d\n%s}\n", freePort(t), extraLines)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestOpenProcess_ServesMetrics checks that a process serves its metrics at the address of its configuration file, and
// that openProcess refuses a file with another role.
func TestOpenProcess_ServesMetrics(t *testing.T) {
	address := "127.0.0.1:" + freePort(t)
	p, err := openProcess(writeControllerFile(t, " metrics "+address+"\n peer edge-a edge north 127.0.0.1:1\n"), "keeper")
	if err != nil {
		t.Fatal(err)
	}
	var text []byte
	err = p.runWhile(func(context.Context) error {
		answer, err := http.Get("http://" + address + "/metrics")
		if err != nil {
			return err
		}
		defer func() { _ = answer.Body.Close() }()
		text, err = io.ReadAll(answer.Body)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`cove_members{state="alive"} 1`, "process_resident_memory_bytes"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("the metrics lack %s:\n%s", want, text)
		}
	}
	if _, err := openProcess(writeControllerFile(t, " metrics 127.0.0.1:1\n"), "edge"); err == nil || !strings.Contains(err.Error(), "role keeper") {
		t.Errorf("opening the file of a controller as an edge node: %v, want an error that names role keeper", err)
	}
}
