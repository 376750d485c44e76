package controller

import (
	"slices"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// lookupHarness plays a core against a state service whose answers the test gives.
type lookupHarness struct {
	*Core
	now     time.Time
	replies map[uint64]eventloop.Reply // replies by request
}

func newLookupHarness(t *testing.T) *lookupHarness {
	c, now := newCore(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
		Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7}}, Partitions: map[string]string{"free": "n0"}})
	return &lookupHarness{c, now, map[uint64]eventloop.Reply{}}
}

// step hands over an event and returns the transactions and reads of jobs and their ends
// that follow from it.
func (a *lookupHarness) step(ev eventloop.Event) (txns []eventloop.StateTxn, gets []eventloop.StateGet) {
	for _, e := range a.Step(a.now, ev) {
		switch e := e.(type) {
		case eventloop.StateTxn:
			if slices.ContainsFunc(e.Txn.If, func(c wire.Condition) bool { return c.Key == jobPrefix+"wk-000001" || c.Key == jobPrefix+"wk-000002" }) {
				txns = append(txns, e)
			}
		case eventloop.StateGet:
			if e.Key == jobPrefix+"wk-000001" || e.Key == endPrefix+"wk-000001" {
				gets = append(gets, e)
			}
		case eventloop.Reply:
			a.replies[e.Req] = e
		}
	}
	return txns, gets
}

// TestLostFreshnessCheckDelaysNobody: the answer to a check is lost. Lookups that come in
// after it has gone out get a check of their own, and those that waited for it go out again
// as soon as it counts as lost.
func TestLostFreshnessCheckDelaysNobody(t *testing.T) {
	a := newLookupHarness(t)
	lost, _ := a.step(eventloop.QueryRequest{Req: 1, ID: "wk-000001"})
	if len(lost) != 1 {
		t.Fatalf("%d checks", len(lost))
	}
	a.now = a.now.Add(a.freshnessInterval())
	own, _ := a.step(eventloop.QueryRequest{Req: 2, ID: "wk-000002"})
	if len(own) != 1 {
		t.Fatalf("%d checks behind one without an answer", len(own))
	}
	a.step(eventloop.Completion{ID: own[0].ID, FromStateService: true, Outcome: eventloop.Succeeded})
	if a.replies[2].Code != eventloop.ReplyNotFound || a.replies[1].Code != eventloop.NoReply {
		t.Errorf("answered %v", a.replies)
	}
	a.now = a.now.Add(a.freshnessInterval())
	again, _ := a.step(eventloop.Completion{ID: lost[0].ID, FromStateService: true})
	if len(again) != 1 {
		t.Fatalf("%d checks after a lost answer", len(again))
	}
	a.step(eventloop.Completion{ID: again[0].ID, FromStateService: true, Outcome: eventloop.Succeeded})
	if a.replies[1].Code != eventloop.ReplyNotFound {
		t.Errorf("answered %v", a.replies)
	}
}

// TestConflictOfAnotherJobIsRetriedAlone: a check fails by one job of several. The lookups of
// the others go out again by themselves: among newer ones, they would fail by those.
func TestConflictOfAnotherJobIsRetriedAlone(t *testing.T) {
	a := newLookupHarness(t)
	a.freshness.nextCheckAt = a.now.Add(a.freshnessInterval()) // so that both go out together
	a.step(eventloop.QueryRequest{Req: 1, ID: "wk-000001"})
	a.step(eventloop.QueryRequest{Req: 2, ID: "wk-000002"})
	a.now = a.freshness.nextCheckAt
	both, _ := a.step(eventloop.Tick{})
	if len(both) != 1 {
		t.Fatalf("%d checks", len(both))
	}
	a.step(eventloop.QueryRequest{Req: 3, ID: "wk-000003"})
	// Of a job that has come since its record is read, and nothing else.
	a.now = a.freshness.nextCheckAt
	again, gets := a.step(eventloop.Completion{ID: both[0].ID, FromStateService: true, Outcome: eventloop.Conflict, Txn: wire.TxnAnswer{Failed: []string{jobPrefix + "wk-000001"}}})
	if len(gets) != 1 || gets[0].Key != jobPrefix+"wk-000001" || len(again) != 1 {
		t.Fatalf("reads %v, %d checks after a conflict", gets, len(again))
	}
	for _, c := range again[0].Txn.If {
		if c.Key == jobPrefix+"wk-000003" {
			t.Error("a newer lookup goes into the same check")
		}
	}
	a.step(eventloop.Completion{ID: again[0].ID, FromStateService: true, Outcome: eventloop.Succeeded})
	if a.replies[2].Code != eventloop.ReplyNotFound || a.replies[1].Code != eventloop.NoReply {
		t.Errorf("answered %v", a.replies)
	}
}

