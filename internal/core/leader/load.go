package leader

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/sched"
	"fawncove/internal/wire"
)

const (
	// headroom is the part by which the spot machines of a large fleet exceed its
	// load, so that the tasks that arrive next find free room at once.
	headroom = 0.1
	// loadAveragingTime is the time over which the load is averaged. Machines are kept
	// while the load dips for less.
	loadAveragingTime = 20 * time.Second
	// largeShortage is the part of the load that has to be missing for all spot markets
	// to be asked together.
	largeShortage = 0.05
	// shortageMemory is how long a market that gave less than asked says something
	// about the others.
	shortageMemory = time.Minute
)

// measureLoad measures the load that spot machines can carry, averaged over time, the
// processors of the spot machines that are up or booting, and what these should be.
func (l *Leader) measureLoad() {
	a := &l.autoscaler
	busy, overdue, departing := l.reportedLoad()
	if a.lastMeasured.IsZero() {
		a.averageLoad = busy
	} else {
		a.averageLoad += (busy - a.averageLoad) * min(1, l.loop.Now.Sub(a.lastMeasured).Seconds()/loadAveragingTime.Seconds())
	}
	a.lastMeasured = l.loop.Now
	a.spotCPUs = 0
	for name, known := range a.instances {
		if !known.spot || a.deleting[name] || l.draining[name] || departing[name] {
			continue
		}
		if l.view.HolderOf(name) != "" || l.bootsInTime(known) {
			a.spotCPUs += l.view.MachineTypes[known.machineType].CPUs
		}
	}
	a.spotTarget = 0
	// Overdue work that cannot use the idle machines may wait for the capacity that
	// these take up in the market; then none is kept. On a small fleet one job is a
	// large part of the load, and the average says little about what comes next.
	if l.isLarge() && !overdue {
		a.spotTarget = max(busy, a.averageLoad) * (1 + headroom)
	}
}

// reportedLoad sums up the renewals: the processors that tasks use or wait for and that
// may be on spot machines, whether work is overdue, and the machines that the cloud is
// about to take, whose replacements can be rented now.
func (l *Leader) reportedLoad() (busy float64, overdue bool, departing map[string]bool) {
	var sum sched.Sum
	departing = map[string]bool{}
	for _, renewal := range l.renewals {
		sum.Add(renewal.GetBusySpotCpus())
		for _, demand := range renewal.GetDemand() {
			overdue = overdue || demand.GetOverdue()
		}
		for _, use := range renewal.GetMachineUse() {
			if use.GetDeparting() {
				departing[use.GetName()] = true
			}
		}
	}
	return sum.Value(), overdue, departing
}

// coverLoadWithSpot rents spot machines until they alone cover the load, if the markets
// have them; drainOnDemand drains the on-demand machines once these are up.
//
// Each market is asked in turn, cheapest first, as a wave of losses leaves capacity in
// all. While markets give less than asked and much is missing they are asked together,
// each for a part: one after the other would cost a second each.
func (l *Leader) coverLoadWithSpot() {
	a := &l.autoscaler
	offers := l.offers(true)
	slices.SortStableFunc(offers, func(a, b sched.Offer) int {
		return cmp.Compare(a.Price/a.Size.CPUs, b.Price/b.Size.CPUs)
	})
	missing := a.spotTarget - a.spotCPUs
	perMarket := missing
	markets := min(len(offers), max(1, int(l.view.Settings.Cluster.Cloud.RPS)))
	if markets > 1 && missing > largeShortage*a.spotTarget && l.loop.Now.Sub(a.lastShortage) < shortageMemory {
		perMarket = missing / float64(markets)
	}
	left := maxScaleOutBatch
	for _, offer := range offers {
		count := min(int(math.Ceil(perMarket/offer.Size.CPUs)), int((a.spotTarget-a.spotCPUs)/offer.Size.CPUs),
			wire.MaxInstancesPerRequest, left)
		if count <= 0 {
			continue
		}
		l.createInstances(sched.ScaleOutOrder{Offer: offer, Count: count})
		a.spotCPUs += float64(count) * offer.Size.CPUs
		left -= count
	}
}

// offers returns what can be rented now, on spot markets only or on all.
func (l *Leader) offers(spotOnly bool) []sched.Offer {
	var out []sched.Offer
	for _, name := range cluster.SortedKeys(l.view.MachineTypes) {
		machineType := l.view.MachineTypes[name]
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{true, false} {
				if l.loop.Now.Before(l.autoscaler.noCapacityUntil[market{name, zone, spot}]) || (spotOnly && !spot) {
					continue
				}
				price := machineType.Price
				if spot {
					price = machineType.SpotPrice
				}
				out = append(out, sched.Offer{Type: name, Zone: zone, Spot: spot, Size: cluster.MachineSize(machineType),
					Price: price, BootS: machineType.BootS})
			}
		}
	}
	return out
}
