package main

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// module is a small module whose tests end in each of the ways that the script has to tell apart.
var module = map[string]string{
	"go.mod":         "module m\n\ngo 1.26\n",
	"good/a_test.go": head + `func TestGood(t *testing.T) { t.Log("nothing to see") }`,
	"none/a.go":      "package none\n",
	"red/a_test.go": head + `func TestRed(t *testing.T) { t.Error("a real fault") }
func TestGood(t *testing.T) {}
func TestSkipped(t *testing.T) { t.Skip("not here") }`,
	"two/a_test.go": head + `func TestRed(t *testing.T) { t.Error("a real fault") }
func TestOther(t *testing.T) { t.Error("another fault") }`,
	"sub/a_test.go": head + `func TestTable(t *testing.T) {
	t.Run("good", func(t *testing.T) {})
	t.Run("a.b c", func(t *testing.T) { t.Error("a real fault") })
}
func TestLoud(t *testing.T) {
	t.Run("red", func(t *testing.T) { t.Error("a real fault") })
	t.Error("its own fault")
}`,
	"panics/a_test.go": head + `func TestRed(t *testing.T) { t.Error("a real fault") }
func TestPanic(t *testing.T) { panic("gone") }
func TestLater(t *testing.T) { t.Error("never seen") }`,
	"exits/a_test.go": head + `func TestRed(t *testing.T) { t.Error("a real fault") }
func TestExit(t *testing.T) { os.Exit(1) }
func TestLater(t *testing.T) { t.Error("never seen") }`,
	"hangs/a_test.go": head + `func TestRed(t *testing.T) { t.Error("a real fault") }
func TestHang(t *testing.T) { select {} }`,
	"after/a_test.go": head + `func TestRed(t *testing.T) { t.Error("a real fault") }
func TestMain(m *testing.M) {
	m.Run()
	fmt.Println("a check after the tests fails")
	os.Exit(1)
}`,
	"broken/a_test.go": head + `func TestRed(t *testing.T) { t.Error(undefined) }`,
}

const head = `package x
import ("fmt"; "os"; "testing")
var _, _ = fmt.Sprint, os.Exit
`

