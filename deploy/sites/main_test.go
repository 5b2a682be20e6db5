package main

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

const changes = `
drop = ["trouble.slow", "tenant.south"]
[set]
name = "weir"
"limits.open" = 9
"routing.tenants" = ["north"]
"class.upload.share" = [1, 3]
"class.upload.effect" = "keyed"
"tier.front.kind.big.share" = 0.5
[add]
"class.upload.window_ms" = 700
[add."class.peek"]
share = 4
effect = "safe"
[rename]
"class.upload" = "browse"
"class.browse" = "window"
"tenant.north" = "deadline"
"tier.front" = "class"
`

// makeTestVariant makes a variant of the site in testdata. replacements holds new contents for files in the directory
// of the site file, keyed by file name.
func makeTestVariant(t *testing.T, changes string, replacements map[string]string) (dir, made string, err error) {
	t.Helper()
	from, dir := t.TempDir(), filepath.Join(t.TempDir(), "made")
	if err := os.CopyFS(from, os.DirFS("testdata")); err != nil {
		t.Fatal(err)
	}
	for name, text := range replacements {
		if err := os.WriteFile(filepath.Join(from, name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	path := filepath.Join(t.TempDir(), "weir.toml")
	if err := os.WriteFile(path, []byte(changes), 0o644); err != nil {
		t.Fatal(err)
	}
	made, err = makeVariant(filepath.Join(from, "site.toml"), path, dir)
	return dir, made, err
}

func TestMakeVariant_AppliesAllChanges(t *testing.T) {
	dir, made, err := makeTestVariant(t, changes, nil)
	if err != nil {
		t.Fatal(err)
	}
	if want := filepath.Join(dir, "weir", "weir.toml"); made != want {
		t.Errorf("wrote %s, want %s", made, want)
	}
	text, err := os.ReadFile(made)
	if err != nil {
		t.Fatal(err)
	}
	var site, want map[string]any
	if err := toml.Unmarshal(text, &site); err != nil {
		t.Fatalf("the variant does not parse: %v\n%s", err, text)
	}
	if err := toml.Unmarshal([]byte(`
name = "weir"
family = "proxy"
wire = "dialect.json"
trouble = []
[limits]
open = 9
[routing]
class = "browse"
classes = ["browse", "window"]
tenants = ["deadline"]
[[tier]]
name = "class"
[[tier.kind]]
name = "big"
share = 0.5
[[class]]
name = "browse"
share = [1, 3]
aim_ms = 100
effect = "keyed"
window_ms = 700
[[class]]
name = "window"
share = 1
aim_ms = 50
effect = "safe"
[[class]]
name = "peek"
share = 4
effect = "safe"
[[tenant]]
name = "deadline"
share = 0.75
`), &want); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(site, want) {
		t.Errorf("got variant\n%v\nwant\n%v", site, want)
	}
	for _, file := range []string{"real.json", "dialect.json", "unlock.txt"} {
		copied, err := os.ReadFile(filepath.Join(dir, "weir", file))
		if err != nil {
			t.Error(err)
		}
		if source, _ := os.ReadFile(filepath.Join("testdata", file)); !bytes.Equal(copied, source) {
			t.Errorf("%s differs from the file beside the site", file)
		}
	}
}

func TestMakeVariant_IsDeterministic(t *testing.T) {
	var first []byte
	for range 20 {
		_, made, err := makeTestVariant(t, changes, nil)
		if err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(made)
		if err != nil {
			t.Fatal(err)
		}
		if first != nil && !bytes.Equal(first, text) {
			t.Fatalf("first run\n%s\nlater run\n%s", first, text)
		}
		first = text
	}
}

func TestMakeVariant_RefusesInvalidChanges(t *testing.T) {
	for name, c := range map[string]struct {
		changes, wantError string
		other              map[string]string
	}{
		"set an unknown key": {`set = {"limits.opne" = 1}`, `set "limits.opne": there is no "opne"`,
			nil},
		"set in an unknown class": {`set = {"class.uplaod.share" = 1}`, `there is no "class.uplaod"`, nil},
		"set an unknown table":    {`set = {"limit.open" = 1}`, `there is no "limit"`, nil},
		"set below a value":       {`set = {"limits.open.most" = 1}`, `"limits.open" is not a table`, nil},
		"set another type": {`set = {"limits.open" = "9"}`,
			`a string cannot take the place of a number`, nil},
		"set a list of two types": {`set = {"limits.open" = [1, "9"]}`, `a mixed list cannot`, nil},
		"set a name":              {`set = {"class.upload.name" = "x"}`, `names are changed by rename`, nil},
		"set a table":             {`set = {"limits" = {open = 1}}`, `a table cannot take the place`, nil},
		"an empty part":           {`set = {"limits..open" = 1}`, `a part of the path is empty`, nil},
		"add what is there":       {`add = {"limits.open" = 1}`, `it already exists`, nil},
		"add to an unknown class": {`add = {"class.uplaod.window_ms" = 1}`, `there is no "class.uplaod"`,
			nil},
		"add a class as a number": {`add = {"class.peek" = 1}`, `an element is a table without a name`, nil},
		"add a class called twice": {`add = {"class.peek" = {name = "x"}}`,
			`an element is a table without a name`, nil},
		"drop an unknown key": {`drop = ["limits.opne"]`, `drop "limits.opne": there is no "opne"`, nil},
		"drop an unknown class": {`drop = ["class.uplaod"]`, `drop "class.uplaod": there is no "uplaod"`,
			nil},
		"drop a class in use": {`drop = ["class.browse"]`,
			`class "browse" is renamed or dropped, but is still used at routing.classes`, nil},
		"rename an unknown class": {`rename = {"class.uplaod" = "x"}`,
			`rename "class.uplaod": there is no "uplaod"`, nil},
		"rename a key": {`rename = {"limits.open" = "x"}`,
			`needs an element of a list and a name`, nil},
		"rename to nothing": {`rename = {"class.upload" = ""}`,
			`needs an element of a list and a name`, nil},
		"rename to one that is": {`rename = {"class.upload" = "browse"}`,
			`two elements of class are called "browse"`, nil},
		"rename a dropped class": {"drop = [\"tenant.south\"]\nrename = {\"tenant.south\" = \"x\"}",
			`rename "tenant.south": there is no "south"`, nil},
		"an unknown entry":    {`sett = {"limits.open" = 1}`, `unknown entries`, nil},
		"a malformed file":    {`set = {`, `malformed`, nil},
		"a malformed site":    {``, `malformed`, map[string]string{"site.toml": "a = "}},
		"a malformed dialect": {``, `dialect.json: `, map[string]string{"dialect.json": "{"}},
		"a dialect elsewhere": {``, `"../d.json" is not the name of a file`,
			map[string]string{"site.toml": `wire = "../d.json"`}},
		"no dialect":             {``, `none.json`, map[string]string{"site.toml": `wire = "none.json"`}},
		"two classes of a name":  {`set = {"class.a.b" = 1}`, `two elements are called "a"`, duplicateNames},
		"a name in the dialect":  {`rename = {"class.upload" = "x"}`, `is still used at dialect.json.of[1]`, namesInDialect},
		"a key in the dialect":   {`rename = {"tenant.south" = "x"}`, `is still used at dialect.json.south`, namesInDialect},
		"a name as another word": {`rename = {"class.a" = "x"}`, `is still used at limits.first`, namesElsewhere},
		"a name as another key":  {`rename = {"class.b" = "x"}`, `is still used at limits.b`, namesElsewhere},
	} {
		t.Run(name, func(t *testing.T) {
			dir, _, err := makeTestVariant(t, c.changes, c.other)
			if err == nil || !strings.Contains(err.Error(), c.wantError) {
				t.Errorf("got error %v, want one that contains %s", err, c.wantError)
			}
			if _, err := os.Stat(dir); !os.IsNotExist(err) {
				_ = filepath.WalkDir(dir, func(path string, _ fs.DirEntry, _ error) error {
					t.Errorf("%s was written", path)
					return nil
				})
			}
		})
	}
}

var (
	duplicateNames = map[string]string{"site.toml": "[[class]]\nname = \"a\"\nb = 2\n[[class]]\nname = \"a\"\nb = 3\n"}
	namesInDialect = map[string]string{"dialect.json": `{"of": ["browse", "upload"], "south": 1}`}
	namesElsewhere = map[string]string{"site.toml": "[limits]\nfirst = \"a\"\nb = 1\n" +
		"[[class]]\nname = \"a\"\n[[class]]\nname = \"b\"\n"}
)

// TestChangeFiles_AreValid checks that the change files in this directory decode without unknown entries. It applies
// them to no site.
func TestChangeFiles_AreValid(t *testing.T) {
	files, err := filepath.Glob("*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("found %v, %v", files, err)
	}
	for _, file := range files {
		var v variant
		if err := readTOML(file, &v, true); err != nil || len(v.Set) == 0 {
			t.Errorf("%s: %v, %d values set", file, err, len(v.Set))
		}
	}
}
