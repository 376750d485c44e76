package controller

import (
	"strconv"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/core/owner"
	"fawncove/internal/core/recovery"
	"fawncove/internal/wire"
)

// firstRestoredPage is the number of the first page of completed tasks that a recovery
// stores: beside the pages of this controller's processes, which count from 0.
const firstRestoredPage = 500

// restoreMissing stores what is known here and not there. Once nothing is missing any
// more it lets the next controller do the same.
func (c *Core) restoreMissing(s *storedState) {
	r := c.recovery
	c.forgetOtherEnds(s)
	txns, err := c.missingWrites(s)
	if err != nil {
		c.log.Error("cannot encode state to restore", "err", err)
		return
	}
	if len(txns) == 0 {
		r.noteRestored()
		c.log.Info("known state is stored", "generation", r.generation, "attempt", r.attempt.number, "revision", s.revision)
		c.nextFramesAt = time.Time{} // the next one waits for it
		c.sendFrames()
		return
	}
	r.beginStep()
	w := &restoreWrites{core: c, run: r, txns: txns}
	w.sendNext()
}

// forgetOtherEnds forgets the ends of which nobody was told, where another one is stored.
func (c *Core) forgetOtherEnds(s *storedState) {
	known := c.knownState()
	for _, id := range recovery.OtherEnds(&known, &s.records) {
		c.log.Warn("another end of a job is stored", "job", id, "known", known.Ends[id].State, "stored", s.records.Ends[id].State)
		c.ended.forget(id)
		delete(c.previousState.Ends, id)
	}
}

// missingWrites returns the transactions that store what is known here and not there.
func (c *Core) missingWrites(s *storedState) ([]wire.Txn, error) {
	known, limits := c.knownState(), recovery.Limits{Ops: c.view.Limits.TxnOps(), Bytes: maxRestoreTxnBytes}
	missing, err := recovery.MissingWrites(&known, &s.records, recovery.Keys{Job: jobPrefix, End: endPrefix}, limits)
	if err != nil {
		return nil, err
	}
	txns := append(missing.Txns, c.missingPages(s, &known)...)
	if r := c.recovery; len(txns) > 0 {
		r.jobs, r.ends = max(r.jobs, missing.Jobs), max(r.ends, missing.Ends)
		c.log.Info("restoring state", "attempt", r.attempt.number, "jobs", missing.Jobs, "ends", missing.Ends, "transactions", len(txns))
	}
	return txns, nil
}

// missingPages returns the transactions that store completed tasks, each a page under a
// key that is free.
func (c *Core) missingPages(s *storedState, known *recovery.KnownState) (txns []wire.Txn) {
	n := 0
	for _, entries := range recovery.CompletedTaskPages(known, &s.records, c.owner.PageBytes()) {
		for s.completedPages[c.completedPageKey(n)] {
			n++
		}
		key := c.completedPageKey(n)
		s.completedPages[key] = true
		txns = append(txns, wire.Txn{If: []wire.Condition{{Key: key}}, Then: []wire.Op{{Put: key, Value: c.owner.PageValue(entries)}}})
	}
	return txns
}

// completedPageKey is where this controller stores page n of the completed tasks that
// it knew of.
func (c *Core) completedPageKey(n int) string {
	return owner.PagePrefix + c.view.Self + "/" + strconv.Itoa(firstRestoredPage+n)
}

// restoreWrites stores transactions one after the other.
type restoreWrites struct {
	core *Core
	run  *recoveryRun
	txns []wire.Txn // still to be stored
}

func (w *restoreWrites) sendNext() {
	w.core.loop.Emit(eventloop.StateTxn{Txn: w.txns[0], ID: w.core.onRecoveryAnswer(w.completed)})
}

func (w *restoreWrites) completed(d eventloop.Completion) {
	if d.Outcome == eventloop.Succeeded && len(w.txns) > 1 {
		w.txns = w.txns[1:]
		w.sendNext()
		return
	}
	if d.Outcome == eventloop.Rejected {
		w.core.noteRefusedWrite("restored state", w.txns[0].Then)
	}
	// All stored, or something is not as it was found: the next step reads again.
	w.run.stepDone(w.core.loop.Now)
}

