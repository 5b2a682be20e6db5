package operatorconfig

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
)

// evaluator checks the lines of one file, with its includes, against a table and collects their values.
type evaluator struct {
	table      *Table
	faults     []error          // every fault found so far
	firstLines map[string]*line // first line of each directive, by path
}

// evaluate returns the values of the lines of a file, or an error that joins all faults. It checks the rules of the
// table only if the lines have no fault. It reports the fault of a rule at the first line of the directive at fault, or
// at the start of the file if no line has that directive.
func (t *Table) evaluate(name string, lines []*line) (map[string]any, error) {
	r := &evaluator{table: t, firstLines: map[string]*line{}}
	values := r.block("", lines, &line{})
	if len(r.faults) == 0 {
		for _, rule := range t.Rules {
			if directive, fault := rule(values); fault != "" {
				l := r.firstLines[directive]
				if l == nil {
					l = &line{}
					l.Pos.Filename, l.Pos.Line, l.Pos.Column = name, 1, 1
				}
				r.addFault(l.Pos, directive, "%s", fault)
			}
		}
	}
	if len(r.faults) > 0 {
		return nil, errors.Join(r.faults...)
	}
	return values, nil
}

// block evaluates the lines of one block. path is the path of the block, "" for the top level. openingLine is the line of
// the directive that has the block.
func (r *evaluator) block(path string, lines []*line, openingLine *line) map[string]any {
	values := map[string]any{}
	given := map[string]*line{}
	for _, l := range lines {
		if l.Name == "" {
			continue
		}
		d := r.table.find(path, l.Name)
		if d == nil {
			r.addFault(l.Pos, l.Name, "%s", r.unknownDirective(path, l.Name))
			continue
		}
		if first := given[l.Name]; first != nil && !d.Repeatable {
			r.addFault(l.Pos, d.path(), "given twice, first on line %d", first.Pos.Line)
			continue
		}
		given[l.Name] = l
		if r.firstLines[d.path()] == nil {
			r.firstLines[d.path()] = l
		}
		value, ok := r.evaluateDirective(d, l)
		if !ok {
			continue
		}
		if d.Repeatable {
			earlier, _ := values[d.Name].([]any)
			values[d.Name] = append(earlier, value)
		} else {
			values[d.Name] = value
		}
	}
	for i := range r.table.Directives {
		d := &r.table.Directives[i]
		if d.Parent == path && given[d.Name] == nil {
			r.applyDefault(d, values, lines, openingLine)
		}
	}
	return values
}

// applyDefault handles a directive that is absent from a block: it sets the default, if there is one, and reports a fault if
// the directive is required.
func (r *evaluator) applyDefault(d *Directive, values map[string]any, lines []*line, openingLine *line) {
	if d.Required {
		position := openingLine.Pos
		if position.Line == 0 && len(lines) > 0 { // the top level has no opening line, so the fault is at the start of the file
			position = lines[0].Pos
			position.Line, position.Column = 1, 1
		}
		r.addFault(position, d.path(), "is missing")
	}
	if d.Default != "" {
		l := &line{Name: d.Name}
		for _, word := range strings.Fields(d.Default) {
			l.Args = append(l.Args, &value{Text: word})
		}
		values[d.Name], _ = r.evaluateDirective(d, l)
	}
}

func (r *evaluator) addFault(position lexer.Position, directive, format string, args ...any) {
	r.faults = append(r.faults, errorAt(position, directive, format, args...))
}

// unknownDirective returns the text of the fault for a directive that the block at path does not allow. The parameter
// name is the directive's name. If other blocks allow the directive, the text lists those blocks. Otherwise the text
// lists the directives that the block at path allows.
func (r *evaluator) unknownDirective(path, name string) string {
	var here, elsewhere []string
	for _, d := range r.table.Directives {
		if d.Parent == path {
			here = append(here, d.Name)
		}
		if d.Name == name {
			elsewhere = append(elsewhere, "in "+cmp.Or(d.Parent, "no block"))
		}
	}
	if len(elsewhere) > 0 {
		return "does not belong here; it is allowed " + strings.Join(elsewhere, " or ")
	}
	slices.Sort(here)
	return "unknown; allowed here: " + strings.Join(here, ", ")
}

// evaluateDirective reads the values and the block of one directive. If the directive has a block, the result is a map of
// the block's directives and of the directive's own values, by name. Otherwise the result is true if the directive has no
// values, the value if it has one, and a list if it has several. The second result reports whether the directive has no
// fault.
func (r *evaluator) evaluateDirective(d *Directive, l *line) (any, bool) {
	faults := len(r.faults)
	if (l.Block != nil) != d.Block {
		fault := "takes no block"
		if d.Block {
			fault = `needs a block: "{" at the end of its line`
		}
		r.addFault(l.Pos, d.path(), "%s", fault)
		return nil, false
	}
	if len(l.Args) < len(d.Values) || len(l.Args) > len(d.Values) && !d.takesWordList() {
		r.addFault(l.Pos, d.path(), "has %d values, wants %s", len(l.Args), d.valueNames())
		return nil, false
	}
	list := r.evaluateValues(d, l)
	switch {
	case len(r.faults) > faults:
		return nil, false
	case d.Block:
		named := map[string]any{}
		for i, v := range d.Values {
			named[v.Name] = list[i]
		}
		maps.Copy(named, r.block(d.path(), l.Block.Lines, l))
		return named, len(r.faults) == faults
	case len(list) == 0:
		return true, true
	case len(list) == 1:
		return list[0], true
	}
	return list, true
}

// evaluateValues reads the arguments of a directive, one for each of its Values. If the last of them is of kind Words, it
// takes all remaining arguments as a list.
func (r *evaluator) evaluateValues(d *Directive, l *line) []any {
	list := []any{}
	for i, v := range d.Values {
		if v.Kind == Words {
			var words []any
			for _, arg := range l.Args[i:] {
				words = append(words, unquote(arg.Text))
			}
			return append(list, words)
		}
		value, fault := v.read(unquote(l.Args[i].Text))
		if fault != "" {
			r.addFault(l.Args[i].Pos, d.path(), "%s", fault)
		}
		list = append(list, value)
	}
	return list
}
