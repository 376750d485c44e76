package owner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/wire"
)

// rewriter is an owner of five jobs that were stored before there were
// envelopes, in a cluster where the gate is open.
func rewriter(t *testing.T) (*Owner, time.Time) {
	rec := wire.LeaseRecord{Form: leasevalue.Form, Level: 2, Confirmed: 2, Generation: 3, Term: 1, Leader: "n1", Partitions: map[string]string{"red": "n0"},
		Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7}}}
	o, now := newOwner(t, []config.Team{{Name: "red"}}, rec)
	o.blockLease.RecordRenewal(now)
	o.blockLease.Renewed(wire.Block{Grant: 1 << 18, Renewal: 1})
	for i := range 5 {
		rec := wire.JobRecord{Job: wire.Job{ID: fmt.Sprintf("wk-%06d", i), Team: "red", Shape: wire.Array, Priority: "standard", Tasks: 1, CPUs: 1},
			Unknown: wire.Fields{"later": []byte{0x01}}}
		o.ApplyJob(rec, RecordInfo{Version: uint64(100 + i)})
	}
	return o, now
}

// rewrites lets time pass until a transaction of rewrites goes out.
func rewrites(o *Owner, now time.Time) (eventloop.StateTxn, time.Time) {
	for range 100 {
		now = now.Add(150 * time.Millisecond)
		o.loop.Begin(now)
		o.upgradeRecords()
		for _, e := range o.loop.Effects() {
			if x, ok := e.(eventloop.StateTxn); ok {
				return x, now
			}
		}
	}
	return eventloop.StateTxn{}, now
}

// TestRewritesAreConditional: each record is rewritten under the version that it
// has, and keeps its age and what this version does not know of it. A late
// rewrite by a former owner else brings a job back that is over, or has a later
// owner take a job that runs for one that cannot have been started.
func TestRewritesAreConditional(t *testing.T) {
	o, now := rewriter(t)
	x, _ := rewrites(o, now)
	if len(x.Txn.Then) != 5 || len(x.Txn.If) != 5 {
		t.Fatalf("%d rewrites under %d conditions", len(x.Txn.Then), len(x.Txn.If))
	}
	for i, op := range x.Txn.Then {
		env := op.Value.(wire.Envelope)
		if want := (wire.Condition{Key: op.Put, Version: uint64(100 + i)}); x.Txn.If[i] != want || env.FirstVersion != want.Version || env.Generation != 3 {
			t.Errorf("%s: under %+v, born %d, generation %d", op.Put, x.Txn.If[i], env.FirstVersion, env.Generation)
		}
		if kept, err := wire.UnknownFields(env.Value, wire.JobRecord{}); err != nil || len(kept) != 1 {
			t.Errorf("%s: kept %v, %v", op.Put, kept, err)
		}
	}
	o.loop.Complete(eventloop.Completion{ID: x.ID, Outcome: eventloop.Succeeded, Txn: wire.TxnAnswer{Revision: 200}})
	if again, _ := rewrites(o, now.Add(20*time.Second)); len(again.Txn.Then) > 0 || o.OutdatedRecords() > 0 {
		t.Errorf("rewritten again: %v", again.Txn.Then)
	}
	// A later process finds the record rewritten after it took the home over:
	// the job is as old as it was.
	b, _ := newOwner(t, []config.Team{{Name: "red"}}, wire.LeaseRecord{Term: 1, Leader: "n1", Partitions: map[string]string{"red": "n0"},
		Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7}}})
	b.partitions.owned["red"] = 150
	b.ApplyJob(wire.JobRecord{Job: wire.Job{ID: "wk-000001", Team: "red", Shape: wire.Array, Tasks: 1, CPUs: 1}}, RecordInfo{Version: 200, FirstVersion: 101, Form: 1})
	if j := b.Job("wk-000001"); j.ready() {
		t.Error("a job that may run is taken for a new one")
	}
}

// TestRewriteThatDoesNotFit: a record at the size limit has no room for its
// envelope. The others are rewritten, it stays as it is, and is not tried again.
func TestRewriteThatDoesNotFit(t *testing.T) {
	o, now := rewriter(t)
	const big = "fc/j/wk-000003"
	revision, done := uint64(200), map[string]bool{}
	for range 20 {
		x, at := rewrites(o, now)
		now = at
		if x.ID == 0 {
			break
		}
		outcome := eventloop.Succeeded
		if slices.ContainsFunc(x.Txn.Then, func(op wire.Op) bool { return op.Put == big }) {
			outcome = eventloop.Rejected
		}
		for _, op := range x.Txn.Then {
			done[op.Put] = done[op.Put] || outcome == eventloop.Succeeded
		}
		revision++
		o.loop.Complete(eventloop.Completion{ID: x.ID, Outcome: outcome, Txn: wire.TxnAnswer{Revision: revision}})
	}
	if len(done) != 5 || done[big] || o.OutdatedRecords() != 0 {
		t.Errorf("rewritten %v, %d left", done, o.OutdatedRecords())
	}
	for key, ok := range done {
		if !ok && key != big {
			t.Errorf("%s was not rewritten", key)
		}
	}
}

