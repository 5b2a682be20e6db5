package operatorconfig

import (
	"strings"
)

// Directive is one row of the table.
type Directive struct {
	Parent      string // the block that it belongs to, by its path; "" for none
	Name        string
	Values      []Value
	Default     string // the values where it is absent, as they would be written; "" for none
	Required    bool
	Repeatable  bool // it may be given more than once
	Block       bool
	TakesEffect string // when a change takes effect
	Text        string
}

// path is the directive's name after those of its blocks, with dots.
func (d *Directive) path() string { return strings.TrimPrefix(d.Parent+"."+d.Name, ".") }

// Rule is a check between directives of a file: it names a directive, by its path, and what contradicts another, or gives an
// empty fault.
type Rule func(all map[string]any) (directive, fault string)

// Table is what a program understands of an operator's file.
type Table struct {
	Directives []Directive
	Rules      []Rule // checked once the directives have no fault
}

// Read reads a file and what it includes. The map has the values of the outermost block, with a map for each block, a list for
// each repeatable directive, and the defaults of what is absent. Its error is an *Error, several of them joined, or why the
// file could not be read.
func (t *Table) Read(path string) (map[string]any, error) {
	lines, err := loadFile(path, nil)
	if err != nil {
		return nil, err
	}
	return t.evaluate(path, lines)
}

// ReadText is Read for a text that includes nothing; name stands for the file in errors.
func (t *Table) ReadText(name, content string) (map[string]any, error) {
	lines, err := parse(name, []byte(content))
	if err != nil {
		return nil, err
	}
	return t.evaluate(name, lines)
}

// find is the row of a directive in the block with a path, nil for none.
func (t *Table) find(path, name string) *Directive {
	for i := range t.Directives {
		if d := &t.Directives[i]; d.Parent == path && d.Name == name {
			return d
		}
	}
	return nil
}

// takesWordList tells whether the last value takes all the words that are left.
func (d *Directive) takesWordList() bool {
	return len(d.Values) > 0 && d.Values[len(d.Values)-1].Kind == Words
}

// valueNames names the values that the directive takes.
func (d *Directive) valueNames() string {
	if len(d.Values) == 0 {
		return "none"
	}
	var names []string
	for _, v := range d.Values {
		name := strings.ToUpper(v.Name)
		if v.Kind == Words {
			name += "..."
		}
		names = append(names, name)
	}
	return strings.Join(names, " ")
}
