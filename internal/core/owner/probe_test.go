package owner

import (
	"fmt"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// TestSilentMachinesAreAsked: a spot machine falls silent in a zone whose other machines are
// heard. It is probed, and given up without the usual wait if it does not answer either.
func TestSilentMachinesAreAsked(t *testing.T) {
	for _, answers := range []bool{false, true} {
		var names wire.NameSet
		for i := range 6 {
			names = append(names, fmt.Sprintf("host-%06d", i))
		}
		o, now := newOwner(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
			Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Machines: names}}, Partitions: map[string]string{"free": "n0"}})
		renewLease(o)
		probes := 0
		var answer []eventloop.Completion
		for s := range 9 { // the last heartbeat is 7 s old at the end
			now = now.Add(time.Second)
			o.known.changesUntil = now
			for _, d := range answer {
				complete(o, now, d)
			}
			answer = nil
			for i, name := range names {
				rep := wire.Heartbeat{Machine: name, Endpoint: name, Type: "s4", Zone: "x", Spot: i == 0, AgentEpoch: 1, Sequence: uint64(s + 1), Token: o.fencingToken(o.workers.machines[name])}
				if i > 0 || s < 2 {
					sendHeartbeat(o, now, eventloop.HeartbeatRequest{Req: 1, Heartbeat: rep})
				}
			}
			for _, e := range tick(o, now.Add(100*time.Millisecond)) {
				if d, ok := e.(eventloop.WorkerCommands); ok && d.Endpoint == names[0] {
					probes++
					done := eventloop.Completion{ID: d.ID}
					if answers {
						done.Outcome = eventloop.Succeeded
						done.Heartbeat = &wire.Heartbeat{Machine: names[0], Endpoint: names[0], Type: "s4", Zone: "x", Spot: true, AgentEpoch: 1, Sequence: uint64(100 + s), Token: d.Body.Token}
					}
					answer = append(answer, done)
				}
			}
		}
		if probes == 0 {
			t.Fatal("not probed")
		}
		if got := o.workers.machines[names[0]].unreachable(); got == answers {
			t.Errorf("it answers: %v, given up: %v", answers, got)
		}
	}
}

// TestMuteMachineIsAskedNowAndThen: a machine reaches no controller but answers probes. It
// stays silent by that, and must not be probed again with each answer: many such machines would
// take the whole processor.
func TestMuteMachineIsAskedNowAndThen(t *testing.T) {
	o, m, now := newOneMachine(t, false)
	sendHeartbeat(o, now, eventloop.HeartbeatRequest{Req: 1, Heartbeat: heartbeatOf(m, 1, 1, o.fencingToken(m))})
	probes, seq := 0, uint64(1)
	for ms := 100; ms <= 12000; ms += 100 {
		at := now.Add(time.Duration(ms) * time.Millisecond)
		o.ChangesKnown(o.view.LeaseVersion, at)
		effects := tick(o, at)
		renewLease(o)
		for n := 0; len(effects) > 0 && n < 100; n++ { // answers that come at once
			e := effects[0]
			effects = effects[1:]
			if d, ok := e.(eventloop.WorkerCommands); ok {
				probes, seq = probes+1, seq+1
				r := heartbeatOf(m, 1, seq, d.Body.Token)
				complete(o, at, eventloop.Completion{ID: d.ID, Outcome: eventloop.Succeeded, Heartbeat: &r})
				effects = append(effects, o.loop.Effects()...)
			}
		}
	}
	if probes == 0 || probes > 12 {
		t.Errorf("probed %d times in 12 s", probes)
	}
}
