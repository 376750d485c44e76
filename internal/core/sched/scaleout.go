package sched

import (
	"math"
	"slices"
	"strings"
)

const (
	// maxPerOffer bounds the machines of one offer in one plan: what capacity a market
	// has is not published, and asking several at once finds out sooner.
	maxPerOffer = 100
	// memoryPerCPU is how many GB of memory weigh as much as a processor.
	memoryPerCPU = 16
)

// Demand is a group of like tasks that wait.
type Demand struct {
	Rank         int // job priority, 0 is the highest
	Need         Resources
	Types        []string // allowed machine types; empty: any
	Zone         string   // empty: any
	Spot         bool     // may run on spot machines
	Count        int
	RunS         float64 // estimated run time of a task
	ProvisionAll bool    // no part of it may be left to machines that become free
	Overdue      bool    // it has waited long without a task being started
	SlackS       float64 // how long it may still wait and meet an objective
}

// Allows reports whether the group's tasks may run on such a machine.
func (d *Demand) Allows(machineType, zone string, spot bool) bool {
	return (d.Spot || !spot) && (d.Zone == "" || d.Zone == zone) &&
		(len(d.Types) == 0 || slices.Contains(d.Types, machineType))
}

// Offer is a kind of machine that can be rented, or one that is booting.
type Offer struct {
	Type  string
	Zone  string
	Spot  bool
	Size  Resources
	Price float64 // per hour
	BootS float64
}

// ScaleOutOrder asks for machines of one offer.
type ScaleOutOrder struct {
	Offer
	Count int
}

// packMachine packs waiting tasks into one empty machine. It returns how many of each
// group it takes, and their processors, with memory counted as processors where that is
// more.
func packMachine(offer *Offer, waiting []Demand) (taken []int, cpus float64) {
	free := offer.Size
	taken = make([]int, len(waiting))
	for i := range waiting {
		demand := &waiting[i]
		if demand.Count == 0 || !demand.Allows(offer.Type, offer.Zone, offer.Spot) {
			continue
		}
		count := min(demand.Count, demand.Need.Copies(free))
		if count <= 0 {
			continue
		}
		taken[i] = count
		free = free.Add(demand.Need, -float64(count))
		cpus += float64(count) * max(demand.Need.CPUs, demand.Need.MemoryGB/memoryPerCPU)
	}
	return taken, cpus
}

// MergeDemands adds up groups that differ only in count, run time and slack, so that the
// choice of machines does not depend on how many controllers ask.
func MergeDemands(list []Demand) []Demand {
	type key struct {
		rank         int
		need         Resources
		types        string
		zone         string
		spot         bool
		provisionAll bool
		overdue      bool
	}
	index := map[key]int{}
	var out []Demand
	for _, demand := range list {
		k := key{demand.Rank, demand.Need, strings.Join(demand.Types, "\x00"), demand.Zone, demand.Spot, demand.ProvisionAll, demand.Overdue}
		i, ok := index[k]
		if !ok {
			index[k] = len(out)
			out = append(out, demand)
			continue
		}
		out[i].merge(&demand)
	}
	return out
}

// merge adds another group of the same kind. Run time and slack become means.
func (d *Demand) merge(other *Demand) {
	total := d.Count + other.Count
	if total <= 0 {
		return
	}
	mean := func(a, b float64) float64 {
		return (a*float64(d.Count) + b*float64(other.Count)) / float64(total)
	}
	d.RunS, d.SlackS = mean(d.RunS, other.RunS), mean(d.SlackS, other.SlackS)
	d.Count = total
}

// RoundUp rounds up, so that tasks of about the same size count as one group.
func RoundUp(a Resources) Resources {
	return Resources{CPUs: math.Ceil(a.CPUs*2) / 2, GPUs: a.GPUs, MemoryGB: math.Ceil(a.MemoryGB)}
}

// PackInto packs waiting tasks into empty machines and returns what is left of them.
func PackInto(waiting []Demand, machines []Offer) []Demand {
	left := slices.Clone(waiting)
	for i := range machines {
		taken, _ := packMachine(&machines[i], left)
		for k, count := range taken {
			left[k].Count -= count
		}
	}
	return left
}

// PlanScaleOut chooses up to maxMachines machines for the waiting tasks, at each step of
// the offer that takes the most work for its price.
func PlanScaleOut(waiting []Demand, offers []Offer, maxMachines int) []ScaleOutOrder {
	left := slices.Clone(waiting)
	slices.SortStableFunc(left, func(a, b Demand) int { return a.Rank - b.Rank })
	var orders []ScaleOutOrder
	ordered := make([]int, len(offers))
	for maxMachines > 0 {
		best, taken := bestOffer(offers, ordered, left)
		if best < 0 {
			break
		}
		// The same machine again while there is enough of everything: a large fleet is
		// rented by the dozen.
		count := min(maxMachines, maxPerOffer-ordered[best])
		for k, n := range taken {
			if n > 0 {
				count = min(count, left[k].Count/n)
			}
		}
		for k, n := range taken {
			left[k].Count -= n * count
		}
		maxMachines -= count
		ordered[best] += count
		orders = addOrder(orders, offers[best], count)
	}
	return orders
}

// bestOffer returns the index of the offer that takes the most work for its price, with
// the tasks of each group that it takes; -1 if none takes any.
func bestOffer(offers []Offer, ordered []int, waiting []Demand) (best int, bestTaken []int) {
	best, bestWorth := -1, 0.0
	for i := range offers {
		taken, cpus := packMachine(&offers[i], waiting)
		if cpus <= 0 || offers[i].Price <= 0 || ordered[i] >= maxPerOffer {
			continue
		}
		if worth := cpus / offers[i].Price; worth > bestWorth {
			best, bestWorth, bestTaken = i, worth, taken
		}
	}
	return best, bestTaken
}

// addOrder adds machines of an offer to the orders, one order an offer.
func addOrder(orders []ScaleOutOrder, offer Offer, count int) []ScaleOutOrder {
	same := func(o ScaleOutOrder) bool {
		return o.Type == offer.Type && o.Zone == offer.Zone && o.Spot == offer.Spot
	}
	if i := slices.IndexFunc(orders, same); i >= 0 {
		orders[i].Count += count
		return orders
	}
	return append(orders, ScaleOutOrder{offer, count})
}
