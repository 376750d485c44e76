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

// newUpgradingOwner returns an owner of five jobs that were stored before there were envelopes,
// in a cluster where the feature gate is open.
func newUpgradingOwner(t *testing.T) (*Owner, time.Time) {
	rec := wire.LeaseRecord{Form: leasevalue.Form, Level: 2, Confirmed: 2, Generation: 3, Term: 1, Leader: "n1", Partitions: map[string]string{"red": "n0"},
		Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7}}}
	o, now := newOwner(t, []config.Team{{Name: "red"}}, rec)
	o.blockLease.RecordRenewal(now)
	o.blockLease.Renewed(wire.Block{Grant: 1 << 18, Renewal: 1})
	for i := range 5 {
		rec := wire.JobRecord{Job: wire.Job{ID: fmt.Sprintf("wk-%06d", i), Team: "red", Shape: wire.Array, Priority: "standard", Tasks: 1, CPUs: 1},
			Unknown: wire.Fields{"later": []byte{0x01}}}
		o.ApplyJob(rec, RecordInfo{Version: wire.Revision(100 + i)})
	}
	return o, now
}

// nextUpgrade lets time pass until a transaction of upgrades is sent.
func nextUpgrade(o *Owner, now time.Time) (eventloop.StateTxn, time.Time) {
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

// TestRewritesAreConditional: each record is rewritten under the version that it has, and keeps
// its age and the fields that this version does not know. Otherwise a late write by a former
// owner brings back a job that has ended, or has a later owner take a job that runs for one that
// cannot have been started.
func TestRewritesAreConditional(t *testing.T) {
	o, now := newUpgradingOwner(t)
	x, _ := nextUpgrade(o, now)
	if len(x.Txn.Then) != 5 || len(x.Txn.If) != 5 {
		t.Fatalf("%d rewrites under %d conditions", len(x.Txn.Then), len(x.Txn.If))
	}
	for i, op := range x.Txn.Then {
		env := op.Value.(wire.Envelope)
		if want := (wire.Condition{Key: op.Put, Version: wire.Revision(100 + i)}); x.Txn.If[i] != want || env.FirstVersion != want.Version || env.Generation != 3 {
			t.Errorf("%s: under %+v, born %d, generation %d", op.Put, x.Txn.If[i], env.FirstVersion, env.Generation)
		}
		if kept, err := wire.UnknownFields(env.Value, wire.JobRecord{}); err != nil || len(kept) != 1 {
			t.Errorf("%s: kept %v, %v", op.Put, kept, err)
		}
	}
	o.loop.Complete(eventloop.Completion{ID: x.ID, Outcome: eventloop.Succeeded, Txn: wire.TxnAnswer{Revision: 200}})
	if again, _ := nextUpgrade(o, now.Add(20*time.Second)); len(again.Txn.Then) > 0 || o.OutdatedRecords() > 0 {
		t.Errorf("rewritten again: %v", again.Txn.Then)
	}
	// A later process finds the record rewritten after it took the partition over:
	// the job is as old as it was.
	b, _ := newOwner(t, []config.Team{{Name: "red"}}, wire.LeaseRecord{Term: 1, Leader: "n1", Partitions: map[string]string{"red": "n0"},
		Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7}}})
	b.partitions.owned["red"] = 150
	b.ApplyJob(wire.JobRecord{Job: wire.Job{ID: "wk-000001", Team: "red", Shape: wire.Array, Tasks: 1, CPUs: 1}}, RecordInfo{Version: 200, FirstVersion: 101, Form: 1})
	if j := b.Job("wk-000001"); j.ready() {
		t.Error("a job that may run is taken for a new one")
	}
}

// TestRecordWithoutRoomForEnvelope: a record at the size limit has no room for its envelope. The
// others are rewritten, it stays as it is, and is not tried again.
func TestRecordWithoutRoomForEnvelope(t *testing.T) {
	o, now := newUpgradingOwner(t)
	const big = "fc/j/wk-000003"
	revision, done := wire.Revision(200), map[string]bool{}
	for range 20 {
		x, at := nextUpgrade(o, now)
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
