package tufverify_test

import (
	"testing"

	"silvercove/internal/tufverify"
)

func TestRepository_CurrentFiles(t *testing.T) {
	b := newTestRepository(t)
	b.updateAll(5)
	b.checkRefusal(nil, b.repo.UpdateRoot(at(0), b.root(2, 365*day)))
	for _, c := range []struct {
		name string
		want any
	}{
		{"1.root.json", nil}, {"2.root.json", nil}, {"root.json", nil}, {"3.root.json", tufverify.ReasonMissing},
		{"timestamp.json", nil}, {"5.timestamp.json", tufverify.ReasonNotListed},
		{"5.snapshot.json", nil}, {"4.snapshot.json", tufverify.ReasonOlderVersion}, {"6.snapshot.json", tufverify.ReasonMissing},
		{"snapshot.json", tufverify.ReasonMissing}, {"5.targets.json", nil}, {"4.targets.json", tufverify.ReasonOlderVersion},
		{"1.other.json", tufverify.ReasonNotListed},
	} {
		f, ok := tufverify.ParseFile(c.name)
		if !ok || f.String() != c.name {
			t.Errorf("%s is parsed as %v", c.name, f)
		}
		_, refusal := b.repo.Current(at(0), f)
		b.checkRefusal(c.want, refusal)
	}
	for _, name := range []string{"", ".json", "root", "01.root.json", "0.root.json", "1..json", "a%2fb.json", "%zz.json",
		"99999999999999999999.root.json"} {
		if f, ok := tufverify.ParseFile(name); ok {
			t.Errorf("invalid name %q is parsed as %v", name, f)
		}
	}
}

func FuzzParseFile(f *testing.F) {
	for _, s := range []string{"root.json", "1.root.json", "7.a%20b.json", "..json"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, name string) {
		parsed, ok := tufverify.ParseFile(name)
		if !ok {
			return
		}
		if again, ok := tufverify.ParseFile(parsed.String()); !ok || again != parsed {
			t.Errorf("%q is parsed as %v, whose name %q is parsed differently", name, parsed, parsed.String())
		}
	})
}
