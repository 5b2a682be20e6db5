// Package docs tests the Markdown pages of this folder against the code. Folders, declarations and tests that a page names must
// exist. architecture.md must name each package, and oncall.md must list each log message.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// parseSources parses the project's Go files and returns them by folder. Folders are relative to the project's root. Test files
// and the folders that are named testdata, bin, journal or tools, or whose name begins with a dot, are skipped.
func parseSources(tb testing.TB) map[string][]*ast.File {
	tb.Helper()
	files := token.NewFileSet()
	all := map[string][]*ast.File{}
	root := ".."
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := d.Name()
		if d.IsDir() && path != root && (strings.HasPrefix(name, ".") || name == "testdata" || name == "bin" || name == "journal" || name == "tools") {
			return filepath.SkipDir
		}
		if d.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		folder, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		all[folder] = append(all[folder], file)
		return nil
	})
	if err != nil {
		tb.Fatal(err)
	}
	return all
}

// declaredNames returns the names that a package's files declare: functions, variables, constants and types as Name, methods as
// Type.Method, and fields as Type.Field.
func declaredNames(files []*ast.File) map[string]bool {
	names := map[string]bool{}
	for _, file := range files {
		for _, d := range file.Decls {
			switch d := d.(type) {
			case *ast.FuncDecl:
				names[receiver(d)+d.Name.Name] = true
			case *ast.GenDecl:
				for _, spec := range d.Specs {
					addSpec(names, spec)
				}
			}
		}
	}
	return names
}

// receiver returns the name of a method's receiver type followed by a dot, or "" for a function.
func receiver(d *ast.FuncDecl) string {
	if d.Recv == nil {
		return ""
	}
	t := d.Recv.List[0].Type
	if pointer, ok := t.(*ast.StarExpr); ok {
		t = pointer.X
	}
	if generic, ok := t.(*ast.IndexExpr); ok {
		t = generic.X
	}
	return t.(*ast.Ident).Name + "."
}

func addSpec(names map[string]bool, spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range s.Names {
			names[name.Name] = true
		}
	case *ast.TypeSpec:
		names[s.Name.Name] = true
		var fields *ast.FieldList
		switch t := s.Type.(type) {
		case *ast.StructType:
			fields = t.Fields
		case *ast.InterfaceType:
			fields = t.Methods
		default:
			return
		}
		for _, field := range fields.List {
			for _, name := range field.Names {
				names[s.Name.Name+"."+name.Name] = true
			}
		}
	}
}

var (
	folderName      = regexp.MustCompile("`((?:balancer|cmd|internal|deploy)(?:/[a-z0-9-]+)*)`")
	codeName        = regexp.MustCompile("`([a-z][a-z0-9]*)\\.([A-Za-z]\\w*(?:\\.[A-Za-z]\\w*)?)`")
	testName        = regexp.MustCompile("`((?:Test|Fuzz|Benchmark)[A-Z]\\w*)(?:/[^`]*)?`")
	testDeclaration = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w+)\(`)
)

// TestPages_NameWhatExists checks that the folders and declarations that a page names exist. A page names a folder by its path,
// and a declaration as package.Name or package.Type.Name, both in backticks.
func TestPages_NameWhatExists(t *testing.T) {
	all := parseSources(t)
	packages := map[string]map[string]bool{}
	for folder, files := range all {
		name := files[0].Name.Name
		if packages[name] == nil {
			packages[name] = map[string]bool{}
		}
		for n := range declaredNames(files) {
			packages[name][n] = true
		}
		_ = folder
	}
	for _, page := range []string{
		"architecture.md", "glossary.md", "oncall.md", "design.md", "relay.md", "fleet.md", "capacity.md",
		"verdicts-design.md", "verdicts.md", "metadata-design.md", "metadata.md",
		"fleet-failure-design.md", "fleet-failure.md", "fleet-recovery.md", "fleet-size.md", "fleet-timelines.md",
		"overload-design.md", "device-health.md", "operators-file.md",
	} {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		folders := folderName.FindAllStringSubmatch(string(text), -1)
		for _, m := range folders {
			if info, err := os.Stat(filepath.Join("..", m[1])); err != nil || !info.IsDir() {
				t.Errorf("%s: folder %s does not exist", page, m[1])
			}
		}
		names := codeName.FindAllStringSubmatch(string(text), -1)
		for _, m := range names {
			if known, ok := packages[m[1]]; ok && !known[m[2]] {
				t.Errorf("%s: package %s does not declare %s", page, m[1], m[2])
			} else if !ok && !strings.Contains("fleet limits rules rollout load go verdicts metadata", m[1]) {
				t.Errorf("%s: package %s does not exist", page, m[1])
			}
		}
		if page == "architecture.md" && (len(folders) < 40 || len(names) < 40) {
			t.Errorf("%s names %d folders and %d declarations, want at least 40 of each: has its format changed?", page, len(folders), len(names))
		}
	}
}

// TestPages_NameTestsThatExist checks that each test that a page names, as Test or as Test/case, is declared in a test file.
func TestPages_NameTestsThatExist(t *testing.T) {
	declared := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range testDeclaration.FindAllStringSubmatch(string(text), -1) {
			declared[m[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	pages, err := filepath.Glob("*.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range testName.FindAllStringSubmatch(string(text), -1) {
			if !declared[m[1]] {
				t.Errorf("%s: test %s does not exist", page, m[1])
			}
		}
	}
}

// TestArchitecture_NamesEachPackage checks that the architecture page names each package of the project.
func TestArchitecture_NamesEachPackage(t *testing.T) {
	text, err := os.ReadFile("architecture.md")
	if err != nil {
		t.Fatal(err)
	}
	for folder := range parseSources(t) {
		if !strings.Contains(string(text), "`"+folder+"`") {
			t.Errorf("architecture.md does not name %s", folder)
		}
	}
}
