package leader

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/core/sched"
	"fawncove/internal/wire"
)

// plan rents machines for work that has no place.
func (l *Leader) plan() {
	f := &l.fleet
	if f.renting > 0 || len(l.view.MachineTypes) == 0 {
		return
	}
	var waiting []sched.Demand
	l.renewals[l.view.Self] = l.local.Renewal()
	for _, node := range cluster.SortedKeys(l.renewals) {
		waiting = append(waiting, demands(l.renewals[node])...)
	}
	waiting = sched.MergeDemands(waiting)
	if !l.roomForMore() {
		return
	}
	l.cover()
	if len(waiting) == 0 || f.renting > 0 {
		return
	}
	// Work that may not use spot machines counts on ordinary ones only.
	anywhere, ordinary := waiting, []sched.Demand(nil)
	if slices.ContainsFunc(waiting, func(d sched.Demand) bool { return !d.Spot }) {
		anywhere = nil
		for _, d := range waiting {
			if d.Spot {
				anywhere = append(anywhere, d)
			} else {
				ordinary = append(ordinary, d)
			}
		}
	}
	l.planFor(anywhere, true)
	l.planFor(ordinary, false)
}

// planFor rents machines for waiting tasks that may use spot machines, or for
// those that may not.
func (l *Leader) planFor(waiting []sched.Demand, spot bool) {
	f := &l.fleet
	var coming []sched.Offer
	have, soonHave := 0.0, 0.0
	for _, name := range cluster.SortedKeys(f.machines) {
		r := f.machines[name]
		t, ok := l.view.MachineTypes[r.kind]
		if !ok || f.leaving[name] || l.recalls[name] || (r.spot && !spot) {
			continue
		}
		if l.view.HolderOf(name) != "" {
			have += t.CPUs
		} else if l.loop.Now.Sub(r.rentedAt) < config.Seconds(cluster.BootTimeoutFactor*t.BootS) {
			// Slower ones may never come and count as absent.
			coming = append(coming, sched.Offer{Type: r.kind, Zone: r.zone, Spot: r.spot, Size: cluster.MachineSize(t)})
			soonHave += t.CPUs
		}
	}
	left := sched.PackInto(waiting, coming)
	work := 0.0
	for _, d := range left {
		work += float64(d.Count) * d.Need.CPUs * d.RunS
	}
	if work <= 0 {
		return
	}
	soon := 0.0
	for _, t := range l.view.MachineTypes {
		if soon == 0 || t.BootS < soon {
			soon = t.BootS
		}
	}
	// Machines are rented for the work that the fleet does not get done by
	// itself soon; dear ones only for what would wait much longer, with the
	// machines that are on their way at work as well.
	if spot {
		before := f.renting
		for _, o := range sched.PlanScaleOut(beyond(left, work, have, cheapPatience*soon), l.offers(true), rentMost) {
			l.rent(o)
		}
		if f.renting > before {
			return // the answers tell what else is needed
		}
	}
	if spot && l.large() {
		for _, o := range sched.PlanScaleOut(l.behind(waiting, have+soonHave), l.offers(false), rentMost) {
			l.rent(o)
		}
		return
	}
	patience := dearPatience
	if !spot {
		patience = cheapPatience // there is nothing cheaper to wait for
	}
	for _, o := range sched.PlanScaleOut(beyond(left, work, have+soonHave, patience*soon), l.offers(false), rentMost) {
		l.rent(o)
	}
}

// headroom is the part by which the spot machines of a large fleet exceed its
// load, so that what comes next finds room at once.
const headroom = 0.1

// loadMemory is how long the load is averaged over. Machines are kept while
// the load dips for less.
const loadMemory = 20 * time.Second

