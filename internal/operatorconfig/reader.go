package operatorconfig

import (
	"errors"
	"slices"
	"strings"
)

type reader struct {
	table     *Table
	faults    []error
	positions map[string]*line // the first line of each directive, by path
}

func (t *Table) evaluate(name string, lines []*line) (map[string]any, error) {
	r := &reader{table: t, positions: map[string]*line{}}
	out := r.block("", lines, &line{})
	if len(r.faults) == 0 {
		for _, rule := range t.Rules {
			if directive, fault := rule(out); fault != "" {
				l := r.positions[directive]
				if l == nil {
					l = &line{}
					l.Pos.Filename, l.Pos.Line, l.Pos.Column = name, 1, 1
				}
				r.faults = append(r.faults, errorAt(l.Pos, directive, "%s", fault))
			}
		}
	}
	if len(r.faults) > 0 {
		return nil, errors.Join(r.faults...)
	}
	return out, nil
}

// block reads the lines of one block into a map.
func (r *reader) block(in string, lines []*line, opened *line) map[string]any {
	out, seen := map[string]any{}, map[string]*line{}
	for _, l := range lines {
		if l.Name == "" {
			continue
		}
		d := r.table.find(in, l.Name)
		if d == nil {
			r.faults = append(r.faults, errorAt(l.Pos, l.Name, "%s", r.unknownDirective(in, l.Name)))
			continue
		}
		if first := seen[l.Name]; first != nil && !d.Repeatable {
			r.faults = append(r.faults, errorAt(l.Pos, d.path(), "given twice, first on line %d", first.Pos.Line))
			continue
		}
		seen[l.Name] = l
		if r.positions[d.path()] == nil {
			r.positions[d.path()] = l
		}
		got, ok := r.evaluateDirective(d, l)
		if !ok {
			continue
		}
		if d.Repeatable {
			all, _ := out[d.Name].([]any)
			out[d.Name] = append(all, got)
		} else {
			out[d.Name] = got
		}
	}
	for i := range r.table.Directives {
		d := &r.table.Directives[i]
		if d.Parent != in || seen[d.Name] != nil {
			continue
		}
		if d.Required {
			pos := opened.Pos
			if pos.Line == 0 && len(lines) > 0 {
				pos = lines[0].Pos
				pos.Line, pos.Column = 1, 1
			}
			r.faults = append(r.faults, errorAt(pos, d.path(), "is missing"))
		}
		if d.Default != "" {
			l := &line{Name: d.Name}
			for _, w := range strings.Fields(d.Default) {
				l.Args = append(l.Args, &value{Text: w})
			}
			out[d.Name], _ = r.evaluateDirective(d, l)
		}
	}
	return out
}

// unknownDirective says where a directive would be allowed, or which names are.
func (r *reader) unknownDirective(in, name string) string {
	var here, there []string
	for _, d := range r.table.Directives {
		if d.Parent == in {
			here = append(here, d.Name)
		}
		if d.Name == name {
			there = append(there, "in "+cmpOr(d.Parent, "no block"))
		}
	}
	if len(there) > 0 {
		return "does not belong here; it is allowed " + strings.Join(there, " or ")
	}
	slices.Sort(here)
	return "unknown; allowed here: " + strings.Join(here, ", ")
}

// evaluateDirective reads the values and the block of one directive. One with a single value and no block gives that
// value, one with several a list; one with a block gives a map, with its values by their names.
func (r *reader) evaluateDirective(d *Directive, l *line) (any, bool) {
	faults := len(r.faults)
	if (l.Block != nil) != d.Block {
		fault := "takes no block"
		if d.Block {
			fault = `needs a block: "{" at the end of its line`
		}
		r.faults = append(r.faults, errorAt(l.Pos, d.path(), "%s", fault))
		return nil, false
	}
	n, open := len(d.Values), len(d.Values) > 0 && d.Values[len(d.Values)-1].Kind == Words
	if len(l.Args) < n || len(l.Args) > n && !open {
		r.faults = append(r.faults, errorAt(l.Pos, d.path(), "has %d values, wants %s", len(l.Args), d.usage()))
		return nil, false
	}
	named, list := map[string]any{}, []any{}
	for i, v := range d.Values {
		if v.Kind == Words {
			var rest []any
			for _, a := range l.Args[i:] {
				rest = append(rest, unquote(a.Text))
			}
			named[v.Name], list = rest, append(list, rest)
			break
		}
		got, fault := v.read(unquote(l.Args[i].Text))
		if fault != "" {
			r.faults = append(r.faults, errorAt(l.Args[i].Pos, d.path(), "%s", fault))
		}
		named[v.Name], list = got, append(list, got)
	}
	switch {
	case len(r.faults) > faults:
		return nil, false
	case d.Block:
		for k, v := range r.block(d.path(), l.Block.Lines, l) {
			named[k] = v
		}
		return named, len(r.faults) == faults
	case n == 0:
		return true, true
	case n == 1:
		return list[0], true
	}
	return list, true
}
