package controller

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/feature"
	"fawncove/internal/core/servicereport"
	"fawncove/internal/wire"
)

// TestUnknownMachineTypesRefuseNothing: while the machine types have not been read, no job
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
		raw := encode(t, rec)
		a.step(eventloop.Completion{ID: gets[0].ID, FromStateService: true, Outcome: eventloop.Succeeded, Pair: wire.Pair{Key: gets[0].Key, Value: raw, Version: 9}})
		if a.replies[1].Code != eventloop.ReplyOK {
			t.Errorf("known: %+v", a.replies[1])
		}
	}
}

// TestRefusedOnlyWhenCertain: a job that can never run gets 422, a malformed one 400 and an
// unknown id 404, but each only once it is certain that the job was never accepted.
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
		"malformed":               {eventloop.SubmitRequest{Req: 1, Job: wire.Job{ID: fits.ID}, Err: io.ErrUnexpectedEOF}, eventloop.ReplyInvalid},
		"unknown team":            {with(func(j *wire.Job) { j.Team = "nobody" }), eventloop.ReplyUnprocessable},
		"fits no machine":         {with(func(j *wire.Job) { j.CPUs = 5 }), eventloop.ReplyUnprocessable},
		"wrong zone":              {with(func(j *wire.Job) { j.Zone = "z" }), eventloop.ReplyUnprocessable},
		"service over a limit":    {with(func(j *wire.Job) { j.Team, j.Shape = "red", wire.Daemon }), eventloop.ReplyUnprocessable},
		"query of an unknown job": {eventloop.QueryRequest{Req: 1, ID: fits.ID}, eventloop.ReplyNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			for what, want := range map[string]eventloop.ReplyCode{"says so": c.want, "does not answer": eventloop.ReplyUnavailable, "says so just after a standstill": eventloop.ReplyUnavailable} {
				outcome := eventloop.Succeeded
				if what == "does not answer" {
					outcome = eventloop.NoAnswer
				}
				core, now := newCore(t, teams, wire.LeaseRecord{Term: 3, Leader: "n1", Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7}}})
				if what == "says so just after a standstill" {
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
		})
	}
}

// TestRefusalsNameTheReason holds the refusals to what users are answered: a code and a
// text, which clients may show or compare.
func TestRefusalsNameTheReason(t *testing.T) {
	teams := []config.Team{{Name: "free"}, {Name: "red", CPUsMax: 8}}
	fits := wire.Job{ID: "wk-000001", Team: "red", Shape: wire.Daemon, Priority: "standard", Tasks: 4, CPUs: 2}
	for name, c := range map[string]struct {
		change func(e *eventloop.SubmitRequest)
		want   *SubmissionError // nil: the job can run
		text   string
	}{
		"fits":            {func(*eventloop.SubmitRequest) {}, nil, ""},
		"malformed":       {func(e *eventloop.SubmitRequest) { e.Err = io.ErrUnexpectedEOF }, &SubmissionError{Code: eventloop.ReplyInvalid}, "unexpected EOF"},
		"unknown team":    {func(e *eventloop.SubmitRequest) { e.Job.Team = "blue" }, &SubmissionError{Code: eventloop.ReplyUnprocessable, Field: "team"}, "unknown team"},
		"fits no machine": {func(e *eventloop.SubmitRequest) { e.Job.MemoryGB = 17 }, &SubmissionError{Code: eventloop.ReplyUnprocessable}, "a task fits no allowed machine type"},
		"over the limit":  {func(e *eventloop.SubmitRequest) { e.Job.Tasks = 5 }, &SubmissionError{Code: eventloop.ReplyUnprocessable}, "more than the team's limit"},
	} {
		t.Run(name, func(t *testing.T) {
			core, _ := newCore(t, teams, wire.LeaseRecord{Term: 3, Leader: "n1"})
			e := eventloop.SubmitRequest{Req: 1, Job: fits}
			c.change(&e)
			err := core.checkSubmission(&e)
			if c.want == nil {
				if err != nil {
					t.Fatalf("refused: %v", err)
				}
				return
			}
			var got *SubmissionError
			if !errors.As(err, &got) || got.Code != c.want.Code || got.Field != c.want.Field || got.Reason != c.text || err.Error() != c.text {
				t.Errorf("refused with %#v, want %s, field %q, %q", err, c.want.Code, c.want.Field, c.text)
			}
		})
	}
}

// TestOpenRefusalsAreNotFinal: where it cannot be decided yet whether a job can run, or
// the job is known already, no error may end its user's attempts.
func TestOpenRefusalsAreNotFinal(t *testing.T) {
	core, _ := newCore(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1"})
	e := eventloop.SubmitRequest{Req: 1, Job: wire.Job{ID: "wk-000001", Team: "free", Shape: wire.Array, Priority: "standard", Tasks: 1, CPUs: 1}}
	core.ended.add(e.Job.ID, wire.EndRecord{State: wire.Done}, 0)
	if err := core.checkSubmission(&e); !errors.Is(err, errAlreadyKnown) {
		t.Errorf("a job that has ended: %v", err)
	}
	clear(core.view.MachineTypes)
	if err := core.checkSubmission(&e); !errors.Is(err, errMachineTypesUnknown) {
		t.Errorf("without machine types: %v", err)
	}
}

// TestSubmissionStoredAgainCountsOnce: a record that does not fit with its envelope is stored
// again without it. The service report counted the submission as came=2, as each try to store
// it was counted.
func TestSubmissionStoredAgainCountsOnce(t *testing.T) {
	a := newLookupHarness(t)
	a.view.Lease.Level, a.view.Lease.Confirmed = uint32(a.view.Params.Levels.Newest), uint32(a.view.Params.Levels.Newest)
	if !a.view.FeatureOpen(feature.Envelope) {
		t.Fatal("the envelope gate is not open")
	}
	var lines bytes.Buffer
	job := wire.Job{ID: "wk-000001", Class: "c", Team: "free", Shape: wire.Array, Priority: "standard", Tasks: 2, CPUs: 2}
	txns, _ := a.step(eventloop.SubmitRequest{Req: 1, Job: job})
	txns, _ = a.step(eventloop.Completion{ID: txns[0].ID, FromStateService: true, Outcome: eventloop.Rejected})
	a.step(eventloop.Completion{ID: txns[0].ID, FromStateService: true, Outcome: eventloop.Succeeded, Txn: wire.TxnAnswer{Revision: 9}})
	if a.replies[1].Code != eventloop.ReplyCreated {
		t.Fatalf("answered %+v, want created without the envelope", a.replies[1])
	}
	log, none := slog.New(slog.NewTextHandler(&lines, nil)), func() map[servicereport.Group]servicereport.Waiting { return nil }
	a.owner.Served.Log(a.now, log, none)
	a.owner.Served.Log(a.now.Add(2*servicereport.LogInterval), log, none)
	if text := lines.String(); !strings.Contains(text, "came=1") || strings.Contains(text, "came=2") {
		t.Errorf("service report:\n%swant came=1", text)
	}
}
