package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/feature"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// confirmHarness plays a core whose state service has no job, beside one other controller.
type confirmHarness struct {
	*lookupHarness
	asked   []*peerpb.Frame // claims for the other controller to confirm
	checks  int             // of the state service
	replies []eventloop.ReplyCode
}

func newConfirmHarness(t *testing.T) *confirmHarness {
	h := &confirmHarness{lookupHarness: newLookupHarness(t)}
	h.startedAt = h.now // another controller may know more
	h.memory.complete = true
	return h
}

// deliver hands events to the core, and answers its calls to the state service.
func (h *confirmHarness) deliver(events ...eventloop.Event) {
	for len(events) > 0 {
		ev := events[0]
		events = events[1:]
		events = append(events, h.carryOut(h.Step(h.now, ev))...)
	}
}

// carryOut notes what the core asks for, and returns the answers of the state service.
func (h *confirmHarness) carryOut(effects []eventloop.Effect) (answers []eventloop.Event) {
	for _, e := range effects {
		switch e := e.(type) {
		case eventloop.Reply:
			h.replies = append(h.replies, e.Code)
		case eventloop.PeerSend:
			if len(e.Frame.GetJobClaims().GetClaims()) > 0 {
				h.asked = append(h.asked, e.Frame)
			}
		case eventloop.StateTxn:
			if len(e.Txn.Then) == 0 {
				h.checks++
				answers = append(answers, eventloop.Completion{ID: e.ID, FromStateService: true, Outcome: eventloop.Succeeded, Txn: wire.TxnAnswer{Revision: 9}})
			}
		}
	}
	return answers
}

// run lets time pass. A peer that speaks sends a frame every second.
func (h *confirmHarness) run(d time.Duration, speaks bool) {
	for end := h.now.Add(d); h.now.Before(end); {
		if speaks {
			h.deliver(h.frame(true))
		}
		for range 10 {
			h.now = h.now.Add(100 * time.Millisecond)
			h.state.lastAnswer = h.now
			h.deliver(eventloop.Tick{})
		}
	}
}

func (h *confirmHarness) frame(confirms bool) eventloop.Event {
	return eventloop.PeerFrame{Frame: &peerpb.Frame{From: "n1", Incarnation: 5, Form: frameForm, StateOk: true, Generation: 1, ConfirmsJobs: confirms}}
}

// reply is n1's reply to the last claims: all are confirmed, but for those of which it knows more.
func (h *confirmHarness) reply(change func(f *peerpb.Frame), superseded ...string) eventloop.Event {
	last := h.asked[len(h.asked)-1]
	f := &peerpb.Frame{From: "n1", Incarnation: 5, Form: frameForm, Generation: 1, JobClaimsReply: &peerpb.JobClaimsReply{
		Incarnation: last.GetIncarnation(), Number: last.GetJobClaims().GetNumber(), SupersededIds: superseded, Counts: true}}
	if change != nil {
		change(f)
	}
	return eventloop.PeerFrame{Frame: f}
}

