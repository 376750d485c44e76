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
	refusals int       // writes refused in a row
	retryAt  time.Time // no write goes out before
}

const (
	// refusedWriteBackoff is the pause after a first refused write; it doubles with each
	// one after that, up to maxRefusedWriteBackoff.
	refusedWriteBackoff    = 100 * time.Millisecond
	maxRefusedWriteBackoff = 3200 * time.Millisecond
)

// ready reports whether the lease value may be written now.
func (w *leaseWriter) ready(now time.Time) bool { return !w.inFlight && !now.Before(w.retryAt) }

// refused notes that a write was refused as it stands. The next one is smaller, and waits
// the longer the more were refused: should nothing that can be written be accepted, it
// still must not take the state service's requests from all others.
func (w *leaseWriter) refused(now time.Time) {
	w.retryAt = now.Add(min(maxRefusedWriteBackoff, refusedWriteBackoff<<min(w.refusals, 10)))
	w.refusals++
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
	ops     []wire.Op
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
		c.leaseWriter.refused(c.loop.Now)
		c.view.Limits.Relax()
		if c.leader != nil {
			c.leader.ValueTooLarge()
		}
		return
	}
	w.ops = ops
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
	pending, err := c.leaseReader.pages.Write(&w.rec, c.view.Limits.Values())
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
	if d.Outcome == eventloop.Rejected {
		w.refused()
		return
	}
	c.leaseWriter.refusals = 0
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

// refused has the next write be smaller than this one, which was refused as it stands: sent
// again it would be refused again, until the leader's term was lost.
func (w *leaseWrite) refused() {
	c := w.core
	c.noteRefusedWrite("lease value", w.ops)
	c.leaseWriter.refused(c.loop.Now)
	if c.leader != nil {
		c.leader.ValueTooLarge()
	}
}

// noteRefusedWrite notes that a write was refused as it stands: the state service takes less
// than was known.
func (c *Core) noteRefusedWrite(what string, ops []wire.Op) {
	largest := 0
	for _, op := range ops {
		encoded, err := wire.Encode(op.Value)
		if err != nil {
			c.log.Error("cannot encode refused value", "key", op.Put, "err", err)
			continue
		}
		largest = max(largest, wire.JSONBytes(encoded))
	}
	c.view.Limits.Refuse(len(ops), largest)
	c.log.Warn("write refused by the state service", "write", what, "changes", len(ops), "largest_bytes", largest,
		"assumed_changes", c.view.Limits.TxnOps(), "assumed_bytes", c.view.Limits.ValueBytes())
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
