package fleetsim

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var pictures = flag.Bool("pictures", false, "write the expected pictures anew")

// The scripts that real processes played, played by the model: the same order of what is caused, as many moves, and as long
// without an owner within the margin; and each line of the model's timeline as it is expected. What processes caused is kept
// in testdata/processes; go test ./internal/standin/testcluster -courses FOLDER plays it anew.
func TestTheModelAndProcessesPlayTheSame(t *testing.T) {
	played := 0
	for _, c := range Compare("testdata/processes") {
		if !c.Unplayed {
			played++
		}
		if c.Fault != nil {
			t.Errorf("%s: %v", c.Name, c.Fault)
		}
	}
	if played < len(Twofolds) {
		t.Errorf("%d scripts were played by processes", played)
	}
	for _, w := range Twofolds {
		file := filepath.Join("testdata/timelines", strings.ReplaceAll(strings.ReplaceAll(w.Name, ",", ""), " ", "-")+".txt")
		got := w.play().Timeline()
		if *pictures {
			if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		want, now := strings.Split(string(text), "\n"), strings.Split(got, "\n")
		for i := range max(len(want), len(now)) {
			if i >= len(want) || i >= len(now) || want[i] != now[i] {
				t.Errorf("%s: line %d is\n%s\nand was\n%s\nWhere that is meant: -pictures.", file, i+1, strings.Join(now[min(i, len(now)):min(i+1, len(now))], ""),
					strings.Join(want[min(i, len(want)):min(i+1, len(want))], ""))
				break
			}
		}
	}
}