// TestAbsenceNeedsAMajority: a user got 404 for a job that had just been accepted elsewhere, as
// the state had lost it. No job is called unknown unless a majority says that it is.
func TestAbsenceNeedsAMajority(t *testing.T) {
	query := eventloop.QueryRequest{Req: 1, ID: "wk-000001"}
	lease := func(h *confirmHarness) time.Duration { return h.view.Params.LeaseDuration }
	for _, test := range []struct {
		name string
		play func(h *confirmHarness)
		want eventloop.ReplyCode
	}{
		{"the other one has not replied yet", func(h *confirmHarness) { h.deliver(h.frame(true), query) }, eventloop.NoReply},
		{"it does not know the job", func(h *confirmHarness) { h.deliver(h.frame(true), query); h.deliver(h.reply(nil)) }, eventloop.ReplyNotFound},
		{"it has forgotten what it confirmed", func(h *confirmHarness) {
			h.deliver(h.frame(true), query)
			h.deliver(h.reply(func(f *peerpb.Frame) { f.JobClaimsReply.Counts = false }))
		}, eventloop.NoReply},
		{"this one has forgotten", func(h *confirmHarness) {
			h.memory.complete = false
			h.deliver(h.frame(true), query)
			h.deliver(h.reply(nil))
		}, eventloop.NoReply},
		{"it never replies", func(h *confirmHarness) { h.deliver(h.frame(true), query); h.run(2*time.Second, true) }, eventloop.ReplyUnavailable},
		{"it has not replied for a lease", func(h *confirmHarness) {
			h.deliver(h.frame(true), eventloop.QueryRequest{Req: 2, ID: "wk-000002"})
			h.run(lease(h)+2*time.Second, true)
			h.replies = nil
			h.deliver(query)
			h.run(2*time.Second, true)
		}, eventloop.ReplyUnavailable},
		{"it is out of reach", func(h *confirmHarness) { h.deliver(query) }, eventloop.ReplyUnavailable},
		{"it gets out of reach", func(h *confirmHarness) {
			h.deliver(h.frame(true))
			h.now = h.now.Add(2 * time.Second)
			h.state.lastAnswer = h.now
			h.deliver(query)
			h.run(time.Second, false)
		}, eventloop.ReplyUnavailable},
		{"one of two has been out of reach for a lease", func(h *confirmHarness) {
			h.run(lease(h)+time.Second, false)
			h.deliver(query)
		}, eventloop.ReplyNotFound},
		{"it is of an earlier version", func(h *confirmHarness) { h.deliver(h.frame(false), query) }, eventloop.ReplyNotFound},
		{"it is of an earlier version, and the gate is open", func(h *confirmHarness) {
			h.view.Lease.Level, h.view.Lease.Confirmed = uint32(feature.Newest), uint32(feature.Newest)
			h.deliver(h.frame(false), query)
			h.run(2*time.Second, false)
		}, eventloop.ReplyUnavailable},
		{"it works with another generation", func(h *confirmHarness) {
			h.deliver(h.frame(true), query)
			h.deliver(h.reply(func(f *peerpb.Frame) { f.Generation = 2 }))
		}, eventloop.NoReply},
		{"it replies to an earlier process", func(h *confirmHarness) {
			h.deliver(h.frame(true), query)
			h.deliver(h.reply(func(f *peerpb.Frame) { f.JobClaimsReply.Incarnation-- }))
		}, eventloop.NoReply},
		{"a submission waits for the reply", func(h *confirmHarness) { h.deliver(h.frame(true), submissionOf(query.ID)) }, eventloop.NoReply},
		{"a submission is not stored without a majority", func(h *confirmHarness) { h.deliver(submissionOf(query.ID)) }, eventloop.ReplyUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newConfirmHarness(t)
			h.deliver(eventloop.Tick{})
			test.play(h)
			var got eventloop.ReplyCode
			if len(h.replies) > 0 {
				got = h.replies[0]
			}
			if got != test.want || len(h.replies) > 1 {
				t.Errorf("answered %q, want %q", h.replies, test.want)
			}
		})
	}
}

func submissionOf(id string) eventloop.Event {
	return eventloop.SubmitRequest{Req: 1, Job: wire.Job{ID: id, Class: "c", Team: "free", Shape: wire.Array, Priority: "urgent", Tasks: 1, CPUs: 1, MemoryGB: 1}}
}

// TestMoreKnownToAPeerIsALoss: another controller knows more of a job than the state service shows.
// That may be news that the check came too early for, so it is made again; then data is lost.
func TestMoreKnownToAPeerIsALoss(t *testing.T) {
	for name, request := range map[string]eventloop.Event{
		"question": eventloop.QueryRequest{Req: 1, ID: "wk-000001"}, "submission": submissionOf("wk-000001"),
		"question of a job that goes on": eventloop.QueryRequest{Req: 1, ID: "wk-000002"}, "cancellation": eventloop.CancelRequest{Req: 1, ID: "wk-000002"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newConfirmHarness(t)
			h.applyPut(jobPrefix+"wk-000002", encode(t, wire.JobRecord{Job: wire.Job{ID: "wk-000002", Team: "free", Tasks: 1}}), 4)
			h.deliver(eventloop.Tick{})
			h.deliver(h.frame(true), request)
			for range 3 {
				if h.recovery == nil {
					h.deliver(h.reply(nil, "wk-000001", "wk-000002"))
				}
				h.now = h.now.Add(h.freshnessInterval())
				h.deliver(eventloop.Tick{})
			}
			if h.recovery == nil || h.checks < 1 || h.replies[0] != eventloop.ReplyUnavailable {
				t.Errorf("recovery %v after %d checks, answered %v", h.recovery != nil, h.checks, h.replies)
			}
		})
	}
}

