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

// module is a small Go module whose tests end in each of the ways that the script .ci/test must distinguish.
var module = map[string]string{
	"go.mod":         "module m\n\ngo 1.26\n",
	"good/a_test.go": testFileHead + `func TestGood(t *testing.T) { t.Log("nothing to see") }`,
	"none/a.go":      "package none\n",
	"red/a_test.go": testFileHead + `func TestRed(t *testing.T) { t.Error("a real fault") }
func TestGood(t *testing.T) {}
func TestSkipped(t *testing.T) { t.Skip("not here") }`,
	"two/a_test.go": testFileHead + `func TestRed(t *testing.T) { t.Error("a real fault") }
func TestOther(t *testing.T) { t.Error("another fault") }`,
	"sub/a_test.go": testFileHead + `func TestTable(t *testing.T) {
	t.Run("good", func(t *testing.T) {})
	t.Run("a.b c", func(t *testing.T) { t.Error("a real fault") })
}
func TestLoud(t *testing.T) {
	t.Run("red", func(t *testing.T) { t.Error("a real fault") })
	t.Error("its own fault")
}`,
	"panics/a_test.go": testFileHead + `func TestRed(t *testing.T) { t.Error("a real fault") }
func TestPanic(t *testing.T) { panic("gone") }
func TestLater(t *testing.T) { t.Error("never seen") }`,
	"exits/a_test.go": testFileHead + `func TestRed(t *testing.T) { t.Error("a real fault") }
func TestExit(t *testing.T) { os.Exit(1) }
func TestLater(t *testing.T) { t.Error("never seen") }`,
	"hangs/a_test.go": testFileHead + `func TestRed(t *testing.T) { t.Error("a real fault") }
func TestHang(t *testing.T) { select {} }`,
	"after/a_test.go": testFileHead + `func TestRed(t *testing.T) { t.Error("a real fault") }
func TestMain(m *testing.M) {
	m.Run()
	fmt.Println("a check after the tests fails")
	os.Exit(1)
}`,
	"four/a_test.go": testFileHead + `func TestA(t *testing.T) { t.Error("a real fault") }
func TestB(t *testing.T) { t.Error("a real fault") }
func TestC(t *testing.T) { t.Error("a real fault") }
func TestD(t *testing.T) { t.Error("a real fault") }
func TestGood(t *testing.T) {}`,
	"broken/a_test.go": testFileHead + `func TestRed(t *testing.T) { t.Error(undefined) }`,
}

const testFileHead = `package x
import ("fmt"; "os"; "testing")
var _, _ = fmt.Sprint, os.Exit
`

// scriptCase is one run of .ci/test on module, with a list and test commands.
type scriptCase struct {
	name       string
	list       string // contents of the list; "-" for no file
	commands   []string
	passes     bool
	wantOutput string // substring of the standard output
	wantError  string // substring of the standard error output
}

// causeEntry returns an entry for the given test. It serves the cases in which the other fields of the entry do not
// matter.
func causeEntry(test string) string { return entryText(test, "the cause", 7) }

var redEntry = causeEntry("m/red.TestRed")

