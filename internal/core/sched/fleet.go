package sched

import (
	"math"
	"slices"
	"strings"
)

// Demand is a group of like tasks that wait.
type Demand struct {
	Rank         int
	Need         Resources
	Types        []string // empty: any
	Zone         string   // empty: any
	Spot         bool
	Count        int
	RunS         float64
	ProvisionAll bool // nothing of it may be left to machines that become free
	// Overdue work has waited long without any of it being started.
	Overdue bool
	SlackS  float64 // how long it may still wait and meet an aim
}

// Allows tells whether the group's tasks may run on a machine of this kind.
func (d *Demand) Allows(kind, zone string, spot bool) bool {
	return (d.Spot || !spot) && (d.Zone == "" || d.Zone == zone) &&
		(len(d.Types) == 0 || slices.Contains(d.Types, kind))
}

// Offer is a kind of machine that can be rented, or one that is on its way.
type Offer struct {
	Type  string
	Zone  string
	Spot  bool
	Size  Resources
	Price float64 // per hour
	BootS float64
}

// ScaleOut asks for machines of one offer.
type ScaleOut struct {
	Offer
	Count int
}

// fill packs waiting tasks into one empty machine and returns how many of
// each group it takes, with the processor time they bring.
func fill(o *Offer, left []Demand) (took []int, cpus float64) {
	room := o.Size
	took = make([]int, len(left))
	for i := range left {
		d := &left[i]
		if d.Count == 0 || !d.Allows(o.Type, o.Zone, o.Spot) {
			continue
		}
		n := min(d.Count, d.Need.Copies(room))
		if n <= 0 {
			continue
		}
		took[i] = n
		room = room.Add(d.Need, -float64(n))
		cpus += float64(n) * max(d.Need.CPUs, d.Need.MemoryGB/16)
	}
	return took, cpus
}

// MergeDemands adds up groups that differ in nothing but their count, so that the
// choice of machines does not depend on how many controllers asked.
func MergeDemands(list []Demand) []Demand {
	type key struct {
		rank    int
		need    Resources
		types   string
		zone    string
		spot    bool
		whole   bool
		starved bool
	}
	at := map[key]int{}
	var out []Demand
	for _, d := range list {
		k := key{d.Rank, d.Need, strings.Join(d.Types, "\x00"), d.Zone, d.Spot, d.ProvisionAll, d.Overdue}
		i, ok := at[k]
		if !ok {
			at[k] = len(out)
			out = append(out, d)
			continue
		}
		o := &out[i]
		if n := o.Count + d.Count; n > 0 {
			mean := func(a, b float64) float64 { return (a*float64(o.Count) + b*float64(d.Count)) / float64(n) }
			o.RunS, o.SlackS = mean(o.RunS, d.RunS), mean(o.SlackS, d.SlackS)
			o.Count = n
		}
	}
	return out
}

// RoundUp rounds an amount up, so that jobs of about the same size count as
// one group.
func RoundUp(a Resources) Resources {
	return Resources{CPUs: math.Ceil(a.CPUs*2) / 2, GPUs: a.GPUs, MemoryGB: math.Ceil(a.MemoryGB)}
}

// PackInto packs waiting tasks into machines that are on their way and returns
// what is left.
func PackInto(waiting []Demand, coming []Offer) []Demand {
	left := slices.Clone(waiting)
	for i := range coming {
		took, _ := fill(&coming[i], left)
		for k, n := range took {
			left[k].Count -= n
		}
	}
	return left
}

// perOffer bounds the machines of one offer in one choice: nobody knows what a
// market has, and asking several at once finds out sooner.
const perOffer = 100

// PlanScaleOut chooses machines for the waiting tasks, at each step the offer that
// takes most work for its price. most bounds the number of machines.
func PlanScaleOut(left []Demand, offers []Offer, most int) []ScaleOut {
	left = slices.Clone(left)
	slices.SortStableFunc(left, func(a, b Demand) int { return a.Rank - b.Rank })
	var orders []ScaleOut
	number := make([]int, len(offers))
	for most > 0 {
		best, bestWorth := -1, 0.0
		var bestTook []int
		for i := range offers {
			took, cpus := fill(&offers[i], left)
			if cpus <= 0 || offers[i].Price <= 0 || number[i] >= perOffer {
				continue
			}
			if worth := cpus / offers[i].Price; worth > bestWorth {
				best, bestWorth, bestTook = i, worth, took
			}
		}
		if best < 0 {
			break
		}
		// The same fill again and again while there is enough of everything:
		// a large fleet is rented by the dozen.
		times := min(most, perOffer-number[best])
		for k, n := range bestTook {
			if n > 0 {
				times = min(times, left[k].Count/n)
			}
		}
		for k, n := range bestTook {
			left[k].Count -= n * times
		}
		most -= times
		number[best] += times
		if i := slices.IndexFunc(orders, func(o ScaleOut) bool {
			return o.Type == offers[best].Type && o.Zone == offers[best].Zone && o.Spot == offers[best].Spot
		}); i >= 0 {
			orders[i].Count += times
		} else {
			orders = append(orders, ScaleOut{offers[best], times})
		}
	}
	return orders
}
