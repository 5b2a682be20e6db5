package placement

import (
	"fmt"
	"strings"
)

// Summary is an assignment in a few words, for timelines and logs: "edge-a@4 +edge-b >edge-c" runs at edge-a in epoch 4, has
// the replica edge-b and is being copied to edge-c, with ">>" to cut over to it.
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
