// Package operatorconfig owns the operator's own file: its grammar, the one table of directives that gives
// parsing, defaults, ranges, the reference page and the errors, and the checks between directives.
//
// The file has one directive a line: a name and its values, parted by blanks. "#" starts a comment,
// double quotes hold blanks, and a directive with parts opens a block with "{" at the end of its line
// and closes it with "}" on a line of its own. "include PATH" takes another file's lines in its place.
// A file with any error is refused whole. What comes out is a plain map.
package operatorconfig

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Limits on what is read.
const (
	maxFileBytes    = 4 << 20 // of one file
	maxIncludeDepth = 16      // one inside another
)

// tokenRules are those of the file's format.
var tokenRules = []lexer.SimpleRule{
	{Name: "Comment", Pattern: `#[^\n]*`},
	{Name: "Quoted", Pattern: `"(\\["\\]|[^"\\\n])*"`},
	{Name: "Open", Pattern: `\{`},
	{Name: "Close", Pattern: `\}`},
	{Name: "Word", Pattern: `[^\s"{}#]+`},
	{Name: "EOL", Pattern: `\n`},
	{Name: "Blank", Pattern: `[ \t\r]+`},
}

// file is a whole file.
type file struct {
	Lines []*line `parser:"@@*"`
}

// line is one directive, or none.
type line struct {
	Pos   lexer.Position
	Name  string   `parser:"( @Word"`
	Args  []*value `parser:"  @@*"`
	Block *block   `parser:"  @@? )? EOL"`
}

// value is one value of a directive, as it is written.
type value struct {
	Pos  lexer.Position
	Text string `parser:"@( Word | Quoted )"`
}

// block is the block of a directive.
type block struct {
	Pos   lexer.Position
	Lines []*line `parser:"Open EOL @@* Close"`
}

// grammar is built at its first use, as a process without an operator's file does not need it.
var grammar = sync.OnceValue(func() *participle.Parser[file] {
	return participle.MustBuild[file](participle.Lexer(lexer.MustSimple(tokenRules)), participle.Elide("Comment", "Blank"),
		participle.UseLookahead(2))
})

// Error is one fault of a file.
type Error struct {
	File      string
	Line      int    // from 1
	Column    int    // from 1
	Directive string // by its path, empty for a fault of the syntax
	Text      string // what is wrong, and what is allowed
}

func (e *Error) Error() string {
	if e.Directive == "" {
		return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Text)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", e.File, e.Line, e.Column, e.Directive, e.Text)
}

// errorAt is the Error at a position.
func errorAt(pos lexer.Position, directive, format string, args ...any) *Error {
	return &Error{File: pos.Filename, Line: pos.Line, Column: pos.Column, Directive: directive,
		Text: fmt.Sprintf(format, args...)}
}

// parse reads the lines of one text, without its includes.
func parse(name string, content []byte) ([]*line, error) {
	if len(content) > maxFileBytes {
		return nil, &Error{File: name, Line: 1, Column: 1, Text: fmt.Sprintf("longer than %d bytes", maxFileBytes)}
	}
	parsed, err := grammar().ParseString(name, string(content)+"\n")
	if err != nil {
		var syntax participle.Error
		if errors.As(err, &syntax) {
			return nil, errorAt(syntax.Position(), "", "%s", describeSyntaxError(syntax.Message()))
		}
		return nil, err
	}
	return parsed.Lines, nil
}

// describeSyntaxError is a message of the parser in the terms of the file's format.
func describeSyntaxError(message string) string {
	switch {
	case strings.Contains(message, "invalid input text"):
		return "a quote is not closed on its line, or has a backslash before other than a quote or backslash"
	case strings.Contains(message, `unexpected token "<EOF>"`):
		return `a block is not closed: "}" is missing`
	case strings.Contains(message, `unexpected token "}"`):
		return `"}" must stand on a line of its own and close a block`
	case strings.Contains(message, `unexpected token "{"`):
		return `"{" must follow a directive and end its line`
	}
	return message
}

// unquote is a value without its quotes and escapes.
func unquote(s string) string {
	if strings.HasPrefix(s, `"`) {
		s = s[1 : len(s)-1]
		s = strings.ReplaceAll(s, `\"`, `"`)
		s = strings.ReplaceAll(s, `\\`, `\`)
	}
	return s
}

// loadFile reads the lines of a file and of those that it includes. An included path is from its includer's folder; chain are the
// files that include this one.
func loadFile(path string, chain []string) ([]*line, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	lines, err := parse(path, content)
	if err != nil {
		return nil, err
	}
	return expandIncludes(lines, filepath.Dir(path), append(chain, filepath.Clean(path)))
}

// expandIncludes replaces the include directives of lines by what they include.
func expandIncludes(lines []*line, dir string, chain []string) (out []*line, err error) {
	for _, l := range lines {
		if l.Name != "include" {
			if l.Block != nil {
				if l.Block.Lines, err = expandIncludes(l.Block.Lines, dir, chain); err != nil {
					return nil, err
				}
			}
			out = append(out, l)
			continue
		}
		if len(l.Args) != 1 || l.Block != nil {
			return nil, errorAt(l.Pos, "include", "takes one path")
		}
		path := unquote(l.Args[0].Text)
		if !filepath.IsAbs(path) {
			path = filepath.Join(dir, path)
		}
		for _, earlier := range chain {
			if earlier == filepath.Clean(path) {
				return nil, errorAt(l.Pos, "include", "%s includes itself", path)
			}
		}
		if len(chain) >= maxIncludeDepth {
			return nil, errorAt(l.Pos, "include", "more than %d files one inside another", maxIncludeDepth)
		}
		more, err := loadFile(path, chain)
		if os.IsNotExist(err) || os.IsPermission(err) {
			return nil, errorAt(l.Pos, "include", "%s cannot be read: %v", path, err)
		} else if err != nil {
			return nil, err
		}
		out = append(out, more...)
	}
	return out, nil
}

// parseNumber reads a number with a unit out of a list; the longest unit that fits counts.
func parseNumber(s string, units map[string]float64) (float64, bool) {
	end := len(s)
	for end > 0 && (s[end-1] < '0' || s[end-1] > '9') && s[end-1] != '.' {
		end--
	}
	scale, ok := units[s[end:]]
	if !ok {
		return 0, false
	}
	f, err := strconv.ParseFloat(s[:end], 64)
	if err != nil || strings.ContainsAny(s[:end], "eExXpP_nN") {
		return 0, false
	}
	return f * scale, true
}