// gauge sums up the fleet: what its tasks use or wait for, averaged, and the
// processors of the spot machines that are up or coming.
func (l *Leader) gauge() {
	f := &l.fleet
	busy := 0.0
	starving := false
	going := map[string]bool{} // about to be taken: what replaces them can be rented now
	for _, r := range l.renewals {
		busy += r.GetBusySpotCpus()
		for _, d := range r.GetDemand() {
			starving = starving || d.GetStarved()
		}
		for _, u := range r.GetMachineUse() {
			if u.GetDeparting() {
				going[u.GetName()] = true
			}
		}
	}
	if f.gaugedAt.IsZero() {
		f.load = busy
	} else {
		f.load += (busy - f.load) * min(1, l.loop.Now.Sub(f.gaugedAt).Seconds()/loadMemory.Seconds())
	}
	f.gaugedAt = l.loop.Now
	f.spot = 0
	for name, r := range f.machines {
		t := l.view.MachineTypes[r.kind]
		if r.spot && !f.leaving[name] && !l.recalls[name] && !going[name] && (l.view.HolderOf(name) != "" || l.loop.Now.Sub(r.rentedAt) < config.Seconds(cluster.BootTimeoutFactor*t.BootS)) {
			f.spot += t.CPUs
		}
	}
	f.target = 0
	if l.large() && !starving {
		// Work that cannot use what stands empty may wait for the room that
		// it takes up in the market; then nothing is kept.
		// On a small fleet one job is a large part of the load, and the
		// average says little about what comes next.
		f.target = max(busy, f.load) * (1 + headroom)
	}
}

const (
	// muchMissing is the part of the load for which markets are asked together.
	muchMissing = 0.05
	// tightFor is how long a market that could not give all says something
	// about the others.
	tightFor = time.Minute
)

// cover rents spot machines until they alone cover the load, if the market
// has them; retire recalls the ordinary ones once these are up.
func (l *Leader) cover() {
	f := &l.fleet
	offers := l.offers(true)
	slices.SortStableFunc(offers, func(a, b sched.Offer) int {
		return cmp.Compare(a.Price/a.Size.CPUs, b.Price/b.Size.CPUs)
	})
	// Asked of each market in turn, as a wave of losses leaves room in all.
	// While markets cannot give what is asked of them and much is missing,
	// they are asked together, each for a part: one after the other would
	// cost a second each.
	left := rentMost
	short := f.target - f.spot
	part := short
	if n := min(len(offers), max(1, int(l.view.Settings.Cluster.Cloud.RPS))); n > 1 &&
		short > muchMissing*f.target && l.loop.Now.Sub(f.tight) < tightFor {
		part = short / float64(n)
	}
	for _, o := range offers {
		n := min(int(math.Ceil(part/o.Size.CPUs)), int((f.target-f.spot)/o.Size.CPUs), wire.MaxInstancesPerRequest, left)
		if n <= 0 {
			continue
		}
		l.rent(sched.ScaleOut{Offer: o, Count: n})
		f.spot += float64(n) * o.Size.CPUs
		left -= n
	}
}

// plainSize is about what the lease value takes without pages, machines on
// their way included. They count with what they will take: a rental's names
// follow each other, so that is little more than a character each, not the four
// of the worst case by which growth once stopped at a seventh of the value.
func (l *Leader) plainSize() int {
	b, err := wire.Encode(l.view.Lease)
	if err != nil {
		l.log.Error("lease value", "err", err)
		return math.MaxInt32
	}
	var coming []string
	for name := range l.fleet.machines {
		if l.view.HolderOf(name) == "" {
			coming = append(coming, name)
		}
	}
	slices.Sort(coming)
	// As JSON, in which sizes are counted, the value takes a little more.
	return (len(b) + len(wire.PackNames(coming))) * 5 / 4
}

// roomForMore tells whether all budgets let the fleet grow. With pages the lease
// value names some ten thousand machines, so what counts there is how full the
// value itself is. At a ceiling nothing is rented until machines go; all else
// goes on.
func (l *Leader) roomForMore() bool {
	for _, b := range l.budgets {
		if b.Machines > 0 && !l.below(b.Name, float64(len(l.fleet.machines)), float64(b.Machines)) {
			return false
		}
	}
	size := l.view.LeaseValueBytes
	if l.view.Lease.Form < 2 {
		size = l.plainSize()
		if l.mayPage() {
			return true // pages come in time
		}
	}
	return l.below("names in the lease value", float64(size), leasevalue.MaxFill*1024*l.view.Settings.Cluster.State.ValueKB)
}

// ceilingPart is to which part of a ceiling a budget has to come down before the
// fleet may grow again: a fleet at its ceiling loses and rents machines all the
// time, and would be said to reach it every few seconds.
const ceilingPart = 0.97

