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
type reading struct {
	asked bool      // a page is under way
	next  time.Time // no page before then
	began time.Time // the round
	after string    // where the next page begins
	whole bool      // one round was finished since leading
}

// readList asks for the next page of the machine list when it is time. Until one
// whole list was read nothing is rented, so the first round takes twice the calls.
func (l *Leader) readList() {
	at := &l.fleet.list
	if at.asked || l.loop.Now.Before(at.next) {
		return
	}
	if at.after == "" {
		at.began = l.loop.Now
	}
	pause := l.view.Settings.ListPause()
	if !at.whole {
		pause /= 2
	}
	at.asked, at.next = true, l.loop.Now.Add(pause)
	after := at.after
	l.loop.Emit(eventloop.CloudList{After: after, ID: l.loop.Call(func(d eventloop.Completion) {
		at.asked = false
		if l.ended {
			return
		}
		if d.Outcome != eventloop.Succeeded {
			at.next = l.loop.Now.Add(time.Second) // the same page again
			return
		}
		l.takePage(after, d.Machines)
	})})
}

// takePage takes a page of the list that begins after a name.
func (l *Leader) takePage(after string, page wire.MachineList) {
	at := &l.fleet.list
	names := make(map[string]bool, len(page.Machines))
	last := after
	for _, m := range page.Machines {
		names[m.Name] = true
		last = m.Name
		l.listed(m)
	}
	more := page.More && last > after
	// Missing for longer than any list can lag: taken by the cloud. The release
	// makes sure of it before anything is started again. It is judged by each
	// page as it comes: at the end of a round its first pages are older than that.
	lag := config.Seconds(2*l.view.Settings.Cluster.Cloud.ListLagS) + 5*time.Second
	for name, r := range l.fleet.machines {
		if name > after && (name <= last || !more) && !names[name] &&
			l.loop.Now.Sub(r.listedAt) > lag && l.loop.Now.Sub(r.rentedAt) > lag {
			l.fleet.leaving[name] = true
		}
	}
	if at.after = last; more {
		return
	}
	at.after, at.whole = "", true
	if again := at.began.Add(l.view.Settings.ListEvery()); again.After(at.next) {
		at.next = again
	}
	l.local.UpdateMachineInfo(l.MachineInfo)
}

// listed takes one line of the machine list.
func (l *Leader) listed(m wire.Machine) {
	f := &l.fleet
	if m.Name == "" || l.gone[m.Name] || f.leaving[m.Name] {
		return
	}
	r := f.machines[m.Name]
	if r == nil {
		r = &rented{offerKey: offerKey{m.Type, m.Zone, m.Spot}, rentedAt: l.loop.Now.Add(-config.Seconds(m.AgeS))}
		f.machines[m.Name] = r
	}
	r.listedAt, r.endpoint = l.loop.Now, m.Endpoint
	if m.State != wire.MachineRunning || l.view.HolderOf(m.Name) != "" {
		r.ownerless = time.Time{}
	} else if r.ownerless.IsZero() {
		r.ownerless = l.loop.Now
	}
	switch {
	case !r.ownerless.IsZero() && l.loop.Now.Sub(r.ownerless) > l.ownerlessMost():
		l.log.Info("machine is up and joins no block", "machine", m.Name)
		f.leaving[m.Name] = true
	case m.State == wire.MachineFailed:
		f.leaving[m.Name] = true
	case m.State == wire.MachineBooting && l.view.HolderOf(m.Name) == "":
		// Never came up: some take several times as long, a few for ever.
		if t, ok := l.view.MachineTypes[m.Type]; ok && m.AgeS > cluster.BootTimeoutFactor*t.BootS+15 {
			f.leaving[m.Name] = true
		}
	}
}

// ownerlessMost is how long a machine that is up may be in no block. It takes a
// report and a write of the lease value to join one; a list may show it late.
func (l *Leader) ownerlessMost() time.Duration {
	return config.Seconds(l.view.Settings.Cluster.Workers.LeaseS+2*l.view.Settings.Cluster.Cloud.ListLagS) + 30*time.Second
}
