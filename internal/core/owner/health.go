package owner

import (
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
)

// Machines that fall silent are given up after a time that depends on what else is silent:
//
//   - By default, once the worker's lease has certainly ended.
//   - Later in a zone that is cut off. Its machines come back as they were when the
//     network partition ends, so they get more time: new ones would take a boot time, and may not
//     be had at all.
//   - Sooner for a spot machine that falls silent by itself, or while the on-demand
//     machines of its zone send heartbeats: it was most likely reclaimed without notice, as some
//     are. First it becomes suspected, and the leader can rent another.
//
// Silent spot machines of a zone count as reclaimed, however many they are, only if its
// on-demand machines send heartbeats all the while.

const (
	// silentReports is after how many report intervals without a heartbeat a machine is
	// silent.
	silentReports = 2.5
	// lateReports is after how many report intervals a heartbeat is late.
	lateReports = 1.5
	// cutOffExtension is how much longer machines may be silent that fell silent with half
	// of their zone.
	cutOffExtension = 25 * time.Second
	// minSpotSilence is the least silence after which a spot machine is given up: its
	// worker may need that long to try the other controllers.
	minSpotSilence = 10 * time.Second
	// maxAloneFraction is up to which part of a block machines count as having fallen
	// silent by themselves. If it is more they are cut off, or this controller is slow.
	maxAloneFraction = 0.05
	// minAlone is how many machines always count as having fallen silent by themselves.
	minAlone = 2
	// minOnDemandSample is how many on-demand machines of a zone it takes to conclude from
	// them what happened to the others.
	minOnDemandSample = 4
	// minCutOffMachines is how many machines of a zone without so many have to be silent
	// for it to be cut off.
	minCutOffMachines = 3
	// cutOffFraction is the part of a zone's machines that have to be late or silent for the
	// zone to be cut off, and maxLateForReclaim the part of its on-demand machines up to
	// which it is not.
	cutOffFraction    = 0.5
	maxLateForReclaim = 0.1
	// reclaimGrace is how long after the time of a reclaim notice the machine may still
	// report.
	reclaimGrace = 2 * time.Second
)

// silence returns how long ago the machine's last heartbeat was.
func (o *Owner) silence(m *machine) time.Duration { return o.loop.Now.Sub(m.lastHeartbeat) }

// silentAfter returns after which time without a heartbeat a machine is silent.
func silentAfter(workers config.Workers) time.Duration {
	return config.Seconds(silentReports * workers.ReportS)
}

// leaseOverAfter returns after which time without a heartbeat the lease of a worker has surely ended.
func leaseOverAfter(workers config.Workers) time.Duration {
	return cluster.RemoteDuration(config.Seconds(workers.LeaseS)) + time.Second
}

// isSilent reports whether a machine is silent.
func (o *Owner) isSilent(m *machine) bool {
	return o.silence(m) > silentAfter(o.view.Settings.Cluster.Workers)
}

// isLate reports whether a machine's heartbeat is late.
func (o *Owner) isLate(m *machine) bool {
	return o.silence(m) > config.Seconds(lateReports*o.view.Settings.Cluster.Workers.ReportS)
}

// zoneCensus counts the machines of a zone.
type zoneCensus struct {
	all, silent            int
	onDemand, onDemandLate int
}

// cutOff reports whether the zone's silent machines are cut off rather than dead.
func (z *zoneCensus) cutOff() bool {
	if z.onDemand >= minOnDemandSample {
		return float64(z.onDemandLate) >= cutOffFraction*float64(z.onDemand)
	}
	return z.silent >= minCutOffMachines && float64(z.silent) >= cutOffFraction*float64(z.all)
}

// spotReclaim reports whether spot machines that are silent in the zone were reclaimed.
func (z *zoneCensus) spotReclaim() bool {
	return z.onDemand >= minOnDemandSample && float64(z.onDemandLate) <= maxLateForReclaim*float64(z.onDemand)
}

// checkMachines gives up machines that have been silent for too long, and releases drained
// ones.
func (o *Owner) checkMachines() {
	o.answerPendingForeign()
	o.forgetCancelled()
	zones, late := o.countSilent()
	o.extendCutOffs(zones)
	for _, m := range o.workers.machines {
		if m.unreachable() {
			continue
		}
		o.checkSilence(m, zones[m.zone], late)
		o.releaseIfDrained(m)
	}
	o.forgetForeign()
	o.forgetRefused()
}

