package operatorconfig

import (
	"strings"
)

// Directive describes one directive of the file.
type Directive struct {
	Parent      string // path of the block that the directive belongs to; "" for the top level
	Name        string
	Values      []Value
	Default     string // values of the directive if it is absent, as they would be written in the file; "" for no values
	Required    bool
	Repeatable  bool   // whether the directive may be given more than once
	Block       bool   // whether the directive has a block of further directives
	TakesEffect string // when a change of the directive takes effect; "" means at the start of the process
	Text        string // description for the reference page
}

// path returns the names of the enclosing blocks and the name of the directive, joined by dots.
func (d *Directive) path() string { return strings.TrimPrefix(d.Parent+"."+d.Name, ".") }

// Rule is a check between directives of a file. The parameter all holds the values of all directives (see Table.Read).
// A Rule returns the path of the directive at fault and a description of the fault. The description is empty if there
// is no fault.
type Rule func(all map[string]any) (directive, fault string)

// Table holds all directives and rules of one kind of configuration file.
type Table struct {
	Directives []Directive
	Rules      []Rule // checked only if no directive has a fault
}

// Read reads a file and the files that it includes. The returned map holds the values of the top level and the defaults
// of absent directives. It has a map for each block and a list for each repeatable directive. The error is an *Error,
// several of them joined, or the reason why the file could not be read.
func (t *Table) Read(path string) (map[string]any, error) {
	lines, err := loadFile(path, nil)
	if err != nil {
		return nil, err
	}
	return t.evaluate(path, lines)
}

// ReadText is like Read, but reads the text in the parameter content, in which include is not allowed. Errors give the
// value of the parameter called name as the name of the file.
func (t *Table) ReadText(name, content string) (map[string]any, error) {
	lines, err := parse(name, []byte(content))
	if err != nil {
		return nil, err
	}
	return t.evaluate(name, lines)
}

// find returns the directive with the given name in the block at path. It returns nil if that block has no such
// directive.
func (t *Table) find(path, name string) *Directive {
	for i := range t.Directives {
		if d := &t.Directives[i]; d.Parent == path && d.Name == name {
			return d
		}
	}
	return nil
}

// takesWordList reports whether the last value takes all remaining words of the line.
func (d *Directive) takesWordList() bool {
	return len(d.Values) > 0 && d.Values[len(d.Values)-1].Kind == Words
}

// valueNames returns the names of the values that the directive takes, for error messages.
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