// TestForeignPageIsLeftAlone: a page in a form from the future is not written
// over; what is completed goes to another page.
func TestForeignPageIsLeftAlone(t *testing.T) {
	o, now := rewriter(t)
	o.completions.pages = append(o.completions.pages, &page{version: 3, entries: map[string]int{"wk-000001": 20}, size: 20})
	o.completions.pageByEntry["wk-000001"] = o.completions.pages[0]
	future, err := wire.Encode(map[string]any{"f": wire.EnvelopeForm + 1})
	if err != nil {
		t.Fatal(err)
	}
	_, _, err = o.readPage("fp/n0/0", future)
	if err == nil {
		t.Fatal("read")
	}
	o.abandonPage(o.completions.pages[0])
	o.loop.Begin(now.Add(time.Minute))
	o.flushPages()
	for _, e := range o.loop.Effects() {
		if x, ok := e.(eventloop.StateTxn); ok && x.Txn.Then[0].Put != "fp/n0/1" {
			t.Errorf("writes %s", x.Txn.Then[0].Put)
		}
	}
	if p := o.completions.pageByEntry["wk-000001"]; p == nil || p == o.completions.pages[0] {
		t.Error("what is completed has no page any more")
	}
}

// TestPageWithoutValue: earlier versions put an empty page without its value. It is
// read as one without entries, and written again; it is neither an error nor left
// alone as one of a form that is not known.
func TestPageWithoutValue(t *testing.T) {
	for name, value := range map[string][]byte{"missing": nil, "null": {0xc0}} {
		o, _ := rewriter(t)
		env, entries, err := o.readPage("fp/n0/0", value)
		if err != nil || len(entries) > 0 {
			t.Errorf("%s: %v, %v", name, entries, err)
		}
		o.adoptPage("fp/n0/0", 9, env, entries, err)
		if p := o.completions.pages[0]; p.unreadable || p.version != 9 {
			t.Errorf("%s: left alone: %v, version %d", name, p.unreadable, p.version)
		}
	}
}

// TestLostAnswerToAPage: a page is stored and the answer lost. It is read again at once:
// what is found there may be forgotten by workers, and is not written again. A page
// that is not there is written again.
func TestLostAnswerToAPage(t *testing.T) {
	for _, carriedOut := range []bool{true, false} {
		o, now := rewriter(t)
		j := o.jobs["wk-000001"]
		j.ownership = ready
		o.markDone(j, 0)
		o.queueCompletion(j, 0)
		var txn eventloop.StateTxn
		var get eventloop.StateGet
		effects := func(at time.Time, f func()) (writes int) {
			o.loop.Begin(at)
			f()
			for _, e := range o.loop.Effects() {
				switch e := e.(type) {
				case eventloop.StateTxn:
					txn, writes = e, writes+1
				case eventloop.StateGet:
					get = e
				}
			}
			return writes
		}
		now = now.Add(time.Minute)
		if n := effects(now, o.flushPages); n != 1 {
			t.Fatalf("%d writes", n)
		}
		effects(now, func() { o.loop.Complete(eventloop.Completion{ID: txn.ID}) })
		if get.Key != txn.Txn.Then[0].Put {
			t.Fatalf("reads %q after a lost answer to %q", get.Key, txn.Txn.Then[0].Put)
		}
		d := eventloop.Completion{ID: get.ID, Outcome: eventloop.NotFound}
		if carriedOut {
			raw, err := wire.Encode(txn.Txn.Then[0].Value)
			if err != nil {
				t.Fatal(err)
			}
			d.Outcome, d.Pair = eventloop.Succeeded, wire.Pair{Key: get.Key, Value: raw, Version: 300}
		}
		effects(now, func() { o.loop.Complete(d) })
		if got := j.stored != nil && j.stored[0] == 1; got != carriedOut {
			t.Errorf("carried out: %v, its task counts as stored: %v", carriedOut, got)
		}
		if n := effects(now.Add(time.Minute), o.flushPages); (n == 0) != carriedOut {
			t.Errorf("carried out: %v, written %d more times", carriedOut, n)
		}
	}
}
