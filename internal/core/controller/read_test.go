package controller

import (
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// TestFreshnessCountsFromTheFirstPage: reading all jobs takes long where the state
// service is slow. A cancellation made after the first page was read need not be
// known, so workers may be answered only for as long as that allows.
func TestFreshnessCountsFromTheFirstPage(t *testing.T) {
	c, start := newCore(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{})
	c = New(c.view.Settings, c.view.Params, c.log, 8)
	now := start
	at := func(d time.Duration) { now = start.Add(d) }
	ranges := func(effects []eventloop.Effect) (id uint64) {
		for _, e := range effects {
			if r, ok := e.(eventloop.StateRange); ok && r.Prefix == jobPrefix {
				id = r.ID
			}
		}
		return id
	}
	// gets answers all reads but those of jobs, and returns what is asked for last.
	var gets func(effects []eventloop.Effect) (last []eventloop.Effect)
	gets = func(effects []eventloop.Effect) []eventloop.Effect {
		last := effects
		for _, e := range effects {
			if g, ok := e.(eventloop.StateGet); ok {
				last = gets(c.Step(now, eventloop.Completion{ID: g.ID, FromStateService: true, Outcome: eventloop.NotFound}))
			}
			if r, ok := e.(eventloop.StateRange); ok && r.Prefix == cancellationPrefix {
				last = gets(c.Step(now, eventloop.Completion{ID: r.ID, FromStateService: true, Outcome: eventloop.Succeeded, Page: wire.Page{Revision: 2}}))
			}
		}
		return last
	}
	c.Step(now, eventloop.Tick{})
	at(time.Second)
	first := ranges(gets(c.Step(now, eventloop.Tick{})))
	if first == 0 {
		t.Fatal("no page was asked for")
	}
	asked := now
	at(9 * time.Second)
	second := ranges(c.Step(now, eventloop.Completion{ID: first, FromStateService: true, Outcome: eventloop.Succeeded, Page: wire.Page{Revision: 1, More: true,
		Pairs: []wire.Pair{{Key: jobPrefix + "wk-000001", Version: 1}}}}))
	at(18 * time.Second)
	gets(c.Step(now, eventloop.Completion{ID: second, FromStateService: true, Outcome: eventloop.Succeeded, Page: wire.Page{Revision: 2}}))
	if !c.state.loaded() {
		t.Fatal("not read")
	}
	w := c.view.Settings.Cluster.Workers
	for _, x := range []struct {
		after time.Duration
		code  eventloop.ReplyCode
	}{{0, eventloop.ReplyOK}, {config.Seconds(w.CancelS - w.LeaseS), eventloop.ReplyUnavailable}} {
		now = maxTime(now, asked.Add(x.after))
		code := eventloop.NoReply
		for _, e := range c.Step(now, eventloop.HeartbeatRequest{Req: 1, Heartbeat: wire.Heartbeat{Machine: "host-000001", Type: "s4", AgentEpoch: 1, Sequence: 1 + uint64(x.after)}}) {
			if r, ok := e.(eventloop.Reply); ok {
				code = r.Code
			}
		}
		if (code == eventloop.ReplyUnavailable) != (x.code == eventloop.ReplyUnavailable) {
			t.Errorf("a worker gets %s, %v after the first page was asked for", code, now.Sub(asked))
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
