package owner

import "fawncove/internal/core/sched"

// scoredCandidate is a candidate for a job's next task, with its cost.
type scoredCandidate struct {
	candidate *candidate
	cost      float64
}

// scoreCandidates returns the candidates on which the job's next task may run and fits. The
// slice is valid until the next call.
func (o *Owner) scoreCandidates(r *round, j *Job) []scoredCandidate {
	need := j.need()
	scored := o.placement.scored[:0]
	for _, c := range r.candidates {
		if o.accepts(c, j) && need.Fits(c.free) && o.feasible(j, c.machine) {
			scored = append(scored, scoredCandidate{c, o.score(j, c)})
		}
	}
	o.placement.scored = scored
	return scored
}

// cheapest returns the index of the first candidate with the least cost.
func cheapest(scored []scoredCandidate) int {
	best := 0
	for i := range scored {
		if scored[i].cost < scored[best].cost {
			best = i
		}
	}
	return best
}

// score returns the cost of a task of the job on a candidate: what it leaves unused there,
// how long its image takes to get there, and the price.
func (o *Owner) score(j *Job, c *candidate) float64 {
	m := c.machine
	return sched.Cost(j.need(), sched.Candidate{
		Free:          c.free,
		Size:          m.size,
		ImageFetchS:   m.fetchSeconds(j, o.view.MachineTypes[m.machineType].FetchGBPS),
		RelativePrice: c.relativePrice,
	}, j.urgent())
}

// relativePrices returns a function that returns the price of a processor on a machine, as a
// multiple of the cheapest there is.
func (o *Owner) relativePrices() func(m *machine) float64 {
	cheapest := 0.0
	for _, t := range o.view.MachineTypes {
		for _, price := range []float64{t.Price, t.SpotPrice} {
			if price > 0 && (cheapest == 0 || price/t.CPUs < cheapest) {
				cheapest = price / t.CPUs
			}
		}
	}
	return func(m *machine) float64 {
		t := o.view.MachineTypes[m.machineType]
		price := t.Price
		if m.spot {
			price = t.SpotPrice
		}
		if price <= 0 || cheapest <= 0 {
			return 1
		}
		return price / t.CPUs / cheapest
	}
}
