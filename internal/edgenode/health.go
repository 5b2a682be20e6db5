package edgenode

import (
	"syscall"
	"time"

	"silvercove/internal/controllerclient"
	"silvercove/internal/devicehealth"
)

// loadMeter measures the CPU usage of the process between two calls of measure. It is not safe for concurrent use.
type loadMeter struct {
	used  time.Duration // CPU time of the process at the last call of measure; 0 before the first call
	since time.Time     // time of the last call of measure; before the first call, when the meter was created
}

// measure returns the CPU time used since the last call, divided by the elapsed time. The result exceeds 1 if the process used
// more than one CPU. It is 0 at the first call, or if the system does not report the CPU time.
func (m *loadMeter) measure() (load float64) {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	used := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	if span := time.Since(m.since); m.used > 0 && span > 0 {
		load = float64(used-m.used) / float64(span)
	}
	m.used, m.since = used, time.Now()
	return load
}

// assessHealth passes the power readings, the instances and the load to the health monitor, and returns the monitor's report.
func (n *Node) assessHealth(meter *loadMeter) devicehealth.Report {
	readings := n.powerReader.Latest()
	load := min(1, meter.measure())
	n.mu.Lock()
	defer n.mu.Unlock()
	now := controllerclient.Now()
	for _, reading := range readings {
		n.health.AddReading(now, reading)
	}
	count, size := 0, 0
	for _, c := range n.replicas.Copies(now) {
		if c.IsPrimary {
			count++
			size += c.Size
		}
	}
	n.health.SetInstances(now, count, size)
	n.health.SetLoad(now, load, load)
	report := n.health.Assess(now)
	if report.State != n.report.State {
		reason := ""
		if len(report.Reasons) > 0 {
			reason = report.Reasons[0]
		}
		n.options.Log.Info().Str("event", "strength").Str("from", string(n.report.State)).Str("state", string(report.State)).
			Str("why", reason).Msg("health state changed")
	}
	n.report = report
	return report
}
