package metadataservice

import (
	"time"

	"silvercove/internal/dispatch"
)

// mirrorEndpoints are the mirror lines of a repository. One that was not there before is new, and cold.
func mirrorEndpoints(r, before map[string]any, now time.Time) (hosts []dispatch.Endpoint) {
	was := map[string]bool{}
	if before != nil {
		old, _ := before["mirror"].([]any)
		for _, v := range old {
			was[v.([]any)[0].(string)+" "+v.([]any)[1].(string)] = true
		}
	}
	lines, _ := r["mirror"].([]any)
	for _, v := range lines {
		l := v.([]any)
		h := dispatch.Endpoint{Name: l[0].(string), Address: l[1].(string), Zone: l[2].(string), State: l[3].(string), Weight: 1,
			Version: 1}
		if before != nil && !was[h.Name+" "+h.Address] {
			h.StartedAtMs = now.UnixMilli()
		}
		hosts = append(hosts, h)
	}
	return hosts
}

func stageOf(w []any) dispatch.RolloutStage {
	return dispatch.RolloutStage{Version: uint16(w[0].(float64)), Phase: w[1].(string), ExposureCap: w[2].(float64)}
}

// serverEndpoints are the servers of the file, as a list of those that are there.
func serverEndpoints(d map[string]any) (hosts []dispatch.Endpoint) {
	lines, _ := d["server"].([]any)
	for _, v := range lines {
		l := v.([]any)
		hosts = append(hosts, dispatch.Endpoint{Name: l[0].(string), Address: "-", Zone: l[1].(string), MachineKind: l[2].(string), State: "up"})
	}
	return hosts
}
