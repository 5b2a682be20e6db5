package golden

import (
	"strings"
	"testing"
)

// Any change of a text must be reported as a difference, with its line.
func TestFirstDifference_NamesLine(t *testing.T) {
	const recorded = "head\n\ta 1\n\tb 2\nnext\n"
	for name, test := range map[string]struct {
		got  string
		want string // "" for no difference
	}{
		"equal":           {recorded, ""},
		"a changed line":  {"head\n\ta 1\n\tb 3\nnext\n", "line 3, under \"head\":\ngot  \tb 3\nwant \tb 2"},
		"a line less":     {"head\n\ta 1\n\tb 2\n", "line 4:\ngot  \nwant next"},
		"a line more":     {recorded + "more\n", "line 5:\ngot  more\nwant "},
		"no end of line":  {strings.TrimSuffix(recorded, "\n"), "line 5:\ngot  (no line)\nwant "},
		"another heading": {strings.Replace(recorded, "head", "heat", 1), "line 1:\ngot  heat\nwant head"},
		"nothing":         {"", "line 1:\ngot  \nwant head"},
	} {
		t.Run(name, func(t *testing.T) {
			got := firstDifference(test.got, recorded)
			if test.want == "" && got != "" || !strings.HasPrefix(got, test.want) {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// Only a run with -update may write a golden file. Any other run compares with the existing one.
func TestRecorded_WritesOnlyWithUpdate(t *testing.T) {
	t.Chdir(t.TempDir())
	before := *update
	t.Cleanup(func() { *update = before })
	*update = true
	if got := Recorded(t, "folder/record.txt", "one line\n"); got != "one line\n" {
		t.Errorf("written: %q", got)
	}
	*update = false
	if got := Recorded(t, "folder/record.txt", "something else"); got != "one line\n" {
		t.Errorf("read: %q", got)
	}
	File(t, "folder/record.txt", "one line\n")
	Lines(t, "folder/record.txt", []string{"one line"})
}
