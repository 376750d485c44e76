package controller

import (
	"io"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// TestUnknownMachineTypesRefuseNothing: while the cloud has not told its machine types, no job
// fits any, and none may be refused or accepted for that.
func TestUnknownMachineTypesRefuseNothing(t *testing.T) {
	c, now := newCore(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1", Partitions: map[string]string{"free": "n1"}})
	clear(c.view.MachineTypes)
	code, retry := eventloop.NoReply, 0
	var handle func(ev eventloop.Event)
	handle = func(ev eventloop.Event) {
		for _, e := range c.Step(now, ev) {
			switch e := e.(type) {
			case eventloop.Reply:
				code, retry = e.Code, e.RetryAfter
			case eventloop.StateTxn:
				if len(e.Txn.Then) > 0 {
					t.Error("the job is stored")
				}
				handle(eventloop.Completion{ID: e.ID, FromStateService: true, Outcome: eventloop.Succeeded})
			}
		}
	}
	handle(eventloop.SubmitRequest{Req: 1, Job: wire.Job{ID: "wk-000001", Team: "free", Shape: wire.Array, Priority: "standard", Tasks: 1, CPUs: 1}})
	if code != eventloop.ReplyUnavailable || retry == 0 {
		t.Errorf("answered %s, to come back after %d s", code, retry)
	}
}

// TestTooLargeButKnown: a submission is repeated with a body that is too large for the
// state service, at a controller that does not know the job yet. The size is no reason
// to refuse a job that was accepted.
func TestTooLargeButKnown(t *testing.T) {
	rec := wire.JobRecord{Job: wire.Job{ID: "wk-000001", Team: "free", Shape: wire.Array, Priority: "standard", Tasks: 2, CPUs: 2}, Owner: "n1"}
	for _, known := range []bool{true, false} {
		a := newLookupHarness(t)
		txns, _ := a.step(eventloop.SubmitRequest{Req: 1, Job: rec.Job})
		txns, _ = a.step(eventloop.Completion{ID: txns[0].ID, FromStateService: true, Outcome: eventloop.Rejected})
		if len(txns) != 1 || a.replies[1].Code != eventloop.NoReply {
			t.Fatalf("%d checks, answered %q", len(txns), a.replies[1].Code)
		}
		if !known {
			a.step(eventloop.Completion{ID: txns[0].ID, FromStateService: true, Outcome: eventloop.Succeeded})
			if a.replies[1].Code != eventloop.ReplyInvalid {
				t.Errorf("unknown: %+v", a.replies[1])
			}
			continue
		}
		_, gets := a.step(eventloop.Completion{ID: txns[0].ID, FromStateService: true, Outcome: eventloop.Conflict, Txn: wire.TxnAnswer{Failed: []string{jobPrefix + "wk-000001"}}})
		raw, err := wire.Encode(rec)
		if err != nil {
			t.Fatal(err)
		}
		a.step(eventloop.Completion{ID: gets[0].ID, FromStateService: true, Outcome: eventloop.Succeeded, Pair: wire.Pair{Key: gets[0].Key, Value: raw, Version: 9}})
		if a.replies[1].Code != eventloop.ReplyOK {
			t.Errorf("known: %+v", a.replies[1])
		}
	}
}

// TestRefusedOnlyWhenCertain: what can never run is 422, what is malformed 400 and an
// unknown id 404, but each only once it is sure that the job was never accepted.
func TestRefusedOnlyWhenCertain(t *testing.T) {
	teams := []config.Team{{Name: "free"}, {Name: "red", CPUsMax: 8}}
	fits := wire.Job{ID: "wk-000001", Team: "free", Shape: wire.Array, Priority: "standard", Tasks: 9, CPUs: 2}
	with := func(change func(j *wire.Job)) eventloop.SubmitRequest {
		j := fits
		change(&j)
		return eventloop.SubmitRequest{Req: 1, Job: j}
	}
	for name, c := range map[string]struct {
		ev   eventloop.Event
		want eventloop.ReplyCode
	}{
		"malformed":             {eventloop.SubmitRequest{Req: 1, Job: wire.Job{ID: fits.ID}, Err: io.ErrUnexpectedEOF}, eventloop.ReplyInvalid},
		"unknown team":          {with(func(j *wire.Job) { j.Team = "nobody" }), eventloop.ReplyUnprocessable},
		"fits no machine":       {with(func(j *wire.Job) { j.CPUs = 5 }), eventloop.ReplyUnprocessable},
		"wrong zone":            {with(func(j *wire.Job) { j.Zone = "z" }), eventloop.ReplyUnprocessable},
		"service over a limit":  {with(func(j *wire.Job) { j.Team, j.Shape = "red", wire.Daemon }), eventloop.ReplyUnprocessable},
		"poll for nobody's job": {eventloop.QueryRequest{Req: 1, ID: fits.ID}, eventloop.ReplyNotFound},
	} {
		for what, want := range map[string]eventloop.ReplyCode{"says so": c.want, "does not answer": eventloop.ReplyUnavailable, "says so to one that just woke": eventloop.ReplyUnavailable} {
			outcome := eventloop.Succeeded
			if what == "does not answer" {
				outcome = eventloop.NoAnswer
			}
			core, now := newCore(t, teams, wire.LeaseRecord{Term: 3, Leader: "n1", Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7}}})
			if what == "says so to one that just woke" {
				core.resumedAt = now // the state may have lost the job meanwhile
			}
			got := eventloop.NoReply
			// Without an answer it is asked again until its user waits no longer.
			for events, end := []eventloop.Event{c.ev}, now.Add(4*time.Second); got == eventloop.NoReply && now.Before(end); now = now.Add(150 * time.Millisecond) {
				for events = append(events, eventloop.Tick{}); len(events) > 0; events = events[1:] {
					for _, e := range core.Step(now, events[0]) {
						switch e := e.(type) {
						case eventloop.StateTxn:
							if len(e.Txn.Then) == 0 {
								events = append(events, eventloop.Completion{ID: e.ID, FromStateService: true, Outcome: outcome})
							}
						case eventloop.Reply:
							got = e.Code
						}
					}
				}
			}
			if got != want {
				t.Errorf("%s, the state service %s: answered %s, want %s", name, what, got, want)
			}
		}
	}
}
