// Package sched holds the pure decisions: who comes next, where a task fits,
// what a team may still use and which machines to rent.
package sched

import "math"

// Resources is what a task takes, or a machine has.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// slack absorbs rounding when many small amounts are added up.
const slack = 1e-6

// Add returns a + n·b.
func (a Resources) Add(b Resources, n float64) Resources {
	return Resources{a.CPUs + n*b.CPUs, a.GPUs + n*b.GPUs, a.MemoryGB + n*b.MemoryGB}
}

// Fits tells whether a fits into room.
func (a Resources) Fits(room Resources) bool {
	return a.CPUs <= room.CPUs+slack && a.GPUs <= room.GPUs+slack && a.MemoryGB <= room.MemoryGB+slack
}

// Copies tells how often a fits into room.
func (a Resources) Copies(room Resources) int {
	n := math.MaxInt32
	for _, p := range [][2]float64{{a.CPUs, room.CPUs}, {a.GPUs, room.GPUs}, {a.MemoryGB, room.MemoryGB}} {
		if p[0] > 0 {
			n = min(n, int(math.Max(0, (p[1]+slack)/p[0])))
		}
	}
	return n
}

// K2 is the paper's threshold: from this many waiting tasks on, a machine
// kind counts as loaded.
const K2 = 2

// Rating is the paper's two-level priority P2(L).
type Rating int

// The ratings, best first.
const (
	High Rating = iota
	Low
)

// Rate rates a step by the load level of its successor's machine kind: high
// below the threshold, low at or above it. A step without a known successor
// rates high, as nothing says that it would wait afterwards.
func Rate(successor string, waiting map[string]int, k2 int) Rating {
	if successor != "" && waiting[successor] >= k2 {
		return Low
	}
	return High
}

// Ready is a job with tasks ready to run, as far as its order goes.
type Ready struct {
	Rank      int  // job priority, 0 is the highest
	Borrowing bool // its team is beyond its guarantee
	Rating    Rating
	Due       int64 // when it should start at the latest
	Arrival   int64
	ID        string
}

// Before orders ready jobs: by job priority, then teams within their
// guarantee, then the look-ahead rating, then arrival.
func (a Ready) Before(b Ready) bool {
	switch {
	case a.Rank != b.Rank:
		return a.Rank < b.Rank
	case a.Borrowing != b.Borrowing:
		return b.Borrowing
	case a.Rating != b.Rating:
		return a.Rating < b.Rating
	case a.Due != b.Due:
		return a.Due < b.Due
	case a.Arrival != b.Arrival:
		return a.Arrival < b.Arrival
	}
	return a.ID < b.ID
}

// Limit is a team's limit; 0 means none.
type Limit struct{ CPUs, GPUs float64 }

// Any tells whether there is a limit at all.
func (l Limit) Any() bool { return l.CPUs > 0 || l.GPUs > 0 }

// Allows tells whether a team that uses used may take more.
func (l Limit) Allows(used, more Resources) bool {
	if l.CPUs > 0 && used.CPUs+more.CPUs > l.CPUs+slack {
		return false
	}
	return l.GPUs <= 0 || used.GPUs+more.GPUs <= l.GPUs+slack
}

// Candidate is a machine as the choice of a place sees it.
type Candidate struct {
	Free          Resources
	Size          Resources
	ImageFetchS   float64 // until the task's image is there
	RelativePrice float64 // price of a processor, as a multiple of the cheapest
}

const (
	// dearS is how many seconds of waiting for an image a doubled price
	// weighs: dear machines that stay empty can be returned.
	dearS = 3.0
	// leftS weighs the share of a machine that stays free, which keeps other
	// machines empty for return.
	leftS = 6.0
	// leftUrgentS is the same for urgent tasks, for which a second of
	// fetching counts more than machines that could be returned.
	leftUrgentS = 1.0
	// dearUrgentS only decides between places that are equal otherwise.
	dearUrgentS = 0.2
)

// Cost rates a place for a task that takes need: lower is better. For urgent
// tasks the price hardly counts.
func Cost(need Resources, p Candidate, urgent bool) float64 {
	left, dear := leftS, dearS
	if urgent {
		left, dear = leftUrgentS, dearUrgentS
	}
	cost := p.ImageFetchS + dear*(p.RelativePrice-1)
	if p.Size.CPUs > 0 {
		cost += left * (p.Free.CPUs - need.CPUs) / p.Size.CPUs
	}
	return cost
}
