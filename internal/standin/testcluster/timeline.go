package testcluster

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	linkColumn     = "links"
	maxColumnWidth = 26  // in characters
	maxRows        = 400 // only the last rows of a longer timeline are shown
)

// Event is an event of a run: a process's log event, a change of a link, or an action of the script or of a client.
type Event struct {
	At       time.Time
	Node     string // the node whose column shows the event
	Name     string
	Instance string
	Epoch    uint64
	From, To string
	State    string
	Why      string
	Script   bool   // the event is an action of the script on the process Node
	Late     *int64 // milliseconds between the event and its log line; nil if the program does not state it
	Line     string // the log line; "" if the event was not logged by a process
}

// Text returns a short form of the event, for example "acts cam-1@4" or "placed cam-1@5 a>b".
func (e Event) Text() string {
	w := []string{e.Name}
	if e.Name == "link" {
		return e.From + ">" + e.To + " " + e.Why
	}
	if e.Script {
		w[0] = strings.ToUpper(e.Name)
	}
	if e.Instance != "" {
		w = append(w, e.Instance)
		if e.Epoch > 0 {
			w[len(w)-1] += "@" + strconv.FormatUint(e.Epoch, 10)
		}
	}
	switch {
	case e.From != "" && e.To != "":
		w = append(w, e.From+">"+e.To)
	case e.From+e.To != "":
		w = append(w, e.From+e.To)
	}
	if e.State != "" {
		w = append(w, e.State)
	}
	if e.Why != "" {
		w = append(w, "("+e.Why+")")
	}
	return strings.Join(w, " ")
}

// Is reports whether an event matches words. The first word is the name of the process, or *. The second word is the name of the
// event, or *. Each further word must be the event's instance, INSTANCE@EPOCH, From, To, State, or a word of Why. Example: "*
// placed cam-1@5 edge-b".
func (e Event) Is(words string) bool {
	w := strings.Fields(words)
	if len(w) < 2 || w[0] != "*" && w[0] != e.Node || w[1] != "*" && w[1] != e.Name {
		return false
	}
	has := append([]string{e.Instance, fmt.Sprintf("%s@%d", e.Instance, e.Epoch), e.From, e.To, e.State},
		strings.Fields(e.Why)...)
	for _, word := range w[2:] {
		if !slices.Contains(has, word) {
			return false
		}
	}
	return true
}

// Draw draws a timeline with a column for each node. Its lines are in the order of time, and the events of one millisecond share
// a line. An event begins a new line if its column is not to the right of the last event's column. A cause is therefore always
// left of its effects or above them.
func Draw(columns []string, began time.Time, events []Event) string {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	type row struct {
		ms    int64
		last  int
		cells []string
	}
	var rows []*row
	widths := make([]int, len(columns))
	used := make([]bool, len(columns))
	for i, c := range columns {
		widths[i] = len(c)
	}
	for _, e := range events {
		i := slices.Index(columns, e.Node)
		if i < 0 {
			continue
		}
		ms := e.At.Sub(began).Milliseconds()
		if n := len(rows); e.Name == "link" && n > 0 && rows[n-1].ms == ms && rows[n-1].cells[i] == e.Text() {
			continue // the link for requests has the same fault as the link between the processes, which is drawn already
		}
		if len(rows) == 0 || rows[len(rows)-1].ms != ms || rows[len(rows)-1].last >= i {
			rows = append(rows, &row{ms: ms, cells: make([]string, len(columns))})
		}
		r := rows[len(rows)-1]
		text := []rune(e.Text())
		if len(text) > maxColumnWidth {
			text = append(text[:maxColumnWidth-1], '…')
		}
		r.cells[i], r.last, used[i] = string(text), i, true
		widths[i] = max(widths[i], len(text))
	}
	var b strings.Builder
	line := func(first string, cells []string) {
		text := fmt.Sprintf("%-7s", first)
		for i, cell := range cells {
			if used[i] {
				text += " " + cell + strings.Repeat(" ", widths[i]-len([]rune(cell))+1)
			}
		}
		b.WriteString(strings.TrimRight(text, " ") + "\n")
	}
	line("ms", columns)
	if n := len(rows) - maxRows; n > 0 {
		fmt.Fprintf(&b, "(%d earlier lines)\n", n)
		rows = rows[n:]
	}
	for _, r := range rows {
		line(strconv.FormatInt(r.ms, 10), r.cells)
	}
	return b.String()
}