var scriptCases = []scriptCase{
	{"no list, all good", "-", []string{"go test ./good ./none"}, true, "ok  \tm/good", ""},
	{"no list, one fails", "-", []string{"go test ./red", "go test ./none"}, false, "?   \tm/none", ""},
	{"empty list, none fails", "", []string{"go test ./none"}, true, "?   \tm/none", ""},
	{"empty list, one fails", "", []string{"go test ./none", "go test ./red"}, false, "FAIL\tm/red", ""},
	{"blank list, one fails", "\n \n", []string{"go test ./broken", "go test ./none"}, false, "FAIL\tm/broken",
		""},
	{"the listed one fails", redEntry, []string{"go test ./red", "go test ./none"}, true,
		"known red: m/red.TestRed: the cause; command go test ./red; seed none; issue 7\nFAIL\tm/red", ""},
	{"another fails in its package", causeEntry("m/two.TestRed"), []string{"go test ./two"}, false,
		"another fault", "m/two.TestOther fails and is not listed"},
	{"both are listed", "\n" + entryText("m/two.TestRed", "one", 7) + " \n" + entryText("m/two.TestOther", "two", 8),
		[]string{"go test ./two"}, true,
		"known red: m/two.TestOther: two; command go test ./red; seed none; issue 8", ""},
	{"another fails in the next command", redEntry, []string{"go test ./red", "go test ./two"}, false,
		"FAIL\tm/two", "m/two.TestOther fails and is not listed"},
	{"the listed one passes", redEntry + causeEntry("m/good.TestGood"), []string{"go test ./red ./good"}, false,
		"ok  \tm/good", "m/good.TestGood is listed, but passes"},
	{"the listed one is skipped", redEntry + causeEntry("m/red.TestSkipped"), []string{"go test ./red"}, false, "",
		"m/red.TestSkipped is listed, but is skipped"},
	{"no such test", redEntry + causeEntry("m/red.TestRedder"), []string{"go test ./red"}, false, "",
		"m/red.TestRedder is listed, but no test of that name was run"},
	{"no such package", causeEntry("m/reed.TestRed"), []string{"go test ./none"}, false, "",
		"m/reed.TestRed is listed, but no test of that name was run"},
	{"it is not run", redEntry, []string{"go test -run=Good ./red"}, false, "",
		"m/red.TestRed is listed, but no test of that name was run"},
	{"a subtest", causeEntry("m/sub.TestTable/a.b_c"), []string{"go test -run=Table ./sub"}, true,
		"known red: m/sub.TestTable/a.b_c", ""},
	{"the test in place of its subtest", causeEntry("m/sub.TestTable"), []string{"go test -run=Table ./sub"}, false, "",
		"m/sub.TestTable/a.b_c fails and is not listed"},
	{"the test around it fails itself", causeEntry("m/sub.TestLoud/red"), []string{"go test -run=Loud ./sub"}, false,
		"its own fault", "m/sub.TestLoud fails and is not listed"},
	{"a panic beside it", causeEntry("m/panics.TestRed"), []string{"go test ./panics"}, false, "panic: gone",
		"m/panics did not run to its end"},
	{"the listed one panics", causeEntry("m/panics.TestPanic") + causeEntry("m/panics.TestRed"),
		[]string{"go test ./panics"}, false, "panic: gone", "m/panics did not run to its end"},
	{"an exit beside it", causeEntry("m/exits.TestRed"), []string{"go test ./exits"}, false, "a real fault",
		"m/exits ended while 1 of its tests were running"},
	{"a time-out beside it", causeEntry("m/hangs.TestRed"), []string{"go test -timeout=300ms ./hangs"}, false,
		"panic: test timed out", "m/hangs ended while 1 of its tests were running"},
	{"a check after the tests", causeEntry("m/after.TestRed"), []string{"go test ./after"}, false,
		"a check after the tests fails", "m/after did not run to its end"},
	{"its package does not build", causeEntry("m/broken.TestRed"), []string{"go test ./broken"}, false,
		"undefined: undefined", "m/broken does not build"},
	{"another package does not build", redEntry, []string{"go test ./red ./broken"}, false, "FAIL\tm/broken",
		"m/broken does not build"},
	{"another package is not there", redEntry, []string{"go test ./red ./nowhere"}, false, "FAIL\t./nowhere",
		"./nowhere does not build"},
	{"go test itself fails", redEntry, []string{"go test ./red", "go test -p=x ./good"}, false, "",
		"go test failed without a failed package"},
	{"no command of go test", redEntry, []string{"go vet ./good"}, false, "",
		`"go vet ./good" is not a go test command`},
	{"four are listed and fail", causeEntry("m/four.TestA") + causeEntry("m/four.TestB") + causeEntry("m/four.TestC") +
		causeEntry("m/four.TestD"), []string{"go test ./four"}, true, "known red: m/four.TestD", ""},
	{"four are listed, one passes", causeEntry("m/four.TestA") + causeEntry("m/four.TestB") + causeEntry("m/four.TestC") +
		causeEntry("m/four.TestGood"), []string{"go test ./four"}, false, "", "m/four.TestD fails and is not listed"},
	{"no issue", "test: m/red.TestRed\ncommand: go test ./red\nseed: none\nseen: the cause\n",
		[]string{"go test ./red"}, false, "", `KNOWN-RED.txt: entry of line 1: field "issue" is missing or empty`},
	{"no cause", redEntry + entryText("m/two.TestRed", "", 7), []string{"go test ./red"}, false, "",
		`entry of line 7: field "seen" is missing or empty`},
	{"an unknown field", "why: the cause\n" + redEntry, []string{"go test ./red"}, false, "",
		`line 1: unknown field "why"`},
	{"an obsolete format", "m/red.TestRed: the cause; issue 7\n", []string{"go test ./red"}, false, "",
		`line 1: unknown field "m/red.TestRed"`},
	{"no package", causeEntry("TestRed"), []string{"go test ./red"}, false, "",
		`test "TestRed" is not of the form`},
	{"a package alone", causeEntry("m/red"), []string{"go test ./red"}, false, "", `test "m/red" is not of the form`},
	{"listed twice", redEntry + redEntry, []string{"go test ./red"}, false, "", "line 7 lists m/red.TestRed again"},
}

func TestScript_PassesJustWhatIsListed(t *testing.T) {
	script, err := filepath.Abs("../../.ci/test")
	if err != nil {
		t.Fatal(err)
	}
	slots := make(chan struct{}, 2) // limits concurrent cases: each runs the compiler and the linker
	for _, c := range scriptCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			directory := t.TempDir()
			for name, text := range module {
				writeFile(t, filepath.Join(directory, name), text)
			}
			if c.list != "-" {
				writeFile(t, filepath.Join(directory, listFile), c.list)
			}
			out, errs, err := runScript(t, script, directory, c.commands)
			if (err == nil) != c.passes || !strings.Contains(out, c.wantOutput) || !strings.Contains(errs, c.wantError) {
				t.Errorf("the script ended with %v; stdout:\n%s\nstderr:\n%s", err, out, errs)
			}
			if strings.Contains(out, "=== ") || strings.Contains(out, "nothing to see") {
				t.Errorf("the script printed lines that go test does not print:\n%s", out)
			}
		})
	}
}

// runScript runs the script in a directory. It returns the standard output, the standard error output, and an error if
// the exit code is not 0.
func runScript(tb testing.TB, script, directory string, commands []string) (out, errs string, err error) {
	tb.Helper()
	cmd := exec.Command(script, commands...)
	cmd.Dir = directory
	cmd.Env = append(os.Environ(), "PWD="+directory, "GOFLAGS=-ldflags=-w", "GOWORK=off", "GOPROXY=off")
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err = cmd.Run()
	if exit := (*exec.ExitError)(nil); err != nil && !errors.As(err, &exit) {
		tb.Fatal(err)
	}
	return stdout.String(), stderr.String(), err
}

func writeFile(tb testing.TB, path, text string) {
	tb.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		tb.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		tb.Fatal(err)
	}
}

// TestCI_RunsTestCommandsOfReadme checks that .ci/run runs exactly the test commands of the README, with -count=1 as
// the only addition. This flag keeps go test from using cached results.
func TestCI_RunsTestCommandsOfReadme(t *testing.T) {
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
