package controller

import (
	"testing"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// TestLateReadRevivesNoEndedJob: a repeated submission has a job's record read, which takes
// long; meanwhile the watch shows the job's end. What was read before must neither be
// answered nor bring the job back.
func TestLateReadRevivesNoEndedJob(t *testing.T) {
	const id = "wk-000001"
	c, now := newCore(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1", Partitions: map[string]string{"free": "n0"},
		Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7}}})
	var watch, read uint64
	var reply eventloop.Reply
	var handle func(ev eventloop.Event)
	handle = func(ev eventloop.Event) {
		for _, e := range c.Step(now, ev) {
			switch e := e.(type) {
			case eventloop.Reply:
				reply = e
			case eventloop.StateWatch:
				watch = e.ID
			case eventloop.StateTxn:
				if e.Txn.Then[0].Put == jobPrefix+id {
					handle(eventloop.Completion{ID: e.ID, FromStateService: true, Outcome: eventloop.Conflict, Txn: wire.TxnAnswer{Failed: []string{jobPrefix + id}, Revision: 8}})
				}
			case eventloop.StateGet:
				if e.Key == jobPrefix+id {
					read = e.ID
				} else if e.Key == endPrefix+id {
					handle(eventloop.Completion{ID: e.ID, FromStateService: true, Outcome: eventloop.NotFound})
				}
			}
		}
	}
	job := wire.Job{ID: id, Team: "free", Shape: wire.Array, Priority: "standard", Tasks: 2, CPUs: 1}
	handle(eventloop.Tick{})
	handle(eventloop.SubmitRequest{Req: 1, Job: job})
	if watch == 0 || read == 0 {
		t.Fatalf("no watch is open, or no record read: %d, %d", watch, read)
	}
	handle(eventloop.Completion{ID: watch, FromStateService: true, Outcome: eventloop.Succeeded, Changes: wire.Changes{Revision: 9,
		Log: []wire.Change{{Delete: jobPrefix + id, Version: 9}, {Put: endPrefix + id, Value: encode(t, wire.EndRecord{State: wire.Cancelled, Tasks: 2}), Version: 9}}}})
	handle(eventloop.Completion{ID: read, FromStateService: true, Outcome: eventloop.Succeeded, Pair: wire.Pair{Key: jobPrefix + id, Value: encode(t, wire.JobRecord{Job: job}), Version: 8}})
	if a, _ := reply.Body.(wire.JobAnswer); reply.Code != eventloop.ReplyOK || a.State != wire.Cancelled {
		t.Errorf("answered %s %+v after its end was known", reply.Code, reply.Body)
	}
	if c.owner.Job(id) != nil {
		t.Error("the job is back after its end")
	}
}

// TestLateSubmissionIsNoLoss: a submission is executed late. Its record is read before, and
// the watch shows it before the answer to that comes, which has no record. The state has
// lost nothing.
func TestLateSubmissionIsNoLoss(t *testing.T) {
	const id = "wk-000001"
	c, now := newCore(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1", Partitions: map[string]string{"free": "n0"},
		Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7}}})
	job := wire.Job{ID: id, Team: "free", Shape: wire.Array, Priority: "standard", Tasks: 2, CPUs: 1}
	record := encode(t, wire.JobRecord{Job: job})
	var watch, read uint64
	var handle func(ev eventloop.Event)
	handle = func(ev eventloop.Event) {
		for _, e := range c.Step(now, ev) {
			switch e := e.(type) {
			case eventloop.StateWatch:
				watch = e.ID
			case eventloop.StateTxn:
				if e.Txn.Then[0].Put == jobPrefix+id {
					handle(eventloop.Completion{ID: e.ID, FromStateService: true}) // no answer
				}
			case eventloop.StateGet:
				if e.Key == jobPrefix+id {
					read = e.ID
				} else if e.Key == endPrefix+id {
					handle(eventloop.Completion{ID: e.ID, FromStateService: true, Outcome: eventloop.NotFound, Page: wire.Page{Revision: 8}})
				}
			}
		}
	}
	handle(eventloop.Tick{})
	handle(eventloop.SubmitRequest{Req: 1, Job: job})
	if watch == 0 || read == 0 {
		t.Fatalf("no watch is open, or no record read: %d, %d", watch, read)
	}
	handle(eventloop.Completion{ID: watch, FromStateService: true, Outcome: eventloop.Succeeded, Changes: wire.Changes{Revision: 9,
		Log: []wire.Change{{Put: jobPrefix + id, Value: record, Version: 9}}}})
	handle(eventloop.Completion{ID: read, FromStateService: true, Outcome: eventloop.NotFound, Page: wire.Page{Revision: 8}})
	if c.recovery != nil {
		t.Error("takes the state for one that has lost data")
	}
	if c.owner.Job(id) == nil {
		t.Error("the job is not known")
	}
}