// TestWatchLacksAClaimedChange: a controller was told of a cancellation before its watch had shown
// it, and the state lost it. Nobody asked for the job, and its tasks went on.
func TestWatchLacksAClaimedChange(t *testing.T) {
	const id = "wk-000001"
	end := wire.Change{Put: endPrefix + id, Value: encode(t, wire.EndRecord{State: wire.Cancelled, Tasks: 1}), Version: 7}
	for name, test := range map[string]struct {
		shown wire.Changes
		lost  bool
	}{
		"shown":                       {wire.Changes{Revision: 7, Log: []wire.Change{end}}, false},
		"yet to be shown":             {wire.Changes{Revision: 6}, false},
		"passed":                      {wire.Changes{Revision: 8}, true},
		"another change in its place": {wire.Changes{Revision: 7, Log: []wire.Change{{Put: root + "x", Version: 7}}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newConfirmHarness(t)
			h.state.revision = 5
			h.applyPut(jobPrefix+id, encode(t, wire.JobRecord{Job: wire.Job{ID: id, Team: "free", Tasks: 1}}), 4)
			h.deliver(h.frame(true), eventloop.PeerFrame{Frame: &peerpb.Frame{From: "n1", Incarnation: 5, Form: frameForm, Generation: 1,
				JobClaims: &peerpb.JobClaims{Number: 1, Claims: []*peerpb.JobClaim{{Id: id, Standing: standingCancelled, Value: end.Value, Revision: 7}}}}})
			if !h.HasEnded(id) {
				t.Fatal("the claim is not taken over")
			}
			h.applyChanges(test.shown)
			if lost := h.recovery != nil; lost != test.lost {
				t.Errorf("loss noticed: %v", lost)
			}
		})
	}
}

// TestMemoryOfAProcessThatStarted: a process that has forgotten what it confirmed was counted for a
// majority. It counts when it has heard from as many as any majority has one among.
func TestMemoryOfAProcessThatStarted(t *testing.T) {
	const yes, forgotten, silent = 'y', 'f', '-'
	for _, test := range []struct {
		others string // what each other controller replies
		since  time.Duration
		want   bool
	}{
		{"", 0, true},
		{"y", 0, true}, {"f", 0, true}, {"-", time.Second, false}, {"-", 5 * time.Second, false}, {"-", maxMemoryWait, true},
		{"yy", 0, true}, {"y-", time.Second, false}, {"yf", 0, true}, {"ff", 0, true}, {"f-", 0, false}, {"f-", time.Second, true},
		{"yyy-", 0, true}, {"yy--", time.Second, false}, {"yyf-", 5 * time.Second, false}, {"yff-", time.Second, true}, {"yff-", 0, false},
	} {
		q, m := quorum{majority: (len(test.others)+1)/2 + 1}, jobMemory{replies: map[string]bool{}}
		for i, reply := range test.others {
			name := fmt.Sprint("n", i+1)
			q.members = append(q.members, name)
			if reply != silent {
				m.replies[name] = reply == yes
			}
		}
		if got := m.isComplete(q, test.since); got != test.want {
			t.Errorf("others %q (%c remembers, %c has forgotten, %c is silent), %v after the start: counts %v", test.others, yes, forgotten, silent, test.since, got)
		}
	}
}

// TestManyUnknownJobsAskTogether: ten thousand questions for jobs that nobody knows go to the
// other controllers in a few frames.
func TestManyUnknownJobsAskTogether(t *testing.T) {
	h := newConfirmHarness(t)
	h.deliver(eventloop.Tick{}, h.frame(true))
	answered := 0
	h.loop.Begin(h.now)
	for i := range 10000 {
		h.confirm(claim{fmt.Sprintf("wk-%06d", i), standingUnknown}, time.Second, func(v verdict) {
			if v == claimConfirmed {
				answered++
			}
		})
	}
	h.stepConfirmations()
	h.carryOut(h.loop.Effects())
	for i := 0; i < 20 && answered < 10000; i++ {
		h.deliver(h.reply(nil))
	}
	if want := 10000 / maxConfirmRound; answered != 10000 || len(h.asked) > want {
		t.Errorf("%d answered, with %d frames; want %d at most", answered, len(h.asked), want)
	}
}

