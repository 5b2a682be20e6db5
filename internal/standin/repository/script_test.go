package repository

import "testing"

func TestParseScript(t *testing.T) {
	all, err := ParseScript("0-3 timestamp lag 2 # older\n\n5- * status 503\n7 app half 60\n")
	if err != nil || len(all) != 3 || all[0] != (Fault{0, 3, "timestamp", "lag", 2}) ||
		all[1] != (Fault{5, -1, "", "status", 503}) || all[2].To != -1 {
		t.Errorf("ParseScript = %+v, %v", all, err)
	}
	for _, bad := range []string{"x * lag", "0- * explode", "0-", "0- * lag x", "0- * lag 1 2"} {
		if _, err := ParseScript(bad); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

func FuzzScript(f *testing.F) {
	f.Add("0-3 timestamp lag 2")
	f.Fuzz(func(t *testing.T, text string) { _, _ = ParseScript(text) })
}
