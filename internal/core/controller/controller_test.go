package controller

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// encode returns a value as the state service stores it.
func encode(t *testing.T, value any) []byte {
	t.Helper()
	encoded, err := wire.Encode(value)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// TestBadInputChangesNothing sends what no client, worker, controller or store should,
// while the state service answers and while it is unreachable. Nothing of it may end the
// process or change what is known; users and workers are answered at once, with 503 and
// when to come back where the right answer cannot be known.
func TestBadInputChangesNothing(t *testing.T) {
	put := func(key string, value []byte) eventloop.Event {
		return eventloop.Completion{FromStateService: true, Outcome: eventloop.Succeeded, Changes: wire.Changes{Revision: 9, Log: []wire.Change{{Put: key, Value: value, Version: 9}}}}
	}
	for name, c := range map[string]struct {
		ev         eventloop.Event
		well, away eventloop.ReplyCode // NoReply: there is nothing to answer
	}{
		"a submission without an id":       {eventloop.SubmitRequest{Req: 1, Err: io.ErrUnexpectedEOF}, eventloop.ReplyInvalid, eventloop.ReplyInvalid},
		"a malformed submission":           {eventloop.SubmitRequest{Req: 1, Job: wire.Job{ID: "wk-000009"}, Err: io.ErrUnexpectedEOF}, eventloop.ReplyInvalid, eventloop.ReplyUnavailable},
		"a query of an impossible id":      {eventloop.QueryRequest{Req: 1, ID: "no/such id"}, eventloop.ReplyNotFound, eventloop.ReplyNotFound},
		"a query of an unknown id":         {eventloop.QueryRequest{Req: 1, ID: "wk-000009"}, eventloop.ReplyNotFound, eventloop.ReplyUnavailable},
		"a cancellation of an unknown job": {eventloop.CancelRequest{Req: 1, ID: "wk-000009"}, eventloop.ReplyNotFound, eventloop.ReplyUnavailable},
		"a heartbeat without a machine":    {eventloop.HeartbeatRequest{Req: 1, Heartbeat: wire.Heartbeat{AgentEpoch: 1}}, eventloop.ReplyInvalid, eventloop.ReplyInvalid},
		"a heartbeat without an epoch":     {eventloop.HeartbeatRequest{Req: 1, Heartbeat: wire.Heartbeat{Machine: "host-000001"}}, eventloop.ReplyInvalid, eventloop.ReplyInvalid},
		"a heartbeat with bad task names": {eventloop.HeartbeatRequest{Req: 1, Heartbeat: wire.Heartbeat{Machine: "host-000001", AgentEpoch: 1, Sequence: 1, Token: 1 << 42,
			Tasks: []wire.TaskStatus{{Task: "wk-000001"}, {Task: "wk-000001/-1"}, {Task: "/"}, {Task: "wk-000001/99999999999999999999"}}}}, eventloop.ReplyOK, eventloop.ReplyOK},
		"a frame of an unknown controller": {eventloop.PeerFrame{Frame: &peerpb.Frame{From: "n9"}}, eventloop.NoReply, eventloop.NoReply},
		"a frame with names that are none": {eventloop.PeerFrame{Frame: &peerpb.Frame{From: "n1", Renewal: &peerpb.Renewal{Node: "n1", Incarnation: 9, Number: 7, Released: "?", SilentMachines: "?", Reconciled: "?", UnknownEndpoints: "?"}}}, eventloop.NoReply, eventloop.NoReply},
		"a frame with a view that is none": {eventloop.PeerFrame{Frame: &peerpb.Frame{From: "n1", RecoveryView: []byte{0xc1}}}, eventloop.NoReply, eventloop.NoReply},
		"a freshness reply to no request":  {eventloop.PeerFrame{Frame: &peerpb.Frame{From: "n1", CancelledRevision: 1, FreshnessRequest: 1 << 60, FreshnessReplies: []*peerpb.FreshnessReply{{To: "n0", Incarnation: 7, Request: 1 << 60}}}}, eventloop.NoReply, eventloop.NoReply},
		"an answer to no call":             {eventloop.Completion{ID: 1 << 40, Outcome: eventloop.Succeeded, Heartbeat: &wire.Heartbeat{}}, eventloop.NoReply, eventloop.NoReply},
		"a stored job that cannot be read": {put(jobPrefix+"wk-000009", []byte{0xc1}), eventloop.NoReply, eventloop.NoReply},
		"a stored job under another's key": {put(jobPrefix+"wk-000009", encode(t, wire.JobRecord{Job: wire.Job{ID: "wk-000008"}})), eventloop.NoReply, eventloop.NoReply},
		"a stored end that cannot be read": {put(endPrefix+"wk-000009", []byte{0xc1}), eventloop.NoReply, eventloop.NoReply},
		"a lease value that is none":       {put(leaseKey, []byte{0xc1}), eventloop.NoReply, eventloop.NoReply},
		"a renewal that is none":           {put(renewalPrefix+"n1", encode(t, map[string]string{"pb": "?"})), eventloop.NoReply, eventloop.NoReply},
		"a generation that is none":        {put(generationKey, []byte{0xc1}), eventloop.NoReply, eventloop.NoReply},
		"a level record that is none":      {put(OperatorRequestKey, []byte{0xc1}), eventloop.NoReply, eventloop.NoReply},
	} {
		t.Run(name, func(t *testing.T) {
			for _, away := range []bool{false, true} {
				c0, start := newCore(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n0", Incarnation: 7, Partitions: map[string]string{"free": "n0"},
					Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Machines: []string{"host-000001"}}}})
				want, now, watch := c.well, start, uint64(0)
				if away {
					want, now = c.away, start.Add(stateTimeout)
				}
				// handle carries out an event, and answers what it asks of the state service.
				var handle func(ev eventloop.Event) eventloop.ReplyCode
				handle = func(ev eventloop.Event) (code eventloop.ReplyCode) {
					for _, e := range c0.Step(now, ev) {
						switch e := e.(type) {
						case eventloop.Reply:
							if code = e.Code; code == eventloop.ReplyUnavailable && e.RetryAfter == 0 {
								t.Errorf("%s, away: %v: unavailable without when to come back", name, away)
							}
						case eventloop.StateTxn:
							if len(e.Txn.Then) == 0 && !away {
								if later := handle(eventloop.Completion{ID: e.ID, FromStateService: true, Outcome: eventloop.Succeeded, Txn: wire.TxnAnswer{Revision: 9}}); later != eventloop.NoReply {
									code = later
								}
							}
						case eventloop.StateWatch:
							watch = e.ID
						}
					}
					return code
				}
				handle(eventloop.Tick{})
				ev := c.ev
				if d, ok := ev.(eventloop.Completion); ok && d.ID == 0 {
					if d.ID = watch; watch == 0 {
						t.Fatal("no watch is open")
					}
					ev = d
				}
				jobs, version := len(c0.owner.Jobs()), c0.view.LeaseVersion
				if got := handle(ev); got != want {
					t.Errorf("%s, away: %v: answered %q, want %q", name, away, got, want)
				}
				handle(eventloop.Tick{})
				if len(c0.owner.Jobs()) != jobs || c0.view.LeaseVersion != version || len(c0.ended.records) > 0 || c0.recovery != nil {
					t.Errorf("%s, away: %v: changed what is known", name, away)
				}
			}
		})
	}
}

