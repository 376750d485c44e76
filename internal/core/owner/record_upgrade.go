package owner

import (
	"slices"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/feature"
	"fawncove/internal/wire"
)

// Once the feature gate of envelopes is open, the owner of a partition rewrites the records
// of its jobs that earlier versions have stored. Each is rewritten under the version that it
// has, so only once, whichever controller tries and however late; what is left shows in the
// records themselves, so a successor goes on where the owner stopped. A record that is in its
// envelope keeps the version under which it was first stored: from that a later owner knows
// what may have been started before it.

const (
	// upgradeWriteFraction is the part of the write limit that upgrades may take, of all
	// controllers together.
	upgradeWriteFraction = 0.2
	// upgradeScanInterval spaces the looks at all jobs for records to upgrade.
	upgradeScanInterval = 2 * time.Second
	// maxUpgradeBytes bounds a transaction of upgrades; the service takes 64 KiB.
	maxUpgradeBytes = 40 << 10
	// envelopeOverhead is about how many bytes a record takes beside its value.
	envelopeOverhead = 64
	// userWritePriority is for how long users whose write was refused by the write limit
	// have it to themselves.
	userWritePriority = 5 * time.Second
)

// recordUpgrade is what is left to upgrade.
type recordUpgrade struct {
	queue    []string // jobs, in order
	nextScan time.Time
	inFlight bool

	budget        float64 // changes that may be made now
	budgetUpdated time.Time

	singleSteps int             // how many records are to be tried one by one
	oversized   map[string]bool // jobs whose records do not fit with their envelope
}

// upgradeBatch is a transaction of upgrades.
type upgradeBatch struct {
	jobs  []*Job
	txn   wire.Txn
	bytes int
}

// OutdatedRecords returns how many records of this controller's partitions are in an earlier
// form.
func (o *Owner) OutdatedRecords() int { return len(o.upgrade.queue) }

// needsUpgrade reports whether a job's record is to be upgraded.
func (o *Owner) needsUpgrade(j *Job) bool {
	return j != nil && j.envelopeForm < wire.EnvelopeForm && !j.Ended && o.Owns(j) && !o.upgrade.oversized[j.Record.ID]
}

// upgradeRecords upgrades a few records, if users leave room for that.
func (o *Owner) upgradeRecords() {
	u := &o.upgrade
	if !o.view.FeatureOpen(feature.Envelope) || !o.blockLease.MayStart(o.loop.Now) {
		return
	}
	maxBatch := o.refillUpgradeBudget()
	o.scanForUpgrades()
	if u.inFlight || len(u.queue) == 0 || o.usersNeedWrites() {
		return
	}
	n := min(maxBatch, len(u.queue))
	if int(u.budget) < n {
		return
	}
	if u.singleSteps > 0 {
		u.singleSteps, n = u.singleSteps-1, 1
	}
	if batch := o.takeUpgrades(n); len(batch.jobs) > 0 {
		o.writeUpgrades(batch)
	}
}

// refillUpgradeBudget adds what has become available of the write limit since the last call,
// and returns how many changes a transaction may have: what a second allows, no more. A
// transaction of twenty changes waited two seconds for its turn in the write limit, in the
// way of every submission behind it, and was then given up.
func (o *Owner) refillUpgradeBudget() (maxBatch int) {
	u := &o.upgrade
	limits := o.view.Settings.Cluster.State
	rate := upgradeWriteFraction * limits.WriteRPS / float64(o.view.Settings.Controllers())
	maxBatch = max(1, min(limits.TxnOps, int(rate)))
	if !u.budgetUpdated.IsZero() {
		u.budget = min(float64(maxBatch), u.budget+rate*o.loop.Now.Sub(u.budgetUpdated).Seconds())
	}
	u.budgetUpdated = o.loop.Now
	return maxBatch
}

// scanForUpgrades looks for records to upgrade when none are left.
func (o *Owner) scanForUpgrades() {
	u := &o.upgrade
	if len(u.queue) > 0 || o.loop.Now.Before(u.nextScan) {
		return
	}
	u.nextScan = o.loop.Now.Add(upgradeScanInterval)
	for id, j := range o.jobs {
		if o.needsUpgrade(j) {
			u.queue = append(u.queue, id)
		}
	}
	slices.Sort(u.queue)
	if len(u.queue) > 0 {
		o.log.Info("outdated job records", "jobs", len(u.queue))
	}
}

