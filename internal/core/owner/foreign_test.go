package owner

import (
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// TestRedirectedWorkerIsKept: a worker turns to a controller that does not hold its machine, and
// returns each time it is redirected to the holder: the partition between the two delays
// messages, so each try takes five seconds. It must be answered often enough to keep its lease.
func TestRedirectedWorkerIsKept(t *testing.T) {
	o, now := newOwner(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
		Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7}, "n1": {Grant: 1<<18 + 1, Incarnation: 9, Machines: wire.NameSet{"host-000001"}}}})
	lease := config.Seconds(o.view.Settings.Cluster.Workers.LeaseS)
	at := now.Add(5 * time.Second) // it has just given its owner up
	kept, seq, stays := now, uint64(0), 0
	for at.Sub(now) < 20*time.Second {
		o.view.Peers["n1"].LastFrame = at
		o.ChangesKnown(o.view.LeaseVersion, at)
		o.loop.Begin(at)
		seq++
		o.HandleHeartbeat(eventloop.HeartbeatRequest{Req: seq, Heartbeat: heartbeatOf(&machine{name: "host-000001"}, 1, seq, 1<<42)})
		reply := o.loop.Effects()[0].(eventloop.Reply)
		if at.Sub(kept) > lease {
			t.Fatalf("its lease ends after %v", at.Sub(now))
		}
		if reply.Code == eventloop.ReplyOK {
			kept = at
			stays++
			at = at.Add(config.Seconds(o.view.Settings.Cluster.Workers.ReportS))
			continue
		}
		seq++ // its heartbeat to the holder gets no answer
		at = at.Add(answerTimeout + 100*time.Millisecond)
	}
	if stays < 3 {
		t.Errorf("answered %d times in 20 s", stays)
	}
}

// TestCopyOfAGuestsReport: a copy of a foreign worker's heartbeat proves nothing about whether
// its machine is alive.
func TestCopyOfAGuestsReport(t *testing.T) {
	o, m, now := newOneMachine(t, false)
	foreign := &machine{name: "host-000002"}
	for s, seq := range []uint64{7, 7, 6} {
		at := now.Add(time.Duration(s) * time.Second)
		o.ChangesKnown(o.view.LeaseVersion, at)
		sendHeartbeat(o, at, eventloop.HeartbeatRequest{Req: seq, Heartbeat: heartbeatOf(foreign, 1, seq, m.firstToken)})
	}
	if w := o.workers.foreign[foreign.name]; w == nil || w.lastHeartbeat != now {
		t.Errorf("copies count: %+v", w)
	}
}

// TestGuestsTokenIsRaised: a foreign worker's token is raised with the first answer, when the
// worker has reported to others in between, and at intervals, but not with every answer; and not
// if the holder would then take the machine to be lost.
func TestGuestsTokenIsRaised(t *testing.T) {
	for _, follows := range []bool{true, false} {
		o, now := newOwner(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
			Blocks: map[string]wire.Block{"n1": {Grant: 5, Incarnation: 7, Machines: wire.NameSet{"host-000001"}}}, Partitions: map[string]string{"free": "n1"}})
		o.view.Peers["n1"].AcceptsRaisedTokens = follows
		first := wire.FencingToken(5 << 24)
		token, seq := first, uint64(10)
		for i, c := range []struct {
			after  time.Duration
			skips  uint64
			raised bool
		}{{0, 0, true}, {time.Second, 0, false}, {time.Second, 0, false}, {time.Second, 1, true},
			{time.Second, 0, false}, {tokenRaiseInterval - time.Second, 0, true}, {time.Second, 0, false}} {
			now = now.Add(c.after)
			o.ChangesKnown(o.view.LeaseVersion, now)
			seq += 1 + c.skips
			sendHeartbeat(o, now, eventloop.HeartbeatRequest{Req: uint64(i), Heartbeat: wire.Heartbeat{Machine: "host-000001", Type: "s4", AgentEpoch: 1, Sequence: seq, Token: token}})
			got := heartbeatAnswers(o.loop.Effects())
			if len(got) != 1 {
				t.Fatalf("follows %v, report %d: answers %+v", follows, i, got)
			}
			if raised := got[0].Token > token; raised != (c.raised && follows) {
				t.Errorf("follows %v, report %d: token %d after %d", follows, i, got[0].Token-first, token-first)
			}
			token = got[0].Token
		}
	}
}
