package controller

import (
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/feature"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/wire"
)

// TestOlderLeaseValueIsALoss: only the last revision of the state is lost, that of a lease
// value. The next change has its number, so no answer shows a lower one; but the value
// that is read is older than the one that was known when it was asked for.
func TestOlderLeaseValueIsALoss(t *testing.T) {
	for name, c := range map[string]struct {
		outcome eventloop.Outcome
		version wire.Revision
		later   bool // the known one was read only after the request
		lost    bool
	}{
		"as known":                     {eventloop.Succeeded, 5, false, false},
		"newer":                        {eventloop.Succeeded, 6, false, false},
		"older":                        {eventloop.Succeeded, 4, false, true},
		"gone":                         {eventloop.NotFound, 0, false, true},
		"no answer":                    {eventloop.NoAnswer, 0, false, false},
		"refused":                      {eventloop.Unavailable, 0, false, false},
		"newer came while it was read": {eventloop.Succeeded, 5, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			core, now := newCore(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1"})
			core.loop.Begin(now)
			core.readLease(func(eventloop.Outcome) {})
			var get eventloop.StateGet
			for _, e := range core.loop.Effects() {
				if g, ok := e.(eventloop.StateGet); ok {
					get = g
				}
			}
			if c.later {
				core.applyLease(wire.LeaseRecord{Term: 3, Leader: "n1", Sequence: 1}, 6)
			}
			raw := encode(t, wire.LeaseRecord{Term: 3, Leader: "n1"})
			core.Step(now.Add(time.Second), eventloop.Completion{ID: get.ID, FromStateService: true, Outcome: c.outcome, Pair: wire.Pair{Key: leaseKey, Value: raw, Version: c.version}})
			if lost := core.recovery != nil; lost != c.lost {
				t.Errorf("%s: takes the state for one that has lost data: %v", name, lost)
			}
		})
	}
}

// TestUnreadableLeaseValue: a controller that finds a lease value in a form from the
// future, truncated or of the wrong kind is granted nothing by it and does not
// write over it. Only the first makes it refuse for good.
func TestUnreadableLeaseValue(t *testing.T) {
	future := encode(t, map[string]any{"form": leasevalue.Form + 1})
	tooHigh := encode(t, map[string]any{"form": leasevalue.Form, "level": feature.Newest + 1})
	for name, v := range map[string]struct {
		value   []byte
		refused bool
	}{
		"form from the future":  {future, true},
		"level from the future": {tooHigh, true},
		"truncated":             {future[:3], false},
		"wrong kind":            {[]byte{0x93, 1, 2, 3}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c, now := newCore(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{})
			c.view.LeaseVersion = 0 // as after a start
			c.applyPut(leaseKey, v.value, 9)
			if (c.Incompatible() != nil) != v.refused || c.Healthy() {
				t.Errorf("%s: refused %v, healthy %v", name, c.Incompatible(), c.Healthy())
			}
			for s := range 30 {
				if out := txnsPutting(c.Step(now.Add(time.Duration(s)*time.Second), eventloop.Tick{}), leaseKey); len(out) > 0 {
					t.Fatalf("%s: takes the lead over a value it cannot read", name)
				}
			}
			reply := c.Step(now.Add(31*time.Second), eventloop.QueryRequest{Req: 1, ID: "wk-000001"})
			if r, ok := reply[0].(eventloop.Reply); v.refused && (!ok || r.Code != eventloop.ReplyUnavailable || r.RetryAfter == 0) {
				t.Errorf("%s: a poll gets %+v", name, reply)
			}
		})
	}
}
