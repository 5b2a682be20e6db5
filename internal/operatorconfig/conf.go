package operatorconfig

import (
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"strings"
)

// Kind is what a value must be.
type Kind uint8

// The kinds of values. Spans come out in seconds, sizes in bytes, shares as parts of 1; all as float64.
const (
	Word     Kind = iota // any text
	Name                 // letters, digits, ".", "-", "_"
	Number               // a whole number
	Duration             // a duration: 250ms, 10s, 5m, 2h, 7d
	Size                 // bytes: 512, 64K, 16M, 1G
	Fraction             // 0.1 or 10%
	Address              // host:port, the host an address or a name
	Path                 // a file or folder
	Choice               // one of a list
	Decimal              // any number of 0 or more
	Words                // one word or more; only as the last value
)

var kindNames = [...]string{"a word", "a name of letters, digits, '.', '-' and '_'", "a whole number",
	"a duration such as 250ms, 10s, 5m, 2h or 7d", "a size such as 512, 64K, 16M or 1G",
	"a share such as 0.1 or 10%", "HOST:PORT", "a path", "one of a list", "a number of 0 or more", "one word or more"}

var (
	durationUnits = map[string]float64{"ms": 0.001, "s": 1, "m": 60, "h": 3600, "d": 86400}
	sizeUnits     = map[string]float64{"": 1, "K": 1 << 10, "M": 1 << 20, "G": 1 << 30}
)

// Value is one value of a directive.
type Value struct {
	Name     string
	Kind     Kind
	Min, Max float64  // of a figure; both 0: as its kind allows
	Choices  []string // of a choice
}

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

func (t *Table) find(in, name string) *Directive {
	for i := range t.Directives {
		if d := &t.Directives[i]; d.Parent == in && d.Name == name {
			return d
		}
	}
	return nil
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

func cmpOr(a, b string) string {
	if a != "" {
		return a
	}
	return b
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

// read reads one value; fault says what is wrong and what is allowed.
func (v *Value) read(s string) (got any, fault string) {
	wrong := func() string { return fmt.Sprintf("%s is %q, allowed: %s", v.Name, s, v.allowed()) }
	switch v.Kind {
	case Word:
		return s, emptyFault(s, v.Name)
	case Path:
		if strings.ContainsRune(s, 0) {
			return nil, wrong()
		}
		return s, emptyFault(s, v.Name)
	case Name:
		if !isName(s) {
			return nil, wrong()
		}
		return s, ""
	case Address:
		if !isAddress(s) {
			return nil, wrong()
		}
		return s, ""
	case Choice:
		if !slices.Contains(v.Choices, s) {
			return nil, wrong()
		}
		return s, ""
	}
	f, ok := v.quantity(s)
	if !ok || (v.Min != 0 || v.Max != 0) && (f < v.Min || f > v.Max) {
		return nil, wrong()
	}
	return f, ""
}

const (
	maxNameLength = 128 // bytes
	maxPort       = 65535
)

// isName tells whether s may be a value of kind Name.
func isName(s string) bool {
	if s == "" || len(s) > maxNameLength || strings.Trim(s, ".") == "" {
		return false
	}
	return !strings.ContainsFunc(s, func(r rune) bool { return !isNameRune(r) })
}

func isNameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune(".-_", r)
}

// isAddress tells whether s is HOST:PORT with a port in figures.
func isAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || host == "" {
		return false
	}
	n, ok := parseNumber(port, map[string]float64{"": 1})
	return ok && n >= 0 && n <= maxPort && n == math.Trunc(n)
}

// quantity reads a value of one of the kinds that are figures; its range is not checked yet. A kind that is no figure
// yields 0.
func (v *Value) quantity(s string) (f float64, ok bool) {
	switch v.Kind {
	case Number:
		f, ok = parseNumber(s, map[string]float64{"": 1})
		ok = ok && f == math.Trunc(f)
	case Decimal:
		f, ok = parseNumber(s, map[string]float64{"": 1})
		ok = ok && f >= 0
	case Duration:
		f, ok = parseNumber(s, durationUnits)
	case Size:
		f, ok = parseNumber(s, sizeUnits)
		ok = ok && f == math.Trunc(f)
	case Fraction:
		f, ok = parseNumber(s, map[string]float64{"": 1, "%": 0.01})
		ok = ok && f >= 0 && f <= 1
	default:
		ok = true
	}
	return f, ok
}

func emptyFault(s, name string) string {
	if s == "" {
		return name + " is empty"
	}
	return ""
}

// allowed words what a value may be.
func (v *Value) allowed() string {
	if v.Kind == Choice {
		return strings.Join(v.Choices, ", ")
	}
	if v.Min == 0 && v.Max == 0 {
		return kindNames[v.Kind]
	}
	return fmt.Sprintf("%s, from %s to %s", kindNames[v.Kind], v.figure(v.Min), v.figure(v.Max))
}

// figure writes a figure with the largest unit in which it is whole.
func (v *Value) figure(f float64) string {
	units := map[Kind][]string{Duration: {"d", "h", "m", "s", "ms"}, Size: {"G", "M", "K", ""}}[v.Kind]
	scales := durationUnits
	if v.Kind == Size {
		scales = sizeUnits
	}
	for _, u := range units {
		if n := f / scales[u]; f != 0 && math.Abs(n-math.Round(n)) < 1e-9 {
			return fmt.Sprintf("%.0f%s", n, u)
		}
	}
	return fmt.Sprint(f)
}

// Reference writes the reference page of a table, in Markdown.
func (t *Table) Reference() string {
	var b strings.Builder
	b.WriteString("| directive | values | default | block | takes effect | what it does |\n| --- | --- | --- | --- | --- | --- |\n")
	for i := range t.Directives {
		d := &t.Directives[i]
		var values []string
		for _, v := range d.Values {
			values = append(values, strings.ToUpper(v.Name)+": "+v.allowed())
		}
		def := cmpOr(d.Default, "none")
		if d.Required {
			def = "must be given"
		}
		name := d.Name
		if d.Repeatable {
			name += " (repeatable)"
		}
		if d.Block {
			name += " { }"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", name, cmpOr(strings.Join(values, "; "), "none"), def,
			cmpOr(d.Parent, "-"), cmpOr(d.TakesEffect, "at the start"), d.Text)
	}
	return b.String()
}
