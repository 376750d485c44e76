package controller

import (
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/wire"
)

// leaseWriter is the progress of this controller's writes of the lease value, of which
// one at most is under way.
type leaseWriter struct {
	inFlight bool      // a write, or the reading after one that failed
	sentAt   time.Time // when the last write went out
}

// LeaseUnchanged returns the conditions under which the lease value and the generation
// are those that this controller knows.
//
// The generation is part of the compare because revisions count again from below when
// the state has been recovered: a write of before could find the version it was based
// on.
func (c *Core) LeaseUnchanged() []wire.Condition {
	return []wire.Condition{{Key: leaseKey, Version: c.view.LeaseVersion}, {Key: generationKey, Version: c.storedGeneration.Version}}
}

// leaseWrite is one write of the lease value.
type leaseWrite struct {
	core    *Core
	rec     wire.LeaseRecord
	pending *leasevalue.PendingWrite // nil for a form without pages
	sentAt  time.Time
	stored  func()
}

// writeLease proposes a lease value in place of the one that it is based on; stored is
// called once it is the current one.
func (c *Core) writeLease(rec wire.LeaseRecord, stored func()) {
	w := &leaseWrite{core: c, rec: rec, sentAt: c.loop.Now, stored: stored}
	c.leaseWriter.inFlight, c.leaseWriter.sentAt = true, w.sentAt
	w.renewOwnBlock()
	ops, err := w.encode()
	if err != nil {
		// What is published fits a write, except after several takeovers at once.
		c.log.Error("cannot encode lease value", "err", err)
		c.leaseWriter.inFlight = false
		if c.leader != nil {
			c.leader.ValueTooLarge()
		}
		return
	}
	conds := append(c.LeaseUnchanged(), c.levelRaiseConditions(&w.rec)...)
	c.loop.Emit(eventloop.StateTxn{LeaseBudget: true, Txn: wire.Txn{If: conds, Then: ops}, ID: c.loop.OnCompletion(w.completed)})
}

// renewOwnBlock has the write renew this controller's own block lease.
func (w *leaseWrite) renewOwnBlock() {
	c := w.core
	if b, ok := w.rec.Blocks[c.view.Self]; ok && b.Incarnation == c.blockLease.Incarnation() {
		b.Renewal = c.blockLease.RecordRenewal(w.sentAt)
		w.rec.Blocks[c.view.Self] = b
	}
}

// encode returns the changes that store the value and its pages.
func (w *leaseWrite) encode() ([]wire.Op, error) {
	c := w.core
	if w.rec.Form < leasevalue.FormPages {
		return []wire.Op{{Put: leaseKey, Value: w.rec}}, nil
	}
	pending, err := c.leaseReader.pages.Write(&w.rec, c.view.Settings.ValueLimits())
	if err != nil {
		return nil, err
	}
	w.pending = pending
	c.view.LeaseValueBytes = pending.Bytes
	return pending.Ops, nil
}

func (w *leaseWrite) completed(d eventloop.Completion) {
	c := w.core
	c.leaseWriter.inFlight = false
	if d.Outcome != eventloop.Succeeded {
		w.readBack()
		return
	}
	if w.pending != nil {
		w.pending.Commit()
	}
	w.stored()
	c.applyLease(w.rec, d.Txn.Revision)
	if c.leader != nil {
		c.leader.PublishStored(w.sentAt)
		c.runLeader()
	}
}

// readBack reads the lease value after a write that failed, or perhaps was executed,
// before anything is decided by it.
func (w *leaseWrite) readBack() {
	c := w.core
	c.leaseWriter.inFlight = true
	c.readLease(func(eventloop.Outcome) {
		c.leaseWriter.inFlight = false
		if c.leader != nil {
			c.leader.RequestPublish()
		}
	})
}
