package routing

import (
	runtimemetrics "runtime/metrics"
	"syscall"
	"time"

	"silvercove/internal/overload"
	"silvercove/internal/tick"
)

// minCores and minMemory replace smaller values of a relay's resources, to prevent a division by zero.
const (
	minCores  = 0.01
	minMemory = 1 // in bytes
)

// pressureMeter measures a relay's own load between two calls of measure. It is not safe for concurrent use.
type pressureMeter struct {
	cores   float64
	memory  float64 // memory of the relay, in bytes
	usage   syscall.Rusage
	usageAt time.Time
}

// newPressureMeter makes the meter of a relay with the given number of cores and bytes of memory. If the system does
// not report the CPU time, the CPU counts as unused.
func newPressureMeter(cores float64, memory int64) pressureMeter {
	m := pressureMeter{cores: max(minCores, cores), memory: max(minMemory, float64(memory)), usageAt: time.Now()}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &m.usage)
	return m
}

// measure returns the load since its last call, or since newPressureMeter. The parameter backendUtilization is the
// result of the dispatcher's Load method. The parameter delay says how much later than intended the caller runs.
func (m *pressureMeter) measure(backendUtilization float64, delay time.Duration) overload.Pressure {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	now := time.Now()
	cpuTime := usage.Utime.Nano() + usage.Stime.Nano() - m.usage.Utime.Nano() - m.usage.Stime.Nano()
	cpu := float64(cpuTime) / (float64(now.Sub(m.usageAt)) * m.cores)
	m.usage, m.usageAt = usage, now
	samples := []runtimemetrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	runtimemetrics.Read(samples)
	usedMemory := samples[0].Value.Uint64() - samples[1].Value.Uint64()
	return overload.Pressure{
		SchedulingDelay:    tick.FromDuration(delay),
		CPU:                cpu,
		BackendUtilization: backendUtilization,
		Memory:             float64(usedMemory) / m.memory,
	}
}
