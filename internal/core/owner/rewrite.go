package owner

import (
	"slices"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/feature"
	"fawncove/internal/wire"
)

// Once the gate of envelopes is open, the owner of a home rewrites the records
// of its jobs that earlier versions have stored. Each is rewritten under the
// version that it has, so once only, whoever tries and however late; what is
// left shows in the records themselves, so a successor goes on where the owner
// stopped. A record that is in its envelope keeps the version under which it was
// first stored: by that a later owner tells what may have been started before
// it.

const (
	// rewritePart is the part of the write limit that rewriting may take, of
	// all controllers together.
	upgradeWriteFraction = 0.2
	// rewriteLook spaces the looks at all jobs for records to rewrite.
	upgradeScanInterval = 2 * time.Second
	// rewriteBytes bounds a transaction of rewrites; the service takes 64 KiB.
	maxUpgradeBytes = 40 << 10
	// rewriteRest is for how long users who found no room have it to
	// themselves.
	userWritePriority = 5 * time.Second
)

// rewriting is what is left to rewrite.
type recordUpgrade struct {
	queue         []string // jobs, in order
	nextScan      time.Time
	inFlight      bool
	budget        float64 // changes that may be made now
	budgetUpdated time.Time
	singleSteps   int             // how many are to be tried one by one
	oversized     map[string]bool // records that do not fit with their envelope
}

// OutdatedRecords is how many records of this controller's homes are in an earlier form.
func (o *Owner) OutdatedRecords() int { return len(o.upgrade.queue) }

// plain tells whether a job's record is one to rewrite.
func (o *Owner) needsUpgrade(j *Job) bool {
	return j != nil && j.envelopeForm < wire.EnvelopeForm && !j.Ended && o.Owns(j) && !o.upgrade.oversized[j.Record.ID]
}

// rewrite rewrites a few records, if users leave room for that.
func (o *Owner) upgradeRecords() {
	r := &o.upgrade
	if !o.view.FeatureOpen(feature.Envelope) || !o.blockLease.MayStart(o.loop.Now) {
		return
	}
	limits := o.view.Settings.Cluster.State
	rate := upgradeWriteFraction * limits.WriteRPS / float64(o.view.Settings.Controllers())
	// A transaction takes what a second allows, no more: one of twenty changes
	// waited two seconds for its turn in the write limit, in the way of every
	// submission behind it, and was then given up.
	most := max(1, min(limits.TxnOps, int(rate)))
	if !r.budgetUpdated.IsZero() {
		r.budget = min(float64(most), r.budget+rate*o.loop.Now.Sub(r.budgetUpdated).Seconds())
	}
	r.budgetUpdated = o.loop.Now
	if len(r.queue) == 0 && !o.loop.Now.Before(r.nextScan) {
		r.nextScan = o.loop.Now.Add(upgradeScanInterval)
		for id, j := range o.jobs {
			if o.needsUpgrade(j) {
				r.queue = append(r.queue, id)
			}
		}
		slices.Sort(r.queue)
		if len(r.queue) > 0 {
			o.log.Info("records to rewrite", "jobs", len(r.queue))
		}
	}
	if r.inFlight || len(r.queue) == 0 {
		return
	}
	pending, short := o.records.UserWrites()
	if pending > 0 || (!short.IsZero() && o.loop.Now.Sub(short) < userWritePriority) {
		return
	}
	n := min(most, len(r.queue))
	if int(r.budget) < n {
		return
	}
	if r.singleSteps > 0 {
		r.singleSteps, n = r.singleSteps-1, 1
	}
	var batch []*Job
	var txn wire.Txn
	bytes := 0
	for len(r.queue) > 0 && len(batch) < n {
		j := o.jobs[r.queue[0]]
		if !o.needsUpgrade(j) || j.EndInFlight {
			r.queue = r.queue[1:]
			continue
		}
		value, size, err := o.envelopeOf(j)
		if err != nil {
			o.log.Error("record to rewrite", "job", j.Record.ID, "err", err)
			r.skip(j.Record.ID)
			continue
		}
		if bytes += size; bytes > maxUpgradeBytes && len(batch) > 0 {
			break
		}
		key := o.records.JobKey(j.Record.ID)
		txn.If = append(txn.If, wire.Condition{Key: key, Version: j.Version})
		txn.Then = append(txn.Then, wire.Op{Put: key, Value: value})
		batch = append(batch, j)
		r.queue = r.queue[1:]
	}
	if len(batch) == 0 {
		return
	}
	r.inFlight = true
	r.budget -= float64(len(batch))
	o.loop.Emit(eventloop.StateTxn{Txn: txn, ID: o.loop.Call(func(d eventloop.Completion) {
		r.inFlight = false
		switch {
		case d.Outcome == eventloop.Succeeded:
			for _, j := range batch {
				// Unless the watch was faster, or a change since.
				if d.Txn.Revision > j.Version {
					j.Version, j.envelopeForm = d.Txn.Revision, wire.EnvelopeForm
				}
			}
		case d.Outcome == eventloop.Rejected && len(batch) == 1:
			r.skip(batch[0].Record.ID)
			o.log.Info("record stays in its earlier form, its envelope does not fit", "job", batch[0].Record.ID)
		case d.Outcome == eventloop.Rejected:
			r.singleSteps = len(batch) // to find which
		}
		// Whatever was not rewritten, or perhaps was, comes up with the next
		// look, with its version as the watch then has shown it.
		r.nextScan = o.loop.Now.Add(upgradeScanInterval)
	})})
}

func (r *recordUpgrade) skip(id string) {
	if r.oversized == nil {
		r.oversized = map[string]bool{}
	}
	r.oversized[id] = true
	r.queue = slices.DeleteFunc(r.queue, func(q string) bool { return q == id })
}

// wrapped returns a job's record in its envelope, and about how large it is.
func (o *Owner) envelopeOf(j *Job) (value any, size int, err error) {
	rec, err := wire.WithFields(j.Record, j.Record.Unknown)
	if err != nil {
		return nil, 0, err
	}
	env, err := wire.Wrap(rec, o.view.Lease.Generation, j.firstVersion)
	return env, len(env.Value)*5/4 + 64, err
}

// rewritePages has pages of an earlier form stored again, once.
func (o *Owner) upgradePages() {
	if !o.view.FeatureOpen(feature.Envelope) {
		return
	}
	for _, p := range o.pages {
		if p.version != 0 && p.envelopeForm < wire.EnvelopeForm && !p.unreadable && p.pendingSince.IsZero() && !p.writing {
			p.pendingSince = o.loop.Now
		}
	}
}

// pageValue is what is stored for a page with these entries.
func (o *Owner) pageValue(p *page, entries map[string]string) (any, int) {
	if !o.view.FeatureOpen(feature.Envelope) {
		return entries, 0
	}
	env, err := wire.Wrap(entries, o.view.Lease.Generation, 0)
	if err != nil {
		o.log.Error("page of completed tasks", "err", err)
		return entries, 0
	}
	env.Unknown = p.unknownFields
	value, err := env.Stored()
	if err != nil {
		o.log.Error("page of completed tasks", "err", err)
		return env, env.Form
	}
	return value, env.Form
}

// openPage takes a page's entries out of their envelope. A page without a value is
// one without entries.
func (o *Owner) openPage(key string, value []byte) (env wire.Envelope, entries map[string]string, err error) {
	if wire.IsAbsent(value) {
		return env, nil, nil
	}
	if env, err = o.view.Unwrap(key, value); err != nil {
		return env, nil, err
	}
	return env, entries, wire.Decode(env.Value, &entries)
}
