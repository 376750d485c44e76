package owner

import (
	"math"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/quota"
	"fawncove/internal/core/sched"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// The limit of a team whose jobs are sharded over several controllers is held in shares, see
// package quota; this is the part of a share's holder. A guarantee needs no shares, as it
// never has a task stopped that should not be: it is judged by what all controllers publish
// of their use each second.

const (
	// minLimit is a limit that allows for no task; 0 would mean no limit.
	minLimit = 1e-9
	// concentrateAfter is for how long nothing of a team may have been started here before
	// the unused rest of its share goes to the controller that shares are concentrated on:
	// on a busy fleet something ends sooner, and makes the share enough for what waits here.
	concentrateAfter = 10 * time.Second
)

// localLimit returns what the team's tasks may use on this controller's machines: its limit,
// or this controller's share of it.
func (o *Owner) localLimit(team string) sched.Limit {
	limit := o.view.LimitOf(team)
	shares, sharded := o.view.Lease.Shares[team]
	if !sharded || !limit.Any() {
		return limit
	}
	usable := o.blockLease.UsableShare(team, shares[o.view.Self])
	if limit.CPUs > 0 {
		limit.CPUs = max(minLimit, float64(usable.CPUs))
	}
	if limit.GPUs > 0 {
		limit.GPUs = max(minLimit, float64(usable.GPUs))
	}
	return limit
}

// shareOf is one resource of a team's limit, as the shares part it over the controllers.
type shareOf struct {
	self   string
	needs  map[string]quota.Need // by controller
	shares map[string]int        // by controller
	limit  float64
	used   float64 // here
}

// sparableShares returns the shares that this controller does not need in full while others
// are short: what it would do with, and what it has reserved already and no lease value has
// applied yet.
func (o *Owner) sparableShares() map[string]wire.Share {
	sparable := map[string]wire.Share{}
	if !o.blockLease.Held() || len(o.view.Lease.Shares) == 0 {
		return sparable
	}
	unknown := o.maxUse(o.workers.unreconciled())
	if !unknown.bounded {
		return sparable // whatever is assigned may be in use
	}
	use := o.TeamUse()
	for _, team := range cluster.SortedKeys(o.view.Lease.Shares) {
		assigned := o.view.Lease.Shares[team][o.view.Self]
		if next := o.sparableShare(team, use, unknown); next.CPUs < assigned.CPUs || next.GPUs < assigned.GPUs {
			sparable[team] = next
		}
	}
	return sparable
}

// sparableShare returns the share of a team's limit that this controller would do with.
func (o *Owner) sparableShare(team string, use map[string]*peerpb.TeamUse, unknown unknownUse) wire.Share {
	shares := o.view.Lease.Shares[team]
	limit, used := o.view.LimitOf(team), o.quota.used[team].Add(unknown.atMost, 1)
	cpuNeeds, gpuNeeds := o.view.QuotaNeeds(o.view.Lease.Partitions, shares, team, use, o.loop.Now)
	cpus := shareOf{self: o.view.Self, needs: cpuNeeds, shares: map[string]int{}, limit: limit.CPUs, used: used.CPUs}
	gpus := shareOf{self: o.view.Self, needs: gpuNeeds, shares: map[string]int{}, limit: limit.GPUs, used: used.GPUs}
	for node, s := range shares {
		cpus.shares[node], gpus.shares[node] = s.CPUs, s.GPUs
	}
	usable := o.blockLease.UsableShare(team, shares[o.view.Self])
	next := wire.Share{CPUs: cpus.lowered(usable.CPUs), GPUs: gpus.lowered(usable.GPUs)}
	if o.loop.Now.Sub(o.quota.lastStart[team]) > concentrateAfter {
		next = wire.Share{CPUs: cpus.concentrated(next.CPUs), GPUs: gpus.concentrated(next.GPUs)}
	}
	return wire.Share{CPUs: cpus.atLeastUsed(next.CPUs), GPUs: gpus.atLeastUsed(next.GPUs)}
}

// lowered returns to what this controller can lower its share for the sake of others that
// are short.
func (s *shareOf) lowered(share int) int {
	if s.limit <= 0 {
		return share
	}
	targets := quota.Targets(math.Floor(s.limit), s.needs)
	sum := 0
	for node := range s.needs {
		sum += s.shares[node]
	}
	short, tooSmall := false, false
	if float64(sum) <= s.limit { // else the settings have changed
		for node, target := range targets {
			if node != s.self {
				short = short || quota.NeedsMore(float64(s.shares[node]), target, s.needs[node])
				tooSmall = tooSmall || quota.TooSmallToStart(float64(s.shares[node]), target, s.needs[node])
			}
		}
		if !short {
			return share
		}
	}
	if n, ok := quota.ReservationFor(share, targets[s.self], s.used, tooSmall); ok {
		return n
	}
	return share
}

// concentrated returns the share without its unused rest, where shares are concentrated on
// another controller.
func (s *shareOf) concentrated(share int) int {
	if s.limit <= 0 {
		return share
	}
	shares := make(map[string]int, len(s.needs))
	for node := range s.needs {
		shares[node] = s.shares[node]
	}
	if node, _, ok := quota.ConcentrateOn(int(s.limit), shares, s.needs); ok && node != s.self {
		return min(share, int(math.Ceil(s.used)))
	}
	return share
}

// atLeastUsed returns the share, or what is used of the share that the lease value assigns
// if that is more.
func (s *shareOf) atLeastUsed(share int) int {
	return max(share, min(int(math.Ceil(s.used)), s.shares[s.self]))
}

// RequestOfferRenewal asks for a renewal when there are quota shares or partitions to offer
// that were not offered before.
func (o *Owner) RequestOfferRenewal() {
	for team, s := range o.sparableShares() {
		if s != o.blockLease.UsableShare(team, o.view.Lease.Shares[team][o.view.Self]) {
			o.blockLease.RequestRenewal()
		}
	}
	if len(o.partitionsToHandOver()) > 0 {
		o.blockLease.RequestRenewal()
	}
}

// logReservation logs what a renewal reserves of a team's quota share, and on what ground.
func (o *Owner) logReservation(renewal uint64, team string, reserved wire.Share) {
	assigned, used := o.view.Lease.Shares[team][o.view.Self], o.quota.used[team]
	unreconciled := o.workers.unreconciled()
	assumed := o.maxUse(unreconciled).atMost
	o.log.Info("quota reserved", "team", team, "renewal", renewal, "grant", o.blockLease.Grant(),
		"cpus", reserved.CPUs, "gpus", reserved.GPUs, "share_cpus", assigned.CPUs, "share_gpus", assigned.GPUs,
		"use_cpus", used.CPUs, "use_gpus", used.GPUs, "assumed_cpus", assumed.CPUs, "assumed_gpus", assumed.GPUs,
		"unreconciled", len(unreconciled), "machine_types", len(o.view.MachineTypes))
}

// AddOffers adds quota reservations and partition offers to a renewal. Both bind this
// controller from now on, whether or not the leader ever reads them.
func (o *Owner) AddOffers(r *peerpb.Renewal) {
	sparable := o.sparableShares()
	r.Grant = uint64(o.blockLease.Grant())
	for _, team := range cluster.SortedKeys(sparable) {
		s := sparable[team]
		if s != o.blockLease.UsableShare(team, o.view.Lease.Shares[team][o.view.Self]) {
			o.logReservation(r.GetNumber(), team, s) // once, however often it is repeated
		}
		o.blockLease.Reserve(r.GetNumber(), team, s)
		r.Reservations = append(r.Reservations, &peerpb.QuotaReservation{Team: team, Cpus: int64(s.CPUs), Gpus: int64(s.GPUs)})
	}
	for _, partition := range o.partitionsToHandOver() {
		o.blockLease.OfferHandover(r.GetNumber(), partition)
		o.partitions.offeredAt[partition] = o.loop.Now
		r.Handovers = append(r.Handovers, partition)
	}
}