// countSilent counts the machines of each zone, and those of the block that have become late
// and are not yet given up.
func (o *Owner) countSilent() (zones map[string]*zoneCensus, late int) {
	zones = map[string]*zoneCensus{}
	for _, m := range o.workers.machines {
		z := zones[m.zone]
		if z == nil {
			z = &zoneCensus{}
			zones[m.zone] = z
		}
		z.all++
		if !m.spot {
			z.onDemand++
		}
		if o.isLate(m) {
			if !m.unreachable() {
				late++
			}
			if !m.spot {
				z.onDemandLate++
			}
		}
		if o.isSilent(m) {
			z.silent++
		}
	}
	return zones, late
}

// extendCutOffs records until when zones count as cut off. Their machines do not all come
// back at the moment in which a network partition ends: some have first to be redirected here by the
// controllers that they turned to meanwhile.
func (o *Owner) extendCutOffs(zones map[string]*zoneCensus) {
	for zone, z := range zones {
		if z.cutOff() {
			o.workers.zoneCutOffUntil[zone] = o.loop.Now.Add(config.Seconds(o.view.Settings.Cluster.Workers.LeaseS))
		}
	}
}

// checkSilence gives a machine up that has been silent for too long, or past its reclaim
// notice.
func (o *Owner) checkSilence(m *machine, z *zoneCensus, late int) {
	if o.isSilent(m) {
		o.workers.toProbe[m.name] = true
	}
	limit := o.silenceLimit(m, z, late)
	reclaimed := !m.reclaimAt.IsZero() && o.loop.Now.Sub(m.reclaimAt) > reclaimGrace && o.isLate(m)
	if o.silence(m) > limit || reclaimed {
		_, mayRunCancelled := o.returnDue(m)
		m.giveUp()
		o.blockLease.RequestRenewal()
		o.log.Info("machine unreachable", "machine", m.name, "duration", o.silence(m), "reconciled", !m.needsReconciliation, "cancelled_tasks", mayRunCancelled)
	}
}

// silenceLimit returns the silence after which a machine is marked unreachable. It also marks
// a spot machine as suspected that was most likely reclaimed.
func (o *Owner) silenceLimit(m *machine, z *zoneCensus, late int) time.Duration {
	workers := o.view.Settings.Cluster.Workers
	limit, silent := leaseOverAfter(workers), silentAfter(workers)
	mayRunCancelled := false
	if o.isSilent(m) {
		var due time.Time
		if due, mayRunCancelled = o.returnDue(m); mayRunCancelled {
			limit = min(limit, max(silent, due.Sub(m.lastHeartbeat)))
		}
	}
	if o.loop.Now.Before(o.workers.zoneCutOffUntil[m.zone]) {
		// No extension beside a cancelled task: the machine may hang rather than be cut
		// off, and then does not end the task when its lease ends. Its return to the cloud
		// is the only thing that certainly ends the task in time. Until then it also counts
		// against its team's limit.
		if mayRunCancelled {
			return limit
		}
		return limit + cutOffExtension
	}
	alone := !m.needsReconciliation && float64(late) <= max(minAlone, maxAloneFraction*float64(len(o.workers.machines)))
	if !m.spot || (!z.spotReclaim() && !alone) {
		return limit
	}
	limit = min(limit, max(minSpotSilence, silent))
	if m.commands.unanswered > 0 && z.spotReclaim() {
		limit = min(limit, silent+DirectTimeout) // it does not answer probes either
	}
	if o.silence(m) > silent && !m.suspected() {
		m.suspect()
		o.blockLease.RequestRenewal() // the leader can rent another before this one is given up
	}
	return limit
}

// releaseIfDrained gives a draining machine back once it is known to run nothing. One that
// has not reported since it was taken over may run tasks that are not known yet.
func (o *Owner) releaseIfDrained(m *machine) {
	if m.draining() && len(m.attempts) == 0 && !m.commands.inFlight() && !m.mayRunUnknownTasks() && m.agentEpoch != 0 {
		m.state = machineReleased
		o.blockLease.RequestRenewal()
	}
}
