package placement

import (
	"errors"
	"strings"
	"testing"
)

func TestTable_ReportIncompleteTakesTheNodeOut(t *testing.T) {
	const withReplica = "create c >a; copy c@1 >b; synced c@1 a>b #5"
	for _, c := range []struct {
		log  string
		err  error
		want string
	}{
		{withReplica + "; lacks c@1 b>", nil, "a@1"},
		{withReplica + "; lacks c@1 d>", ErrNotPrimary, "a@1 +b"},
		{withReplica + "; lacks c@1 a>b", nil, "b@2"},
		{withReplica + "; lacks c@1 a>d", ErrNotReplica, "a@1 +b"},
		{withReplica + "; lacks c@1 a>", nil, "lost@1 +b"},
		{"create c >a; copy c@1 >b; lacks c@1 a>", nil, "lost@1"},
		{"create c >a; fail c@1 a>; lacks c@1 a>", nil, "lost@1"}, // the fail-over turns the primary, node a, into a replica; the last operation removes that replica
		{"create c >a; begin c@1 b>", ErrNotPrimary, "a@1"},
		{"create c >a; begin c@1 a>; begin c@1 a>", nil, "a@1"},
		{"create c >a; fail c@1 a>; begin c@1 a>", ErrWrongState, "lost@1 +a"},
		{"create c >a; lacks c@1 >", ErrNotPrimary, "a@1"},
	} {
		tab := New()
		var assignment Assignment
		var err error
		for _, text := range strings.Split(c.log, "; ") {
			assignment, err = tab.Apply(parseOperation(t, text))
		}
		if !errors.Is(err, c.err) || Summary(assignment) != c.want {
			t.Errorf("%s: %s, %v; want %s, %v", c.log, Summary(assignment), err, c.want, c.err)
		}
	}
}

// TestTable_RefusesOperationOfAnotherRevision guards against a replica that lacks entries. A delayed OpReplicaReady of a
// cancelled copy arrives while a second copy to the same node is under way in the same epoch. Only the revision tells the two
// copies apart.
func TestTable_RefusesOperationOfAnotherRevision(t *testing.T) {
	tab := New()
	for _, text := range strings.Split("create c >a; copy c@1 >b !", "; ") {
		if _, err := tab.Apply(parseOperation(t, text)); err != nil {
			t.Fatal(err)
		}
	}
	delayed := parseOperation(t, "synced c@1 a>b #3")
	delayed.Revision = 2
	if _, err := tab.Apply(parseOperation(t, "back c@1")); err != nil {
		t.Fatal(err)
	}
	if _, err := tab.Apply(parseOperation(t, "copy c@1 >b !")); err != nil { // starts a second copy, which has not completed
		t.Fatal(err)
	}
	if p, err := tab.Apply(delayed); !errors.Is(err, ErrStaleEpoch) || Summary(p) != "a@1 >>b" {
		t.Errorf("delayed operation with the revision of the first copy: %s, %v", Summary(p), err)
	}
	delayed.Revision = 4
	if p, err := tab.Apply(delayed); err != nil || Summary(p) != "a@1 +b >>b" {
		t.Errorf("operation with the revision of the second copy: %s, %v", Summary(p), err)
	}
}
