package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// stateStub answers a core's calls to the state service: it stores the lease value under
// its version, and nothing else.
type stateStub struct {
	core       *Core
	now        time.Time
	lease      wire.LeaseRecord
	version    wire.Revision        // of the lease value
	revision   wire.Revision        // every write takes one
	heldWrites []eventloop.StateTxn // lease writes without an answer, not executed yet
	muteWrites bool                 // lease writes get no answer
	changes    []wire.Change        // all writes so far
	watch      eventloop.StateWatch // the open one
	unanswered []uint64             // calls without an answer
}

// deliver hands events to the core until it makes no more calls.
func (k *stateStub) deliver(events ...eventloop.Event) {
	for len(events) > 0 {
		ev := events[0]
		events = events[1:]
		for _, e := range k.core.Step(k.now, ev) {
			switch e := e.(type) {
			case eventloop.StateTxn:
				if _, ok := e.Txn.Then[0].Value.(wire.LeaseRecord); ok && k.muteWrites {
					k.heldWrites, k.unanswered = append(k.heldWrites, e), append(k.unanswered, e.ID)
					continue
				}
				events = append(events, k.txn(e))
			case eventloop.StateGet:
				events = append(events, k.get(e))
			case eventloop.StateRange:
				events = append(events, eventloop.Completion{ID: e.ID, FromStateService: true, Outcome: eventloop.Succeeded, Page: wire.Page{Revision: k.revision}})
			case eventloop.StateWatch:
				k.watch = e
			}
		}
	}
}

func (k *stateStub) txn(e eventloop.StateTxn) eventloop.Completion {
	for _, c := range e.Txn.If {
		if c.Key == leaseKey && c.Version != k.version {
			return eventloop.Completion{ID: e.ID, FromStateService: true, Outcome: eventloop.Conflict, Txn: wire.TxnAnswer{Failed: []string{leaseKey}, Revision: k.revision}}
		}
	}
	k.revision++
	for _, op := range e.Txn.Then {
		raw, err := wire.Encode(op.Value)
		if err != nil {
			panic(err)
		}
		k.changes = append(k.changes, wire.Change{Put: op.Put, Delete: op.Delete, Value: raw, Version: k.revision})
	}
	if rec, ok := e.Txn.Then[0].Value.(wire.LeaseRecord); ok {
		k.lease, k.version = rec, k.revision
	}
	return eventloop.Completion{ID: e.ID, FromStateService: true, Outcome: eventloop.Succeeded, Txn: wire.TxnAnswer{Revision: k.revision}}
}

// answerWatch answers the open watch with all changes since.
func (k *stateStub) answerWatch() eventloop.Completion {
	after := func(c wire.Change) bool { return c.Version > k.watch.After }
	first := slices.IndexFunc(k.changes, after)
	return eventloop.Completion{ID: k.watch.ID, FromStateService: true, Outcome: eventloop.Succeeded, Changes: wire.Changes{Revision: k.revision, Log: k.changes[first:]}}
}

func (k *stateStub) get(e eventloop.StateGet) eventloop.Completion {
	if e.Key != leaseKey {
		return eventloop.Completion{ID: e.ID, FromStateService: true, Outcome: eventloop.NotFound}
	}
	raw, err := wire.Encode(k.lease)
	if err != nil {
		panic(err)
	}
	return eventloop.Completion{ID: e.ID, FromStateService: true, Outcome: eventloop.Succeeded, Pair: wire.Pair{Key: leaseKey, Value: raw, Version: k.version}}
}

