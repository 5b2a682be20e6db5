package main

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// entryText returns one entry in the format of listFile, with a blank line after it.
func entryText(test, seen string, issue int) string {
	return fmt.Sprintf("test: %s\ncommand: go test ./red\nseed: none\nseen: %s\nissue: %d\n\n", test, seen, issue)
}

func TestParseList_ReadsEntries(t *testing.T) {
	text := "\n \ntest: silvercove/internal/edgenode.TestTakeover/a.b:late\n" +
		"command: go test -run 'Takeover' ./internal/edgenode\nseed: 7, 9\nseen: late: by 1.2 s\nissue: 41\n\t\n\n" +
		"issue: 42\nseen:x\nseed:none\ncommand: go test ./b\n  test: m.v2/b.FuzzRead  "
	want := []knownFailure{
		{
			test:    testID{importPath: "silvercove/internal/edgenode", name: "TestTakeover/a.b:late"},
			command: "go test -run 'Takeover' ./internal/edgenode",
			seed:    "7, 9",
			seen:    "late: by 1.2 s",
			issue:   41,
		},
		{test: testID{importPath: "m.v2/b", name: "FuzzRead"}, command: "go test ./b", seed: "none", seen: "x", issue: 42},
	}
	got, err := parseList(text)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, %v; want %+v", got, err, want)
	}
}

func TestParseList_HasNoLimitOfEntries(t *testing.T) {
	var text strings.Builder
	for i := range 20 {
		text.WriteString(entryText(fmt.Sprint("m/a.Test", i), "a real fault", i+1))
	}
	if got, err := parseList(text.String()); err != nil || len(got) != 20 {
		t.Errorf("%d entries, %v", len(got), err)
	}
}

func TestParseList_RefusesWhatIsNotWhole(t *testing.T) {
	good := entryText("m/red.TestRed", "a real fault", 7)
	without := func(field string) string {
		var kept []string
		for _, line := range strings.Split(good, "\n") {
			if !strings.HasPrefix(line, field+":") {
				kept = append(kept, line)
			}
		}
		return strings.Join(kept, "\n")
	}
	with := func(field, value string) string { return field + ": " + value + "\n" + without(field) }
	type testCase struct{ name, text, want string }
	cases := []testCase{
		{"an unknown field", "cause: a fault\n" + good, `line 1: unknown field "cause"`},
		{"a field in capitals", "Test: m/red.TestOther\n" + good, `line 1: unknown field "Test"`},
		{"a line that is no field", "a real fault\n" + good, `line 1: "a real fault" is not of the form FIELD: VALUE`},
		{"an obsolete format", "m/red.TestRed: a real fault; issue 7", `line 1: unknown field "m/red.TestRed"`},
		{"two entries without a blank line", strings.TrimSpace(good) + "\n" + good, `line 6: field "test" appears twice`},
		{"a test listed twice", good + good, "line 7 lists m/red.TestRed again, after line 1"},
		{"a test without a package", with(fieldTest, "TestRed"), `"TestRed" is not of the form`},
		{"a package alone", with(fieldTest, "m/red"), `"m/red" is not of the form`},
		{"text after a test's name", with(fieldTest, "m/red.TestRed too"), `"m/red.TestRed too" is not of the form`},
		{"another command", with(fieldCommand, "go vet ./red"), `"go vet ./red" is not a go test command`},
		{"half a command", with(fieldCommand, "go"), `"go" is not a go test command`},
		{"an issue without a number", with(fieldIssue, "soon"), `issue "soon" is not the number`},
		{"issue zero", with(fieldIssue, "0"), `issue "0" is not the number`},
		{"two issues", with(fieldIssue, "7 8"), `issue "7 8" is not the number`},
	}
	for _, field := range fieldNames {
		want := fmt.Sprintf("entry of line 1: field %q is missing or empty", field)
		cases = append(cases, testCase{"without " + field, without(field), want},
			testCase{"an empty " + field, with(field, ""), want})
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got, err := parseList(c.text); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %+v, error %v; want error %q", got, err, c.want)
			}
		})
	}
}

func TestParseList_NamesEveryMistake(t *testing.T) {
	_, err := parseList("test: m/red.TestRed\nwhy: x\n\n" + entryText("m/red.TestRed", "x", 0))
	for _, want := range []string{"line 2: unknown field", "entry of line 1: field \"seen\"", "entry of line 4: issue"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v lacks %q", err, want)
		}
	}
}
