package termination

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// start is when each test begins.
var start = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

// fakeHost is a controller of which a test says what it knows.
type fakeHost struct {
	candidates   []Candidate
	informed     bool
	unknownDue   time.Time
	heard        map[string]bool
	delay        time.Duration
	disconnected bool
	terminated   []string
}

func (h *fakeHost) TerminationCandidates(time.Duration, func(string) (wire.Machine, bool)) []Candidate {
	return h.candidates
}
func (h *fakeHost) Informed() bool                        { return h.informed }
func (h *fakeHost) UnknownDue() (time.Time, bool)         { return h.unknownDue, !h.unknownDue.IsZero() }
func (h *fakeHost) LeaseOverAfter() time.Duration         { return 13 * time.Second }
func (h *fakeHost) IsHeard(machine string) bool           { return h.heard[machine] }
func (h *fakeHost) TerminationDelay(string) time.Duration { return h.delay }
func (h *fakeHost) Connected() bool                       { return !h.disconnected }
func (h *fakeHost) MachinesTerminated(names []string)     { h.terminated = append(h.terminated, names...) }

// rig plays a guard with machines that answer or do not, second by second.
type rig struct {
	t        *testing.T
	loop     *eventloop.Loop
	host     *fakeHost
	guard    *Guard
	now      time.Time
	listed   []wire.Machine
	answers  map[string]bool // endpoints that answer
	refuses  eventloop.Outcome
	pending  map[uint64]time.Time // queries without an answer yet, and when they time out
	deleted  []string
	deadline time.Time // of the last request to the cloud
}

func newRig(t *testing.T, host *fakeHost) *rig {
	t.Helper()
	loop := &eventloop.Loop{}
	r := &rig{t: t, loop: loop, host: host, now: start, answers: map[string]bool{}, pending: map[uint64]time.Time{}}
	r.guard = New(loop, host, slog.New(slog.NewTextHandler(io.Discard, nil)))
	return r
}

// run plays the guard for a time, and returns when a machine was first deleted.
func (r *rig) run(d time.Duration) (after time.Duration, deleted bool) {
	r.t.Helper()
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(100 * time.Millisecond) {
		r.loop.Begin(r.now)
		for id, at := range r.pending {
			if !r.now.Before(at) {
				delete(r.pending, id)
				r.loop.Complete(eventloop.Completion{ID: id, Outcome: eventloop.NoAnswer})
			}
		}
		r.guard.Step()
		r.carryOut()
		if len(r.deleted) > 0 {
			return r.now.Sub(start), true
		}
	}
	return 0, false
}

// carryOut carries out what the guard has asked for in this step.
func (r *rig) carryOut() {
	for i := 0; i < len(r.loop.Effects()); i++ {
		switch e := r.loop.Effects()[i].(type) {
		case eventloop.WorkerStatus:
			if r.answers[e.Endpoint] {
				r.loop.Complete(eventloop.Completion{ID: e.ID, Outcome: eventloop.Succeeded})
			} else {
				r.pending[e.ID] = r.now.Add(QueryTimeout)
			}
		case eventloop.CloudList:
			r.loop.Complete(eventloop.Completion{ID: e.ID, Outcome: eventloop.Succeeded, Machines: wire.MachineList{Machines: r.listed}})
		case eventloop.CloudDelete:
			if r.refuses != "" {
				r.loop.Complete(eventloop.Completion{ID: e.ID, Outcome: r.refuses})
				continue
			}
			r.deleted, r.deadline = e.Names, e.Until
			r.loop.Complete(eventloop.Completion{ID: e.ID, Outcome: eventloop.Succeeded})
		}
	}
}

// due returns a candidate that is due after a time.
func due(after time.Duration) Candidate {
	return Candidate{Machine: "host-000001", Holder: "n1", Endpoint: "one:9000", Due: start.Add(after)}
}

// TestSilentMachineIsTerminatedInTime guards against a machine that does not answer and is terminated
// late, or before it is due, or by a controller that is to leave it to others.
func TestSilentMachineIsTerminatedInTime(t *testing.T) {
	for _, c := range []struct {
		name             string
		due, delay       time.Duration
		earliest, latest time.Duration
	}{
		{"due later", 20 * time.Second, 0, 20 * time.Second, 20500 * time.Millisecond},
		{"left to others at first", 20 * time.Second, 2 * time.Second, 22 * time.Second, 22500 * time.Millisecond},
		{"due now", 0, 0, 2 * time.Second, 2600 * time.Millisecond},
		{"due long ago", -time.Minute, 0, 2 * time.Second, 2600 * time.Millisecond},
	} {
		r := newRig(t, &fakeHost{informed: true, candidates: []Candidate{due(c.due)}, delay: c.delay})
		after, deleted := r.run(time.Minute)
		if !deleted || after < c.earliest || after > c.latest {
			t.Errorf("%s: terminated %v after %v, want from %v to %v", c.name, deleted, after, c.earliest, c.latest)
		}
		if r.deadline.Sub(r.now) > proofLifetime || len(r.host.terminated) != 1 {
			t.Errorf("%s: the right ends %v later, terminated %v", c.name, r.deadline.Sub(r.now), r.host.terminated)
		}
	}
}

