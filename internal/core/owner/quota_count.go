package owner

import (
	"fmt"
	"time"
)

// quotaLogInterval is how often the use of quota is logged.
const quotaLogInterval = time.Minute

// countReason says why an attempt counts against its team's limit.
type countReason int

const (
	startWithoutLimit countReason = iota // its team has no limit
	startWithinLimit
	startWithinShare  // of a limit that is sharded
	attemptWasRunning // an earlier owner has started it
	countReasons      // how many there are
)

// countReasonNames are the keys of the reasons in the log.
var countReasonNames = [countReasons]string{"started_no_limit", "started_within_limit", "started_within_share", "was_running"}

func (r countReason) String() string { return countReasonNames[r] }

// uncountReason says why an attempt counts no longer: it is certainly not running.
type uncountReason int

const (
	attemptReportedEnded uncountReason = iota
	attemptForgotten                   // the worker had listed it and does not any more
	attemptNotListed                   // never listed, and its start cannot be executed any more
	agentEpochOver                     // ended with the worker's lease
	workerRestarted                    // ended with the worker's process
	startNotExecuted                   // the worker refused it, or it was not sent in time
	startNotSent                       // it was taken back before
	machineTerminated                  // the cloud has confirmed that
	uncountReasons                     // how many there are
)

// uncountReasonNames are the keys of the reasons in the log.
var uncountReasonNames = [uncountReasons]string{"ended", "forgotten", "not_listed", "epoch_over", "worker_restarted", "start_not_executed", "start_not_sent", "machine_terminated"}

func (r uncountReason) String() string { return uncountReasonNames[r] }

// quotaCounts counts why attempts came to count against limits, and ceased to, since the
// last line of the log.
type quotaCounts struct {
	counted   [countReasons]int
	uncounted [uncountReasons]int
	nextLogAt time.Time
}

// countUse adds an attempt to what its team uses, once.
func (o *Owner) countUse(a *attempt, reason countReason) {
	if a.job == nil || a.counted {
		return
	}
	a.counted = true
	o.quota.add(a.job, 1)
	o.quota.counts.counted[reason]++
	o.logCount("attempt counts", a, reason)
}

// uncountUse takes an attempt off what its team uses, once.
func (o *Owner) uncountUse(a *attempt, reason uncountReason) {
	if a.job == nil || !a.counted {
		return
	}
	a.counted = false
	o.quota.add(a.job, -1)
	o.quota.counts.uncounted[reason]++
	o.logCount("attempt counts no longer", a, reason)
}

// logCount logs that an attempt counts now, or does not any more.
func (o *Owner) logCount(message string, a *attempt, reason fmt.Stringer) {
	team := a.job.Record.Team
	used := o.quota.used[team]
	o.log.Debug(message, "task", a.task, "attempt", a.number, "machine", a.machine.name, "team", team, "reason", reason.String(),
		"use_cpus", used.CPUs, "use_gpus", used.GPUs)
}

// startReason says which limit a start of the team was checked against.
func (o *Owner) startReason(team string) countReason {
	switch _, sharded := o.view.Lease.Shares[team]; {
	case !o.view.LimitOf(team).Any():
		return startWithoutLimit
	case sharded:
		return startWithinShare
	default:
		return startWithinLimit
	}
}

// LogQuota logs, once a minute, what each team uses of its limit here, and why attempts came
// to count against limits or ceased to.
func (o *Owner) LogQuota() {
	counts := &o.quota.counts
	if o.loop.Now.Before(counts.nextLogAt) {
		return
	}
	nextLogAt := o.loop.Now.Add(quotaLogInterval)
	if counts.nextLogAt.IsZero() {
		counts.nextLogAt = nextLogAt
		return
	}
	for _, b := range o.QuotaBooks() {
		o.log.Info("quota use", "team", b.Team, "sharded", b.Sharded, "share_cpus", b.Share.CPUs, "share_gpus", b.Share.GPUs,
			"limit_cpus", roundedLimit(b.Limit.CPUs), "limit_gpus", roundedLimit(b.Limit.GPUs), "use_cpus", b.Used.CPUs, "use_gpus", b.Used.GPUs,
			"assumed_cpus", b.Assumed.CPUs, "assumed_gpus", b.Assumed.GPUs, "assumed_known", b.AssumedBounded, "unreconciled", b.Unreconciled)
	}
	var args []any
	for reason, n := range counts.counted {
		args = append(args, countReason(reason).String(), n)
	}
	for reason, n := range counts.uncounted {
		args = append(args, uncountReason(reason).String(), n)
	}
	o.log.Info("attempts counted", args...)
	*counts = quotaCounts{nextLogAt: nextLogAt}
}

// roundedLimit returns a limit without the trace that stands for a limit of 0.
func roundedLimit(limit float64) float64 {
	if limit <= minLimit {
		return 0
	}
	return limit
}
