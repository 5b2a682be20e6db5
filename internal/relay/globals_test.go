package relay

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// constant are the variables of packages that the lean relay is made of. None of them is ever written once the program
// has started: what a relay knows belongs to that relay alone. A new one is to be looked at before it joins them.
var constant = []string{
	"balancer.refusalNames", "dispatch.endpointStates", "dispatch.platformVerdicts", "dispatch.rolloutPhases",
	"dispatch.verdictNames", "evidence.ErrCorrupt", "evidence.ErrNewerVersion", "evidence.castagnoli",
	"evidence.delayLimits", "http1.ErrMalformed", "http1.ErrTooLong", "operatorconfig.Operators",
	"operatorconfig.build", "operatorconfig.grammar", "operatorconfig.kinds", "operatorconfig.opType",
	"operatorconfig.sizes", "operatorconfig.spans", "operatorconfig.words", "overload.ErrMalformedReport",
	"pgwire.ErrMalformed", "pgwire.ErrTooLong", "settings.ErrNotUTF8",
	"settings.classSchema", "settings.dedupScope", "settings.discoveryMode", "settings.documentSchema",
	"settings.errNoClasses", "settings.errNoName", "settings.errNoTimes", "settings.errTwice", "settings.exposureCount",
	"settings.idempotency", "settings.limitsSchema", "settings.loadReportSchema", "settings.rolloutControl",
	"settings.rolloutSchema", "settings.rulesSchema", "transport.closeReasonNames", "transport.past",
}

// TestNoStateOutsideOfARelay reads the program's own sources, from its main package on.
func TestNoStateOutsideOfARelay(t *testing.T) {
	var found []string
	seen := map[string]bool{}
	for open := []string{"cmd/silvercove-relay"}; len(open) > 0; {
		folder := open[0]
		open = open[1:]
		if seen[folder] {
			continue
		}
		seen[folder] = true
		files := token.NewFileSet()
		tests := func(f fs.FileInfo) bool { return !strings.HasSuffix(f.Name(), "_test.go") }
		packages, err := parser.ParseDir(files, filepath.Join("..", "..", folder), tests, 0)
		if err != nil {
			t.Fatal(err)
		}
		for name, p := range packages {
			all := variables(p)
			for v := range all {
				found = append(found, name+"."+v)
			}
			for _, file := range p.Files {
				for _, i := range file.Imports {
					path, _ := strconv.Unquote(i.Path.Value)
					if ours, ok := strings.CutPrefix(path, "silvercove/"); ok {
						open = append(open, ours)
					}
				}
				ast.Inspect(file, func(n ast.Node) bool {
					for _, v := range written(n) {
						if decl := all[v.Name]; decl != nil && (v.Obj == nil || v.Obj.Decl == decl) {
							t.Errorf("%s is written", files.Position(v.Pos()))
						}
					}
					return true
				})
			}
		}
	}
	slices.Sort(found)
	if len(seen) < 15 || !slices.Equal(found, constant) {
		t.Errorf("variables of %d packages: %q, known as never written: %q", len(seen), found, constant)
	}
}

// variables are those of a package, by name.
func variables(p *ast.Package) map[string]any {
	all := map[string]any{}
	for _, file := range p.Files {
		for _, d := range file.Decls {
			if g, ok := d.(*ast.GenDecl); ok && g.Tok == token.VAR {
				for _, s := range g.Specs {
					for _, name := range s.(*ast.ValueSpec).Names {
						all[name.Name] = s
					}
				}
			}
		}
	}
	maps.DeleteFunc(all, func(name string, _ any) bool { return name == "_" })
	return all
}

// written are the variables that a piece of code sets, whole or in part, or gives the address of.
func written(n ast.Node) (all []*ast.Ident) {
	var to []ast.Expr
	switch n := n.(type) {
	case *ast.AssignStmt:
		if n.Tok != token.DEFINE {
			to = n.Lhs
		}
	case *ast.IncDecStmt:
		to = []ast.Expr{n.X}
	case *ast.UnaryExpr:
		if n.Op == token.AND {
			to = []ast.Expr{n.X}
		}
	case *ast.CallExpr:
		if f, ok := n.Fun.(*ast.Ident); ok && (f.Name == "delete" || f.Name == "clear" || f.Name == "copy") {
			to = n.Args[:1]
		}
	}
	for _, e := range to {
		for done := false; !done; {
			switch x := e.(type) {
			case *ast.IndexExpr:
				e = x.X
			case *ast.SelectorExpr:
				e = x.X
			case *ast.SliceExpr:
				e = x.X
			case *ast.ParenExpr:
				e = x.X
			case *ast.StarExpr:
				e = x.X
			case *ast.Ident:
				all, done = append(all, x), true
			default:
				done = true
			}
		}
	}
	return all
}
