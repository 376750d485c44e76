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

// lister serves a machine list that lags.
type lister struct {
	born, died map[int]time.Time // by the machine's number
	lag        time.Duration
	calls      int
}

func (c *lister) page(after string, now time.Time) wire.MachineList {
	var out wire.MachineList
	at := now.Add(-c.lag)
	for i := range len(c.born) {
		name := fmt.Sprintf("host-%06d", i)
		d, dead := c.died[i]
		if name <= after || c.born[i].After(at) || (dead && !d.After(at)) {
			continue
		}
		if len(out.Machines) == 500 {
			out.More = true
			break
		}
		out.Machines = append(out.Machines, wire.Machine{Name: name, Type: "s4", Zone: "x", Spot: true, State: wire.MachineRunning, AgeS: at.Sub(c.born[i]).Seconds()})
	}
	return out
}

// TestListIsReadInParts reads the list of 10,000 machines while machines come and
// go and a third of the calls fails, a whole minute of them among these. It takes a
// quarter of the calls, what is gone is found out, and nothing that lives is taken
// for gone: not what was rented while a round stood still either.
func TestListIsReadInParts(t *testing.T) {
	l := newLeader([]config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n0", Incarnation: 7})
	l.autoscaler.inventory.complete = false
	rng := rand.New(rand.NewPCG(1, 2))
	start := l.loop.Now
	c := &lister{born: map[int]time.Time{}, died: map[int]time.Time{}, lag: 8 * time.Second}
	for i := range 10000 {
		c.born[i] = start.Add(-time.Minute)
	}
	perSecond := l.view.Settings.Cluster.Cloud.RPS
	for now, end := start, start.Add(5*time.Minute); now.Before(end); now = now.Add(100 * time.Millisecond) {
		l.loop.Begin(now)
		if now.Sub(start)%time.Second == 0 {
			if i := rng.IntN(len(c.born)); c.died[i].IsZero() {
				c.died[i] = now
			}
			n := len(c.born)
			c.born[n] = now
			l.autoscaler.instances[fmt.Sprintf("host-%06d", n)] = &instance{market: market{"s4", "x", true}, requested: now, lastListed: now}
		}
		l.scanInventory()
		for _, e := range l.loop.Effects() {
			e := e.(eventloop.CloudList)
			c.calls++
			away := now.Sub(start) > 2*time.Minute && now.Sub(start) < 3*time.Minute
			if away || rng.IntN(3) == 0 {
				l.loop.Complete(eventloop.Completion{ID: e.ID, Outcome: eventloop.Unavailable})
				continue
			}
			l.loop.Complete(eventloop.Completion{ID: e.ID, Outcome: eventloop.Succeeded, Machines: c.page(e.After, now)})
		}
		for name := range l.autoscaler.deleting {
			var i int
			if _, err := fmt.Sscanf(name, "host-%d", &i); err != nil || c.died[i].IsZero() {
				t.Fatalf("%v: %s lives and is taken for gone", now.Sub(start), name)
			}
			l.MachineDeleted(name)
		}
		for _, r := range l.autoscaler.instances {
			r.unleasedSince = time.Time{} // that they join no block is another test's
		}
		if now.Sub(start) == 20*time.Second && !l.autoscaler.inventory.complete {
			t.Error("20 s after the election the list is not read")
		}
	}
	if most := int(300*perSecond/4) + 10; c.calls > most {
		t.Errorf("%d calls, want at most %d", c.calls, most)
	}
	for i, at := range c.died {
		// Two rounds of 21 pages, a third of them asked again, and the lag.
		if r := l.autoscaler.instances[fmt.Sprintf("host-%06d", i)]; r != nil && at.Sub(start) < 3*time.Minute {
			t.Errorf("host-%06d, gone after %v, is still taken to be there", i, at.Sub(start))
		}
	}
	if n := len(l.autoscaler.instances); n < 9900 {
		t.Errorf("%d machines are known of 10,000", n)
	}
}
