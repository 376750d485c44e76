package owner

import (
	"testing"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// TestDeafMachineIsLost: a machine reports on and on while no command reaches it. Its
// heartbeats must not make it alive or give it room; once it shows the raised token it is as
// good as before.
func TestDeafMachineIsLost(t *testing.T) {
	for _, recovers := range []bool{false, true} {
		o, m, now := newOneMachine(t, false)
		sendHeartbeat(o, now, eventloop.HeartbeatRequest{Req: 1, Heartbeat: heartbeatOf(m, 1, 1, m.firstToken)})
		submitArray(o, "wk-000001", "standard", 1, 1, now)
		token := m.token
		for s := 1; s < 30; s++ {
			at := now.Add(time.Duration(s) * time.Second)
			o.ChangesKnown(o.view.LeaseVersion, at)
			for _, e := range tick(o, at) {
				if d, ok := e.(eventloop.WorkerCommands); ok {
					complete(o, at.Add(500*time.Millisecond), eventloop.Completion{ID: d.ID}) // no answer
				}
			}
			if recovers && s > 8 {
				token = o.fencingToken(m)
			}
			sendHeartbeat(o, at.Add(600*time.Millisecond), eventloop.HeartbeatRequest{Req: uint64(s), Heartbeat: heartbeatOf(m, 1, uint64(10+s), token)})
			if s == 4 && o.usable(m) {
				t.Error("has room though it did not answer a command")
			}
			renewLease(o)
		}
		if m.unreachable() == recovers {
			t.Errorf("receives commands again: %v, given up: %v", recovers, m.unreachable())
		}
	}
}

// TestOverdueCommandIsVoid: a controller is suspended after it has sent a start by a direct
// command. It reads the worker's heartbeat before it learns that the command had no answer: the
// answer to the heartbeat has to make the command void, as it keeps the agent epoch alive in
// which the command may still arrive. And until the worker has shown the raised token nothing
// more is started by a direct command.
func TestOverdueCommandIsVoid(t *testing.T) {
	o, m, now := newOneMachine(t, false)
	sendHeartbeat(o, now, eventloop.HeartbeatRequest{Req: 1, Heartbeat: heartbeatOf(m, 1, 1, m.firstToken)})
	submitArray(o, "wk-000001", "standard", 1, 1, now)
	var sent eventloop.WorkerCommands
	for _, e := range tick(o, now.Add(time.Second)) {
		if d, ok := e.(eventloop.WorkerCommands); ok {
			sent = d
		}
	}
	if len(sent.Body.Commands) != 1 {
		t.Fatalf("sent %+v, want one start", sent.Body)
	}
	at := now.Add(12 * time.Second)
	o.ChangesKnown(o.view.LeaseVersion, at)
	renewLease(o)
	sendHeartbeat(o, at, eventloop.HeartbeatRequest{Req: 2, Heartbeat: heartbeatOf(m, 1, 5, m.firstToken)})
	got := heartbeatAnswers(o.loop.Effects())
	if len(got) != 1 || got[0].Token <= sent.Body.Token {
		t.Errorf("answered with %+v after a command with token %d", got, sent.Body.Token)
	}
	complete(o, at, eventloop.Completion{ID: sent.ID})
	j := submitArray(o, "wk-000002", "standard", 1, 1, at)
	o.loop.Begin(at)
	o.bind(j, m)
	m.commands.resume()
	for _, e := range tick(o, at.Add(time.Second)) {
		if d, ok := e.(eventloop.WorkerCommands); ok && len(d.Body.Commands) > 0 {
			t.Errorf("%+v sent to a machine that may not receive it", d.Body)
		}
	}
	sendHeartbeat(o, at.Add(2*time.Second), eventloop.HeartbeatRequest{Req: 3, Heartbeat: heartbeatOf(m, 1, 9, o.fencingToken(m))})
	if !m.hasShownToken() {
		t.Error("shows the raised token, and does not count as acknowledging")
	}
}

// TestRaisedTokenIsFollowed: another controller has kept a machine of this one's block alive
// and raised its token. Within the grant its holder continues from there; a token of a later
// grant means that another controller has taken over.
func TestRaisedTokenIsFollowed(t *testing.T) {
	o, m, now := newOneMachine(t, false)
	sendHeartbeat(o, now, eventloop.HeartbeatRequest{Req: 1, Heartbeat: heartbeatOf(m, 1, 1, m.firstToken)})
	raised := m.firstToken + 3
	sendHeartbeat(o, now.Add(time.Second), eventloop.HeartbeatRequest{Req: 2, Heartbeat: heartbeatOf(m, 1, 8, raised)})
	if got := heartbeatAnswers(o.loop.Effects()); len(got) != 1 || got[0].Token < raised || len(o.workers.foreign) > 0 || !m.hasShownToken() {
		t.Errorf("answered with %+v, foreign workers %d", got, len(o.workers.foreign))
	}
	sendHeartbeat(o, now.Add(2*time.Second), eventloop.HeartbeatRequest{Req: 3, Heartbeat: heartbeatOf(m, 1, 9, m.firstToken+1<<24)})
	if len(o.workers.foreign) != 1 {
		t.Error("a token of a later grant does not make its worker foreign")
	}
}

// TestStartsCarryAShownToken: the block gets a new grant while a machine of it has shown only a
// token of the grant before. A controller that keeps the machine alive raises the token it has
// shown, so a start that is in flight for long must not carry more than that.
func TestStartsCarryAShownToken(t *testing.T) {
	o, m, now := newOneMachine(t, false)
	sendHeartbeat(o, now, eventloop.HeartbeatRequest{Req: 1, Heartbeat: heartbeatOf(m, 1, 1, m.firstToken)})
	b := o.view.Lease.Blocks["n0"]
	b.Grant++
	o.view.Lease.Blocks["n0"] = b
	renewLease(o)
	o.ApplyBlock(b)
	if o.fencingToken(m) <= m.token {
		t.Fatalf("the new grant's token is %d, shown is %d", o.fencingToken(m), m.token)
	}
	submitArray(o, "wk-000001", "urgent", 1, 1, now)
	starts := 0
	for _, e := range tick(o, now.Add(time.Second)) {
		if d, ok := e.(eventloop.WorkerCommands); ok {
			starts++
			if d.Body.Token > m.token {
				t.Errorf("a start with token %d, shown is %d", d.Body.Token, m.token)
			}
		}
	}
	if starts == 0 {
		t.Error("nothing is started")
	}
}

// TestRaisedTokenIsShownBeforeAStart guards against a direct start that its worker refuses, as it was
// answered with a raised token that it has not shown: a command without starts has it shown first.
func TestRaisedTokenIsShownBeforeAStart(t *testing.T) {
	o, machines, now := newBlock(t, 1)
	m := machines[0]
	at := now.Add(time.Second)
	direct := func(effects []eventloop.Effect) (sent []eventloop.WorkerCommands) {
		for _, e := range effects {
			if d, ok := e.(eventloop.WorkerCommands); ok {
				sent = append(sent, d)
			}
		}
		return sent
	}
	answer := func(d eventloop.WorkerCommands, sequence uint64, tasks ...wire.TaskStatus) {
		status := heartbeatOf(m, 1, sequence, d.Body.Token, tasks...)
		complete(o, at, eventloop.Completion{ID: d.ID, Outcome: eventloop.Succeeded, Heartbeat: &status})
	}
	beginCurrent(o, at)
	submitArray(o, "wk-000001", "urgent", 1, 1, at)
	sent := direct(tick(o, at))
	if len(sent) != 1 || len(sent[0].Body.Commands) != 1 {
		t.Fatalf("sent %+v, want one start", sent)
	}
	ended := wire.TaskStatus{Task: "wk-000001/0", Attempt: sent[0].Body.Commands[0].Attempt, State: wire.TaskEnded, Reason: wire.ReasonStopped}
	answer(sent[0], 2, ended)
	shown := m.token

	at = at.Add(time.Millisecond)
	beginCurrent(o, at)
	m.noTasksBefore = at.Add(time.Second)
	sendHeartbeat(o, at, eventloop.HeartbeatRequest{Req: 2, Heartbeat: heartbeatOf(m, 1, 3, shown, ended)})
	answers := heartbeatAnswers(o.loop.Effects())
	if len(answers) != 1 || answers[0].Token <= shown || len(answers[0].Commands) > 0 {
		t.Fatalf("answered with %+v, want a token above %d and no forget", answers, shown)
	}

	at = at.Add(2 * time.Second)
	beginCurrent(o, at)
	sent = direct(tick(o, at))
	if len(sent) != 1 || len(sent[0].Body.Commands) != 0 || sent[0].Body.Token != answers[0].Token {
		t.Fatalf("sent %+v, want no start and token %d", sent, answers[0].Token)
	}
	answer(sent[0], 4, ended)
	sent = direct(o.loop.Effects())
	if len(sent) != 1 || sent[0].Body.Token != answers[0].Token {
		t.Fatalf("sent %+v, want token %d", sent, answers[0].Token)
	}
	var starts, forgets int
	for _, c := range sent[0].Body.Commands {
		switch c.Op {
		case wire.CommandStart:
			starts++
		case wire.CommandForget:
			forgets++
		}
	}
	if starts != 1 || forgets != 1 {
		t.Errorf("%d starts and %d forgets follow, want one of each: %+v", starts, forgets, sent[0].Body.Commands)
	}
}

// TestAdoptedAttemptIsFencedBeforeItIsForgotten guards against an attempt of the same grant that is not
// known any more, ends, and is forgotten while a copy of its start may still arrive.
func TestAdoptedAttemptIsFencedBeforeItIsForgotten(t *testing.T) {
	for earlierGrant, want := range map[bool]int{false: 0, true: 1} {
		o, machines, now := newBlock(t, 1)
		m := machines[0]
		number := o.blockLease.Attempt()
		if earlierGrant {
			number = uint64(m.firstToken) - 1
		}
		ended := wire.TaskStatus{Task: "wk-000009/0", Attempt: number, State: wire.TaskEnded, Reason: wire.ReasonStopped}
		beginCurrent(o, now)
		sendHeartbeat(o, now, eventloop.HeartbeatRequest{Req: 2, Heartbeat: heartbeatOf(m, 1, 2, m.token, ended)})
		answers := heartbeatAnswers(o.loop.Effects())
		if len(answers) != 1 || len(answers[0].Commands) != want {
			t.Errorf("of an earlier grant: %v, answered with %+v, want %d forgets", earlierGrant, answers, want)
		}
	}
}

// TestNoRaiseBesideACommand guards against a direct start that its worker refuses, as the token was raised
// for an ended attempt while the command was in flight.
func TestNoRaiseBesideACommand(t *testing.T) {
	o, machines, now := newBlock(t, 1)
	m := machines[0]
	ended := wire.TaskStatus{Task: "wk-000009/0", Attempt: o.blockLease.Attempt(), State: wire.TaskEnded, Reason: wire.ReasonStopped}
	at := now.Add(time.Second)
	beginCurrent(o, at)
	submitArray(o, "wk-000001", "urgent", 1, 1, at)
	tick(o, at)
	if !m.commands.inFlight() {
		t.Fatal("no command is in flight")
	}
	token := o.fencingToken(m)
	for sequence, inFlight := range []bool{true, false} {
		if !inFlight {
			m.commands.end()
		}
		sendHeartbeat(o, at, eventloop.HeartbeatRequest{Req: 2, Heartbeat: heartbeatOf(m, 1, uint64(2+sequence), token, ended)})
		if raised := o.fencingToken(m) > token; raised == inFlight {
			t.Errorf("a command is in flight: %v, raised: %v", inFlight, raised)
		}
	}
}
