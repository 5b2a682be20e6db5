package placement

import (
	"fmt"
	"strings"
)

// Summary returns a short form of an assignment for timelines and logs. In "edge-a@4 +edge-b >edge-c" the primary is edge-a in
// epoch 4, edge-b is a replica, and the instance is being copied to edge-c. ">>edge-c" means that the copy ends with a cut-over
// to edge-c. Without a primary the state takes its place, as in "lost@4".
func Summary(a Assignment) string {
	var b strings.Builder
	if a.State == Running {
		fmt.Fprintf(&b, "%s@%d", a.Primary, a.Epoch)
	} else {
		fmt.Fprintf(&b, "%s@%d", a.State, a.Epoch)
	}
	for _, node := range a.Replicas {
		b.WriteString(" +" + node)
	}
	switch {
	case a.CopyTarget == "":
	case a.CutOver:
		b.WriteString(" >>" + a.CopyTarget)
	default:
		b.WriteString(" >" + a.CopyTarget)
	}
	return b.String()
}
