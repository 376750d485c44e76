package leader

import (
	"slices"
	"testing"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// leaseWithInstance returns the record of a lease held by n0, with an instance in the
// block of n1.
func leaseWithInstance() wire.LeaseRecord {
	return wire.LeaseRecord{Term: 3, Leader: "n0", Incarnation: 7,
		Blocks: map[string]wire.Block{
			"n0": {Grant: 3 << 16, Incarnation: 7},
			"n1": {Grant: 3<<16 + 1, Incarnation: 9, Machines: []string{"host-000001"}},
		}}
}

// TestRecoveredInstanceIsNotDeleted guards against deleting an instance that has
// resumed its heartbeats: it fell silent and was to be deleted, but the cloud was
// unavailable, and it reports again, and gets work, before the cloud is back. An
// instance whose deletion went unanswered may be gone at any moment and is deleted;
// so is one that stays silent.
func TestRecoveredInstanceIsNotDeleted(t *testing.T) {
	for _, c := range []struct {
		name      string
		outcome   eventloop.Outcome // of the first deletion call
		recovered bool              // heartbeats resume before the second call
		want      bool              // deleted by the second call
	}{
		{"cloud unavailable, instance recovered", eventloop.Unavailable, true, false},
		{"call throttled, instance recovered", eventloop.Throttled, true, false},
		{"call unanswered, instance recovered", eventloop.NoAnswer, true, true},
		{"cloud unavailable, instance stays silent", eventloop.Unavailable, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLeader(nil, leaseWithInstance())
			start := l.loop.Now
			number := uint64(0)
			// deletes reports whether the leader deletes the instance after the holder's
			// next renewal; the deletion call ends with the given outcome.
			deletes := func(after time.Duration, silent bool, outcome eventloop.Outcome) (deleted bool) {
				l.loop.Begin(start.Add(after))
				l.PublishStored(l.loop.Now)
				number++
				renewal := &peerpb.Renewal{Node: "n1", Incarnation: 9, Number: number}
				if silent {
					renewal.SilentMachines = wire.PackNames([]string{"host-000001"})
				}
				l.HandleRenewal(renewal)
				l.RunAutoscaler()
				for _, e := range l.loop.Effects() {
					if e, ok := e.(eventloop.CloudDelete); ok {
						deleted = slices.Contains(e.Names, "host-000001")
						l.loop.Complete(eventloop.Completion{ID: e.ID, Outcome: outcome})
					}
				}
				return deleted
			}
			if !deletes(time.Second, true, c.outcome) {
				t.Fatal("silent instance deleted = false, want true")
			}
			if got := deletes(3*time.Second, !c.recovered, eventloop.Succeeded); got != c.want {
				t.Errorf("instance deleted two seconds later = %v, want %v", got, c.want)
			}
		})
	}
}

// TestDrainOfBusyInstanceIsWithdrawn guards against draining an instance that is in use
// again: it was idle and is drained, and gets a task before its holder learns of that.
// Still draining, it could take no other task until that one ends. An instance that
// stays idle, or is drained because it is quarantined, stays draining.
func TestDrainOfBusyInstanceIsWithdrawn(t *testing.T) {
	for _, c := range []struct {
		name         string
		first, later *peerpb.MachineUse // as the holder reports the instance
		wantDraining bool
	}{
		{"in use again", &peerpb.MachineUse{IdleS: 60}, nil, false},
		{"still idle", &peerpb.MachineUse{IdleS: 60}, &peerpb.MachineUse{IdleS: 77}, true},
		{"quarantined", &peerpb.MachineUse{Quarantined: true}, nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLeader(nil, leaseWithInstance())
			start := l.loop.Now
			for i, use := range []*peerpb.MachineUse{c.first, c.later} {
				l.loop.Begin(start.Add(time.Duration(i)*(maxDrainInUse+2*time.Second) + time.Second))
				l.PublishStored(l.loop.Now)
				renewal := &peerpb.Renewal{Node: "n1", Incarnation: 9, Number: uint64(1 + i)}
				if use != nil {
					use.Name = "host-000001"
					renewal.MachineUse = append(renewal.MachineUse, use)
				}
				l.HandleRenewal(renewal)
				l.RunAutoscaler()
				if i == 0 && !l.draining["host-000001"] {
					t.Fatal("instance draining = false, want true")
				}
			}
			if got := l.draining["host-000001"]; got != c.wantDraining {
				t.Errorf("instance draining = %v, want %v", got, c.wantDraining)
			}
			rec, _ := l.Publish(&peerpb.Renewal{Node: "n0", Incarnation: 7, Number: 1})
			if got := len(rec.Blocks["n1"].Draining) > 0; got != c.wantDraining {
				t.Errorf("instance draining in the lease record = %v, want %v", got, c.wantDraining)
			}
		})
	}
}
