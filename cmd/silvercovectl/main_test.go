package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// TestEarlierName_SubCommandsStillWork checks that earlierName recognizes each earlier name, and that the earlier name
// selects the same sub-command as the present one.
func TestEarlierName_SubCommandsStillWork(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ earlier, now, rest string }{
		{"fleet keeper", "fleet controller", file},
		{"fleet edge", "fleet node", file},
		{"floor", "version-store", "show " + file},
	} {
		t.Run(c.earlier, func(t *testing.T) {
			if earlier, now := earlierName(strings.Fields(c.earlier + " " + c.rest)); earlier != c.earlier || now != c.now {
				t.Errorf("recognized as the earlier name %q of %q", earlier, now)
			}
			if earlier, _ := earlierName(strings.Fields(c.now + " " + c.rest)); earlier != "" {
				t.Errorf("the present name %q is recognized as an earlier one", c.now)
			}
			if earlier, now := parseCommand(t, c.earlier+" "+c.rest), parseCommand(t, c.now+" "+c.rest); earlier != now {
				t.Errorf("%q selects %s, %q selects %s", c.earlier, earlier, c.now, now)
			}
		})
	}
}

// parseCommand returns the sub-command that a command line selects.
func parseCommand(tb testing.TB, line string) string {
	tb.Helper()
	var c commandLine
	parser, err := kong.New(&c)
	if err != nil {
		tb.Fatal(err)
	}
	ctx, err := parser.Parse(strings.Fields(line))
	if err != nil {
		tb.Fatal(err)
	}
	return ctx.Command()
}
