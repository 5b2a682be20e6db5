// Package operatorconfig reads the operator's configuration file. It defines the grammar and a single table of
// directives. Parsing, defaults, ranges, the reference page and error messages are derived from the table. The package
// also has the rules that check directives against each other.
//
// The file has one directive per line: a name and its values, separated by blanks. "#" starts a comment, and double
// quotes enclose a value that contains blanks. A directive with a block opens the block with "{" at the end of its line;
// "}" on a line of its own closes the block. "include PATH" is replaced by the lines of another file. A file with any
// error is refused as a whole. The result is a map from names to values; see Table.Read.
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

// Limits on the input.
const (
	maxFileBytes    = 4 << 20 // largest size of one file in bytes
	maxIncludeDepth = 16      // largest number of nested files, including the outermost one
)

// tokenRules define the tokens of the file format.
var tokenRules = []lexer.SimpleRule{
	{Name: "Comment", Pattern: `#[^\n]*`},
	{Name: "Quoted", Pattern: `"(\\["\\]|[^"\\\n])*"`},
	{Name: "Open", Pattern: `\{`},
	{Name: "Close", Pattern: `\}`},
	{Name: "Word", Pattern: `[^\s"{}#]+`},
	{Name: "EOL", Pattern: `\n`},
	{Name: "Blank", Pattern: `[ \t\r]+`},
}

// file is the syntax tree of a file.
type file struct {
	Lines []*line `parser:"@@*"`
}

// line is one line of a file, which may have a directive. Name is the name of the directive, or "" if the line has none.
// Block is nil unless the directive opens a block.
type line struct {
	Pos   lexer.Position
	Name  string   `parser:"( @Word"`
	Args  []*value `parser:"  @@*"`
	Block *block   `parser:"  @@? )? EOL"`
}

// value is one value of a directive as written in the file, with any quotes.
type value struct {
	Pos  lexer.Position
	Text string `parser:"@( Word | Quoted )"`
}

// block holds the lines between the braces of a directive.
type block struct {
	Pos   lexer.Position
	Lines []*line `parser:"Open EOL @@* Close"`
}

// grammar returns the parser. It builds the parser at the first call, because a process without an operator's file does
// not need a parser.
var grammar = sync.OnceValue(func() *participle.Parser[file] {
	return participle.MustBuild[file](participle.Lexer(lexer.MustSimple(tokenRules)), participle.Elide("Comment", "Blank"),
		participle.UseLookahead(2))
})

// Error is one fault in a file.
type Error struct {
	File      string
	Line      int    // line of the fault, counted from 1
	Column    int    // column of the fault, counted from 1
	Directive string // path of the directive; "" for a syntax error
	Text      string // description of the fault and of what is allowed
}

func (e *Error) Error() string {
	if e.Directive == "" {
		return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Text)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", e.File, e.Line, e.Column, e.Directive, e.Text)
}

// errorAt returns an Error at a position.
func errorAt(pos lexer.Position, directive, format string, args ...any) *Error {
	return &Error{File: pos.Filename, Line: pos.Line, Column: pos.Column, Directive: directive,
		Text: fmt.Sprintf(format, args...)}
}

// parse returns the lines of one text. It does not expand includes. name is the name of the file in errors.
func parse(name string, content []byte) ([]*line, error) {
	if len(content) > maxFileBytes {
		return nil, &Error{File: name, Line: 1, Column: 1, Text: fmt.Sprintf("the file is longer than %d bytes", maxFileBytes)}
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

// describeSyntaxError translates a message of the parser library into the terms of the file format.
func describeSyntaxError(message string) string {
	switch {
	case strings.Contains(message, "invalid input text"):
		return "a quote is not closed on its line, or contains a backslash that precedes neither a quote nor a backslash"
	case strings.Contains(message, `unexpected token "<EOF>"`):
		return `a block is not closed: "}" is missing`
	case strings.Contains(message, `unexpected token "}"`):
		return `"}" must stand on a line of its own and close a block`
	case strings.Contains(message, `unexpected token "{"`):
		return `"{" must follow a directive and end its line`
	}
	return message
}

// unquote removes the quotes and escapes of a value.
func unquote(s string) string {
	if strings.HasPrefix(s, `"`) {
		s = s[1 : len(s)-1]
		s = strings.ReplaceAll(s, `\"`, `"`)
		s = strings.ReplaceAll(s, `\\`, `\`)
	}
	return s
}

// loadFile reads the lines of a file and of the files that it includes. A relative path of an include starts from the
// folder of the including file. chain holds the paths of the files that enclose this file, the outermost file first.
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

// expandIncludes replaces each include directive in lines by the lines of the file that the directive names. dir is the
// folder from which relative paths start. chain holds the paths of the file that contains the lines and of the files
// that include it, the outermost file first.
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
			return nil, errorAt(l.Pos, "include", "more than %d nested files", maxIncludeDepth)
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

// parseNumber parses a decimal number followed by one of the units. It returns the number times the scale that units has
// for the unit. All characters after the last digit or decimal point must form the unit. Exponents, hexadecimal numbers,
// infinities and NaN are refused.
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
