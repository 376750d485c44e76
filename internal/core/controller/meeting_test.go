package controller

import (
	"io"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// keeper answers a core's calls to the state service: the lease value is kept by
// the versions that it had, everything else is not there.
type keeper struct {
	c     *Core
	now   time.Time
	lease wire.LeaseRecord
	rev   uint64
	held  []eventloop.StateTxn // lease writes without an answer, not carried out yet
	mute  bool                 // lease writes get no answer
	watch uint64
	ids   []uint64 // calls that get no answer, to be told so in two seconds
}

// do hands events to the core until it has nothing more to ask.
func (k *keeper) do(events ...eventloop.Event) {
	for len(events) > 0 {
		ev := events[0]
		events = events[1:]
		for _, e := range k.c.Step(k.now, ev) {
			switch e := e.(type) {
			case eventloop.StateTxn:
				if _, ok := e.Txn.Then[0].Value.(wire.LeaseRecord); ok && k.mute {
					k.held, k.ids = append(k.held, e), append(k.ids, e.ID)
					continue
				}
				events = append(events, k.txn(e))
			case eventloop.StateGet:
				events = append(events, k.get(e))
			case eventloop.StateRange:
				events = append(events, eventloop.Completion{ID: e.ID, FromStateService: true, Outcome: eventloop.Succeeded, Page: wire.Page{Revision: k.rev}})
			case eventloop.StateWatch:
				k.watch = e.ID
			}
		}
	}
}

func (k *keeper) txn(e eventloop.StateTxn) eventloop.Completion {
	for _, c := range e.Txn.If {
		if c.Key == leaseKey && c.Version != k.rev {
			return eventloop.Completion{ID: e.ID, FromStateService: true, Outcome: eventloop.Conflict, Txn: wire.TxnAnswer{Failed: []string{leaseKey}, Revision: k.rev}}
		}
	}
	if rec, ok := e.Txn.Then[0].Value.(wire.LeaseRecord); ok {
		k.rev++
		k.lease = rec
	}
	return eventloop.Completion{ID: e.ID, FromStateService: true, Outcome: eventloop.Succeeded, Txn: wire.TxnAnswer{Revision: k.rev}}
}

func (k *keeper) get(e eventloop.StateGet) eventloop.Completion {
	if e.Key != leaseKey {
		return eventloop.Completion{ID: e.ID, FromStateService: true, Outcome: eventloop.NotFound}
	}
	raw, err := wire.Encode(k.lease)
	if err != nil {
		panic(err)
	}
	return eventloop.Completion{ID: e.ID, FromStateService: true, Outcome: eventloop.Succeeded, Pair: wire.Pair{Key: leaseKey, Value: raw, Version: k.rev}}
}

// TestRenewalsOfALateWriteCount: a write of the lease value gets no answer and is
// carried out seconds later. A renewal that it honours gives its holder the right
// to start until a lease after that was sent, so the leader may not count the lease
// from the last write that was answered.
func TestRenewalsOfALateWriteCount(t *testing.T) {
	rec := wire.LeaseRecord{Term: 3, Leader: "n0", Incarnation: 7, Partitions: map[string]string{"free": "n0"},
		Blocks: map[string]wire.Block{"n0": {Grant: 3 << 16, Incarnation: 7}, "n1": {Grant: 3<<16 + 1, Incarnation: 9, Renewal: 1, Machines: []string{"host-000001"}}}}
	c, start := newCore(t, []config.Team{{Name: "free"}}, rec)
	k := &keeper{c: c, now: start, lease: c.view.Lease, rev: 5}
	renewed := func(n uint64) eventloop.Event {
		return eventloop.PeerFrame{Frame: &peerpb.Frame{From: "n1", Incarnation: 9, StateOk: true, Renewal: &peerpb.Renewal{Node: "n1", Incarnation: 9, Number: n}}}
	}
	tick := func(d time.Duration) {
		for end := k.now.Add(d); k.now.Before(end); {
			k.now = k.now.Add(250 * time.Millisecond)
			k.do(eventloop.Tick{})
		}
	}
	k.do(renewed(2), eventloop.Tick{})
	tick(6 * time.Second)
	if got := k.lease.Blocks["n1"].Renewal; got != 2 {
		t.Fatalf("renewal %d is honoured, want 2", got)
	}
	// The holder's last renewal. From here on nothing is heard of it.
	sent := k.now
	k.mute = true
	k.do(renewed(3))
	tick(6 * time.Second)
	if len(k.held) == 0 {
		t.Fatal("nothing was written")
	}
	k.do(eventloop.Completion{ID: k.ids[0], FromStateService: true}) // no answer
	if k.c.leader == nil {
		t.Fatal("does not lead")
	}
	// Carried out late, and shown by the watch.
	if a := k.txn(k.held[0]); a.Outcome != eventloop.Succeeded || k.lease.Blocks["n1"].Renewal != 3 {
		t.Fatalf("late write: %s, renewal %d", a.Outcome, k.lease.Blocks["n1"].Renewal)
	}
	k.mute = false
	raw, err := wire.Encode(k.lease)
	if err != nil {
		t.Fatal(err)
	}
	k.do(eventloop.Completion{ID: k.watch, FromStateService: true, Outcome: eventloop.Succeeded, Changes: wire.Changes{Revision: k.rev,
		Log: []wire.Change{{Put: leaseKey, Value: raw, Version: k.rev}}}})
	// Until then its holder may start tasks on its machine.
	until := sent.Add(c.view.Params.LeaseDuration)
	for k.now.Before(until) {
		if k.now = k.now.Add(250 * time.Millisecond); k.now.Before(until) {
			k.do(eventloop.Tick{})
		}
		if _, ok := k.lease.Blocks["n1"]; !ok {
			t.Fatalf("its block was given away %v before its lease ended", until.Sub(k.now))
		}
	}
	tick(12 * time.Second)
	if _, ok := k.lease.Blocks["n1"]; ok {
		t.Error("its block is never given away")
	}
}

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
	var gets func(effects []eventloop.Effect) (last []eventloop.Effect)
	gets = func(effects []eventloop.Effect) []eventloop.Effect {
		for _, e := range effects {
			if g, ok := e.(eventloop.StateGet); ok {
				return gets(c.Step(now, eventloop.Completion{ID: g.ID, FromStateService: true, Outcome: eventloop.NotFound}))
			}
		}
		return effects
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

// TestBadInput sends what no client, worker, controller or store should, while the
// state service answers and while it is away. Nothing of it may end the process or
// change what is known; users and workers are answered at once, with 503 and when to
// come back where the right answer cannot be known.
func TestBadInput(t *testing.T) {
	raw := func(v any) []byte {
		b, err := wire.Encode(v)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	put := func(key string, value []byte) eventloop.Event {
		return eventloop.Completion{FromStateService: true, Outcome: eventloop.Succeeded, Changes: wire.Changes{Revision: 9, Log: []wire.Change{{Put: key, Value: value, Version: 9}}}}
	}
	for name, c := range map[string]struct {
		ev         eventloop.Event
		well, away eventloop.ReplyCode // NoReply: there is nothing to answer
	}{
		"a submission without an id":       {eventloop.SubmitRequest{Req: 1, Err: io.ErrUnexpectedEOF}, eventloop.ReplyInvalid, eventloop.ReplyInvalid},
		"a malformed submission":           {eventloop.SubmitRequest{Req: 1, Job: wire.Job{ID: "wk-000009"}, Err: io.ErrUnexpectedEOF}, eventloop.ReplyInvalid, eventloop.ReplyUnavailable},
		"a question for an impossible id":  {eventloop.QueryRequest{Req: 1, ID: "no/such id"}, eventloop.ReplyNotFound, eventloop.ReplyNotFound},
		"a question for an unknown id":     {eventloop.QueryRequest{Req: 1, ID: "wk-000009"}, eventloop.ReplyNotFound, eventloop.ReplyUnavailable},
		"a cancellation of an unknown job": {eventloop.CancelRequest{Req: 1, ID: "wk-000009"}, eventloop.ReplyNotFound, eventloop.ReplyUnavailable},
		"a report without a machine":       {eventloop.HeartbeatRequest{Req: 1, Heartbeat: wire.Heartbeat{AgentEpoch: 1}}, eventloop.ReplyInvalid, eventloop.ReplyInvalid},
		"a report without a session":       {eventloop.HeartbeatRequest{Req: 1, Heartbeat: wire.Heartbeat{Machine: "host-000001"}}, eventloop.ReplyInvalid, eventloop.ReplyInvalid},
		"a report of tasks with bad names": {eventloop.HeartbeatRequest{Req: 1, Heartbeat: wire.Heartbeat{Machine: "host-000001", AgentEpoch: 1, Sequence: 1, Token: 1 << 42,
			Tasks: []wire.TaskStatus{{Task: "wk-000001"}, {Task: "wk-000001/-1"}, {Task: "/"}, {Task: "wk-000001/99999999999999999999"}}}}, eventloop.ReplyOK, eventloop.ReplyOK},
		"a frame of nobody":                {eventloop.PeerFrame{Frame: &peerpb.Frame{From: "n9"}}, eventloop.NoReply, eventloop.NoReply},
		"a frame with names that are none": {eventloop.PeerFrame{Frame: &peerpb.Frame{From: "n1", Renewal: &peerpb.Renewal{Node: "n1", Incarnation: 9, Number: 7, Released: "?", SilentMachines: "?", Reconciled: "?", UnknownEndpoints: "?"}}}, eventloop.NoReply, eventloop.NoReply},
		"a frame with a view that is none": {eventloop.PeerFrame{Frame: &peerpb.Frame{From: "n1", RecoveryView: []byte{0xc1}}}, eventloop.NoReply, eventloop.NoReply},
		"an echo that nobody asked for":    {eventloop.PeerFrame{Frame: &peerpb.Frame{From: "n1", CancelledRevision: 1, FreshnessRequest: 1 << 60, FreshnessReplies: []*peerpb.FreshnessReply{{To: "n0", Incarnation: 7, Request: 1 << 60}}}}, eventloop.NoReply, eventloop.NoReply},
		"an answer to no call":             {eventloop.Completion{ID: 1 << 40, Outcome: eventloop.Succeeded, Heartbeat: &wire.Heartbeat{}}, eventloop.NoReply, eventloop.NoReply},
		"a stored job that cannot be read": {put(jobPrefix+"wk-000009", []byte{0xc1}), eventloop.NoReply, eventloop.NoReply},
		"a stored job under another's key": {put(jobPrefix+"wk-000009", raw(wire.JobRecord{Job: wire.Job{ID: "wk-000008"}})), eventloop.NoReply, eventloop.NoReply},
		"a stored end that cannot be read": {put(endPrefix+"wk-000009", []byte{0xc1}), eventloop.NoReply, eventloop.NoReply},
		"a lease value that is none":       {put(leaseKey, []byte{0xc1}), eventloop.NoReply, eventloop.NoReply},
		"a renewal that is none":           {put(renewalPrefix+"n1", raw(map[string]string{"pb": "?"})), eventloop.NoReply, eventloop.NoReply},
		"a generation that is none":        {put(generationKey, []byte{0xc1}), eventloop.NoReply, eventloop.NoReply},
		"a level that is none":             {put(OperatorRequestKey, []byte{0xc1}), eventloop.NoReply, eventloop.NoReply},
	} {
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
	}
}

// TestClear: how long workers may be answered while the state service is away, by
// what the other controllers say of cancellations.
func TestClear(t *testing.T) {
	for name, c := range map[string]struct {
		change func(f *peerpb.Frame)
		all    bool // every other controller says so
		clear  bool
	}{
		"all say so":                      {func(*peerpb.Frame) {}, true, true},
		"one was never heard":             {func(*peerpb.Frame) {}, false, false},
		"a cancellation unknown here":     {func(f *peerpb.Frame) { f.CancelledRevision = 8 }, true, false},
		"just started":                    {func(f *peerpb.Frame) { f.CancelledRevision = 0 }, true, false},
		"state of another generation":     {func(f *peerpb.Frame) { f.Generation = 2 }, true, false},
		"has found that data is lost":     {func(f *peerpb.Frame) { f.StateLost = true }, true, false},
		"answers an earlier process":      {func(f *peerpb.Frame) { f.FreshnessReplies[0].Incarnation-- }, true, false},
		"answers somebody else":           {func(f *peerpb.Frame) { f.FreshnessReplies[0].To = "n3" }, true, false},
		"answers what was asked long ago": {func(f *peerpb.Frame) { f.FreshnessReplies[0].Request -= maxFreshnessRequests }, true, false},
		"answers what was never asked":    {func(f *peerpb.Frame) { f.FreshnessReplies[0].Request++ }, true, false},
		"of an earlier version":           {func(f *peerpb.Frame) { f.FreshnessReplies = nil }, true, false},
	} {
		c0, start := newCore(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{})
		s := *c0.view.Settings
		s.Peers = append(s.Peers, config.Peer{HostName: "n2", Area: "x"})
		core := New(&s, c0.view.Params, c0.log, 7)
		core.loop.Begin(start)
		core.state = stateReader{phase: stateRead, revision: 7, lastAnswer: start, watching: true}
		core.owner.ChangesKnown(core.view.LeaseVersion, start)
		ask, now := uint64(0), start
		for ask < 2*maxFreshnessRequests {
			now = now.Add(time.Second)
			for _, e := range core.Step(now, eventloop.Tick{}) {
				if p, ok := e.(eventloop.PeerSend); ok {
					ask = max(ask, p.Frame.FreshnessRequest)
				}
			}
		}
		asked := now
		for _, from := range []string{"n1", "n2"} {
			if from == "n2" && !c.all {
				continue
			}
			f := &peerpb.Frame{From: from, Incarnation: 9, Generation: 1, CancelledRevision: 7, FreshnessReplies: []*peerpb.FreshnessReply{{To: "n0", Incarnation: 7, Request: ask}}}
			c.change(f)
			core.Step(now.Add(5*time.Second), eventloop.PeerFrame{Frame: f})
		}
		// Twenty seconds after the ask, less the margins, counted from the ask.
		for _, after := range []time.Duration{18 * time.Second, 20 * time.Second} {
			code, want := eventloop.NoReply, c.clear && after < 19*time.Second
			for _, e := range core.Step(asked.Add(after), eventloop.HeartbeatRequest{Req: 1, Heartbeat: wire.Heartbeat{Machine: "host-000001", Type: "s4", AgentEpoch: 1, Sequence: uint64(after)}}) {
				if r, ok := e.(eventloop.Reply); ok {
					code = r.Code
				}
			}
			if (code == eventloop.ReplyUnavailable) == want {
				t.Errorf("%s: a worker gets %s %v after the ask", name, code, after)
			}
		}
	}
}

// TestLeaseValueWentBack: only the last revision of the state is lost, that of a lease
// value. The next change has its number, so no answer shows a lower one; but the value
// that is read is older than the one that was known when it was asked for.
func TestLeaseValueWentBack(t *testing.T) {
	for name, c := range map[string]struct {
		outcome eventloop.Outcome
		version uint64
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
		raw, err := wire.Encode(wire.LeaseRecord{Term: 3, Leader: "n1"})
		if err != nil {
			t.Fatal(err)
		}
		core.Step(now.Add(time.Second), eventloop.Completion{ID: get.ID, FromStateService: true, Outcome: c.outcome, Pair: wire.Pair{Key: leaseKey, Value: raw, Version: c.version}})
		if lost := core.recovery != nil; lost != c.lost {
			t.Errorf("%s: takes the state for one that has lost data: %v", name, lost)
		}
	}
}
