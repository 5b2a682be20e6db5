package operatorconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const completeFile = `metadata {
  listen 127.0.0.1:1
  floor f
  repository image {
    root r
    mirror m1 127.0.0.1:2 z up
    mirror m2 127.0.0.1:3 z draining
  }
  director {
    image image
    chain c
    key k
    package 1 app/1.tar
    package 2 app/2.tar
    wave 2 testing 10%
    server s z large s.pub
  }
}
`

func TestTable_ReadsEveryDirective(t *testing.T) {
	all, err := OperatorTable.ReadText("f", "# comment\n\n"+completeFile+"log_level debug # more\n")
	if err != nil {
		t.Fatal(err)
	}
	m := all["metadata"].(map[string]any)
	d := m["director"].(map[string]any)
	for name, c := range map[string][2]any{
		"log_level":  {all["log_level"], "debug"},
		"refresh":    {m["refresh"], 1.0}, // refresh is absent from the file, and 1 s is its default
		"package":    {m["package"].([]any)[1], 120.0},
		"lasts":      {d["lasts"], 60.0},
		"wave":       {d["wave"].([]any)[2], 0.1},
		"wave build": {d["wave"].([]any)[0], 2.0},
		"mirrors":    {len(m["repository"].([]any)[0].(map[string]any)["mirror"].([]any)), 2},
		"floor":      {len(m["floor"].([]any)), 1},
	} {
		if c[0] != c[1] {
			t.Errorf("%s: got %v, want %v", name, c[0], c[1])
		}
	}
	if all, err := OperatorTable.ReadText("f", ""); err != nil || all["metadata"] != nil {
		t.Errorf("empty file: got %v, error %v", all, err)
	}
}

func TestTable_NamesFaults(t *testing.T) {
	for _, c := range []struct{ name, old, put, want string }{
		{"unknown", "  floor f", "  flor f", "f:3:3: flor: unknown; allowed here: connect_timeout"},
		{"elsewhere", "  floor f", "  chain f", "f:3:3: chain: does not belong here; it is allowed in metadata.director"},
		{"twice", "  floor f", "  floor f\n  floor g", "f:4:3: metadata.floor: given twice, first on line 3"},
		{"missing", "  listen 127.0.0.1:1\n", "", "f:1:1: metadata.listen: is missing"},
		{"missing in a block", "    chain c\n", "", "f:9:3: metadata.director.chain: is missing"},
		{"too few values", "mirror m1 127.0.0.1:2 z up", "mirror m1", "metadata.repository.mirror: has 1 values, wants NAME ADDRESS ZONE STATE"},
		{"not one of a list", "z up", "z on", `f:6:29: metadata.repository.mirror: state is "on", allowed: up, draining`},
		{"no address", "127.0.0.1:2", "nowhere", `address is "nowhere", allowed: HOST:PORT`},
		{"no port", "127.0.0.1:2", "a:99999", "allowed: HOST:PORT"},
		{"out of range", "package 1 ", "package 0 ", `build is "0", allowed: a whole number, from 1 to 65535`},
		{"no unit", "    chain c", "    chain c\n    lasts 60", `lasts: span is "60", allowed: a duration such as`},
		{"below", "    chain c", "    chain c\n    lasts 1s", "from 2s to 7d"},
		{"no share", "10%", "110%", `cap is "110%", allowed: a share`},
		{"exponents", "10%", "1e-1", "allowed: a share"},
		{"not a number", "10%", "NaN", "allowed: a share"},
		{"a block where none is", "floor f", "floor f {\n}", "metadata.floor: takes no block"},
		{"no block", "  director {", "  director\n  director {", "needs a block"},
		{"not closed", "  }\n}\n", "  }\n", "a block is not closed"},
		{"closed too often", "  }\n}\n", "  }\n}\n}\n", `"}" must stand on a line of its own`},
		{"a quote", "chain c", `chain "c`, "a quote is not closed"},
		{"an empty path", "chain c", `chain ""`, "folder is empty"},
		{"a mirror twice", "mirror m2", "mirror m1", "metadata.repository.mirror: m1 is given twice"},
		{"a package twice", "package 2", "package 1", "build 1 is given twice"},
		{"a wave without package", "wave 2", "wave 3", "build 3 has no package"},
		{"platform and wave", "    chain c", "    chain c\n    platform 127.0.0.1:9", "contradicts platform"},
		{"no floor", "  floor f\n", "", "a Director needs a floor"},
		{"an unknown image", "image image\n    chain", "image other\n    chain", "other is not a repository"},
		{"a slow connect", "  floor f", "  floor f\n  connect_timeout 2s", "longer than the grace of drains"},
		{"mirrors and discovery", "    root r", "    root r\n    discovery 127.0.0.1:9", "either mirror lines or discovery"},
		{"target over timeout", "  floor f", "  floor f\n  root 3s 1s 4", "its target is longer than its timeout"},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(completeFile, c.old, c.put, 1)
			if text == completeFile {
				t.Fatal("the text to replace is not in the file")
			}
			_, err := OperatorTable.ReadText("f", text)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v\nwant one with: %s", err, c.want)
			}
		})
	}
	_, err := OperatorTable.ReadText("f", strings.NewReplacer("z up", "z on", "10%", "x").Replace(completeFile))
	if err == nil || strings.Count(err.Error(), "\n") != 1 {
		t.Errorf("got error %v, want one with both faults", err)
	}
}