// TestOneOfTwoEndsStays: a controller that had not noticed the loss of an end stored another one. The
// one that users may have been told stays, and its loss is noticed; else what is stored counts.
func TestOneOfTwoEndsStays(t *testing.T) {
	const id = "wk-000001"
	stored := encode(t, wire.EndRecord{State: wire.Done, Tasks: 1, Done: 1})
	for _, confirmed := range []bool{false, true} {
		h := newConfirmHarness(t)
		h.ended.add(id, wire.EndRecord{State: wire.Cancelled, Tasks: 1}, 4)
		if confirmed {
			h.ended.noteConfirmed(id) // as it is another's vote that a user was told by
		}
		h.loop.Begin(h.now)
		h.applyPut(endPrefix+id, stored, 6)
		i := slices.IndexFunc(h.loop.Effects(), func(e eventloop.Effect) bool { _, ok := e.(eventloop.StateGet); return ok })
		if i >= 0 {
			read := h.loop.Effects()[i].(eventloop.StateGet)
			h.Step(h.now, eventloop.Completion{ID: read.ID, FromStateService: true, Outcome: eventloop.Succeeded, Pair: wire.Pair{Key: read.Key, Value: stored, Version: 6}})
		}
		end, _ := h.ended.get(id)
		if lost := h.recovery != nil; lost != confirmed || (end.State == wire.Cancelled) != confirmed {
			t.Errorf("confirmed %v: loss noticed %v, the end is %q", confirmed, lost, end.State)
		}
	}
}

// TestDoneIsNotStoredOverAnotherEnd: the state had lost a cancellation that others know of, and the
// owner of the job stored that it is done. It asks them first, and waits for them a moment at most.
func TestDoneIsNotStoredOverAnotherEnd(t *testing.T) {
	const id = "wk-000001"
	for name, test := range map[string]struct {
		play func(h *confirmHarness) []eventloop.Effect
		want bool // the end is stored
	}{
		"the other one knows its end": {func(h *confirmHarness) []eventloop.Effect { return h.Step(h.now, h.reply(nil, id)) }, false},
		"the other one does not":      {func(h *confirmHarness) []eventloop.Effect { return h.Step(h.now, h.reply(nil)) }, true},
		"no reply yet":                {func(*confirmHarness) []eventloop.Effect { return nil }, false},
		"no reply in time": {func(h *confirmHarness) []eventloop.Effect {
			h.now = h.now.Add(endConfirmTimeout)
			return h.Step(h.now, eventloop.Tick{})
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newConfirmHarness(t)
			h.applyPut(jobPrefix+id, encode(t, wire.JobRecord{Job: wire.Job{ID: id, Team: "free", Tasks: 1}}), 4)
			h.deliver(eventloop.Tick{}, h.frame(true))
			h.loop.Begin(h.now)
			h.StoreEnd(h.owner.Job(id), wire.Done, 0, func(bool) {})
			h.stepConfirmations()
			effects := slices.Clone(h.loop.Effects())
			h.carryOut(effects)
			if len(h.asked) != 1 {
				t.Fatalf("the others are asked %d times", len(h.asked))
			}
			effects = append(effects, test.play(h)...)
			stored := slices.ContainsFunc(effects, func(e eventloop.Effect) bool {
				txn, ok := e.(eventloop.StateTxn)
				return ok && slices.ContainsFunc(txn.Txn.Then, func(op wire.Op) bool { return op.Put == endPrefix+id })
			})
			if stored != test.want {
				t.Errorf("stored %v, want %v", stored, test.want)
			}
		})
	}
}

// TestClaimsOfAnotherGenerationGetNoReply: what is known here may be of a state that is gone, and
// confirms nothing in another one.
func TestClaimsOfAnotherGenerationGetNoReply(t *testing.T) {
	for generation, want := range map[uint64]bool{1: true, 2: false} {
		h := newConfirmHarness(t)
		h.deliver(eventloop.Tick{}, h.frame(true))
		effects := h.Step(h.now, eventloop.PeerFrame{Frame: &peerpb.Frame{From: "n1", Incarnation: 5, Form: frameForm, Generation: generation,
			JobClaims: &peerpb.JobClaims{Number: 1, Claims: []*peerpb.JobClaim{{Id: "wk-000001"}}}}})
		replied := slices.ContainsFunc(effects, func(e eventloop.Effect) bool {
			send, ok := e.(eventloop.PeerSend)
			return ok && send.Frame.GetJobClaimsReply() != nil
		})
		if replied != want {
			t.Errorf("claim of generation %d, here it is 1: replied %v", generation, replied)
		}
	}
}
