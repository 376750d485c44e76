// Package sched holds the pure decisions of the scheduler: the order of ready jobs, the
// cost of a placement, limits, preemption victims, and which machines to rent. Its
// functions depend on their arguments only; they read no clock and keep no state.
package sched

import "math"

// Resources is what a task takes, or a machine has.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// rounding absorbs rounding when many small amounts are added up.
const rounding = 1e-6

// Add returns a + n·b.
func (a Resources) Add(b Resources, n float64) Resources {
	return Resources{a.CPUs + n*b.CPUs, a.GPUs + n*b.GPUs, a.MemoryGB + n*b.MemoryGB}
}

// Fits reports whether a fits into room.
func (a Resources) Fits(room Resources) bool {
	return a.CPUs <= room.CPUs+rounding && a.GPUs <= room.GPUs+rounding && a.MemoryGB <= room.MemoryGB+rounding
}

// Copies returns how often a fits into room.
func (a Resources) Copies(room Resources) int {
	copies := math.MaxInt32
	for _, resource := range [...]struct{ need, room float64 }{{a.CPUs, room.CPUs}, {a.GPUs, room.GPUs}, {a.MemoryGB, room.MemoryGB}} {
		if resource.need > 0 {
			copies = min(copies, int(max(0, (resource.room+rounding)/resource.need)))
		}
	}
	return copies
}

// DefaultLookAheadThreshold is the threshold k2 of the look-ahead: from this many waiting
// tasks on, a machine type counts as loaded.
const DefaultLookAheadThreshold = 2

// Rating is the two-level priority P2(L) of the look-ahead.
type Rating int

// The ratings, best first.
const (
	High Rating = iota
	Low
)

// Rate rates a step by the load level of its successor's machine type: high below the
// threshold, low at or above it. A step without a known successor rates high, as nothing
// says that it would wait afterwards.
func Rate(successor string, waiting map[string]int, threshold int) Rating {
	if successor != "" && waiting[successor] >= threshold {
		return Low
	}
	return High
}

// Ready is what of a job with tasks ready to run decides its order.
type Ready struct {
	Rank      int  // job priority, 0 is the highest
	Borrowing bool // its team uses more than its guarantee
	Rating    Rating
	Due       int64 // latest time to start
	Arrival   int64
	ID        string
}

// Before orders ready jobs by priority, then teams within their guarantee, look-ahead rating,
// latest time to start, arrival and id.
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

// Any reports whether there is a limit at all.
func (l Limit) Any() bool { return l.CPUs > 0 || l.GPUs > 0 }

// Allows reports whether a team that uses used may take more.
func (l Limit) Allows(used, more Resources) bool {
	if l.CPUs > 0 && used.CPUs+more.CPUs > l.CPUs+rounding {
		return false
	}
	return l.GPUs <= 0 || used.GPUs+more.GPUs <= l.GPUs+rounding
}

// Candidate is a machine as the scoring of placements sees it.
type Candidate struct {
	Free          Resources
	Size          Resources
	ImageFetchS   float64 // until the task's image is there
	RelativePrice float64 // price of a processor, as a multiple of the cheapest
}

const (
	// priceWeightS is how many seconds of waiting for an image a doubled price weighs:
	// expensive machines that stay empty can be returned.
	priceWeightS = 3.0
	// freeRoomWeightS weighs the part of a machine that stays free: filling machines up
	// keeps others empty, to be returned.
	freeRoomWeightS = 6.0
	// freeRoomWeightUrgentS is the same for urgent tasks, for which a second of image
	// fetch counts more than machines that could be returned.
	freeRoomWeightUrgentS = 1.0
	// priceWeightUrgentS only decides between candidates that are equal otherwise.
	priceWeightUrgentS = 0.2
)

// Cost scores a candidate for a task that takes need; lower is better. For urgent tasks
// the price hardly counts.
func Cost(need Resources, candidate Candidate, urgent bool) float64 {
	freeRoomWeight, priceWeight := freeRoomWeightS, priceWeightS
	if urgent {
		freeRoomWeight, priceWeight = freeRoomWeightUrgentS, priceWeightUrgentS
	}
	cost := candidate.ImageFetchS + priceWeight*(candidate.RelativePrice-1)
	if candidate.Size.CPUs > 0 {
		cost += freeRoomWeight * (candidate.Free.CPUs - need.CPUs) / candidate.Size.CPUs
	}
	return cost
}