// writeRecoveredLease writes the lease value and the generation that the state goes on
// with.
func (c *Core) writeRecoveredLease(s *storedState) {
	r := c.recovery
	if s.generationVersion != r.attempt.mark {
		return // another controller has, or has begun another attempt; the next step sees it
	}
	if c.lacksKnown(s) {
		c.log.Warn("state to go on with lacks what was stored", "attempt", r.attempt.number, "revision", s.revision)
		r.resumeRestoring()
		c.announceRecovery()
		return
	}
	c.blockLease.RaiseIncarnationAbove(max(s.lease.Incarnation, s.lease.Blocks[c.view.Self].Incarnation, c.view.Lease.Blocks[c.view.Self].Incarnation))
	stored := recovery.ViewOf(s.lease)
	rec := c.mergeLease(&stored)
	ops := []wire.Op{{Put: leaseKey, Value: rec}}
	if rec.Form >= leasevalue.FormPages {
		pending, err := s.leasePages.Write(&rec, c.view.Limits.Values())
		if err != nil {
			c.log.Error("cannot encode lease value", "err", err)
			c.view.Limits.Relax()
			return
		}
		ops = pending.Ops
	}
	g := c.nextGeneration(len(rec.Blocks[c.view.Self].Unreconciled))
	ops = append(ops, wire.Op{Put: generationKey, Value: g})
	conds := []wire.Condition{{Key: leaseKey, Version: s.leaseVersion}, {Key: generationKey, Version: s.generationVersion}}
	r.beginStep()
	c.loop.Emit(eventloop.StateTxn{LeaseBudget: true, Txn: wire.Txn{If: conds, Then: ops}, ID: c.onRecoveryAnswer(func(d eventloop.Completion) {
		r.stepDone(c.loop.Now)
		if d.Outcome == eventloop.Rejected {
			c.noteRefusedWrite("lease value", ops)
		}
		if d.Outcome == eventloop.Succeeded {
			c.log.Info("state recovered", "generation", g.Generation, "jobs", g.Jobs, "ends", g.Ends, "machines", g.Machines,
				"attempts", r.attempt.number, "term", rec.Term, "duration", c.loop.Now.Sub(r.startedAt))
			c.restart(g.Generation)
		}
	})})
}

// lacksKnown reports whether something that is known here, and was stored, is not there.
func (c *Core) lacksKnown(s *storedState) bool {
	known := c.knownState()
	return recovery.Lacks(&known, &s.records)
}

// mergeLease returns the lease value that the state goes on with, of what every controller
// has told that it knows since the recovery began, be it out of reach or through with the
// recovery by now, and of further views, such as that of what is stored. A machine that only the
// newest value names may run tasks already, and whoever has read that value need not be
// the one that writes.
func (c *Core) mergeLease(further ...*recovery.View) wire.LeaseRecord {
	own := c.leaseView()
	views := append([]*recovery.View{&own}, further...)
	for _, name := range cluster.SortedKeys(c.view.Peers) {
		if view := c.view.Peers[name].RecoveryView; view != nil {
			views = append(views, view)
		}
	}
	teamLimit := func(team string) wire.Share {
		limit := c.view.LimitOf(team)
		return wire.Share{CPUs: int(limit.CPUs), GPUs: int(limit.GPUs)}
	}
	return recovery.MergeLease(c.view.Self, c.blockLease.Incarnation(), c.recovery.generation+1, teamLimit, views...)
}

// nextGeneration describes the generation that begins with this recovery, in which so
// many machines are to be reconciled.
func (c *Core) nextGeneration(machines int) recovery.Generation {
	r := c.recovery
	return recovery.Generation{Form: recovery.GenerationForm, Generation: r.generation + 1, Controller: c.view.Self,
		RevisionSeen: r.revisionSeen, RevisionFound: r.revisionFound, Jobs: r.jobs, Ends: r.ends, Machines: machines,
		RecoveredAtMs: c.loop.Now.UnixMilli(), TookMs: c.loop.Now.Sub(r.startedAt).Milliseconds()}
}
