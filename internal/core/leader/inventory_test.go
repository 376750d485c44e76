package leader

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// fakeCloud serves the pages of an instance list that lags behind.
type fakeCloud struct {
	created, deleted map[int]time.Time // by the instance's number
	lag              time.Duration
	calls            int
}

// page returns the page of the instance list that follows a name.
func (c *fakeCloud) page(after string, now time.Time) wire.MachineList {
	var list wire.MachineList
	at := now.Add(-c.lag)
	for i := range len(c.created) {
		name := fmt.Sprintf("host-%06d", i)
		deletedAt, deleted := c.deleted[i]
		if name <= after || c.created[i].After(at) || (deleted && !deletedAt.After(at)) {
			continue
		}
		if len(list.Machines) == 500 {
			list.More = true
			break
		}
		list.Machines = append(list.Machines, wire.Machine{Name: name, Type: "s4", Zone: "x", Spot: true, State: wire.MachineRunning, AgeS: at.Sub(c.created[i]).Seconds()})
	}
	return list
}

// TestPagedScanKeepsLiveInstances guards against taking a live instance for a deleted
// one: the list of 10,000 instances is read page by page while instances are created and
// deleted and a third of the calls fail, among them all calls of one minute. The scan
// takes a quarter of the call rate, finds the deleted instances, and keeps the live ones,
// those created while a scan was stalled as well.
func TestPagedScanKeepsLiveInstances(t *testing.T) {
	l := newLeader([]config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n0", Incarnation: 7})
	l.autoscaler.inventory.complete = false
	rng := rand.New(rand.NewPCG(1, 2))
	start := l.loop.Now
	cloud := &fakeCloud{created: map[int]time.Time{}, deleted: map[int]time.Time{}, lag: 8 * time.Second}
	for i := range 10000 {
		cloud.created[i] = start.Add(-time.Minute)
	}
	perSecond := l.view.Settings.Cluster.Cloud.RPS
	for now, end := start, start.Add(5*time.Minute); now.Before(end); now = now.Add(100 * time.Millisecond) {
		l.loop.Begin(now)
		if now.Sub(start)%time.Second == 0 {
			if i := rng.IntN(len(cloud.created)); cloud.deleted[i].IsZero() {
				cloud.deleted[i] = now
			}
			n := len(cloud.created)
			cloud.created[n] = now
			l.autoscaler.instances[fmt.Sprintf("host-%06d", n)] = &instance{market: market{"s4", "x", true}, requested: now, lastListed: now}
		}
		l.scanInventory()
		for _, e := range l.loop.Effects() {
			call := e.(eventloop.CloudList)
			cloud.calls++
			unavailable := now.Sub(start) > 2*time.Minute && now.Sub(start) < 3*time.Minute
			if unavailable || rng.IntN(3) == 0 {
				l.loop.Complete(eventloop.Completion{ID: call.ID, Outcome: eventloop.Unavailable})
				continue
			}
			l.loop.Complete(eventloop.Completion{ID: call.ID, Outcome: eventloop.Succeeded, Machines: cloud.page(call.After, now)})
		}
		for name := range l.autoscaler.deleting {
			var i int
			if _, err := fmt.Sscanf(name, "host-%d", &i); err != nil || cloud.deleted[i].IsZero() {
				t.Fatalf("after %v: live instance %s is taken for deleted, want it kept", now.Sub(start), name)
			}
			l.MachineDeleted(name)
		}
		for _, inst := range l.autoscaler.instances {
			inst.unleasedSince = time.Time{} // instances in no block are the subject of another test
		}
		if now.Sub(start) == 20*time.Second && !l.autoscaler.inventory.complete {
			t.Error("inventory complete 20 s after the election = false, want true")
		}
	}
	if most := int(300*perSecond/4) + 10; cloud.calls > most {
		t.Errorf("got %d list calls, want at most %d", cloud.calls, most)
	}
	for i, deletedAt := range cloud.deleted {
		// Two scans of 21 pages, a third of the calls repeated, and the lag.
		if inst := l.autoscaler.instances[fmt.Sprintf("host-%06d", i)]; inst != nil && deletedAt.Sub(start) < 3*time.Minute {
			t.Errorf("host-%06d, deleted after %v, is still in the inventory, want it removed", i, deletedAt.Sub(start))
		}
	}
	if n := len(l.autoscaler.instances); n < 9900 {
		t.Errorf("inventory has %d instances of 10,000, want at least 9900", n)
	}
}

// TestUnleasedInstanceIsDeleted guards against paying for an instance that runs and joins
// no block, as one that reaches no controller. It is deleted within the stated bound, not
// before.
func TestUnleasedInstanceIsDeleted(t *testing.T) {
	l := newLeader([]config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n0", Incarnation: 7})
	start, bound := l.loop.Now, l.maxUnleased()
	for _, after := range []time.Duration{0, bound - time.Second, bound + time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			l.loop.Begin(start.Add(after))
			l.applyInventoryEntry(wire.Machine{Name: "host-000001", Type: "s4", Zone: "x", State: wire.MachineRunning, AgeS: 60})
			if got, want := l.autoscaler.deleting["host-000001"], after > bound; got != want {
				t.Errorf("%v after it was first listed: instance deleted = %v, want %v", after, got, want)
			}
		})
	}
}
