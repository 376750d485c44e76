package leader

import (
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// reading is how far the leader is in the cloud's machine list. It is read in
// rounds, a page at a time, so that a fleet of any size takes the same part of
// the cloud's calls: a large one is looked over less often.
type inventoryScan struct {
	inFlight     bool      // a page is under way
	nextPage     time.Time // no page before then
	roundStarted time.Time // the round
	cursor       string    // where the next page begins
	complete     bool      // one round was finished since leading
}

// readList asks for the next page of the machine list when it is time. Until one
// whole list was read nothing is rented, so the first round takes twice the calls.
func (l *Leader) scanInventory() {
	at := &l.autoscaler.inventory
	if at.inFlight || l.loop.Now.Before(at.nextPage) {
		return
	}
	if at.cursor == "" {
		at.roundStarted = l.loop.Now
	}
	pause := l.view.Settings.ListPause()
	if !at.complete {
		pause /= 2
	}
	at.inFlight, at.nextPage = true, l.loop.Now.Add(pause)
	after := at.cursor
	l.loop.Emit(eventloop.CloudList{After: after, ID: l.loop.Call(func(d eventloop.Completion) {
		at.inFlight = false
		if l.stopped {
			return
		}
		if d.Outcome != eventloop.Succeeded {
			at.nextPage = l.loop.Now.Add(time.Second) // the same page again
			return
		}
		l.applyInventoryPage(after, d.Machines)
	})})
}

// takePage takes a page of the list that begins after a name.
func (l *Leader) applyInventoryPage(after string, page wire.MachineList) {
	at := &l.autoscaler.inventory
	names := make(map[string]bool, len(page.Machines))
	last := after
	for _, m := range page.Machines {
		names[m.Name] = true
		last = m.Name
		l.applyInventoryEntry(m)
	}
	more := page.More && last > after
	// Missing for longer than any list can lag: taken by the cloud. The release
	// makes sure of it before anything is started again. It is judged by each
	// page as it comes: at the end of a round its first pages are older than that.
	lag := config.Seconds(2*l.view.Settings.Cluster.Cloud.ListLagS) + 5*time.Second
	for name, r := range l.autoscaler.instances {
		if name > after && (name <= last || !more) && !names[name] &&
			l.loop.Now.Sub(r.lastListed) > lag && l.loop.Now.Sub(r.requested) > lag {
			l.autoscaler.deleting[name] = true
		}
	}
	if at.cursor = last; more {
		return
	}
	at.cursor, at.complete = "", true
	if again := at.roundStarted.Add(l.view.Settings.ListEvery()); again.After(at.nextPage) {
		at.nextPage = again
	}
	l.local.UpdateMachineInfo(l.MachineInfo)
}

// listed takes one line of the machine list.
func (l *Leader) applyInventoryEntry(m wire.Machine) {
	f := &l.autoscaler
	if m.Name == "" || l.deleted[m.Name] || f.deleting[m.Name] {
		return
	}
	r := f.instances[m.Name]
	if r == nil {
		r = &instance{market: market{m.Type, m.Zone, m.Spot}, requested: l.loop.Now.Add(-config.Seconds(m.AgeS))}
		f.instances[m.Name] = r
	}
	r.lastListed, r.endpoint = l.loop.Now, m.Endpoint
	if m.State != wire.MachineRunning || l.view.HolderOf(m.Name) != "" {
		r.unleasedSince = time.Time{}
	} else if r.unleasedSince.IsZero() {
		r.unleasedSince = l.loop.Now
	}
	switch {
	case !r.unleasedSince.IsZero() && l.loop.Now.Sub(r.unleasedSince) > l.maxUnleased():
		l.log.Info("machine is up and joins no block", "machine", m.Name)
		f.deleting[m.Name] = true
	case m.State == wire.MachineFailed:
		f.deleting[m.Name] = true
	case m.State == wire.MachineBooting && l.view.HolderOf(m.Name) == "":
		// Never came up: some take several times as long, a few for ever.
		if t, ok := l.view.MachineTypes[m.Type]; ok && m.AgeS > cluster.BootTimeoutFactor*t.BootS+15 {
			f.deleting[m.Name] = true
		}
	}
}

// maxUnleased is how long a machine that is up may be in no block. It takes a
// report and a write of the lease value to join one; a list may show it late.
func (l *Leader) maxUnleased() time.Duration {
	return config.Seconds(l.view.Settings.Cluster.Workers.LeaseS+2*l.view.Settings.Cluster.Cloud.ListLagS) + 30*time.Second
}
