package docs

import (
	"go/ast"
	"go/token"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// logFunctions are the names of the functions and methods that write a log line. The message is the first argument, or the second
// argument if the first is a log level.
var logFunctions = []string{"Log", "Msg", "log", "logAt", "logSampled"}

// TestOncall_ListsEachLogMessage checks that the table of docs/oncall.md lists each message that the programs log, and that the
// code logs each message of the table. A message must be constant: a literal, a string constant, an entry of the table
// eventMessages, or the parameter named message of a function that forwards log lines.
func TestOncall_ListsEachLogMessage(t *testing.T) {
	listed := messagesOfPage(t)
	used := map[string]string{}
	for folder, files := range parseSources(t) {
		if strings.HasPrefix(folder, "internal/standin") || strings.HasPrefix(folder, "internal/lab") || strings.HasPrefix(folder, "deploy") {
			continue // test tools and deployment tools, which do not run in production
		}
		constants := stringConstants(files)
		for _, file := range files {
			ast.Inspect(file, func(n ast.Node) bool {
				for _, message := range namedMessages(n) {
					used[message] = folder
				}
				call, ok := n.(*ast.CallExpr)
				if ok && calledName(call) == "Send" && len(call.Args) == 0 {
					t.Errorf("%s: a log line has no message", folder)
				}
				if !ok || !writesLog(call) {
					return true
				}
				message, constant := constantString(messageOf(call), constants)
				switch {
				case constant:
					used[message] = folder
				case !isForwardedMessage(messageOf(call)):
					t.Errorf("%s: a log line of %s has no constant message", folder, calledName(call))
				}
				return true
			})
		}
	}
	for message, folder := range used {
		if !listed[message] {
			t.Errorf("docs/oncall.md does not list %q of %s", message, folder)
		}
	}
	for message := range listed {
		if used[message] == "" {
			t.Errorf("docs/oncall.md lists %q, which no program logs", message)
		}
	}
}

// messagesOfPage returns the messages that oncall.md lists in the table below the heading "Log messages". The message is the
// first cell of a row and stands in backticks.
func messagesOfPage(tb testing.TB) map[string]bool {
	tb.Helper()
	text, err := os.ReadFile("oncall.md")
	if err != nil {
		tb.Fatal(err)
	}
	_, section, found := strings.Cut(string(text), "\n## Log messages\n")
	if !found {
		tb.Fatal("docs/oncall.md has no heading Log messages")
	}
	section, _, _ = strings.Cut(section, "\n## ")
	listed := map[string]bool{}
	for _, row := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\|").FindAllStringSubmatch(section, -1) {
		if listed[row[1]] {
			tb.Errorf("docs/oncall.md lists %q twice", row[1])
		}
		listed[row[1]] = true
	}
	return listed
}

// writesLog reports whether a call writes a log line: the called function is one of logFunctions, or the call passes fields of
// log/slog after a string literal.
func writesLog(call *ast.CallExpr) bool {
	if len(call.Args) == 0 || calledName(call) == "append" || calledPackage(call) == "math" {
		return false
	}
	literal, ok := messageOf(call).(*ast.BasicLit)
	return slices.Contains(logFunctions, calledName(call)) || passesFields(call) && ok && literal.Kind == token.STRING
}

// messageOf returns a call's message: the first argument, or the second if the first is a log level.
func messageOf(call *ast.CallExpr) ast.Expr {
	if level, ok := call.Args[0].(*ast.SelectorExpr); ok && strings.HasPrefix(level.Sel.Name, "Level") && len(call.Args) > 1 {
		return call.Args[1]
	}
	if level, ok := call.Args[0].(*ast.Ident); ok && level.Name == "level" && len(call.Args) > 1 {
		return call.Args[1]
	}
	return call.Args[0]
}

// namedMessages returns the constant messages that a statement assigns to a variable named message, or that the table eventMessages
// holds.
func namedMessages(n ast.Node) (messages []string) {
	switch n := n.(type) {
	case *ast.AssignStmt:
		for i, name := range n.Lhs {
			if id, ok := name.(*ast.Ident); ok && id.Name == "message" && i < len(n.Rhs) {
				if text, constant := constantString(n.Rhs[i], nil); constant {
					messages = append(messages, text)
				}
			}
		}
	case *ast.ValueSpec:
		if n.Names[0].Name != "eventMessages" || len(n.Values) == 0 {
			return nil
		}
		for _, element := range n.Values[0].(*ast.CompositeLit).Elts {
			if text, constant := constantString(element.(*ast.KeyValueExpr).Value, nil); constant {
				messages = append(messages, text)
			}
		}
	}
	return messages
}

// calledPackage returns the identifier before the dot of the called function, or "" if there is none.
func calledPackage(call *ast.CallExpr) string {
	if s, ok := call.Fun.(*ast.SelectorExpr); ok {
		if id, ok := s.X.(*ast.Ident); ok {
			return id.Name
		}
	}
	return ""
}

func calledName(call *ast.CallExpr) string {
	switch f := call.Fun.(type) {
	case *ast.Ident:
		return f.Name
	case *ast.SelectorExpr:
		return f.Sel.Name
	}
	return ""
}

func passesFields(call *ast.CallExpr) bool {
	for _, arg := range call.Args[1:] {
		field, ok := arg.(*ast.CallExpr)
		if !ok {
			continue
		}
		if s, ok := field.Fun.(*ast.SelectorExpr); ok {
			if pkg, ok := s.X.(*ast.Ident); ok && pkg.Name == "slog" {
				return true
			}
		}
	}
	return false
}

// isForwardedMessage reports whether an expression is a message that is defined elsewhere: a caller's message, or an entry of the
// table eventMessages.
func isForwardedMessage(e ast.Expr) bool {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name == "message"
	case *ast.IndexExpr:
		table, ok := e.X.(*ast.Ident)
		return ok && table.Name == "eventMessages"
	}
	return false
}

func constantString(e ast.Expr, constants map[string]string) (string, bool) {
	switch e := e.(type) {
	case *ast.BasicLit:
		text, err := strconv.Unquote(e.Value)
		return text, err == nil && e.Kind == token.STRING
	case *ast.Ident:
		text, ok := constants[e.Name]
		return text, ok
	}
	return "", false
}

// stringConstants returns the values of the package's constants that are string literals, by the constant's name.
func stringConstants(files []*ast.File) map[string]string {
	all := map[string]string{}
	for _, file := range files {
		for _, d := range file.Decls {
			g, ok := d.(*ast.GenDecl)
			if !ok || g.Tok != token.CONST {
				continue
			}
			for _, spec := range g.Specs {
				s := spec.(*ast.ValueSpec)
				for i, name := range s.Names {
					if i < len(s.Values) {
						if text, ok := constantString(s.Values[i], nil); ok {
							all[name.Name] = text
						}
					}
				}
			}
		}
	}
	return all
}