// usersNeedWrites reports whether users need the write limit now.
func (o *Owner) usersNeedWrites() bool {
	pending, refusedAt := o.records.UserWrites()
	return pending > 0 || (!refusedAt.IsZero() && o.loop.Now.Sub(refusedAt) < userWritePriority)
}

// takeUpgrades takes up to n records off the queue.
func (o *Owner) takeUpgrades(n int) upgradeBatch {
	u := &o.upgrade
	var batch upgradeBatch
	for len(u.queue) > 0 && len(batch.jobs) < n {
		j := o.jobs[u.queue[0]]
		if !o.needsUpgrade(j) || j.EndInFlight {
			u.queue = u.queue[1:]
			continue
		}
		value, size, err := o.envelopeOf(j)
		if err != nil {
			o.log.Error("cannot encode outdated job record", "job", j.Record.ID, "err", err)
			u.skip(j.Record.ID)
			continue
		}
		if batch.bytes += size; batch.bytes > maxUpgradeBytes && len(batch.jobs) > 0 {
			break
		}
		batch.add(j, o.records.JobKey(j.Record.ID), value)
		u.queue = u.queue[1:]
	}
	return batch
}

// add adds the upgrade of a job's record to the transaction.
func (b *upgradeBatch) add(j *Job, key string, value any) {
	b.txn.If = append(b.txn.If, wire.Condition{Key: key, Version: j.Version})
	b.txn.Then = append(b.txn.Then, wire.Op{Put: key, Value: value})
	b.jobs = append(b.jobs, j)
}

// writeUpgrades stores upgraded records.
func (o *Owner) writeUpgrades(batch upgradeBatch) {
	u := &o.upgrade
	u.inFlight = true
	u.budget -= float64(len(batch.jobs))
	o.loop.Emit(eventloop.StateTxn{Txn: batch.txn, ID: o.loop.OnCompletion(func(d eventloop.Completion) {
		u.inFlight = false
		switch {
		case d.Outcome == eventloop.Succeeded:
			for _, j := range batch.jobs {
				// Unless the watch was faster, or a change since.
				if d.Txn.Revision > j.Version {
					j.Version, j.envelopeForm = d.Txn.Revision, wire.EnvelopeForm
				}
			}
		case d.Outcome == eventloop.Rejected && len(batch.jobs) == 1:
			id := batch.jobs[0].Record.ID
			u.skip(id)
			o.log.Info("envelope does not fit, job record stays in its earlier form", "job", id)
		case d.Outcome == eventloop.Rejected:
			u.singleSteps = len(batch.jobs) // to find which one
		}
		// Whatever was not upgraded, or may have been, comes up with the next scan, with its
		// version as the watch then has shown it.
		u.nextScan = o.loop.Now.Add(upgradeScanInterval)
	})})
}

// skip leaves a job's record in its earlier form.
func (u *recordUpgrade) skip(id string) {
	if u.oversized == nil {
		u.oversized = map[string]bool{}
	}
	u.oversized[id] = true
	u.queue = slices.DeleteFunc(u.queue, func(queued string) bool { return queued == id })
}

// envelopeOf returns a job's record in its envelope, and about how large that is.
func (o *Owner) envelopeOf(j *Job) (value any, size int, err error) {
	rec, err := wire.WithFields(j.Record, j.Record.Unknown)
	if err != nil {
		return nil, 0, err
	}
	env, err := wire.Wrap(rec, o.view.Lease.Generation, j.firstVersion)
	return env, wire.JSONBytes(env.Value) + envelopeOverhead, err
}

// upgradePages has pages of an earlier form stored again, once.
func (o *Owner) upgradePages() {
	if !o.view.FeatureOpen(feature.Envelope) {
		return
	}
	for _, p := range o.completions.pages {
		if p.version != 0 && p.envelopeForm < wire.EnvelopeForm && p.state == pageIdle && p.pendingSince.IsZero() {
			p.pendingSince = o.loop.Now
		}
	}
}
