package owner

import (
	"fmt"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// TestPagesHoldCompletionsOfManyJobs stores the completed tasks of many jobs in a few pages, and
// finds them again in another controller.
func TestPagesHoldCompletionsOfManyJobs(t *testing.T) {
	lease := wire.LeaseRecord{Term: 3, Leader: "n1", Partitions: map[string]string{"free": "n0"},
		Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7}}}
	job := func(i int) wire.JobRecord {
		return wire.JobRecord{Job: wire.Job{ID: fmt.Sprintf("wk-%06d", i), Team: "free", Shape: wire.Array,
			Priority: "standard", Tasks: 100 + 3000*(i%3), CPUs: 1}}
	}
	a, now := newOwner(t, []config.Team{{Name: "free"}}, lease)
	for i := range 40 {
		a.ApplyJob(job(i), RecordInfo{Version: wire.Revision(10 + i)})
		for k := 0; k < a.jobs[job(i).ID].Record.Tasks; k += 7 + i {
			a.markDone(a.jobs[job(i).ID], k)
		}
	}
	stored := map[string]any{}
	for _, e := range tick(a, now.Add(flushInterval+time.Second)) {
		if txn, ok := e.(eventloop.StateTxn); ok {
			for _, op := range txn.Txn.Then {
				body, err := wire.Encode(op.Value)
				if err != nil || len(body) > 8<<10 {
					t.Fatalf("%s: %d bytes, %v", op.Put, len(body), err)
				}
				stored[op.Put] = body
			}
		}
	}
	if len(stored) == 0 || len(stored) > 6 {
		t.Fatalf("%d writes for forty jobs", len(stored))
	}
	b, _ := newOwner(t, []config.Team{{Name: "free"}}, lease)
	for i := range 40 {
		b.ApplyJob(job(i), RecordInfo{Version: 3}) // before the lease: taken over
	}
	for key, body := range stored {
		b.readPage(key, body.([]byte))
	}
	for i := range 40 {
		j := b.jobs[job(i).ID]
		b.applyCompleted(j)
		if want := a.jobs[j.Record.ID].doneCount; j.doneCount != want || want == 0 {
			t.Errorf("%s: %d tasks known to be completed, want %d", j.Record.ID, j.doneCount, want)
		}
	}
}

// TestPageOfUnknownFormIsNotOverwritten: a page in a form of a later version is not written
// over; what is completed goes to another page.
func TestPageOfUnknownFormIsNotOverwritten(t *testing.T) {
	o, now := newUpgradingOwner(t)
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

// TestPageWithoutValue: earlier versions put an empty page without its value. It is read as one
// without entries, and written again; it is neither an error nor left alone as one of a form
// that is not known.
func TestPageWithoutValue(t *testing.T) {
	for name, value := range map[string][]byte{"missing": nil, "null": {0xc0}} {
		o, _ := newUpgradingOwner(t)
		env, entries, err := o.readPage("fp/n0/0", value)
		if err != nil || len(entries) > 0 {
			t.Errorf("%s: %v, %v", name, entries, err)
		}
		o.adoptPage("fp/n0/0", 9, env, entries, err)
		if p := o.completions.pages[0]; p.state == pageUnreadable || p.version != 9 {
			t.Errorf("%s: left alone: %v, version %d", name, p.state == pageUnreadable, p.version)
		}
	}
}

// TestLostAnswerToAPage: a page is stored and the answer lost. It is read again at once: what is
// found there may be forgotten by workers, and is not written again. A page that is not there is
// written again.
func TestLostAnswerToAPage(t *testing.T) {
	for _, carriedOut := range []bool{true, false} {
		o, now := newUpgradingOwner(t)
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