func TestTable_Includes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	write("sub/servers.conf", "server s9 z large s9.pub\ninclude more.conf\n")
	write("sub/more.conf", "server s8 z large s8.pub\n")
	path := write("main.conf", strings.Replace(completeFile, "    chain c", "    chain c\n    include sub/servers.conf", 1))
	all, err := OperatorTable.Read(path)
	if err != nil {
		t.Fatal(err)
	}
	if n := len(all["metadata"].(map[string]any)["director"].(map[string]any)["server"].([]any)); n != 3 {
		t.Errorf("got %d servers, want 3", n)
	}
	for _, c := range []struct{ name, text, want string }{
		{"itself", "include a.conf", "includes itself"}, {"nothing", "include", "takes one path"},
		{"none", "include nowhere.conf", "cannot be read"},
		{"a fault there", "include sub/servers.conf", "servers.conf:1:1: server: does not belong here"},
	} {
		if _, err := OperatorTable.Read(write("a.conf", c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("include of %s: got error %v", c.name, err)
		}
	}
	if _, err := OperatorTable.Read(filepath.Join(dir, "none")); !os.IsNotExist(err) {
		t.Errorf("missing file: got error %v", err)
	}
}

func TestTable_ExampleAndReferenceAreUpToDate(t *testing.T) {
	if _, err := OperatorTable.Read("../../deploy/metadata.conf"); err != nil {
		t.Error(err)
	}
	page, err := os.ReadFile("../../docs/operators-file.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), OperatorTable.Reference()) {
		t.Error("docs/operators-file.md does not contain the output of silvercovectl reference")
	}
}

func TestValue_Numbers(t *testing.T) {
	for _, c := range []struct {
		v    Value
		text string
		want float64
		bad  bool
	}{
		{Value{Kind: Duration}, "250ms", 0.25, false}, {Value{Kind: Duration}, "1.5h", 5400, false}, {Value{Kind: Duration}, "7d", 604800, false},
		{Value{Kind: Size}, "16M", 16 << 20, false}, {Value{Kind: Size}, "512", 512, false}, {Value{Kind: Size}, "1T", 0, true},
		{Value{Kind: Fraction}, "0.1", 0.1, false}, {Value{Kind: Number}, "1.5", 0, true}, {Value{Kind: Number}, "-1", -1, false},
		{Value{Kind: Duration}, "s", 0, true}, {Value{Kind: Duration}, "1 s", 0, true}, {Value{Kind: Number}, "0x10", 0, true},
	} {
		got, fault := c.v.read(c.text)
		if (fault != "") != c.bad || !c.bad && got != c.want {
			t.Errorf("%q: got %v, fault %q", c.text, got, fault)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add(completeFile)
	f.Add("a \"b\\\"c\" {\n}\n")
	f.Fuzz(func(t *testing.T, text string) {
		all, err := OperatorTable.ReadText("f", text)
		if (all == nil) == (err == nil) {
			t.Errorf("got values %v and error %v, want exactly one of them", all, err)
		}
	})
}
