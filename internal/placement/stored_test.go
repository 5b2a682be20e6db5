package placement

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var updateStored = flag.Bool("update", false, "rewrite testdata/stored")

// storedLog holds the operations that produce the stored snapshot. It has every kind of operation.
const storedLog = "create forgotten >a north; create c1 >a north; create c2 >a north; create c3 >b south; create c4 >b; " +
	"create c5 >c west; create c6 >a; create c7 >a; " +
	"begin c1@1 a>; copy c1@1 >b !; synced c1@1 a>b #5; switch c1@1 a>b #7; copy c1@2 >c; synced c1@2 b>c #9; drop c1@2 b>a #10; " +
	"copy c2@1 >b; back c2@1; cross c2 east; copy c2@1 >c; synced c2@1 a>c #3; fail c2@1 a>c; steady c2@2; " +
	"copy c3@1 >c; synced c3@1 b>c #8; begin c3@1 b>; fail c3@1 b>; restart c3@1 >a #6; copy c3@2 >b !; " +
	"copy c4@1 >a; synced c4@1 b>a; lacks c4@1 b>a; " +
	"quarantine c5@1 c>; copy c6@1 >b; synced c6@1 a>b; quarantine c6@1 a>; release c6@1 >b; fail c7@1 a>; " +
	"forget forgotten@1 a>"

// TestTable_RestoresStoredSnapshot checks that a snapshot that an earlier version of the program wrote can be restored, is
// written back byte for byte, and accepts further operations.
func TestTable_RestoresStoredSnapshot(t *testing.T) {
	stored := filepath.Join("testdata", "stored", "table.snapshot")
	if *updateStored {
		if err := os.MkdirAll(filepath.Dir(stored), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(stored, buildStoredSnapshot(t), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(stored)
	if err != nil {
		t.Fatal(err)
	}
	tab := New()
	if err := tab.Restore(text); err != nil {
		t.Fatal(err)
	}
	if got := tab.Snapshot(); !bytes.Equal(got, text) {
		t.Errorf("the restored table is written back as\n%s\nwanted\n%s", got, text)
	}
	if got := buildStoredSnapshot(t); !bytes.Equal(got, text) {
		t.Errorf("the same operations give\n%s\nwanted\n%s", got, text)
	}
	before := tab.Version()
	for _, text := range strings.Split("synced c3@2 a>b #11; switch c3@2 a>b #12; create forgotten >c; create fresh >a", "; ") {
		if _, err := tab.Apply(parseOperation(t, text)); err != nil {
			t.Fatalf("%s: %v", text, err)
		}
	}
	if p, _ := tab.Get("forgotten"); p.Epoch != 2 {
		t.Errorf("a new instance whose name was deleted in epoch 1 has epoch %d", p.Epoch)
	}
	since := tab.Since(before)
	if since.Complete || len(since.Assignments) != 3 || len(since.Deleted) != 0 {
		t.Errorf("changes since the stored snapshot: %+v", since)
	}
	restored := New()
	if err := restored.Restore(tab.Snapshot()); err != nil {
		t.Fatal(err)
	}
	wantSummaries := map[string]string{"c1": "b@2 +c", "c2": "c@2", "c3": "b@3 +a", "c4": "a@2", "c5": "quarantined@1 +c",
		"c6": "b@2 +a", "c7": "lost@1 +a", "forgotten": "c@2", "fresh": "a@1"}
	if restored.Len() != len(wantSummaries) {
		t.Errorf("%d instances, wanted %d", restored.Len(), len(wantSummaries))
	}
	for name, want := range wantSummaries {
		if p, _ := restored.Get(name); Summary(p) != want {
			t.Errorf("%s: %s, wanted %s", name, Summary(p), want)
		}
	}
}

// buildStoredSnapshot returns the snapshot that storedLog produces. It adds an unknown field to the header and to one instance,
// as a later version of the program may write.
func buildStoredSnapshot(t *testing.T) []byte {
	t.Helper()
	tab := New()
	for i, text := range strings.Split(storedLog, "; ") {
		op := parseOperation(t, text)
		switch op.Kind {
		case OpCreate:
			op.Weight = float64(1 + i%9)
		case OpReplicaReady:
			op.Size = 1000 + i
		}
		if i%2 == 0 {
			op.Reason = "entry of the stored log"
		}
		if _, err := tab.Apply(op); err != nil {
			t.Fatalf("%s: %v", text, err)
		}
	}
	tab.SetUnverified("c1", 2, "its disk may be behind")
	snapshot := tab.Snapshot()
	snapshot = bytes.Replace(snapshot, []byte("}\n"), []byte(`,"later_head":{"a":1}}`+"\n"), 1)
	at := bytes.Index(snapshot, []byte(`"name":"c5"`))
	end := at + bytes.IndexByte(snapshot[at:], '\n') - 1
	snapshot = append(snapshot[:end:end], append([]byte(`,"later_place":[1,2]`), snapshot[end:]...)...)
	if err := New().Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	return snapshot
}
