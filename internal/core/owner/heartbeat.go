package owner

import (
	"slices"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// answerTimeout is how long a worker waits for an answer before it turns to the next
// controller.
const answerTimeout = 5 * time.Second

// heartbeatSlack is how much later than expected a heartbeat may come.
const heartbeatSlack = 2 * time.Second

// largeBlock is from how many machines on some machine of a block reports all the time.
const largeBlock = 8

// HandleHeartbeat handles a worker's heartbeat.
func (o *Owner) HandleHeartbeat(e eventloop.HeartbeatRequest) {
	hb := &e.Heartbeat
	if hb.Machine == "" || hb.AgentEpoch == 0 {
		o.loop.Reply(e.Req, eventloop.ReplyInvalid, wire.ErrorAnswer{Error: "stroj and smjena are needed"})
		return
	}
	o.workers.lastReport = o.loop.Now
	if !o.records.WorkersServed() || !o.loop.Now.Before(o.answerDeadline()) {
		o.noteRefused(hb)
		o.loop.Unavailable(e.Req)
		return
	}
	o.workers.highestToken = max(o.workers.highestToken, hb.Token)
	m := o.workers.machines[hb.Machine]
	if m != nil {
		o.adoptRaisedToken(m, hb.Token)
	}
	// A token above ours means that another controller has taken the machine over.
	if m == nil || !o.blockLease.Held() || hb.Token > o.fencingToken(m) {
		o.handleForeignHeartbeat(e)
		return
	}
	delete(o.workers.foreign, hb.Machine)
	if !o.observe(m, hb, heartbeatReceived) {
		// Superseded by a newer heartbeat, or from before this controller had the
		// machine. It may be a copy whose answer nobody reads; if the worker does wait
		// for it, the answer renews its lease and tells it the token.
		o.fenceStaleHeartbeat(m, hb)
		o.answerHeartbeat(e.Req, o.answerDeadline(), o.tokenToSend(m), []wire.Command{})
		return
	}
	o.answerOwnWorker(e.Req, m)
}

// refusedReport is a heartbeat that could not be answered. It still shows that its machine works.
type refusedReport struct {
	agentEpoch, sequence uint64
	at                   time.Time
}

// noteRefused notes a heartbeat that cannot be answered, unless it is a late copy.
func (o *Owner) noteRefused(hb *wire.Heartbeat) {
	last := o.workers.refused[hb.Machine]
	if m := o.workers.machines[hb.Machine]; m != nil && !isNewer(hb, m.agentEpoch, m.sequence) {
		return
	}
	if isNewer(hb, last.agentEpoch, last.sequence) {
		o.workers.refused[hb.Machine] = refusedReport{hb.AgentEpoch, hb.Sequence, o.loop.Now}
	}
}

// forgetRefused forgets heartbeats that were refused long ago.
func (o *Owner) forgetRefused() {
	for name, report := range o.workers.refused {
		if o.loop.Now.Sub(report.at) > foreignForgetAfter {
			delete(o.workers.refused, name)
		}
	}
}

// answerOwnWorker answers the newest heartbeat of a machine of the block, with commands.
func (o *Owner) answerOwnWorker(req uint64, m *machine) {
	o.fenceOverdueCommand(m)
	o.fenceEndedAttempts(m)
	m.lastAnswered = o.loop.Now
	m.answeringHeartbeat = true
	o.placeSoon()
	m.answeringHeartbeat = false
	deadline := o.answerDeadline()
	commands := o.commandsFor(m, inAnswer(m.sequence, o.fencingToken(m)))
	if slices.ContainsFunc(commands, func(c wire.Command) bool { return c.Op == wire.CommandStart }) {
		deadline = o.startDeadline()
	}
	o.answerHeartbeat(req, deadline, o.tokenToSend(m), commands)
}

// answerHeartbeat answers a heartbeat, which renews the worker's lease, unless the answer
// cannot be sent by the deadline.
func (o *Owner) answerHeartbeat(req uint64, deadline time.Time, token wire.FencingToken, commands []wire.Command) {
	o.loop.Emit(eventloop.Reply{Req: req, Code: eventloop.ReplyOK, Until: deadline,
		Body: wire.HeartbeatAnswer{Token: token, Commands: commands}})
}

// heartbeatGap returns how long no machine of the block may have reported before this
// controller takes itself to be cut off from the workers. In a large block some machine
// reports all the time.
func (o *Owner) heartbeatGap() time.Duration {
	interval := config.Seconds(o.view.Settings.Cluster.Workers.ReportS)
	if len(o.workers.machines) >= largeBlock {
		return heartbeatSlack + interval/2
	}
	return answerTimeout + interval
}

// NoHeartbeats reports whether the block has machines and none of them reports.
func (o *Owner) NoHeartbeats() bool {
	return len(o.workers.machines) > 0 && o.loop.Now.Sub(o.workers.lastHeartbeat) > o.heartbeatGap()
}

// SilentBeyondRedirects reports whether none of the block's machines has reported for so long
// that those which turned to other controllers must have been redirected here meanwhile.
func (o *Owner) SilentBeyondRedirects() bool {
	return len(o.workers.machines) > 0 && o.loop.Now.Sub(o.workers.lastHeartbeat) > o.heartbeatGap()+redirectInterval+heartbeatSlack
}
