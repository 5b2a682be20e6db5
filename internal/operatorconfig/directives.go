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

func (d *Directive) path() string { return strings.TrimPrefix(d.Parent+"."+d.Name, ".") }

// Rule is a check between directives: it gets the whole map and says what contradicts, naming the
// directive as it stands in the file.
type Rule func(all map[string]any) (directive, fault string)

// Table is all that a program understands.
type Table struct {
	Directives []Directive
	Rules      []Rule
}

// Read reads a file with all that it includes.
// Its error is an Error, several of them joined, or why the file could not be read.
func (t *Table) Read(path string) (map[string]any, error) {
	lines, err := load(path, nil)
	if err != nil {
		return nil, err
	}
	return t.evaluate(path, lines)
}

// ReadText reads a text that includes nothing.
func (t *Table) ReadText(name, content string) (map[string]any, error) {
	lines, err := parse(name, []byte(content))
	if err != nil {
		return nil, err
	}
	return t.evaluate(name, lines)
}

func (t *Table) find(in, name string) *Directive {
	for i := range t.Directives {
		if d := &t.Directives[i]; d.Parent == in && d.Name == name {
			return d
		}
	}
	return nil
}

func cmpOr(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

func (d *Directive) usage() string {
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
