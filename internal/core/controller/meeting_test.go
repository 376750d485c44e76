package controller

import (
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/step"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// keeper answers a core's calls to the state service: the lease value is kept by
// the versions that it had, everything else is not there.
type keeper struct {
	c     *Core
	now   time.Time
	lease wire.LeaseRecord
	rev   uint64
	held  []step.StateTxn // lease writes without an answer, not carried out yet
	mute  bool            // lease writes get no answer
	watch uint64
	ids   []uint64 // calls that get no answer, to be told so in two seconds
}

// do hands events to the core until it has nothing more to ask.
func (k *keeper) do(events ...step.Event) {
	for len(events) > 0 {
		ev := events[0]
		events = events[1:]
		for _, e := range k.c.Step(k.now, ev) {
			switch e := e.(type) {
			case step.StateTxn:
				if _, ok := e.Txn.Then[0].Value.(wire.LeaseRecord); ok && k.mute {
					k.held, k.ids = append(k.held, e), append(k.ids, e.ID)
					continue
				}
				events = append(events, k.txn(e))
			case step.StateGet:
				events = append(events, k.get(e))
			case step.StateRange:
				events = append(events, step.Completed{ID: e.ID, State: true, Status: 200, Page: wire.Page{Revision: k.rev}})
			case step.StateWatch:
				k.watch = e.ID
			}
		}
	}
}

func (k *keeper) txn(e step.StateTxn) step.Completed {
	for _, c := range e.Txn.If {
		if c.Key == leaseKey && c.Version != k.rev {
			return step.Completed{ID: e.ID, State: true, Status: 409, Txn: wire.TxnAnswer{Failed: []string{leaseKey}, Revision: k.rev}}
		}
	}
	if rec, ok := e.Txn.Then[0].Value.(wire.LeaseRecord); ok {
		k.rev++
		k.lease = rec
	}
	return step.Completed{ID: e.ID, State: true, Status: 200, Txn: wire.TxnAnswer{Revision: k.rev}}
}

func (k *keeper) get(e step.StateGet) step.Completed {
	if e.Key != leaseKey {
		return step.Completed{ID: e.ID, State: true, Status: 404}
	}
	raw, err := wire.Encode(k.lease)
	if err != nil {
		panic(err)
	}
	return step.Completed{ID: e.ID, State: true, Status: 200, Pair: wire.Pair{Key: leaseKey, Value: raw, Version: k.rev}}
}

// TestRenewalsOfALateWriteCount: a write of the lease value gets no answer and is
// carried out seconds later. A renewal that it honours gives its holder the right
// to start until a lease after that was sent, so the leader may not count the lease
// from the last write that was answered.
func TestRenewalsOfALateWriteCount(t *testing.T) {
	rec := wire.LeaseRecord{Term: 3, Leader: "n0", Incarnation: 7, Homes: map[string]string{"free": "n0"},
		Blocks: map[string]wire.Block{"n0": {Grant: 3 << 16, Incarnation: 7}, "n1": {Grant: 3<<16 + 1, Incarnation: 9, Renewal: 1, Machines: []string{"host-000001"}}}}
	c, start := newCore(t, []config.Team{{Name: "free"}}, rec)
	k := &keeper{c: c, now: start, lease: c.view.Lease, rev: 5}
	renewed := func(n uint64) step.Event {
		return step.PeerIn{Frame: &peerpb.Frame{From: "n1", Incarnation: 9, StateOk: true, Renewal: &peerpb.Renewal{Node: "n1", Incarnation: 9, Number: n}}}
	}
	tick := func(d time.Duration) {
		for end := k.now.Add(d); k.now.Before(end); {
			k.now = k.now.Add(250 * time.Millisecond)
			k.do(step.Tick{})
		}
	}
	k.do(renewed(2), step.Tick{})
	tick(6 * time.Second)
	if got := k.lease.Blocks["n1"].Renewal; got != 2 {
		t.Fatalf("renewal %d is honoured, want 2", got)
	}
	// The holder's last renewal. From here on nothing is heard of it.
	sent := k.now
	k.mute = true
	k.do(renewed(3))
	tick(6 * time.Second)
	if len(k.held) == 0 {
		t.Fatal("nothing was written")
	}
	k.do(step.Completed{ID: k.ids[0], State: true}) // no answer
	if k.c.lead == nil {
		t.Fatal("does not lead")
	}
	// Carried out late, and shown by the watch.
	if a := k.txn(k.held[0]); a.Status != 200 || k.lease.Blocks["n1"].Renewal != 3 {
		t.Fatalf("late write: %d, renewal %d", a.Status, k.lease.Blocks["n1"].Renewal)
	}
	k.mute = false
	raw, err := wire.Encode(k.lease)
	if err != nil {
		t.Fatal(err)
	}
	k.do(step.Completed{ID: k.watch, State: true, Status: 200, Watch: wire.Changes{Revision: k.rev,
		Log: []wire.Change{{Put: leaseKey, Value: raw, Version: k.rev}}}})
	// Until then its holder may start tasks on its machine.
	until := sent.Add(c.view.Par.Lease)
	for k.now.Before(until) {
		if k.now = k.now.Add(250 * time.Millisecond); k.now.Before(until) {
			k.do(step.Tick{})
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

// TestFreshnessCountsFromTheFirstPage: reading all jobs takes long where the state
// service is slow. A cancellation made after the first page was read need not be
// known, so workers may be answered only for as long as that allows.
func TestFreshnessCountsFromTheFirstPage(t *testing.T) {
	c, start := newCore(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{})
	c = New(c.view.Cfg, c.view.Par, c.log, 8)
	now := start
	at := func(d time.Duration) { now = start.Add(d) }
	ranges := func(effects []step.Effect) (id uint64) {
		for _, e := range effects {
			if r, ok := e.(step.StateRange); ok && r.Prefix == jobPrefix {
				id = r.ID
			}
		}
		return id
	}
	var gets func(effects []step.Effect) (last []step.Effect)
	gets = func(effects []step.Effect) []step.Effect {
		for _, e := range effects {
			if g, ok := e.(step.StateGet); ok {
				return gets(c.Step(now, step.Completed{ID: g.ID, State: true, Status: 404}))
			}
		}
		return effects
	}
	c.Step(now, step.Tick{})
	at(time.Second)
	first := ranges(gets(c.Step(now, step.Tick{})))
	if first == 0 {
		t.Fatal("no page was asked for")
	}
	asked := now
	at(9 * time.Second)
	second := ranges(c.Step(now, step.Completed{ID: first, State: true, Status: 200, Page: wire.Page{Revision: 1, More: true,
		Pairs: []wire.Pair{{Key: jobPrefix + "wk-000001", Version: 1}}}}))
	at(18 * time.Second)
	gets(c.Step(now, step.Completed{ID: second, State: true, Status: 200, Page: wire.Page{Revision: 2}}))
	if !c.loaded {
		t.Fatal("not read")
	}
	w := c.view.Cfg.Cluster.Workers
	for _, x := range []struct {
		after  time.Duration
		status int
	}{{0, 200}, {config.Seconds(w.CancelS - w.LeaseS), 503}} {
		now = maxTime(now, asked.Add(x.after))
		status := 0
		for _, e := range c.Step(now, step.ReportIn{Req: 1, Report: wire.Report{Machine: "host-000001", Type: "s4", Session: 1, Seq: 1 + uint64(x.after)}}) {
			if r, ok := e.(step.Reply); ok {
				status = r.Status
			}
		}
		if (status == 503) != (x.status == 503) {
			t.Errorf("a worker gets %d, %v after the first page was asked for", status, now.Sub(asked))
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
