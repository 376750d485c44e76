package leader

import (
	"slices"
	"testing"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// TestMachineThatIsBackIsKept: a machine falls silent and is to be returned, but the cloud
// is out. It reports again, and gets work, before the cloud is back: it may not be
// returned then. One whose return had no answer may be gone any moment, and is; so is
// one that stays silent.
func TestMachineThatIsBackIsKept(t *testing.T) {
	for _, c := range []struct {
		name     string
		outcome  eventloop.Outcome // of the first try
		back     bool
		returned bool
	}{
		{"out, and it is back", eventloop.Unavailable, true, false},
		{"too many requests, and it is back", eventloop.Throttled, true, false},
		{"no answer, and it is back", eventloop.NoAnswer, true, true},
		{"out, and it stays silent", eventloop.Unavailable, false, true},
	} {
		l := newLeader(nil, wire.LeaseRecord{Term: 3, Leader: "n0", Incarnation: 7,
			Blocks: map[string]wire.Block{"n0": {Grant: 3 << 16, Incarnation: 7}, "n1": {Grant: 3<<16 + 1, Incarnation: 9, Machines: []string{"host-000001"}}}})
		start := l.loop.Now
		number := uint64(0)
		// run has the leader hear the holder and act, and tells what it returns.
		run := func(after time.Duration, lost bool, outcome eventloop.Outcome) (returned bool) {
			l.loop.Begin(start.Add(after))
			l.PublishStored(l.loop.Now)
			number++
			r := &peerpb.Renewal{Node: "n1", Incarnation: 9, Number: number}
			if lost {
				r.SilentMachines = wire.PackNames([]string{"host-000001"})
			}
			l.HandleRenewal(r)
			l.RunAutoscaler()
			for _, e := range l.loop.Effects() {
				if e, ok := e.(eventloop.CloudDelete); ok {
					returned = slices.Contains(e.Names, "host-000001")
					l.loop.Complete(eventloop.Completion{ID: e.ID, Outcome: outcome})
				}
			}
			return returned
		}
		if !run(time.Second, true, c.outcome) {
			t.Fatalf("%s: not returned when it was lost", c.name)
		}
		if got := run(3*time.Second, !c.back, eventloop.Succeeded); got != c.returned {
			t.Errorf("%s: returned two seconds later: %v, want %v", c.name, got, c.returned)
		}
	}
}

// TestRecallOfABusyMachineIsWithdrawn: a machine that stands empty is recalled, and gets a
// task before its holder knows. Were it still recalled, nothing else could use its room
// until that task ends. One that stays empty, or was recalled as faulty, stays recalled.
func TestRecallOfABusyMachineIsWithdrawn(t *testing.T) {
	for _, c := range []struct {
		name         string
		first, later *peerpb.MachineUse
		stays        bool
	}{
		{"in use again", &peerpb.MachineUse{IdleS: 60}, nil, false},
		{"still empty", &peerpb.MachineUse{IdleS: 60}, &peerpb.MachineUse{IdleS: 77}, true},
		{"faulty", &peerpb.MachineUse{Quarantined: true}, nil, true},
	} {
		l := newLeader(nil, wire.LeaseRecord{Term: 3, Leader: "n0", Incarnation: 7,
			Blocks: map[string]wire.Block{"n0": {Grant: 3 << 16, Incarnation: 7}, "n1": {Grant: 3<<16 + 1, Incarnation: 9, Machines: []string{"host-000001"}}}})
		start := l.loop.Now
		for i, u := range []*peerpb.MachineUse{c.first, c.later} {
			l.loop.Begin(start.Add(time.Duration(i)*(maxDrainInUse+2*time.Second) + time.Second))
			l.PublishStored(l.loop.Now)
			r := &peerpb.Renewal{Node: "n1", Incarnation: 9, Number: uint64(1 + i)}
			if u != nil {
				u.Name = "host-000001"
				r.MachineUse = append(r.MachineUse, u)
			}
			l.HandleRenewal(r)
			l.RunAutoscaler()
			if i == 0 && !l.draining["host-000001"] {
				t.Fatalf("%s: not recalled", c.name)
			}
		}
		if got := l.draining["host-000001"]; got != c.stays {
			t.Errorf("%s: recalled %v, want %v", c.name, got, c.stays)
		}
		rec, _ := l.Publish(&peerpb.Renewal{Node: "n0", Incarnation: 7, Number: 1})
		if got := len(rec.Blocks["n1"].Draining) > 0; got != c.stays {
			t.Errorf("%s: its holder is told so: %v, want %v", c.name, got, c.stays)
		}
	}
}
