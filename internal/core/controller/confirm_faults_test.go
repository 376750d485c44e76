package controller

import (
	"testing"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/feature"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

func frameOf(from string, inc uint64, fill func(f *peerpb.Frame)) eventloop.Event {
	f := &peerpb.Frame{From: from, Incarnation: inc, Form: frameForm, StateOk: true, Generation: 1, ConfirmsJobs: true}
	if fill != nil {
		fill(f)
	}
	return eventloop.PeerFrame{Frame: f}
}

// TestCompactedWatchForgetsNothing: this controller has confirmed that a job is accepted. The state
// loses it, the watch comes too late, and the state is read again: it lacks the job at a higher
// revision. That is a loss; and until it is noticed this one must not confirm that the job is unknown.
func TestCompactedWatchForgetsNothing(t *testing.T) {
	const id = "wk-000001"
	h := newConfirmHarness(t)
	h.state.revision = 5
	rec := encode(t, wire.JobRecord{Job: wire.Job{ID: id, Team: "free", Shape: wire.Array, Priority: "urgent", Tasks: 1, CPUs: 1}})
	lease := encode(t, wire.LeaseRecord{Term: 3, Leader: "n1", Partitions: map[string]string{"free": "n0"}, Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7}}})
	var replies []*peerpb.JobClaimsReply
	watch := uint64(0)
	var step func(ev eventloop.Event)
	step = func(ev eventloop.Event) {
		for _, e := range h.Step(h.now, ev) {
			d := eventloop.Completion{FromStateService: true, Outcome: eventloop.Succeeded}
			switch e := e.(type) {
			case eventloop.StateWatch:
				watch = e.ID
			case eventloop.PeerSend:
				if r := e.Frame.GetJobClaimsReply(); r != nil {
					replies = append(replies, r)
				}
			case eventloop.StateGet:
				if d.ID = e.ID; e.Key == leaseKey {
					d.Pair = wire.Pair{Key: e.Key, Value: lease, Version: 5}
				} else {
					d.Outcome = eventloop.NotFound
				}
				step(d)
			case eventloop.StateRange:
				d.ID, d.Page = e.ID, wire.Page{Revision: 20000}
				step(d)
			}
		}
	}
	step(eventloop.Tick{})
	step(frameOf("n1", 5, nil))
	step(frameOf("n1", 5, func(f *peerpb.Frame) {
		f.JobClaims = &peerpb.JobClaims{Number: 1, Claims: []*peerpb.JobClaim{{Id: id, Standing: standingAccepted, Value: rec, Revision: 7}}}
	}))
	if len(replies) != 1 || len(replies[0].MissingIds)+len(replies[0].SupersededIds) != 0 || !replies[0].Counts {
		t.Fatalf("not confirmed: %v", replies)
	}
	step(eventloop.Completion{ID: watch, FromStateService: true, Outcome: eventloop.Compacted})
	for range 10 {
		h.now = h.now.Add(150 * time.Millisecond)
		step(eventloop.Tick{})
	}
	if !h.state.loaded() && h.recovery == nil {
		t.Fatal("neither read nor recovering")
	}
	step(frameOf("n1", 5, nil))
	step(frameOf("n1", 5, func(f *peerpb.Frame) {
		f.JobClaims = &peerpb.JobClaims{Number: 2, Claims: []*peerpb.JobClaim{{Id: id, Standing: standingUnknown}}}
	}))
	if h.recovery == nil && len(replies) == 2 && len(replies[1].SupersededIds) == 0 {
		t.Errorf("has confirmed that the job is accepted, and now that it is unknown (counts %v); no loss is noticed; known %+v", replies[1].Counts, h.owner.Job(id))
	}
}

// TestVoteOfAnEarlierProcess: of five controllers, n1 confirms a claim, starts again and has
// heard from n2, n3, n4, none of which knew of it yet; n2's confirmation comes after that.
func TestVoteOfAnEarlierProcess(t *testing.T) {
	h := newConfirmHarness(t)
	for _, name := range []string{"n2", "n3", "n4"} {
		h.view.Peers[name] = &cluster.Peer{}
	}
	h.view.Lease.Level, h.view.Lease.Confirmed = uint32(feature.Newest), uint32(feature.Newest)
	h.deliver(eventloop.Tick{})
	for _, name := range []string{"n1", "n2", "n3", "n4"} {
		h.deliver(frameOf(name, 5, nil))
	}
	if q := h.quorum(); q.majority != 3 || len(q.members) != 4 {
		t.Fatalf("quorum %+v", q)
	}
	verdicts := []verdict{}
	h.loop.Begin(h.now)
	h.applyPut(jobPrefix+"wk-000001", encode(t, wire.JobRecord{Job: wire.Job{ID: "wk-000001", Team: "free", Tasks: 1}}), 4)
	h.confirm(claim{"wk-000001", standingAccepted}, time.Second, func(v verdict) { verdicts = append(verdicts, v) })
	h.stepConfirmations()
	h.carryOut(h.loop.Effects())
	confirmsFrom := func(name string) {
		h.deliver(h.reply(func(f *peerpb.Frame) { f.From = name }))
	}
	confirmsFrom("n1")
	h.deliver(frameOf("n1", 6, nil)) // a new process
	confirmsFrom("n2")
	if len(verdicts) > 0 {
		t.Errorf("verdict %v by the vote of a process that is gone", verdicts)
	}
}

