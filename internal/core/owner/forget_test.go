package owner

import (
	"slices"
	"strings"
	"testing"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// TestForgetWaitsUntilStored: a task is completed while its job goes on. Its worker is
// told to forget it only once a page that says so is stored: with the owner gone in
// between nobody would know, and the task would be fetched and started again.
func TestForgetWaitsUntilStored(t *testing.T) {
	o, m, now := oneMachine(t, false)
	putArray(o, "wk-000001", "standard", 2, 1, now)
	done := wire.TaskStatus{Task: "wk-000001/0", Attempt: 5, State: wire.TaskEnded, Reason: wire.ReasonDone}
	stored, writes := false, 0
	for s := 1; s < 20; s++ {
		at := now.Add(time.Duration(s) * time.Second)
		o.ChangesKnown(o.view.LeaseVersion, at)
		report(o, at, eventloop.HeartbeatRequest{Req: uint64(s), Heartbeat: reportOf(m, 1, uint64(s), o.fencingToken(m), done)})
		forgotten := false
		for _, e := range o.loop.Effects() {
			if r, ok := e.(eventloop.Reply); ok {
				forgotten = slices.ContainsFunc(r.Body.(wire.HeartbeatAnswer).Commands, func(c wire.Command) bool { return c.Op == wire.CommandForget })
			}
		}
		if forgotten != stored {
			t.Fatalf("after %d s, %d writes: %s is told to forget %s: %v, its completion is stored: %v", s, writes, m.name, done.Task, forgotten, stored)
		}
		for _, e := range tick(o, at.Add(300*time.Millisecond)) {
			x, ok := e.(eventloop.StateTxn)
			if !ok || len(x.Txn.Then) == 0 || !strings.HasPrefix(x.Txn.Then[0].Put, PagePrefix) {
				continue
			}
			c := eventloop.Completion{ID: x.ID, FromStateService: true} // the first write gets no answer
			if writes++; writes > 1 {
				c.Outcome, c.Txn.Revision, stored = eventloop.Succeeded, 9, true
			}
			complete(o, at.Add(600*time.Millisecond), c)
			for _, e := range o.loop.Effects() { // it is read, and not there
				if x, ok := e.(eventloop.StateGet); ok && strings.HasPrefix(x.Key, PagePrefix) {
					complete(o, at.Add(700*time.Millisecond), eventloop.Completion{ID: x.ID, FromStateService: true, Outcome: eventloop.NotFound})
				}
			}
		}
		mayStart(o)
	}
	if !stored {
		t.Error("never stored")
	}
}