func TestTheScriptPassesJustWhatIsListed(t *testing.T) {
	script, err := filepath.Abs("../../.ci/test")
	if err != nil {
		t.Fatal(err)
	}
	two := make(chan struct{}, 2) // cases at once: each runs the compiler and the linker
	const red = "m/red.TestRed: the cause; issue 7\n"
	for _, c := range []struct {
		name, list string // "-" is no file
		commands   []string
		passes     bool
		says       string // in what it prints
		errs       string // in what it prints as errors
	}{
		{"no list, all good", "-", []string{"go test ./good ./none"}, true, "ok  \tm/good", ""},
		{"no list, one fails", "-", []string{"go test ./red", "go test ./none"}, false, "?   \tm/none", ""},
		{"empty list, none fails", "", []string{"go test ./none"}, true, "?   \tm/none", ""},
		{"empty list, one fails", "", []string{"go test ./none", "go test ./red"}, false, "FAIL\tm/red", ""},
		{"blank list, one fails", "\n \n", []string{"go test ./broken", "go test ./none"}, false, "FAIL\tm/broken",
			""},
		{"the listed one fails", red, []string{"go test ./red", "go test ./none"}, true,
			"known red: m/red.TestRed: the cause; issue 7\nFAIL\tm/red", ""},
		{"another fails in its package", "m/two.TestRed: the cause; issue 7", []string{"go test ./two"},
			false,
			"another fault", "m/two.TestOther fails and is not listed"},
		{"both are listed", "\nm/two.TestRed: one; issue 7\n \nm/two.TestOther: two; issue 8\n",
			[]string{"go test ./two"}, true, "known red: m/two.TestOther: two; issue 8", ""},
		{"another fails in the next command", red, []string{"go test ./red", "go test ./two"}, false,
			"FAIL\tm/two", "m/two.TestOther fails and is not listed"},
		{"the listed one passes", red + "m/good.TestGood: none; issue 7", []string{"go test ./red ./good"},
			false,
			"ok  \tm/good", "m/good.TestGood is listed, but passes"},
		{"the listed one is skipped", red + "m/red.TestSkipped: none; issue 7", []string{"go test ./red"},
			false, "",
			"m/red.TestSkipped is listed, but is skipped"},
		{"no such test", red + "m/red.TestRedder: none; issue 7", []string{"go test ./red"}, false, "",
			"m/red.TestRedder is listed, but no test of that name was run"},
		{"no such package", "m/reed.TestRed: none; issue 7", []string{"go test ./none"}, false, "",
			"m/reed.TestRed is listed, but no test of that name was run"},
		{"it is not run", red, []string{"go test -run=Good ./red"}, false, "",
			"m/red.TestRed is listed, but no test of that name was run"},
		{"a subtest", "m/sub.TestTable/a.b_c: the cause; issue 7", []string{"go test -run=Table ./sub"}, true,
			"known red: m/sub.TestTable/a.b_c", ""},
		{"the test in place of its subtest", "m/sub.TestTable: the cause; issue 7",
			[]string{"go test -run=Table ./sub"}, false, "", "m/sub.TestTable/a.b_c fails and is not listed"},
		{"the test around it fails itself", "m/sub.TestLoud/red: the cause; issue 7",
			[]string{"go test -run=Loud ./sub"}, false, "its own fault",
			"m/sub.TestLoud fails and is not listed"},
		{"a panic beside it", "m/panics.TestRed: the cause; issue 7", []string{"go test ./panics"}, false,
			"panic: gone",
			"m/panics did not run to its end"},
		{"the listed one panics",
			"m/panics.TestPanic: the cause; issue 7\nm/panics.TestRed: the cause; issue 7",
			[]string{"go test ./panics"}, false, "panic: gone", "m/panics did not run to its end"},
		{"an exit beside it", "m/exits.TestRed: the cause; issue 7", []string{"go test ./exits"}, false,
			"a real fault",
			"m/exits ended while 1 of its tests were running"},
		{"a time-out beside it", "m/hangs.TestRed: the cause; issue 7",
			[]string{"go test -timeout=300ms ./hangs"}, false,
			"panic: test timed out", "m/hangs ended while 1 of its tests were running"},
		{"a check after the tests", "m/after.TestRed: the cause; issue 7", []string{"go test ./after"}, false,
			"a check after the tests fails", "m/after did not run to its end"},
		{"its package does not build", "m/broken.TestRed: the cause; issue 7", []string{"go test ./broken"},
			false,
			"undefined: undefined", "m/broken does not build"},
		{"another package does not build", red, []string{"go test ./red ./broken"}, false, "FAIL\tm/broken",
			"m/broken does not build"},
		{"another package is not there", red, []string{"go test ./red ./nowhere"}, false, "FAIL\t./nowhere",
			"./nowhere does not build"},
		{"go test itself fails", red, []string{"go test ./red", "go test -p=x ./good"}, false, "",
			"for a reason that no package tells"},
		{"no command of go test", red, []string{"go vet ./good"}, false, "",
			`"go vet ./good" is not a go test command`},
		{"a fourth line",
			"m.TestA: a; issue 1\nm.TestB: b; issue 1\nm.TestC: c; issue 1\nm.TestD: d; issue 1\n",
			[]string{"go test ./good"}, false, "", "4 tests are listed, 3 may be"},
		{"no issue", "m/red.TestRed: the cause", []string{"go test ./red"}, false, "",
			"line 1 is not of the form"},
		{"no cause", red + "m/two.TestRed: ; issue 7", []string{"go test ./red"}, false, "",
			"line 2 is not of the form"},
		{"no package", "TestRed: the cause; issue 7", []string{"go test ./red"}, false, "",
			"line 1 is not of the form"},
		{"a package alone", "m/red: the cause; issue 7", []string{"go test ./red"}, false, "",
			"line 1 is not of the form"},
		{"listed twice", red + red, []string{"go test ./red"}, false, "", "line 2 lists m/red.TestRed again"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			two <- struct{}{}
			defer func() { <-two }()
			dir := t.TempDir()
			for name, text := range module {
				writeFile(t, filepath.Join(dir, name), text)
			}
			if c.list != "-" {
				writeFile(t, filepath.Join(dir, "KNOWN-RED.txt"), c.list)
			}
			cmd := exec.Command(script, c.commands...)
			cmd.Dir = dir
			cmd.Env = append(os.Environ(), "PWD="+dir, "GOFLAGS=-ldflags=-w", "GOWORK=off", "GOPROXY=off")
			var out, errs bytes.Buffer
			cmd.Stdout, cmd.Stderr = &out, &errs
			err := cmd.Run()
			if exit := (*exec.ExitError)(nil); err != nil && !errors.As(err, &exit) {
				t.Fatal(err)
			}
			if (err == nil) != c.passes || !strings.Contains(out.String(), c.says) ||
				!strings.Contains(errs.String(), c.errs) {
				t.Errorf("the script ended with %v; it printed\n%s\nand as errors\n%s", err, &out, &errs)
			}
			if strings.Contains(out.String(), "=== ") || strings.Contains(out.String(), "nothing to see") {
				t.Errorf("the script printed what go test does not:\n%s", &out)
			}
		})
	}
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

// README's test commands are what CI runs, but for -count=1, by which CI takes no result from before.
func TestCIRunsTheTestCommandsOfTheReadme(t *testing.T) {
	readme, err := os.ReadFile("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	ci, err := os.ReadFile("../../.ci/run")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.ReplaceAll(string(ci), "go test -count=1 ", "go test ")
	if m := regexp.MustCompile(`(?m)^others=(.*)$`).FindStringSubmatch(text); m != nil {
		text = strings.ReplaceAll(text, "$others", m[1])
	}
	commands := regexp.MustCompile(`(?m)^    (go test .*)$`).FindAllStringSubmatch(string(readme), -1)
	if len(commands) != 2 {
		t.Fatalf("README has %d test commands, want 2", len(commands))
	}
	for _, command := range commands {
		if !strings.Contains(text, `"`+command[1]+`"`) {
			t.Errorf(".ci/run does not run %s", command[1])
		}
	}
	if n := strings.Count(text, `"go test `); n != len(commands) {
		t.Errorf(".ci/run has %d test commands, README %d", n, len(commands))
	}
}