// TestVoteAfterTheDeadline: this process stood still for longer than the claim may wait.
func TestVoteAfterTheDeadline(t *testing.T) {
	h := newConfirmHarness(t)
	h.deliver(eventloop.Tick{}, h.frame(true))
	verdicts := []verdict{}
	h.loop.Begin(h.now)
	h.confirm(claim{"wk-000001", standingUnknown}, time.Second, func(v verdict) { verdicts = append(verdicts, v) })
	h.stepConfirmations()
	h.carryOut(h.loop.Effects())
	h.now = h.now.Add(time.Minute)
	h.deliver(h.reply(nil))
	if len(verdicts) != 1 || verdicts[0] != claimUnconfirmed {
		t.Errorf("verdicts %v a minute after the deadline of a second", verdicts)
	}
}

// TestStaleOtherEndIsNoLoss: this one knows an end that a majority has, and it is stored. A
// late or repeated frame of another controller claims another end, which is nowhere any more.
func TestStaleOtherEndIsNoLoss(t *testing.T) {
	const id = "wk-000001"
	h := newConfirmHarness(t)
	h.deliver(eventloop.Tick{}, h.frame(true))
	h.state.revision = 9
	h.ended.add(id, wire.EndRecord{State: wire.Done, Tasks: 1, Done: 1}, 8)
	h.ended.noteTold(id)
	h.deliver(frameOf("n1", 5, func(f *peerpb.Frame) {
		f.JobClaims = &peerpb.JobClaims{Number: 1, Claims: []*peerpb.JobClaim{{Id: id, Standing: standingCancelled, Revision: 7,
			Value: encode(t, wire.EndRecord{State: wire.Cancelled, Tasks: 1})}}}
	}))
	if h.recovery != nil {
		t.Errorf("a recovery begins, and the state was not asked: it has the end")
	}
}

// TestClaimsAreAnsweredInARecovery: a claim of a round that is being made up begins a recovery. The others
// of the round are answered.
func TestClaimsAreAnsweredInARecovery(t *testing.T) {
	h := newConfirmHarness(t)
	h.deliver(eventloop.Tick{}, h.frame(true))
	first, second := false, false
	h.loop.Begin(h.now)
	h.applyPut(jobPrefix+"wk-000002", encode(t, wire.JobRecord{Job: wire.Job{ID: "wk-000002", Team: "free", Tasks: 1}}), 4)
	h.confirm(claim{"wk-000001", standingUnknown}, time.Second, func(verdict) { first = true })
	h.confirm(claim{"wk-000002", standingAccepted}, time.Second, func(verdict) {
		second = true
		h.startRecovery(stateLoss{reason: lossJob, job: "wk-000002", revisionSeen: 9})
	})
	h.applyPut(endPrefix+"wk-000002", encode(t, wire.EndRecord{State: wire.Done, Tasks: 1, Done: 1}), 6)
	h.stepConfirmations()
	if h.recovery == nil || !second {
		t.Fatal("no recovery")
	}
	for range 100 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.state.lastAnswer = h.now
		h.deliver(eventloop.Tick{})
	}
	if !first {
		t.Errorf("ten seconds later a claim has no answer; rounds %d, queued %d", len(h.confirmer.rounds), len(h.confirmer.queued))
	}
}

// TestClaimDuringARereading: the watch came too late, and the state service does not answer while
// the state is read again. Whoever waits for a majority is answered by the deadline.
func TestClaimDuringARereading(t *testing.T) {
	h := newConfirmHarness(t)
	watch := uint64(0)
	for _, e := range h.Step(h.now, eventloop.Tick{}) {
		if w, ok := e.(eventloop.StateWatch); ok {
			watch = w.ID
		}
	}
	h.deliver(h.frame(true), eventloop.QueryRequest{Req: 1, ID: "wk-000009"})
	if len(h.replies) > 0 || len(h.asked) == 0 {
		t.Fatalf("replies %v, asked %d", h.replies, len(h.asked))
	}
	h.deliver(eventloop.Completion{ID: watch, FromStateService: true, Outcome: eventloop.Compacted})
	h.run(10*time.Second, true)
	if len(h.replies) == 0 {
		t.Error("no answer in ten seconds")
	}
}

// TestEndsWithOtherCounts: two ends that differ only in how many tasks were done.
func TestEndsWithOtherCounts(t *testing.T) {
	const id = "wk-000001"
	h := newConfirmHarness(t)
	h.deliver(eventloop.Tick{}, h.frame(true))
	h.state.revision = 9
	h.ended.add(id, wire.EndRecord{State: wire.Cancelled, Tasks: 9, Done: 3}, 8)
	h.ended.noteTold(id) // users were told: cancelled, 3 done
	h.loop.Begin(h.now)
	v := h.answerClaim(&peerpb.JobClaim{Id: id, Standing: standingCancelled, Revision: 10, Value: encode(t, wire.EndRecord{State: wire.Cancelled, Tasks: 9, Done: 5})})
	if v == claimConfirmed {
		t.Errorf("confirms another end than the one that users were told")
	}
}

// TestHelloOfAnEarlierVersion: a controller goes back to a version that confirms nothing.
func TestHelloOfAnEarlierVersion(t *testing.T) {
	h := newConfirmHarness(t)
	h.deliver(eventloop.Tick{}, h.frame(true))
	h.deliver(eventloop.PeerFrame{Frame: &peerpb.Frame{From: "n1", Incarnation: 9, Form: frameForm, Generation: 1, Hello: true}})
	h.deliver(submissionOf("wk-000001"))
	if len(h.asked) > 0 {
		t.Errorf("%d claims are sent to a process that does not read them", len(h.asked))
	}
}