// TestSoundMachineIsNotTerminated guards against a machine that answers, of which another controller has
// heard, or that is silent only to a controller that is cut off, and is terminated.
func TestSoundMachineIsNotTerminated(t *testing.T) {
	for name, set := range map[string]func(r *rig){
		"it answers":               func(r *rig) { r.answers["one:9000"] = true },
		"this controller is alone": func(r *rig) { r.host.disconnected = true },
		"heard by another": func(r *rig) {
			r.host.informed, r.host.heard = false, map[string]bool{"host-000001": true}
			r.guard.Inherit(due(0))
		},
		"it answers a controller that is not informed": func(r *rig) {
			r.host.informed, r.answers["one:9000"] = false, true
			r.guard.Inherit(due(0))
		},
	} {
		r := newRig(t, &fakeHost{informed: true, candidates: []Candidate{due(0)}})
		set(r)
		if after, deleted := r.run(30 * time.Second); deleted {
			t.Errorf("%s: terminated after %v", name, after)
		}
	}
}

// TestEvidenceIsVoidAfterASuspension guards against a process that was suspended and terminates machines
// by what it had asked before: they could not be heard meanwhile.
func TestEvidenceIsVoidAfterASuspension(t *testing.T) {
	r := newRig(t, &fakeHost{informed: true, candidates: []Candidate{due(9 * time.Second)}})
	r.run(8900 * time.Millisecond)
	r.now = r.now.Add(20 * time.Second)
	r.guard.Reset()
	r.answers["one:9000"] = true
	if after, deleted := r.run(20 * time.Second); deleted {
		t.Errorf("terminated after %v", after)
	}
}

// TestTerminationIsRetried guards against a machine that stays as the cloud refused one request.
func TestTerminationIsRetried(t *testing.T) {
	for _, outcome := range []eventloop.Outcome{eventloop.Throttled, eventloop.Unavailable, eventloop.NotSent, eventloop.Failed} {
		r := newRig(t, &fakeHost{informed: true, candidates: []Candidate{due(0)}})
		r.refuses = outcome
		if _, deleted := r.run(5 * time.Second); deleted {
			t.Fatalf("%s: terminated all the same", outcome)
		}
		r.refuses = ""
		if _, deleted := r.run(2 * time.Second); !deleted {
			t.Errorf("%s: not terminated within two seconds after the cloud is back", outcome)
		}
	}
}

// TestUninformedControllerInherits guards against a process that starts while the state service is out
// and knows nothing of the machines that others were about to terminate; and against what it was told
// once it knows better.
func TestUninformedControllerInherits(t *testing.T) {
	r := newRig(t, &fakeHost{})
	r.listed = []wire.Machine{{Name: "host-000001", Endpoint: "one:9000", State: wire.MachineRunning, AgeS: 100}}
	c := due(10 * time.Second)
	c.Endpoint = ""
	r.guard.Inherit(c)
	if after, deleted := r.run(30 * time.Second); !deleted || after < 10*time.Second || after > 11*time.Second {
		t.Errorf("terminated %v after %v", deleted, after)
	}
	r = newRig(t, &fakeHost{informed: true})
	r.guard.Inherit(due(0))
	if after, deleted := r.run(30 * time.Second); deleted {
		t.Errorf("informed: terminated after %v", after)
	}
}

// TestUnknownMachinesOutliveTheirLease guards against machines that are terminated before the leases of
// their workers have ended though nothing is known of cancellations, or later, or though they began
// after this process: no cancelled task can be there.
func TestUnknownMachinesOutliveTheirLease(t *testing.T) {
	const lease = 13 * time.Second
	r := newRig(t, &fakeHost{unknownDue: start.Add(lease)})
	r.answers["two:9000"] = true
	r.listed = []wire.Machine{
		{Name: "host-000001", Endpoint: "one:9000", State: wire.MachineRunning, AgeS: 100},
		{Name: "host-000002", Endpoint: "two:9000", State: wire.MachineRunning, AgeS: 100},
		{Name: "host-000003", Endpoint: "three:9000", State: wire.MachineBooting, AgeS: 100},
		{Name: "host-000004", Endpoint: "four:9000", State: wire.MachineRunning, AgeS: 1},
	}
	after, deleted := r.run(time.Minute)
	if !deleted || after < lease || after > lease+time.Second || len(r.deleted) != 1 || r.deleted[0] != "host-000001" {
		t.Errorf("%v terminated %v after %v, want host-000001 after %v", r.deleted, deleted, after, lease)
	}
}
