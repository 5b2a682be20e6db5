package relay

import (
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// readOnlyVariables lists the package variables of all packages that silvercove-relay links. None of them may be written
// after the program has started, as relays in one process must not share state that changes. Review a new variable before
// adding it.
var readOnlyVariables = []string{
	"balancer.refusalNames", "discovery.ErrMissingField", "dispatch.endpointStates", "dispatch.releaseVerdicts",
	"dispatch.rolloutPhases", "dispatch.verdictNames", "evidence.ErrCorrupt", "evidence.ErrNewerVersion",
	"evidence.castagnoli", "evidence.delayLimits", "http1.ErrMalformed", "http1.ErrTooLong",
	"operatorconfig.OperatorTable", "operatorconfig.buildValue", "operatorconfig.durationUnits",
	"operatorconfig.grammar", "operatorconfig.kindNames", "operatorconfig.requestClassValues",
	"operatorconfig.sizeUnits", "operatorconfig.tokenRules", "overload.ErrMalformedReport", "pgwire.ErrMalformed",
	"pgwire.ErrTooLong", "relay.ErrNotSet", "relay.outcomeNames", "releaseapi.ErrNoRevision", "settings.ErrNotUTF8",
	"settings.classSchema", "settings.dedupScope", "settings.discoveryMode", "settings.documentSchema",
	"settings.errDuplicate", "settings.errMissingName", "settings.errNoClasses", "settings.errNoObjectiveOrDeadline",
	"settings.exposureCount", "settings.idempotency", "settings.limitsSchema", "settings.loadReportSchema",
	"settings.rolloutControl", "settings.rolloutSchema", "settings.rulesSchema", "transport.closeReasonNames",
	"transport.pastDeadline",
}

// TestPackageVariables_NeverWritten parses the sources of silvercove-relay's main package and of the project's packages
// that it imports, and checks that no statement writes a package variable.
func TestPackageVariables_NeverWritten(t *testing.T) {
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
		for name, sources := range parsePackages(t, files, filepath.Join("..", "..", folder)) {
			declarations := variables(sources)
			for v := range declarations {
				found = append(found, name+"."+v)
			}
			for _, file := range sources {
				for _, i := range file.Imports {
					path, _ := strconv.Unquote(i.Path.Value)
					if ours, ok := strings.CutPrefix(path, "silvercove/"); ok {
						open = append(open, ours)
					}
				}
				ast.Inspect(file, func(n ast.Node) bool {
					for _, v := range writtenVariables(n) {
						if decl := declarations[v.Name]; decl != nil && (v.Obj == nil || v.Obj.Decl == decl) {
							t.Errorf("%s: a package variable is written", files.Position(v.Pos()))
						}
					}
					return true
				})
			}
		}
	}
	slices.Sort(found)
	if len(seen) < 15 || !slices.Equal(found, readOnlyVariables) {
		t.Errorf("variables of %d packages: %q, want the reviewed ones: %q", len(seen), found, readOnlyVariables)
	}
}

// parsePackages parses the sources in a folder, except for tests, and returns them by package name.
func parsePackages(tb testing.TB, files *token.FileSet, folder string) map[string][]*ast.File {
	tb.Helper()
	paths, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil {
		tb.Fatal(err)
	}
	packages := map[string][]*ast.File{}
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(files, path, nil, 0)
		if err != nil {
			tb.Fatal(err)
		}
		packages[file.Name.Name] = append(packages[file.Name.Name], file)
	}
	return packages
}

// variables returns the package variables of the sources: the declaration of each, by name.
func variables(sources []*ast.File) map[string]any {
	declarations := map[string]any{}
	for _, file := range sources {
		for _, d := range file.Decls {
			if g, ok := d.(*ast.GenDecl); ok && g.Tok == token.VAR {
				for _, s := range g.Specs {
					for _, name := range s.(*ast.ValueSpec).Names {
						declarations[name.Name] = s
					}
				}
			}
		}
	}
	maps.DeleteFunc(declarations, func(name string, _ any) bool { return name == "_" })
	return declarations
}

// writtenVariables returns the identifiers that a syntax node assigns, in whole or in part, or takes the address of.
func writtenVariables(n ast.Node) (all []*ast.Ident) {
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
