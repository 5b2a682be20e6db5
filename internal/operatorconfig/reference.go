package operatorconfig

import (
	"fmt"
	"strings"
)

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
