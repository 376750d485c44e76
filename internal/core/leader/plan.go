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
func (l *Leader) planScaleOut() {
	f := &l.autoscaler
	if f.createsInFlight > 0 || len(l.view.MachineTypes) == 0 {
		return
	}
	var waiting []sched.Demand
	l.renewals[l.view.Self] = l.local.Renewal()
	for _, node := range cluster.SortedKeys(l.renewals) {
		waiting = append(waiting, decodeDemands(l.renewals[node])...)
	}
	waiting = sched.MergeDemands(waiting)
	if !l.mayGrow() {
		return
	}
	l.coverLoadWithSpot()
	if len(waiting) == 0 || f.createsInFlight > 0 {
		return
	}
	// Work that may not use spot machines counts on ordinary ones only.
	anywhere, onDemand := waiting, []sched.Demand(nil)
	if slices.ContainsFunc(waiting, func(d sched.Demand) bool { return !d.Spot }) {
		anywhere = nil
		for _, d := range waiting {
			if d.Spot {
				anywhere = append(anywhere, d)
			} else {
				onDemand = append(onDemand, d)
			}
		}
	}
	l.planScaleOutFor(anywhere, true)
	l.planScaleOutFor(onDemand, false)
}

// planFor rents machines for waiting tasks that may use spot machines, or for
// those that may not.
func (l *Leader) planScaleOutFor(waiting []sched.Demand, spot bool) {
	f := &l.autoscaler
	var coming []sched.Offer
	leasedCPUs, comingCPUs := 0.0, 0.0
	for _, name := range cluster.SortedKeys(f.instances) {
		r := f.instances[name]
		t, ok := l.view.MachineTypes[r.machineType]
		if !ok || f.deleting[name] || l.draining[name] || (r.spot && !spot) {
			continue
		}
		if l.view.HolderOf(name) != "" {
			leasedCPUs += t.CPUs
		} else if l.loop.Now.Sub(r.requested) < config.Seconds(cluster.BootTimeoutFactor*t.BootS) {
			// Slower ones may never come and count as absent.
			coming = append(coming, sched.Offer{Type: r.machineType, Zone: r.zone, Spot: r.spot, Size: cluster.MachineSize(t)})
			comingCPUs += t.CPUs
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
	shortestBoot := 0.0
	for _, t := range l.view.MachineTypes {
		if shortestBoot == 0 || t.BootS < shortestBoot {
			shortestBoot = t.BootS
		}
	}
	// Machines are rented for the work that the fleet does not get done by
	// itself soon; dear ones only for what would wait much longer, with the
	// machines that are on their way at work as well.
	if spot {
		before := f.createsInFlight
		for _, o := range sched.PlanScaleOut(unservedWithin(left, work, leasedCPUs, maxWaitSpot*shortestBoot), l.offers(true), maxScaleOutBatch) {
			l.createInstances(o)
		}
		if f.createsInFlight > before {
			return // the answers tell what else is needed
		}
	}
	if spot && l.isLarge() {
		for _, o := range sched.PlanScaleOut(l.backlogForOnDemand(waiting, leasedCPUs+comingCPUs), l.offers(false), maxScaleOutBatch) {
			l.createInstances(o)
		}
		return
	}
	maxWait := maxWaitOnDemand
	if !spot {
		maxWait = maxWaitSpot // there is nothing cheaper to wait for
	}
	for _, o := range sched.PlanScaleOut(unservedWithin(left, work, leasedCPUs+comingCPUs, maxWait*shortestBoot), l.offers(false), maxScaleOutBatch) {
		l.createInstances(o)
	}
}

// headroom is the part by which the spot machines of a large fleet exceed its
// load, so that what comes next finds room at once.
const headroom = 0.1

// loadAveragingTime is how long the load is averaged over. Machines are kept while
// the load dips for less.
const loadAveragingTime = 20 * time.Second

// gauge sums up the fleet: what its tasks use or wait for, averaged, and the
// processors of the spot machines that are up or coming.
func (l *Leader) measureLoad() {
	f := &l.autoscaler
	busy := 0.0
	overdue := false
	departing := map[string]bool{} // about to be taken: what replaces them can be rented now
	for _, r := range l.renewals {
		busy += r.GetBusySpotCpus()
		for _, d := range r.GetDemand() {
			overdue = overdue || d.GetStarved()
		}
		for _, u := range r.GetMachineUse() {
			if u.GetDeparting() {
				departing[u.GetName()] = true
			}
		}
	}
	if f.lastMeasured.IsZero() {
		f.averageLoad = busy
	} else {
		f.averageLoad += (busy - f.averageLoad) * min(1, l.loop.Now.Sub(f.lastMeasured).Seconds()/loadAveragingTime.Seconds())
	}
	f.lastMeasured = l.loop.Now
	f.spotCPUs = 0
	for name, r := range f.instances {
		t := l.view.MachineTypes[r.machineType]
		if r.spot && !f.deleting[name] && !l.draining[name] && !departing[name] && (l.view.HolderOf(name) != "" || l.loop.Now.Sub(r.requested) < config.Seconds(cluster.BootTimeoutFactor*t.BootS)) {
			f.spotCPUs += t.CPUs
		}
	}
	f.spotTarget = 0
	if l.isLarge() && !overdue {
		// Work that cannot use what stands empty may wait for the room that
		// it takes up in the market; then nothing is kept.
		// On a small fleet one job is a large part of the load, and the
		// average says little about what comes next.
		f.spotTarget = max(busy, f.averageLoad) * (1 + headroom)
	}
}

const (
	// largeShortage is the part of the load for which markets are asked together.
	largeShortage = 0.05
	// shortageMemory is how long a market that could not give all says something
	// about the others.
	shortageMemory = time.Minute
)

// cover rents spot machines until they alone cover the load, if the market
// has them; retire recalls the ordinary ones once these are up.
func (l *Leader) coverLoadWithSpot() {
	f := &l.autoscaler
	offers := l.offers(true)
	slices.SortStableFunc(offers, func(a, b sched.Offer) int {
		return cmp.Compare(a.Price/a.Size.CPUs, b.Price/b.Size.CPUs)
	})
	// Asked of each market in turn, as a wave of losses leaves room in all.
	// While markets cannot give what is asked of them and much is missing,
	// they are asked together, each for a part: one after the other would
	// cost a second each.
	left := maxScaleOutBatch
	short := f.spotTarget - f.spotCPUs
	perMarket := short
	if n := min(len(offers), max(1, int(l.view.Settings.Cluster.Cloud.RPS))); n > 1 &&
		short > largeShortage*f.spotTarget && l.loop.Now.Sub(f.lastShortage) < shortageMemory {
		perMarket = short / float64(n)
	}
	for _, o := range offers {
		n := min(int(math.Ceil(perMarket/o.Size.CPUs)), int((f.spotTarget-f.spotCPUs)/o.Size.CPUs), wire.MaxInstancesPerRequest, left)
		if n <= 0 {
			continue
		}
		l.createInstances(sched.ScaleOut{Offer: o, Count: n})
		f.spotCPUs += float64(n) * o.Size.CPUs
		left -= n
	}
}

// inlineValueSize is about what the lease value takes without pages, machines on
// their way included. They count with what they will take: a rental's names
// follow each other, so that is little more than a character each, not the four
// of the worst case by which growth once stopped at a seventh of the value.
func (l *Leader) inlineValueSize() int {
	b, err := wire.Encode(l.view.Lease)
	if err != nil {
		l.log.Error("lease value", "err", err)
		return math.MaxInt32
	}
	var coming []string
	for name := range l.autoscaler.instances {
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
func (l *Leader) mayGrow() bool {
	for _, b := range l.fleetLimits {
		if b.Machines > 0 && !l.belowLimit(b.Name, float64(len(l.autoscaler.instances)), float64(b.Machines)) {
			return false
		}
	}
	size := l.view.LeaseValueBytes
	if l.view.Lease.Form < 2 {
		size = l.inlineValueSize()
		if l.canStorePages() {
			return true // pages come in time
		}
	}
	return l.belowLimit("names in the lease value", float64(size), leasevalue.MaxFill*1024*l.view.Settings.Cluster.State.ValueKB)
}

// limitHysteresis is to which part of a ceiling a budget has to come down before the
// fleet may grow again: a fleet at its ceiling loses and rents machines all the
// time, and would be said to reach it every few seconds.
const limitHysteresis = 0.97

// below tells whether a budget has not reached its ceiling, and logs it when
// that changes.
func (l *Leader) belowLimit(name string, at, ceiling float64) bool {
	f := &l.autoscaler
	if f.reachedLimit == name {
		ceiling *= limitHysteresis
	}
	reached := at >= ceiling
	if reached != (f.reachedLimit == name) && (reached || f.reachedLimit == name) {
		f.reachedLimit = ""
		if reached {
			f.reachedLimit = name
		}
		l.log.Warn("the fleet has reached a ceiling", "what", name, "reached", reached, "at", int(at), "ceiling", int(ceiling))
	}
	return !reached
}

// beyond is the part of the waiting tasks that a fleet of have processors
// does not get to within patience seconds. Gangs, which need all their room
// at once, daemons, which never end, and starved jobs count in full.
func unservedWithin(waiting []sched.Demand, work, cpus, seconds float64) []sched.Demand {
	out := slices.Clone(waiting)
	if cpus <= 0 {
		return out
	}
	share := max(0, 1-seconds/(work/cpus))
	for i := range out {
		if !out[i].ProvisionAll {
			out[i].Count = int(math.Ceil(float64(out[i].Count) * share))
		}
	}
	return out
}

// patientSlack is from which slack on, in times that a backlog is worked off in,
// waiting work is left to cheap machines.
const patientSlack = 2.0

// behind is the part of the waiting tasks that dear machines are wanted for:
// a fleet of size processors has to keep up with what comes in, and only what
// it has beyond that works off what waits. Early or late, a backlog costs the
// same machine time, so it is worked off as early as its aims ask for.
func (l *Leader) backlogForOnDemand(waiting []sched.Demand, size float64) []sched.Demand {
	shortestBoot := 0.0
	for _, t := range l.view.MachineTypes {
		if shortestBoot == 0 || t.BootS < shortestBoot {
			shortestBoot = t.BootS
		}
	}
	drainTime := maxWaitOnDemand * shortestBoot
	short, cpus := l.local.ArrivalRate()-size, 0.0
	for _, r := range l.renewals {
		short += r.GetBusyCpus() - r.GetBusySpotCpus()
	}
	out := slices.Clone(waiting)
	for i := range out {
		d := &out[i]
		if !d.ProvisionAll && d.SlackS > patientSlack*drainTime {
			d.Count = 0 // may wait for cheaper room
		}
		n := float64(d.Count) * d.Need.CPUs
		cpus += n
		short += n * d.RunS / max(drainTime, d.SlackS, 1)
	}
	for i := range out {
		if d := &out[i]; !d.ProvisionAll {
			d.Count = int(math.Ceil(float64(d.Count) * min(1, max(0, short/max(1, cpus)))))
		}
	}
	return out
}

// offers lists what can be rented: the cheap kind, spot machines, or all.
func (l *Leader) offers(spotOnly bool) []sched.Offer {
	var out []sched.Offer
	for _, name := range cluster.SortedKeys(l.view.MachineTypes) {
		t := l.view.MachineTypes[name]
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				if l.loop.Now.Before(l.autoscaler.noCapacityUntil[market{name, zone, spot}]) || (spotOnly && !spot) {
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
func (l *Leader) createInstances(order sched.ScaleOut) {
	for ; order.Count > wire.MaxInstancesPerRequest; order.Count -= wire.MaxInstancesPerRequest {
		batch := order
		batch.Count = wire.MaxInstancesPerRequest
		l.requestInstances(batch)
	}
	l.requestInstances(order)
}

func (l *Leader) requestInstances(order sched.ScaleOut) {
	f := &l.autoscaler
	f.requestCount++
	f.createsInFlight++
	source := market{order.Type, order.Zone, order.Spot}
	req := wire.InstanceRequest{ID: fmt.Sprintf("r-%d-%d", l.term, f.requestCount), Type: order.Type, Zone: order.Zone, Spot: order.Spot, Count: order.Count}
	sent := l.loop.Now
	l.loop.Emit(eventloop.CloudCreate{Request: req, ID: l.loop.Call(func(d eventloop.Completion) {
		f.createsInFlight--
		if d.Outcome != eventloop.Succeeded || len(d.Names) < req.Count {
			if order.Spot {
				f.lastShortage = l.loop.Now
			}
			f.noCapacityUntil[source] = l.loop.Now.Add(noCapacityBackoff)
		}
		l.log.Info("rented", "type", order.Type, "zone", order.Zone, "spot", order.Spot, "asked", req.Count, "got", len(d.Names), "outcome", d.Outcome)
		for _, n := range d.Names {
			if f.instances[n] == nil {
				f.instances[n] = &instance{market: source, requested: sent, lastListed: l.loop.Now}
			}
		}
	})})
}
