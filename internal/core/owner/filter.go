package owner

import (
	"slices"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/wire"
)

// maxAttemptsPerMachine bounds the attempts on a machine, including ended ones that its
// worker has not been told to forget: a heartbeat may have 64 KiB, a task takes some ninety
// bytes of it, and a worker whose heartbeats are refused loses all its tasks. Small tasks of
// a few seconds on a large machine come near.
const maxAttemptsPerMachine = wire.MaxBody * 8 / 10 / 90

// usable reports whether new tasks may be placed on a machine.
func (o *Owner) usable(m *machine) bool { return !m.draining() && o.canRunTasks(m) }

// A machine silent for longer than so many report intervals and the slack gets no new tasks.
const (
	placeableReports = 1.3
	placeableSlack   = 700 * time.Millisecond
)

// canRunTasks reports whether a machine could take new tasks, whether or not the leader
// wants it back.
func (o *Owner) canRunTasks(m *machine) bool {
	maxSilence := config.Seconds(placeableReports*o.view.Settings.Cluster.Workers.ReportS) + placeableSlack
	return !m.released() && !m.quarantined && !m.unreachable() && m.reclaimAt.IsZero() &&
		!m.mayRunUnknownTasks() && m.hasShownToken() && m.agentEpoch != 0 && m.size.CPUs > 0 &&
		!o.loop.Now.Before(m.noTasksBefore) && o.silence(m) < maxSilence
}

// waitsForReconciliation reports whether tasks of the job may run on machines whose tasks are
// not known here. They can only be where its constraints let earlier owners start them.
func (o *Owner) waitsForReconciliation(j *Job, unreconciled []*machine) bool {
	return j.firstVersion <= o.partitions.owned[j.partition()] && slices.ContainsFunc(unreconciled, func(m *machine) bool {
		return m.machineType == "" || j.mayRunOn(m)
	})
}

// mayRunOn reports whether the job's constraints allow for a machine of this kind.
func (j *Job) mayRunOn(m *machine) bool { return mayRunOn(&j.Record, m) }

// mayRunOn reports whether the constraints of a job's record allow for a machine of this kind.
func mayRunOn(rec *wire.JobRecord, m *machine) bool {
	return (rec.Spot || !m.spot) && (rec.Zone == "" || rec.Zone == m.zone) && allowsType(rec, m.machineType)
}

// allowsType reports whether a job's constraints allow for a machine type.
func allowsType(rec *wire.JobRecord, machineType string) bool {
	return len(rec.Types) == 0 || slices.Contains(rec.Types, machineType)
}

// feasible reports whether the job's next task may run on a machine, given its other tasks
// as they are now. It does not look at the machine's room.
func (o *Owner) feasible(j *Job, m *machine) bool {
	if !j.mayRunOn(m) || len(m.attempts) >= maxAttemptsPerMachine {
		return false
	}
	// A machine on which the job failed is no place for another try, unless the job has
	// failed everywhere, or waits for long: there may be room nowhere else.
	if j.failedOn[m.name] && !j.likelyFaulty() && !o.waitsLong(j) {
		return false
	}
	return j.spreadAllows(m)
}

// spreadAllows reports whether the zone of a machine fits those of the job's other tasks.
func (j *Job) spreadAllows(m *machine) bool {
	rec := &j.Record
	if !rec.SamePlace && !rec.Scatter {
		return true
	}
	sameZone := 0
	for _, a := range j.attempts {
		if a.machine.zone == m.zone {
			sameZone++
		} else if rec.SamePlace {
			return false
		}
	}
	return !rec.Scatter || sameZone < (rec.Tasks+1)/2
}

// accepts reports whether a candidate is open to the job: neither reserved for another job
// nor wanted back by the leader. Where tasks run for long, the job that the machine is
// reserved for may not fit for long either, and a machine that is wanted back stays half
// empty for as long: a job that has waited beside it is then let in, a task at a time.
func (o *Owner) accepts(c *candidate, j *Job) bool {
	reserved := c.reservedFor != nil && c.reservedFor != j
	if reserved && !o.reservationShared(c.reservedFor) {
		return false
	}
	return (!reserved && !c.machine.draining()) || o.waitsLong(j)
}
