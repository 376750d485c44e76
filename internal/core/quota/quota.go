// Package quota parts a team's limit over controllers. Each controller holds a
// share, named in the lease value, and its tasks of the team never use more.
// Shares together never exceed the limit:
//
//   - Only the leader raises a share, by what no other share takes.
//   - Only its holder lowers one. It promises a lower ceiling, not below what
//     of its tasks is not surely gone, and keeps to it from then on; the leader
//     lowers the share in the very write that honours the renewal with that
//     promise, and may give the difference to others in the same write.
//   - A share whose holder ends goes to the successor with the machines on
//     which its tasks may still run.
//
// The package decides and remembers; it knows neither time nor messages.
package quota

import (
	"maps"
	"math"
	"slices"

	"fawncove/internal/wire"
)

// Need is what one controller's tasks of a team use and ask for, in processors
// or in cards.
type Need struct {
	InUse      float64 // of tasks that are not surely gone
	Wanted     float64 // Used and what waits
	MinToStart float64 // the least that something that waits can start with, see Stuck
}

// Targets tells what part of limit each controller should hold: what it wants,
// and an equal part of what is left. Where the wants exceed the limit they are
// all cut in proportion, so that all queues are worked off alike; but what a
// gang needs at once is not, as half of it would be of no use.
func Targets(limit float64, needs map[string]Need) map[string]float64 {
	out := make(map[string]float64, len(needs))
	if len(needs) == 0 {
		return out
	}
	names := slices.Sorted(maps.Keys(needs))
	left, wants := limit, 0.0
	floor := map[string]float64{}
	for _, n := range names {
		if m := needs[n].MinToStart; m > 0 && m <= left {
			floor[n] = m
			left -= m
		}
		wants += max(0, needs[n].Wanted-floor[n])
	}
	spare := 0.0
	cut := 1.0
	if wants > left {
		cut = left / wants
	} else {
		spare = (left - wants) / float64(len(names))
	}
	for _, n := range names {
		out[n] = floor[n] + cut*max(0, needs[n].Wanted-floor[n]) + spare
	}
	return out
}

// slack is the difference, as a part of a target, that is not worth a change.
const slack = 0.03

// TooSmallToStart tells whether a controller's share is less than what its largest
// waiting task, or a gang beside what runs, needs, though its target has room
// for that: then it cannot start at all, however little is missing.
func TooSmallToStart(share, target float64, need Need) bool {
	return need.MinToStart > share && need.MinToStart <= target+1
}

// NeedsMore tells whether a controller with this share has to wait for more
// although others hold more than their targets.
func NeedsMore(share, target float64, need Need) bool {
	return share+1+slack*target < min(need.Wanted, target) || TooSmallToStart(share, target, need)
}

// ConcentrateOn names the controller that should get what the others cannot use, and how large
// its share has to be for that. Where what waits anywhere is larger than what is left of
// the share there, and all that is left would do for one of them, work would else wait
// beside room, with its team under its limit, until something ends: replicas never do.
// Of those whose next task it does for, it is the one with most left.
func ConcentrateOn(limit int, shares map[string]int, needs map[string]Need) (node string, share int, ok bool) {
	unused := float64(limit)
	for n, s := range shares {
		taken := float64(s)
		if x, told := needs[n]; told {
			taken = min(taken, x.InUse)
		}
		unused -= taken
	}
	most := 0.0
	for _, n := range slices.Sorted(maps.Keys(needs)) {
		x := needs[n]
		if x.Wanted <= x.InUse || x.MinToStart <= 0 {
			continue // nothing waits, or it is not known what
		}
		left := max(0, float64(shares[n])-x.InUse)
		if x.MinToStart <= left {
			return "", 0, false
		}
		if x.MinToStart <= unused && (node == "" || left > most) {
			node, share, most = n, int(math.Ceil(x.InUse+x.MinToStart-1e-9)), left
		}
	}
	return node, share, node != ""
}

// ReservationFor returns the ceiling that a holder should promise: its target, when
// another is short and it holds more than that, or a whole processor more when
// another is stuck. It is never below what is used.
func ReservationFor(share int, target, used float64, stuck bool) (ceiling int, yes bool) {
	if stuck {
		c := int(math.Ceil(max(math.Floor(target), used)))
		return c, share > c
	}
	c := int(math.Ceil(max(target, used)))
	return c, float64(share) > float64(c)+1+slack*target
}

// GrantFree gives what no share takes to the controller for which it is gathered, and then
// to those below their targets, in proportion to what they lack, the short ones first.
// It returns the new
// shares, and whether a short one was raised or much was given.
func GrantFree(limit int, shares map[string]int, targets map[string]float64, needs map[string]Need) (map[string]int, bool) {
	free := limit
	for _, s := range shares {
		free -= s
	}
	out := maps.Clone(shares)
	if out == nil {
		out = map[string]int{}
	}
	if free <= 0 {
		return out, false
	}
	worth := false
	if n, share, ok := ConcentrateOn(limit, shares, needs); ok && share > out[n] {
		g := min(share-out[n], free)
		out[n] += g
		free -= g
		worth = true
	}
	names := slices.Sorted(maps.Keys(targets))
	for _, shortOnly := range []bool{true, false} {
		lack := map[string]float64{}
		sum := 0.0
		for _, n := range names {
			if shortOnly && !NeedsMore(float64(out[n]), targets[n], needs[n]) {
				continue
			}
			if l := targets[n] - float64(out[n]); l >= 1 {
				lack[n] = l
				sum += l
			}
		}
		if sum <= 0 {
			continue
		}
		part := min(1, float64(free)/sum)
		given := 0
		for _, n := range names {
			g := min(int(lack[n]*part), free)
			out[n] += g
			free -= g
			given += g
		}
		// What is too little to be parted goes to the first that lacks any.
		for _, n := range names {
			if given == 0 && free > 0 && lack[n] >= 1 {
				out[n]++
				free--
				given++
			}
		}
		worth = worth || (shortOnly && given > 0) || float64(given) > 0.1*float64(limit)
	}
	return out, worth
}

// Reservations keeps the promises that a controller has made and whose renewals no
// lease value it has seen honours yet.
type Reservations struct{ open []promise }

type promise struct {
	renewal uint64
	team    string
	ceiling wire.Share
}

// Reserve notes that the renewal with this number promises a ceiling. From now
// on Ceiling keeps to it.
func (h *Reservations) Reserve(renewal uint64, team string, ceiling wire.Share) {
	h.open = append(h.open, promise{renewal, team, ceiling})
}

// Acknowledge notes that the lease value honours the renewal with this number.
// The shares in that value, and in later ones, are after its promises.
func (h *Reservations) Acknowledge(renewal uint64) {
	h.open = slices.DeleteFunc(h.open, func(p promise) bool { return p.renewal <= renewal })
}

// Reset forgets all promises, together with the grant under which they were
// made.
func (h *Reservations) Reset() { h.open = nil }

// Usable is what the team's tasks may use here: the share as the lease value
// names it, or less if less was promised.
func (h *Reservations) Usable(team string, s wire.Share) wire.Share {
	for _, p := range h.open {
		if p.team == team {
			s.CPUs, s.GPUs = min(s.CPUs, p.ceiling.CPUs), min(s.GPUs, p.ceiling.GPUs)
		}
	}
	return s
}