// newCore returns a core that has read an empty state, and a lease value.
func newCore(t *testing.T, teams []config.Team, rec wire.LeaseRecord) (*Core, time.Time) {
	t.Helper()
	s := &config.Settings{HostName: "n0", Area: "x", Peers: []config.Peer{{HostName: "n1", Area: "y"}},
		Cluster: config.Cluster{InitialSize: 2, Zones: []string{"x", "y"}, Teams: teams,
			Workers: config.Workers{ReportS: 2, LeaseS: 12, CancelS: 34},
			State:   config.State{RPS: 100, WriteRPS: 50, ValueKB: 8, TxnOps: 12},
			Cloud:   config.Cloud{RPS: 5, ListLagS: 4}}}
	c := New(s, cluster.Defaults(), slog.New(slog.NewTextHandler(io.Discard, nil)), 7)
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	c.loop.Begin(now)
	c.startedAt = now.Add(-time.Hour) // n1 has been silent for so long that it need not be asked
	c.state.phase = stateRead
	c.owner.ChangesKnown(5, now)
	c.state.lastAnswer = now
	c.view.MachineTypes["s4"] = wire.MachineType{Name: "s4", CPUs: 4, MemoryGB: 16, CacheGB: 20, FetchGBPS: 1, Price: 1, SpotPrice: 0.3, BootS: 6, Zones: []string{"x", "y"}}
	c.applyLease(rec, 5)
	return c, now
}

// TestStandstillIsNoSilence lets a process stand still for longer than a worker's lease. In
// its first step afterwards it has had no heartbeat for so long, and must not take its
// machines for lost; a silence while it ran counts.
func TestStandstillIsNoSilence(t *testing.T) {
	for _, awake := range []bool{false, true} {
		c, now := newCore(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
			Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Machines: wire.NameSet{"host-000001"}}}})
		c.Step(now, eventloop.Tick{})
		for ms := 150; awake && ms < 20000; ms += 150 {
			c.Step(now.Add(time.Duration(ms)*time.Millisecond), eventloop.Tick{})
		}
		c.Step(now.Add(20*time.Second), eventloop.Tick{})
		if lost := c.Renewal().GetSilentMachines() != ""; lost != awake {
			t.Errorf("awake: %v, its machine is lost: %v", awake, lost)
		}
	}
}