// TestLostAnswerToAUser: the transaction that stores a job, or cancels one, is executed and
// its answer lost. What is stored is read at once, and the user is answered by that.
func TestLostAnswerToAUser(t *testing.T) {
	rec := wire.JobRecord{Job: wire.Job{ID: "wk-000001", Team: "free", Shape: wire.Array, Priority: "standard", Tasks: 2, CPUs: 2}, Owner: "n0"}
	read := func(a *lookupHarness, g eventloop.StateGet, v any) (gets []eventloop.StateGet) {
		d := eventloop.Completion{ID: g.ID, FromStateService: true, Outcome: eventloop.NotFound}
		if v != nil {
			raw := encode(t, v)
			d.Outcome, d.Pair = eventloop.Succeeded, wire.Pair{Key: g.Key, Value: raw, Version: 9}
		}
		_, gets = a.step(d)
		return gets
	}
	a := newLookupHarness(t)
	txns, _ := a.step(eventloop.SubmitRequest{Req: 1, Job: rec.Job})
	_, gets := a.step(eventloop.Completion{ID: txns[0].ID, FromStateService: true})
	if len(gets) != 1 {
		t.Fatalf("%d reads after a submission without an answer", len(gets))
	}
	if gets = read(a, gets[0], nil); len(gets) != 1 { // not over
		t.Fatalf("%d reads of the record", len(gets))
	}
	read(a, gets[0], rec)
	if a.replies[1].Code != eventloop.ReplyOK && a.replies[1].Code != eventloop.ReplyCreated {
		t.Errorf("submission: %+v", a.replies[1])
	}
	a.now = a.now.Add(time.Second)
	txns, _ = a.step(eventloop.CancelRequest{Req: 2, ID: "wk-000001"})
	for len(txns) > 0 && len(txns[0].Txn.Then) == 0 { // that it is not over
		txns, _ = a.step(eventloop.Completion{ID: txns[0].ID, FromStateService: true, Outcome: eventloop.Succeeded, Txn: wire.TxnAnswer{Revision: 9}})
	}
	if len(txns) != 1 {
		t.Fatalf("%d cancellations", len(txns))
	}
	_, gets = a.step(eventloop.Completion{ID: txns[0].ID, FromStateService: true})
	if len(gets) != 1 {
		t.Fatalf("%d reads after a cancellation without an answer", len(gets))
	}
	read(a, gets[0], wire.EndRecord{State: wire.Cancelled, Tasks: 2})
	if b, ok := a.replies[2].Body.(wire.JobAnswer); !ok || a.replies[2].Code != eventloop.ReplyOK || b.State != wire.Cancelled {
		t.Errorf("cancellation: %+v", a.replies[2])
	}
	// Not there: nobody is told anything but to come back.
	b := newLookupHarness(t)
	txns, _ = b.step(eventloop.SubmitRequest{Req: 1, Job: rec.Job})
	_, gets = b.step(eventloop.Completion{ID: txns[0].ID, FromStateService: true})
	for len(gets) > 0 {
		gets = read(b, gets[0], nil)
	}
	if b.replies[1].Code != eventloop.ReplyUnavailable {
		t.Errorf("a submission that is not there: %+v", b.replies[1])
	}
}

// TestOneReadServesAllLookups: many users look up a job that was stored since. One reading
// answers them all; one for each would use up the request limit when it counts.
func TestOneReadServesAllLookups(t *testing.T) {
	a := newLookupHarness(t)
	a.freshness.nextCheckAt = a.now.Add(a.freshnessInterval())
	for req := range uint64(10) {
		a.step(eventloop.QueryRequest{Req: req + 1, ID: "wk-000001"})
	}
	a.now = a.freshness.nextCheckAt
	check, _ := a.step(eventloop.Tick{})
	_, gets := a.step(eventloop.Completion{ID: check[0].ID, FromStateService: true, Outcome: eventloop.Conflict, Txn: wire.TxnAnswer{Failed: []string{jobPrefix + "wk-000001"}}})
	if len(gets) != 1 {
		t.Fatalf("%d readings for 10 who ask", len(gets))
	}
	raw := encode(t, wire.JobRecord{Job: wire.Job{ID: "wk-000001", Team: "free", Shape: wire.Array, Tasks: 2}, Owner: "n1"})
	a.step(eventloop.Completion{ID: gets[0].ID, FromStateService: true, Outcome: eventloop.Succeeded, Pair: wire.Pair{Key: gets[0].Key, Value: raw, Version: 9}})
	for req := range uint64(10) {
		if a.replies[req+1].Code != eventloop.ReplyOK {
			t.Errorf("request %d is answered %q", req+1, a.replies[req+1].Code)
		}
	}
}
