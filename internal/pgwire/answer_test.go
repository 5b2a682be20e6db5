package pgwire

import "testing"

func TestARowIsReadBack(t *testing.T) {
	b := DataRow([]byte("7 3 edge-a"), "INSERT 0 1")
	var a Response
	if err := a.Read(b); err != nil || !a.Ready || a.SQLState != StateSuccess || len(a.Rows) != 3 {
		t.Fatalf("%v %+v", err, a)
	}
	if v, ok := RowValue(b[a.Rows[1][0]:a.Rows[1][1]]); !ok || string(v) != "7 3 edge-a" {
		t.Errorf("%q", v)
	}
}

func TestAWritesContent(t *testing.T) {
	q, fault := ParseQuery([]byte(`INSERT INTO kv (name, content) VALUES ('7f3a', '\x9fA30b') RETURNING content /* d=480,c=order,id=9b */`))
	if fault != nil || string(q.Value()) != "\x9f\xa3\x0b" {
		t.Errorf("%v %x", fault, q.Value())
	}
}
