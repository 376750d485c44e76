package leader

import (
	"math"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/quota"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// applyReservations lowers a holder's quota shares to what its renewal reserves, and
// moves the partitions that it offers to hand over.
//
// It may only be called for the write that acknowledges this renewal: the same
// reservation, come late, says nothing about a share raised since. And a reservation
// made under another grant knows nothing of the machines, and the tasks on them, that
// came with this one.
func (l *Leader) applyReservations(rec *wire.LeaseRecord, node string, r *peerpb.Renewal) {
	if grant := grantOf(r); grant == 0 || grant != rec.Blocks[node].Grant {
		return
	}
	for _, reservation := range r.GetReservations() {
		share, ok := rec.Shares[reservation.GetTeam()][node]
		if !ok {
			continue
		}
		share.CPUs = min(share.CPUs, int(reservation.GetCpus()))
		share.GPUs = min(share.GPUs, int(reservation.GetGpus()))
		rec.Shares[reservation.GetTeam()][node] = share
	}
	for _, partition := range r.GetHandovers() {
		if rec.Partitions[partition] == node {
			rec.Partitions[partition] = l.choosePartitionOwner(rec, partition, node)
		}
	}
}

// transferShares gives the quota shares of a controller that has ended to its successor,
// to whom its machines go with all that may run on them.
func transferShares(rec *wire.LeaseRecord, node, successor string) {
	for _, shares := range rec.Shares {
		former, inherited := shares[node], shares[successor]
		delete(shares, node)
		shares[successor] = wire.Share{CPUs: former.CPUs + inherited.CPUs, GPUs: former.GPUs + inherited.GPUs}
	}
}

// initShares creates the quota shares of a team whose jobs are about to be sharded. The
// controller that has owned all of them gets the whole limit; without one it is split
// evenly.
func (l *Leader) initShares(rec *wire.LeaseRecord, team config.Team, alive []string) {
	limit := wire.Share{CPUs: int(team.CPUsMax), GPUs: int(team.GPUsMax)}
	shares := wire.Shares{}
	if l.view.Lease.Partitions[team.Name] != "" {
		// The owner in this value, should the partition have moved with it.
		shares[rec.Partitions[team.Name]] = limit
	} else {
		for _, node := range alive {
			shares[node] = wire.Share{CPUs: limit.CPUs / len(alive), GPUs: limit.GPUs / len(alive)}
		}
	}
	if rec.Shares == nil {
		rec.Shares = map[string]wire.Shares{}
	}
	rec.Shares[team.Name] = shares
}

// RequestQuotaPublish asks for a lease value to be published if new quota shares are
// worth one of their own.
func (l *Leader) RequestQuotaPublish() {
	rec := l.view.Lease.Clone()
	l.publishPending = l.publishPending || l.distributeShares(&rec)
}

// distributeShares gives what is in no share of a team's limit to the controllers that
// need it. It reports whether that is worth a write of its own.
func (l *Leader) distributeShares(rec *wire.LeaseRecord) bool {
	significant := false
	own := l.local.TeamUse()
	for _, team := range cluster.SortedKeys(rec.Shares) {
		shares, limit := rec.Shares[team], l.view.LimitOf(team)
		cpus, gpus := l.view.QuotaNeeds(rec.Partitions, shares, team, own, l.loop.Now)
		for node := range cpus {
			if _, ok := rec.Blocks[node]; !ok {
				delete(cpus, node)
				delete(gpus, node)
			}
		}
		moreCPUs := distributeResource(shares, limit.CPUs, cpus, func(s *wire.Share) *int { return &s.CPUs })
		moreGPUs := distributeResource(shares, limit.GPUs, gpus, func(s *wire.Share) *int { return &s.GPUs })
		significant = significant || moreCPUs || moreGPUs
	}
	return significant
}

// distributeResource distributes what is free of one resource of a team's limit. amount
// returns that resource's part of a share.
func distributeResource(shares wire.Shares, limit float64, needs map[string]quota.Need, amount func(*wire.Share) *int) (significant bool) {
	if limit <= 0 {
		return false
	}
	current := map[string]int{}
	for node, share := range shares {
		current[node] = *amount(&share)
	}
	next, significant := quota.GrantFree(int(limit), current, quota.Targets(math.Floor(limit), needs), needs)
	for node, n := range next {
		share := shares[node]
		*amount(&share) = n
		shares[node] = share
	}
	return significant
}
