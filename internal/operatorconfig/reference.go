package operatorconfig

import (
	"cmp"
	"fmt"
	"strings"
)

// Reference returns the reference page of the directives: a Markdown table with one row per directive.
func (t *Table) Reference() string {
	var b strings.Builder
	b.WriteString("| directive | values | default | block | takes effect | what it does |\n| --- | --- | --- | --- | --- | --- |\n")
	for i := range t.Directives {
		d := &t.Directives[i]
		var values []string
		for _, v := range d.Values {
			values = append(values, strings.ToUpper(v.Name)+": "+v.describeAllowed())
		}
		def := cmp.Or(d.Default, "none")
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
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", name, cmp.Or(strings.Join(values, "; "), "none"), def,
			cmp.Or(d.Parent, "-"), cmp.Or(d.TakesEffect, "at the start"), d.Text)
	}
	return b.String()
}
