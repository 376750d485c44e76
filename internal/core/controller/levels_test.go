package controller

import (
	"slices"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/feature"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/wire"
)

// leaseAtLevel is a lease value of n0 at a level.
func leaseAtLevel(level, confirmed feature.Level) wire.LeaseRecord {
	return wire.LeaseRecord{Form: leasevalue.Form, Level: uint32(level), Confirmed: uint32(confirmed), Generation: 3, Term: 3, Leader: "n0", Incarnation: 7,
		Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Renewal: 1}}, Partitions: map[string]string{"free": "n0"}}
}

// txnsPutting returns the transactions among effects that put a key.
func txnsPutting(effects []eventloop.Effect, key string) (out []eventloop.StateTxn) {
	for _, e := range effects {
		if x, ok := e.(eventloop.StateTxn); ok && slices.ContainsFunc(x.Txn.Then, func(op wire.Op) bool { return op.Put == key }) {
			out = append(out, x)
		}
	}
	return out
}

// TestRaiseIsConditional: a write that raises the level changes nothing if a controller has
// been replaced, or the operator's request has changed, since the leader decided; it may
// arrive long afterwards.
func TestRaiseIsConditional(t *testing.T) {
	c, _ := newCore(t, []config.Team{{Name: "free"}}, leaseAtLevel(1, 1))
	c.view.Controllers["n0"] = cluster.Stored[wire.ControllerRecord]{Version: 11}
	c.view.Controllers["n1"] = cluster.Stored[wire.ControllerRecord]{Version: 12}
	c.view.OperatorRequest.Version = 13
	for _, raise := range []bool{false, true} {
		c.loop.Begin(c.loop.Now.Add(time.Second))
		rec := c.view.Lease.Clone()
		rec.Sequence++
		if raise {
			rec.Level++
		}
		c.writeLease(rec, func() {})
		out := txnsPutting(c.loop.Effects(), leaseKey)
		if len(out) != 1 {
			t.Fatalf("%d writes", len(out))
		}
		want := []wire.Condition{{Key: leaseKey, Version: 5}, {Key: generationKey}}
		if raise {
			want = append(want, wire.Condition{Key: OperatorRequestKey, Version: 13}, wire.Condition{Key: ControllerPrefix + "n0", Version: 11}, wire.Condition{Key: ControllerPrefix + "n1", Version: 12})
		}
		if !slices.Equal(out[0].Txn.If, want) {
			t.Errorf("raise %v: conditions %v", raise, out[0].Txn.If)
		}
	}
}

// TestEnvelopesWaitForAll: until all have confirmed the level, a controller that
// was downgraded at the moment of the raise may still have users, and could not
// read them. A record whose envelope does not fit is stored without.
func TestEnvelopesWaitForAll(t *testing.T) {
	for _, confirmed := range []feature.Level{1, 2} {
		c, now := newCore(t, []config.Team{{Name: "free"}}, leaseAtLevel(2, confirmed))
		job := wire.Job{ID: "wk-000001", Team: "free", Shape: wire.Array, Priority: "standard", Tasks: 1, CPUs: 1}
		out := txnsPutting(c.Step(now.Add(time.Second), eventloop.SubmitRequest{Req: 1, Job: job}), jobPrefix+job.ID)
		if len(out) != 1 {
			t.Fatalf("%d writes", len(out))
		}
		env, wrapped := out[0].Txn.Then[0].Value.(wire.Envelope)
		if wrapped != (confirmed == 2) {
			t.Errorf("confirmed up to %d: in an envelope %v", confirmed, wrapped)
		}
		if !wrapped {
			continue
		}
		if env.Form != wire.EnvelopeForm || env.Generation != 3 {
			t.Errorf("%+v", env)
		}
		out = txnsPutting(c.Step(now.Add(2*time.Second), eventloop.Completion{ID: out[0].ID, FromStateService: true, Outcome: eventloop.Rejected}), jobPrefix+job.ID)
		if len(out) != 1 {
			t.Fatal("not tried without its envelope")
		}
		if _, wrapped := out[0].Txn.Then[0].Value.(wire.Envelope); wrapped {
			t.Error("tried again with the envelope that did not fit")
		}
	}
}

// TestLevelPhases guards against a write that starts from records that have changed unseen,
// and against a reading that is tried again without a pause.
func TestLevelPhases(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	var l levelPublisher
	if l.beginRead(); l.phase != readingLevels {
		t.Fatalf("no reading is under way: %+v", l)
	}
	if l.failRead(now); l.phase != levelsUnread || !l.nextAt.Equal(now.Add(levelReadRetry)) {
		t.Errorf("after a reading that failed: %+v", l)
	}
	l.beginRead()
	if l.completeRead(); l.phase != levelsRead {
		t.Errorf("after a complete reading: %+v", l)
	}
	for outcome, want := range map[eventloop.Outcome]levelPhase{
		eventloop.Succeeded: levelsRead,
		eventloop.NoAnswer:  levelsRead,
		eventloop.Conflict:  levelsUnread,
	} {
		l.completeRead()
		if l.beginWrite(); l.phase != writingLevel {
			t.Fatalf("no write is under way: %+v", l)
		}
		if l.completeWrite(outcome); l.phase != want {
			t.Errorf("after a write with outcome %v: phase %v, want %v", outcome, l.phase, want)
		}
	}
}