// below tells whether a budget has not reached its ceiling, and logs it when
// that changes.
func (l *Leader) below(name string, at, ceiling float64) bool {
	f := &l.fleet
	if f.full == name {
		ceiling *= ceilingPart
	}
	full := at >= ceiling
	if full != (f.full == name) && (full || f.full == name) {
		f.full = ""
		if full {
			f.full = name
		}
		l.log.Warn("the fleet has reached a ceiling", "what", name, "reached", full, "at", int(at), "ceiling", int(ceiling))
	}
	return !full
}

// beyond is the part of the waiting tasks that a fleet of have processors
// does not get to within patience seconds. Gangs, which need all their room
// at once, daemons, which never end, and starved jobs count in full.
func beyond(waiting []sched.Demand, work, have, patience float64) []sched.Demand {
	out := slices.Clone(waiting)
	if have <= 0 {
		return out
	}
	share := max(0, 1-patience/(work/have))
	for i := range out {
		if !out[i].ProvisionAll {
			out[i].Count = int(math.Ceil(float64(out[i].Count) * share))
		}
	}
	return out
}

// patient is from which slack on, in times that a backlog is worked off in,
// waiting work is left to cheap machines.
const patient = 2.0

// behind is the part of the waiting tasks that dear machines are wanted for:
// a fleet of size processors has to keep up with what comes in, and only what
// it has beyond that works off what waits. Early or late, a backlog costs the
// same machine time, so it is worked off as early as its aims ask for.
func (l *Leader) behind(waiting []sched.Demand, size float64) []sched.Demand {
	soon := 0.0
	for _, t := range l.view.MachineTypes {
		if soon == 0 || t.BootS < soon {
			soon = t.BootS
		}
	}
	drain := dearPatience * soon
	short, cpus := l.local.ArrivalRate()-size, 0.0
	for _, r := range l.renewals {
		short += r.GetBusyCpus() - r.GetBusySpotCpus()
	}
	out := slices.Clone(waiting)
	for i := range out {
		d := &out[i]
		if !d.ProvisionAll && d.SlackS > patient*drain {
			d.Count = 0 // may wait for cheaper room
		}
		n := float64(d.Count) * d.Need.CPUs
		cpus += n
		short += n * d.RunS / max(drain, d.SlackS, 1)
	}
	for i := range out {
		if d := &out[i]; !d.ProvisionAll {
			d.Count = int(math.Ceil(float64(d.Count) * min(1, max(0, short/max(1, cpus)))))
		}
	}
	return out
}

// offers lists what can be rented: the cheap kind, spot machines, or all.
func (l *Leader) offers(cheap bool) []sched.Offer {
	var out []sched.Offer
	for _, name := range cluster.SortedKeys(l.view.MachineTypes) {
		t := l.view.MachineTypes[name]
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				if l.loop.Now.Before(l.fleet.refused[offerKey{name, zone, spot}]) || (cheap && !spot) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				out = append(out, sched.Offer{Type: name, Zone: zone, Spot: spot, Size: cluster.MachineSize(t), Price: price, BootS: t.BootS})
			}
		}
	}
	return out
}

// rent asks for an order's machines, a request for each MaxInstancesPerRequest of them.
func (l *Leader) rent(o sched.ScaleOut) {
	for ; o.Count > wire.MaxInstancesPerRequest; o.Count -= wire.MaxInstancesPerRequest {
		part := o
		part.Count = wire.MaxInstancesPerRequest
		l.request(part)
	}
	l.request(o)
}

func (l *Leader) request(o sched.ScaleOut) {
	f := &l.fleet
	f.requests++
	f.renting++
	key := offerKey{o.Type, o.Zone, o.Spot}
	req := wire.InstanceRequest{ID: fmt.Sprintf("r-%d-%d", l.term, f.requests), Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: o.Count}
	asked := l.loop.Now
	l.loop.Emit(eventloop.CloudCreate{Request: req, ID: l.loop.Call(func(d eventloop.Completion) {
		f.renting--
		if d.Outcome != eventloop.Succeeded || len(d.Names) < req.Count {
			if o.Spot {
				f.tight = l.loop.Now
			}
			f.refused[key] = l.loop.Now.Add(refusedFor)
		}
		l.log.Info("rented", "type", o.Type, "zone", o.Zone, "spot", o.Spot, "asked", req.Count, "got", len(d.Names), "outcome", d.Outcome)
		for _, n := range d.Names {
			if f.machines[n] == nil {
				f.machines[n] = &rented{offerKey: key, rentedAt: asked, listedAt: l.loop.Now}
			}
		}
	})})
}
