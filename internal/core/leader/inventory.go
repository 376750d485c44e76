package leader

import (
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

const (
	// inventoryRetryAfter is the time after which a page that could not be read is asked
	// for again.
	inventoryRetryAfter = time.Second
	// inventoryMargin is added to the lag of the inventory before a machine that is not
	// listed counts as gone.
	inventoryMargin = 5 * time.Second
	// joinMargin is the time that a heartbeat and a write of the lease value may take.
	joinMargin = 30 * time.Second
	// bootMarginS is added, in seconds, to the time after which a machine counts as one
	// that never boots.
	bootMarginS = 15
)

// inventoryScan is the progress of reading the cloud's machine list. The list is read in
// rounds, a page at a time, so that a fleet of any size takes the same part of the
// cloud's request limit; a large one is read less often.
type inventoryScan struct {
	inFlight     bool      // a page is being read
	nextPage     time.Time // no page is asked for before then
	roundStarted time.Time
	cursor       string // name after which the next page begins
	complete     bool   // a whole round was read since this controller leads
}

// scanInventory asks for the next page of the machine list when it is time. Nothing is
// rented until one whole list was read, so the first round is read at twice the rate.
func (l *Leader) scanInventory() {
	scan := &l.autoscaler.inventory
	if scan.inFlight || l.loop.Now.Before(scan.nextPage) {
		return
	}
	if scan.cursor == "" {
		scan.roundStarted = l.loop.Now
	}
	pause := l.view.Settings.InventoryPageInterval()
	if !scan.complete {
		pause /= 2
	}
	scan.inFlight, scan.nextPage = true, l.loop.Now.Add(pause)
	after := scan.cursor
	l.loop.Emit(eventloop.CloudList{After: after, ID: l.loop.OnCompletion(func(done eventloop.Completion) {
		scan.inFlight = false
		if l.stopped {
			return
		}
		if done.Outcome != eventloop.Succeeded {
			scan.nextPage = l.loop.Now.Add(inventoryRetryAfter) // the same page again
			return
		}
		l.applyInventoryPage(after, done.Machines)
	})})
}

// applyInventoryPage takes in a page of the list that begins after a name.
func (l *Leader) applyInventoryPage(after string, page wire.MachineList) {
	scan := &l.autoscaler.inventory
	names := make(map[string]bool, len(page.Machines))
	last := after
	for _, machine := range page.Machines {
		names[machine.Name] = true
		last = machine.Name
		l.applyInventoryEntry(machine)
	}
	more := page.More && last > after
	l.deleteMissing(names, func(name string) bool { return name > after && (name <= last || !more) })
	if scan.cursor = last; more {
		return
	}
	scan.cursor, scan.complete = "", true
	if next := scan.roundStarted.Add(l.view.Settings.InventoryInterval()); next.After(scan.nextPage) {
		scan.nextPage = next
	}
	l.local.UpdateMachineInfo(l.MachineInfo)
}

// deleteMissing marks machines for deletion that should be on a page and are not, for
// longer than any list can lag: the cloud has taken them, and the deletion makes sure of
// it before anything of theirs is started again. This is decided with each page: at the
// end of a round its first pages would be too old.
func (l *Leader) deleteMissing(listed map[string]bool, onPage func(name string) bool) {
	lag := config.Seconds(2*l.view.Settings.Cluster.Cloud.ListLagS) + inventoryMargin
	for name, known := range l.autoscaler.instances {
		if onPage(name) && !listed[name] && l.loop.Now.Sub(known.lastListed) > lag && l.loop.Now.Sub(known.requested) > lag {
			l.autoscaler.deleting[name] = true
		}
	}
}

// applyInventoryEntry takes in one machine of the list, and marks it for deletion if it
// has failed, never boots or joins no block.
func (l *Leader) applyInventoryEntry(machine wire.Machine) {
	a := &l.autoscaler
	name := machine.Name
	if name == "" || l.deleted[name] || a.deleting[name] {
		return
	}
	known := a.instances[name]
	if known == nil {
		known = &instance{market: market{machine.Type, machine.Zone, machine.Spot},
			requested: l.loop.Now.Add(-config.Seconds(machine.AgeS))}
		a.instances[name] = known
	}
	known.lastListed, known.endpoint = l.loop.Now, machine.Endpoint
	leased := l.view.HolderOf(name) != ""
	if machine.State != wire.MachineRunning || leased {
		known.unleasedSince = time.Time{}
	} else if known.unleasedSince.IsZero() {
		known.unleasedSince = l.loop.Now
	}
	switch {
	case !known.unleasedSince.IsZero() && l.loop.Now.Sub(known.unleasedSince) > l.maxUnleased():
		l.log.Info("running machine joins no block", "machine", name)
		a.deleting[name] = true
	case machine.State == wire.MachineFailed:
		a.deleting[name] = true
	case machine.State == wire.MachineBooting && !leased:
		// Some take several times as long as usual, a few never come up.
		machineType, ok := l.view.MachineTypes[machine.Type]
		if ok && machine.AgeS > cluster.BootTimeoutFactor*machineType.BootS+bootMarginS {
			a.deleting[name] = true
		}
	}
}

// maxUnleased returns how long a running machine may be in no block: joining one takes a
// heartbeat and a write of the lease value, and the list shows it late.
func (l *Leader) maxUnleased() time.Duration {
	return config.Seconds(l.view.Settings.Cluster.Workers.LeaseS+2*l.view.Settings.Cluster.Cloud.ListLagS) + joinMargin
}