// TestRenewalsOfALateWriteCount: a write of the lease value gets no answer and is
// executed seconds later. A renewal that it honours gives its holder the right
// to start until a lease after that was sent, so the leader may not count the lease
// from the last write that was answered.
func TestRenewalsOfALateWriteCount(t *testing.T) {
	rec := wire.LeaseRecord{Term: 3, Leader: "n0", Incarnation: 7, Partitions: map[string]string{"free": "n0"},
		Blocks: map[string]wire.Block{"n0": {Grant: 3 << 16, Incarnation: 7}, "n1": {Grant: 3<<16 + 1, Incarnation: 9, Renewal: 1, Machines: []string{"host-000001"}}}}
	c, start := newCore(t, []config.Team{{Name: "free"}}, rec)
	k := &stateStub{core: c, now: start, lease: c.view.Lease, version: 5, revision: 5}
	renewed := func(n uint64) eventloop.Event {
		return eventloop.PeerFrame{Frame: &peerpb.Frame{From: "n1", Incarnation: 9, StateOk: true, Renewal: &peerpb.Renewal{Node: "n1", Incarnation: 9, Number: n}}}
	}
	tick := func(d time.Duration) {
		for end := k.now.Add(d); k.now.Before(end); {
			k.now = k.now.Add(250 * time.Millisecond)
			k.deliver(eventloop.Tick{})
		}
	}
	k.deliver(renewed(2), eventloop.Tick{})
	tick(6 * time.Second)
	if got := k.lease.Blocks["n1"].Renewal; got != 2 {
		t.Fatalf("renewal %d is honoured, want 2", got)
	}
	// The holder's last renewal: it is silent from here on.
	sent := k.now
	k.muteWrites = true
	k.deliver(renewed(3))
	tick(6 * time.Second)
	if len(k.heldWrites) == 0 {
		t.Fatal("nothing was written")
	}
	k.deliver(eventloop.Completion{ID: k.unanswered[0], FromStateService: true}) // no answer
	if k.core.leader == nil {
		t.Fatal("does not lead")
	}
	// Executed late, and shown by the watch.
	if a := k.txn(k.heldWrites[0]); a.Outcome != eventloop.Succeeded || k.lease.Blocks["n1"].Renewal != 3 {
		t.Fatalf("late write: %s, renewal %d", a.Outcome, k.lease.Blocks["n1"].Renewal)
	}
	k.muteWrites = false
	k.deliver(k.answerWatch())
	// Until then its holder may start tasks on its machine.
	until := sent.Add(c.view.Params.LeaseDuration)
	for k.now.Before(until) {
		if k.now = k.now.Add(250 * time.Millisecond); k.now.Before(until) {
			k.deliver(eventloop.Tick{})
		}
		if _, ok := k.lease.Blocks["n1"]; !ok {
			t.Fatalf("its block was given away %v before its lease ended", until.Sub(k.now))
		}
	}
	tick(12 * time.Second)
	if _, ok := k.lease.Blocks["n1"]; ok {
		t.Error("its block is never given away")
	}
}

// TestWriteThatIsTooLargeIsCutDown guards against a leader that tries the same
// write, too large for a transaction, until all leases have lapsed.
func TestWriteThatIsTooLargeIsCutDown(t *testing.T) {
	c, now := largeFleet(t, 10000)
	rec := c.view.Lease.Clone()
	for node, b := range rec.Blocks {
		b.Machines = slices.Clone(b.Machines)
		b.Machines = slices.DeleteFunc(b.Machines, func(n string) bool { return n[len(n)-1] == '7' }) // off every page
		rec.Blocks[node] = b
	}
	c.leaseWriter.inFlight = false
	c.loop.Begin(now)
	c.writeLease(rec, func() { t.Error("stored") })
	if len(c.loop.Effects()) != 0 || c.leaseWriter.inFlight {
		t.Fatalf("%d effects, busy %v after a write that does not fit", len(c.loop.Effects()), c.leaseWriter.inFlight)
	}
	for i := 7; i < 10000; i += 10 {
		c.leader.MachineDeleted(fmt.Sprintf("host-%06d", i))
	}
	for i, maxChanges := range []int{1, 12} { // first the value alone, then as much as fits
		changes := 0
		c.leaseWriter.inFlight = false
		for _, e := range c.Step(now.Add(time.Duration(1+i)*6*time.Second), eventloop.Tick{}) {
			if txn, ok := e.(eventloop.StateTxn); ok && txn.LeaseBudget {
				changes = len(txn.Txn.Then)
			}
		}
		if changes == 0 || changes > maxChanges || (i > 0 && changes < 4) {
			t.Errorf("write %d takes %d changes", i+1, changes)
		}
	}
}
