package controller

import (
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// TestNoAnswerPastUnknownCancellations: how long workers may be answered while the state
// service is unreachable, by what the other controllers prove of cancellations.
func TestNoAnswerPastUnknownCancellations(t *testing.T) {
	for name, c := range map[string]struct {
		change func(f *peerpb.Frame)
		all    bool // every other controller replies
		proves bool
	}{
		"all reply":                        {func(*peerpb.Frame) {}, true, true},
		"one never replies":                {func(*peerpb.Frame) {}, false, false},
		"a cancellation unknown here":      {func(f *peerpb.Frame) { f.CancelledRevision = 8 }, true, false},
		"just started":                     {func(f *peerpb.Frame) { f.CancelledRevision = 0 }, true, false},
		"state of another generation":      {func(f *peerpb.Frame) { f.Generation = 2 }, true, false},
		"has found that data is lost":      {func(f *peerpb.Frame) { f.StateLost = true }, true, false},
		"replies to an earlier process":    {func(f *peerpb.Frame) { f.FreshnessReplies[0].Incarnation-- }, true, false},
		"replies to another controller":    {func(f *peerpb.Frame) { f.FreshnessReplies[0].To = "n3" }, true, false},
		"replies to a request of long ago": {func(f *peerpb.Frame) { f.FreshnessReplies[0].Request -= maxFreshnessRequests }, true, false},
		"replies to a request never sent":  {func(f *peerpb.Frame) { f.FreshnessReplies[0].Request++ }, true, false},
		"of an earlier version":            {func(f *peerpb.Frame) { f.FreshnessReplies = nil }, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			c0, start := newCore(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{})
			s := *c0.view.Settings
			s.Peers = append(s.Peers, config.Peer{HostName: "n2", Area: "x"})
			core := New(&s, c0.view.Params, c0.log, 7)
			core.loop.Begin(start)
			core.state = stateReader{phase: stateWatched, revision: 7, lastAnswer: start}
			core.owner.ChangesKnown(core.view.LeaseVersion, start)
			request, now := uint64(0), start
			for request < 2*maxFreshnessRequests {
				now = now.Add(time.Second)
				for _, e := range core.Step(now, eventloop.Tick{}) {
					if p, ok := e.(eventloop.PeerSend); ok {
						request = max(request, p.Frame.FreshnessRequest)
					}
				}
			}
			sentAt := now
			for _, from := range []string{"n1", "n2"} {
				if from == "n2" && !c.all {
					continue
				}
				f := &peerpb.Frame{From: from, Incarnation: 9, Generation: 1, CancelledRevision: 7, FreshnessReplies: []*peerpb.FreshnessReply{{To: "n0", Incarnation: 7, Request: request}}}
				c.change(f)
				core.Step(now.Add(5*time.Second), eventloop.PeerFrame{Frame: f})
			}
			// Twenty seconds less the margins, counted from when the request was sent.
			for _, after := range []time.Duration{18 * time.Second, 20 * time.Second} {
				code, want := eventloop.NoReply, c.proves && after < 19*time.Second
				for _, e := range core.Step(sentAt.Add(after), eventloop.HeartbeatRequest{Req: 1, Heartbeat: wire.Heartbeat{Machine: "host-000001", Type: "s4", AgentEpoch: 1, Sequence: uint64(after)}}) {
					if r, ok := e.(eventloop.Reply); ok {
						code = r.Code
					}
				}
				if (code == eventloop.ReplyUnavailable) == want {
					t.Errorf("%s: a worker gets %s %v after the request", name, code, after)
				}
			}
		})
	}
}
