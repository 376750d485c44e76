// Package quota splits a team's limit over controllers. Each controller holds a share,
// named in the lease value, and its tasks of the team never use more. The shares together
// never exceed the limit:
//
//   - Only the leader raises a share, by what is in no other share.
//   - Only its holder lowers one. It reserves no more than a lower amount, which covers
//     its tasks that may still run, and keeps to that from then on. The leader
//     lowers the share in the very write that acknowledges the renewal with that
//     reservation, and may give the difference to others in the same write.
//   - The share of a controller that has ended goes to its successor, with the machines
//     on which its tasks may still run.
//
// The package owns the reservations that are not acknowledged yet, and otherwise only
// decides. It reads no clock and sends nothing.
package quota

import (
	"maps"
	"math"
	"slices"
)

const (
	// tolerance is the difference, as a part of a target, that is not worth a change.
	tolerance = 0.03
	// significantPart is the part of a limit from which on what is given out is worth a
	// write of its own.
	significantPart = 0.1
	// rounding absorbs errors of sums before they are rounded up.
	rounding = 1e-9
)

// Need is what one controller's tasks of a team use and ask for, of one resource.
type Need struct {
	InUse      float64 // of tasks that may still run
	Wanted     float64 // InUse and what waits
	MinToStart float64 // the least with which something that waits can start; 0: unknown
}

// Targets returns what part of a limit each controller should hold: what it wants, and an
// equal part of what is left over. If together they want more than the limit all are cut
// in proportion, so that all queues are worked off alike; but what a gang needs at once
// is not cut, as half of that would be of no use.
func Targets(limit float64, needs map[string]Need) map[string]float64 {
	targets := make(map[string]float64, len(needs))
	if len(needs) == 0 {
		return targets
	}
	nodes := slices.Sorted(maps.Keys(needs))
	left, wanted := limit, 0.0
	floor := map[string]float64{} // not to be cut
	for _, node := range nodes {
		if minimum := needs[node].MinToStart; minimum > 0 && minimum <= left {
			floor[node] = minimum
			left -= minimum
		}
		wanted += max(0, needs[node].Wanted-floor[node])
	}
	extra, cut := 0.0, 1.0
	if wanted > left {
		cut = left / wanted
	} else {
		extra = (left - wanted) / float64(len(nodes))
	}
	for _, node := range nodes {
		targets[node] = floor[node] + cut*max(0, needs[node].Wanted-floor[node]) + extra
	}
	return targets
}

// TooSmallToStart reports whether a controller's share is less than what its largest
// waiting task, or a gang beside what runs, needs, though its target has room for that:
// then it cannot start at all, however little is missing.
func TooSmallToStart(share, target float64, need Need) bool {
	return need.MinToStart > share && need.MinToStart <= target+1
}

// NeedsMore reports whether a controller with this share has to wait for more although
// others hold more than their targets.
func NeedsMore(share, target float64, need Need) bool {
	return share+1+tolerance*target < min(need.Wanted, target) || TooSmallToStart(share, target, need)
}

// ConcentrateOn returns the controller that should get what the others cannot use, and
// how large its share has to be for that. It applies where no controller has enough left
// of its share for its next task, but all that is left together would do for one of them:
// otherwise that work would wait, with its team under its limit, until something ends,
// which replicas of a daemon never do. Of the controllers whose next task it would do
// for, it is the one with most left.
func ConcentrateOn(limit int, shares map[string]int, needs map[string]Need) (node string, share int, ok bool) {
	unused := float64(limit)
	for holder, held := range shares {
		taken := float64(held)
		if need, known := needs[holder]; known {
			taken = min(taken, need.InUse)
		}
		unused -= taken
	}
	mostLeft := 0.0
	for _, holder := range slices.Sorted(maps.Keys(needs)) {
		need := needs[holder]
		if need.Wanted <= need.InUse || need.MinToStart <= 0 {
			continue // nothing waits, or it is not known what
		}
		left := max(0, float64(shares[holder])-need.InUse)
		if need.MinToStart <= left {
			return "", 0, false
		}
		if need.MinToStart <= unused && (node == "" || left > mostLeft) {
			node, mostLeft = holder, left
			share = int(math.Ceil(need.InUse + need.MinToStart - rounding))
		}
	}
	return node, share, node != ""
}

// ReservationFor returns the amount to which a holder should reduce its share, and whether
// that is worth it: its target, when another controller needs more and it holds clearly
// more than that, or any whole unit more when another is too small to start. It is never
// below what is in use.
func ReservationFor(share int, target, used float64, otherTooSmall bool) (amount int, worthIt bool) {
	if otherTooSmall {
		amount = int(math.Ceil(max(math.Floor(target), used)))
		return amount, share > amount
	}
	amount = int(math.Ceil(max(target, used)))
	return amount, float64(share) > float64(amount)+1+tolerance*target
}

// GrantFree gives out what is in no share: first to the controller of ConcentrateOn, then
// to those below their targets, in proportion to what they lack, those that need more
// first. It returns the new shares, and whether one that needs more was raised or much
// was given.
func GrantFree(limit int, shares map[string]int, targets map[string]float64, needs map[string]Need) (next map[string]int, significant bool) {
	free := limit
	for _, held := range shares {
		free -= held
	}
	next = maps.Clone(shares)
	if next == nil {
		next = map[string]int{}
	}
	if free <= 0 {
		return next, false
	}
	if node, share, ok := ConcentrateOn(limit, shares, needs); ok && share > next[node] {
		given := min(share-next[node], free)
		next[node] += given
		free -= given
		significant = true
	}
	for _, onlyNeedy := range []bool{true, false} {
		given := grantBelowTarget(next, free, targets, needs, onlyNeedy)
		free -= given
		significant = significant || (onlyNeedy && given > 0) || float64(given) > significantPart*float64(limit)
	}
	return next, significant
}

// grantBelowTarget gives what is free to controllers below their targets, in proportion
// to what they lack, or only to those that need more. It returns how much it gave.
func grantBelowTarget(shares map[string]int, free int, targets map[string]float64, needs map[string]Need, onlyNeedy bool) (given int) {
	nodes := slices.Sorted(maps.Keys(targets))
	lacking, sum := map[string]float64{}, 0.0
	for _, node := range nodes {
		if onlyNeedy && !NeedsMore(float64(shares[node]), targets[node], needs[node]) {
			continue
		}
		if lack := targets[node] - float64(shares[node]); lack >= 1 {
			lacking[node] = lack
			sum += lack
		}
	}
	if sum <= 0 {
		return 0
	}
	part := min(1, float64(free)/sum)
	for _, node := range nodes {
		grant := min(int(lacking[node]*part), free-given)
		shares[node] += grant
		given += grant
	}
	if given > 0 || free <= 0 {
		return given
	}
	// What is too little to be split goes to the first that lacks any.
	for _, node := range nodes {
		if lacking[node] >= 1 {
			shares[node]++
			return 1
		}
	}
	return 0
}
