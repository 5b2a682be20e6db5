package relay

import (
	"syscall"

	"github.com/rs/zerolog"

	"silvercove/balancer"
	"silvercove/internal/dispatch"
)

// outcomeNames holds the log key of each outcome, indexed by the outcome.
var outcomeNames = [...]string{
	balancer.Succeeded:     "succeeded",
	balancer.Errored:       "errored",
	balancer.AtCapacity:    "at_capacity",
	balancer.TimedOut:      "timed_out",
	balancer.ConnectFailed: "connect_failed",
	balancer.Reset:         "reset",
	balancer.Cancelled:     "cancelled",
	balancer.Discarded:     "discarded",
}

// logCounters logs what was counted since the start: one line for each request class, and one line each for the
// dispatcher, the connections, the peers (discovery and the release platform) and the process.
func (r *relay) logCounters() {
	counters := r.dispatcher.Snapshot()
	for _, class := range counters.Classes {
		r.log.Info().Str("class", class.Name).Int64("accepted", class.Accepted).Int64("succeeded", class.Succeeded).
			Int64("rejected", class.Rejected).Int64("failed", class.Failed).Int64("abandoned", class.Abandoned).
			Msg("request counters")
	}
	r.logDispatchCounters(counters)
	r.logConnectionCounters()
	r.log.Info().Int64("list_answers", r.watcher.Answers.Load()).Int64("list_failures", r.watcher.Failures.Load()).
		Int64("platform_lines", r.releaseClient.LinesRead.Load()).Int64("platform_streams", r.releaseClient.StreamsOpened.Load()).
		Int64("votes_dropped", r.releaseClient.VotesDropped.Load()).Msg("peer counters")
	r.logProcessCounters()
}

func (r *relay) logDispatchCounters(c dispatch.Counters) {
	r.log.Info().Int64("attempts", c.Attempts).Dict("attempt_outcomes", outcomeDict(c.Outcomes[:])).
		Int64("votes", c.Votes).Dict("vote_outcomes", outcomeDict(c.VoteOutcomes[:])).Int64("shed", c.Shed).
		Int64("endpoint_updates", c.EndpointUpdates).Int64("stage_updates", c.StageUpdates).
		Int64("platform_counts", c.ReleaseMetrics).Int64("wrong_answers", c.WrongAnswers).
		Int64("open_requests", c.OpenRequests).Int64("in_flight", c.InFlight).Int64("backends", c.Backends).
		Int64("timer_calls", c.Wakeups).Dur("timer_delay_mean_ms", c.WakeupDelayMean).Dur("timer_delay_max_ms", c.WakeupDelayMax).
		Dur("timer_call_mean_ms", c.TimerCallMean).Dur("timer_call_max_ms", c.TimerCallMax).Msg("dispatch counters")
}

// outcomeDict returns a log dictionary with the count of each outcome under its name.
func outcomeDict(counts []int64) *zerolog.Event {
	dict := zerolog.Dict()
	for outcome := balancer.Succeeded; int(outcome) < len(counts); outcome++ {
		dict.Int64(outcomeNames[outcome], counts[outcome])
	}
	return dict
}

func (r *relay) logConnectionCounters() {
	open, idle := r.pool.InUse()
	reserved, buffered := r.buffers.InUse()
	r.log.Info().Int("backend_connections", open).Int("backend_connections_idle", idle).
		Int64("backend_connections_opened", r.pool.Opened.Load()).Int64("backend_connections_reused", r.pool.Reused.Load()).
		Int64("backend_connects_failed", r.pool.Failed.Load()).Int64("backend_unsolicited", r.pool.Unsolicited.Load()).
		Int("sessions", r.server.Sessions()).Int64("sessions_accepted", r.server.Accepted.Load()).
		Int64("sessions_malformed", r.server.Malformed.Load()).
		Int64("sessions_rejected_for_space", r.server.RejectedForSpace.Load()).Int64("sessions_evicted", r.server.Evicted.Load()).
		Int64("buffer_reserved_bytes", reserved).Int64("buffer_memory_bytes", buffered).Msg("connection counters")
}

func (r *relay) logProcessCounters() {
	const nanosecondsPerMillisecond = 1e6
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	r.log.Info().Int64("cpu_ms", (usage.Utime.Nano()+usage.Stime.Nano())/nanosecondsPerMillisecond).
		Int64("peak_rss_kb", usage.Maxrss).Msg("process counters")
}
